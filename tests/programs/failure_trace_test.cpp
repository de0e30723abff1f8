#include "drivers/udp_socket.h"
#include "platform/standins/store_records.h"
#include "platform/standins/store_standin.h"
#include "platform/standins/wire.h"
#include "programs/boragelugctl/commands.h"
#include "routing/flow_tag.h"
#include "soak/vm_process.h"

#include <asio/io_context.hpp>
#include <gtest/gtest.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>

#include <sysexits.h>
#include <unistd.h>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace soak;

/// Bound on waits for the process; only a fault exceeds it.
constexpr auto patience = 20s;

/// Runs the daemon before a store and a host of the test, fails requests, and explains them from the daemon's log
/// alone.
class FailureTraceTest : public ::testing::Test
{
protected:
    FailureTraceTest()
        : folder_(std::filesystem::temp_directory_path() / ("failure-trace-" + std::to_string(getpid())))
        , store_(context_, toTcpEndpoint(at(30, 8169)), 1)
        , host_(context_, at(40, 8080))
        , caller_(context_, at(20, packetPort))
        , vm_(BORAGELUGD_PROGRAM, folder_.string(), "vm-1")
    {
        std::filesystem::create_directories(folder_);
        // A host of which nothing comes back: what arrives is dropped.
        host_.start([](const Endpoint &, std::span<const std::byte>) {});
        caller_.start([](const Endpoint &, std::span<const std::byte>) {});
        CatalogueRecord catalogue;
        catalogue.version = CatalogueVersion { 7 };
        catalogue.entries = { { .name = EntryName { "board" },
                                .address = at(50, 443),
                                .services = { { .service = "ledger", .weight = 1 } } } };
        store_.set(catalogueKey(), catalogueValue(catalogue));
        UpstreamRecord record;
        record.id = hostId;
        record.incarnation = Incarnation { 1 };
        record.service = "ledger";
        record.zone = "north";
        record.address = at(40, 8080);
        store_.set(hostKey(hostId), hostValue(record));
        std::ofstream(vm_.settingsPath())
            << "vm: vm-1\nzone: north\nendpoints:\n  packet: " << toString(at(10, packetPort))
            << "\n  admin: " << toString(at(10, 8167)) << "\ndirectory: " << toString(at(30, 8169))
            << "\nlog_level: debug\n";
        vm_.start({});
    }

    ~FailureTraceTest() override
    {
        vm_.signal(SIGKILL);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

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

    /// Does @p action about each 50 ms until the log holds @p text.
    bool logsAfter(
        const std::string &text, const std::function<void()> &action = [] {})
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (std::chrono::steady_clock::now() < end) {
            action();
            context_.restart();
            context_.run_for(50ms);
            if (log().find(text) != std::string::npos) {
                return true;
            }
        }
        return false;
    }

    void sendSyn(std::uint16_t port, const Endpoint &entry, std::uint32_t copies)
    {
        Packet packet;
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
        Packet packet;
        packet.from = { .address = at(20, 0).address, .port = Port { port } };
        packet.to = at(50, 443);
        packet.tag = flowTagOf(hostId, Incarnation { 1 }).value;
        packet.ack = true;
        packet.sequence = 1001;
        packet.acknowledged = 1;
        packet.data.resize(100);
        caller_.send(at(10, packetPort), encode(packet));
    }

    /// What `explain` says of the flow from @p port.
    std::string explain(std::uint16_t port, const Endpoint &entry)
    {
        std::ostringstream out;
        std::ostringstream err;
        const std::string flow =
            "udp," + toString({ .address = at(20, 0).address, .port = Port { port } }) + "," + toString(entry);
        const int code = runExplain({ "--log", vm_.logPath(), "--flow", flow }, { .out = out, .err = err });
        EXPECT_EQ(code, EX_OK) << err.str();
        return out.str();
    }

    static constexpr std::uint16_t packetPort = 8172;
    static constexpr UpstreamId hostId { 0x2a };

    asio::io_context context_;
    std::filesystem::path folder_;
    StoreStandin store_;
    UdpSocket host_;
    UdpSocket caller_;
    VmProcess vm_;
};

// Guards on-call engineers who have only the log: a host that crashed silently.
TEST_F(FailureTraceTest, FindsASilentHost)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    sendSyn(1000, at(50, 443), 0);
    sendRequest(1000);
    ASSERT_TRUE(logsAfter("flow_unanswered", [&] { sendRequest(1000); }));
    store_.remove(hostKey(hostId));
    ASSERT_TRUE(logsAfter("upstream_gone"));
    EXPECT_NE(explain(1000, at(50, 443)).find("cause: upstream 000000000000002a fell silent"), std::string::npos);
}

// The same for a refusal: no catalogue entry has the address.
TEST_F(FailureTraceTest, FindsAMissingEntry)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    ASSERT_TRUE(logsAfter("flow_refused", [&] { sendSyn(1000, at(51, 443), 2); }));
    EXPECT_NE(explain(1000, at(51, 443)).find("cause: refused: catalogue 7 has no entry"), std::string::npos);
}

// The same for a VM that is cut off with its zone: the host doesn't answer, and neither does the directory.
TEST_F(FailureTraceTest, FindsACutZone)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    store_.setFault(StoreFault::Silent);
    sendSyn(1000, at(50, 443), 0);
    sendRequest(1000);
    ASSERT_TRUE(logsAfter("flow_unanswered", [&] { sendRequest(1000); }));
    ASSERT_TRUE(logsAfter("platform_unreachable"));
    EXPECT_NE(explain(1000, at(50, 443)).find("the VM or a zone was cut off"), std::string::npos);
}

} // namespace
} // namespace boragelug
