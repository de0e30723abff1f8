#pragma once

#include "drivers/udp_socket.h"
#include "platform/standins/store_records.h"
#include "platform/standins/store_standin.h"
#include "platform/standins/wire.h"
#include "routing/flow_tag.h"
#include "soak/vm_process.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <string>

#include <unistd.h>

namespace boragelug
{

/// Runs one daemon before a store, a host and a caller of the test.
class DaemonTest : public ::testing::Test
{
protected:
    DaemonTest()
        : folder_(std::filesystem::temp_directory_path() / ("daemon-test-" + std::to_string(getpid())))
        , store_(context_, toTcpEndpoint(at(30, 8169)), 1)
        , host_(context_, at(40, 8080))
        , caller_(context_, at(20, packetPort))
        , vm_(BORAGELUGD_PROGRAM, folder_.string(), "vm-1")
    {
        std::filesystem::create_directories(folder_);
        // The host never answers.
        host_.start([this](const Endpoint &, std::span<const std::byte> bytes) { handleHostPacket(bytes); });
        caller_.start([](const Endpoint &, std::span<const std::byte>) {});
        CatalogueRecord catalogue;
        catalogue.version = CatalogueVersion { 7 };
        catalogue.entries = { { .name = EntryName { "board" },
                                .address = at(50, 443),
                                .services = { { .service = "ledger", .weight = 1 } },
                                .latencyObjective = std::chrono::seconds(1) } };
        store_.set(soak::catalogueKey(), soak::catalogueValue(catalogue));
        UpstreamRecord record;
        record.id = hostId;
        record.incarnation = Incarnation { 1 };
        record.service = "ledger";
        record.zone = "north";
        record.address = at(40, 8080);
        store_.set(soak::hostKey(hostId), soak::hostValue(record));
        std::ofstream(vm_.settingsPath())
            << "vm: vm-1\nzone: north\nendpoints:\n  packet: " << toString(at(10, packetPort))
            << "\n  admin: " << toString(at(10, adminPort)) << "\n  relay: " << toString(at(10, relayPort))
            << "\ndirectory: " << toString(at(30, 8169)) << "\nlog_level: debug\n";
        vm_.start({});
    }

    ~DaemonTest() override
    {
        vm_.signal(SIGKILL);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    /// Receives what the daemon forwards.
    virtual void handleHostPacket(std::span<const std::byte> /*bytes*/) { }

    /// An address of a loopback network of this test's process.
    static Endpoint at(std::uint8_t group, std::uint16_t port)
    {
        const auto network = static_cast<std::uint32_t>(16 + getpid() % 110 * 2 + 1);
        const std::uint32_t address = 0x7f000000U | network << 16U | static_cast<std::uint32_t>(group) << 8U | 1U;
        return { .address = Ipv4Address { address }, .port = Port { port } };
    }

    std::string log() const
    {
        std::ifstream file(vm_.logPath());
        return { std::istreambuf_iterator<char>(file), {} };
    }

    void runFor(std::chrono::milliseconds length)
    {
        context_.restart();
        context_.run_for(length);
    }

    /// Does @p action about each 50 ms until @p condition holds; false if only a fault can be the reason that it
    /// doesn't.
    bool holdsAfter(
        const std::function<bool()> &condition, const std::function<void()> &action = [] {})
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (std::chrono::steady_clock::now() < end) {
            action();
            runFor(std::chrono::milliseconds(50));
            if (condition()) {
                return true;
            }
        }
        return false;
    }

    /// The same until the log holds @p text.
    bool logsAfter(
        const std::string &text, const std::function<void()> &action = [] {})
    {
        return holdsAfter([&] { return log().find(text) != std::string::npos; }, action);
    }

    void sendSyn(std::uint16_t port, const Endpoint &entry, std::uint32_t copies)
    {
        soak::Packet packet;
        packet.from = { .address = at(20, 0).address, .port = Port { port } };
        packet.to = entry;
        packet.syn = true;
        packet.sequence = 1000;
        // The field counts the copies of a SYN.
        packet.acknowledged = copies;
        caller_.send(at(10, packetPort), encode(packet));
    }

    void sendRequest(std::uint16_t port)
    {
        soak::Packet packet;
        packet.from = { .address = at(20, 0).address, .port = Port { port } };
        packet.to = at(50, 443);
        packet.tag = flowTagOf(hostId, Incarnation { 1 }).value;
        packet.ack = true;
        packet.sequence = 1001;
        packet.acknowledged = 1;
        packet.data.resize(100);
        caller_.send(at(10, packetPort), encode(packet));
    }

    static constexpr std::uint16_t packetPort = 8172;
    static constexpr std::uint16_t adminPort = 8167;
    static constexpr std::uint16_t relayPort = 8166;
    static constexpr UpstreamId hostId { 0x2a };

    asio::io_context context_;
    std::filesystem::path folder_;
    soak::StoreStandin store_;
    UdpSocket host_;
    UdpSocket caller_;
    soak::VmProcess vm_;
};

} // namespace boragelug
