// Stand-in for the fabric. Callers send plain UDP datagrams to the socket of an entry; the fabric tunnels each one
// as an inner IPv4 packet to a random live VM. Geneve packets that VMs or callers send to the gateway are routed by
// their inner destination: those for an entry go to a random live VM; other UDP packets go to their destination, from
// the socket of the entry that is their inner source.
#include "drivers/arguments.h"
#include "drivers/asio_runtime.h"
#include "drivers/geneve_codec.h"
#include "drivers/ip_packet.h"
#include "drivers/udp_socket.h"
#include "drivers/view_file.h"
#include "standins/fabric_standin_impairment.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <memory>
#include <string>

namespace
{

using namespace boragelug;

constexpr Endpoint anyLoopbackPort { .address = Ipv4Address { 0x7F000001 }, .port = Port { 0 } };

class FabricStandin
{
public:
    FabricStandin(AsioRuntime &runtime, const Arguments &arguments)
        : runtime_(runtime)
        , viewPath_(arguments.required("view-file"))
        , portsPath_(arguments.required("ports-file"))
        , gateway_(runtime.context(), anyLoopbackPort)
        , random_(arguments.number("seed", 1))
        , impairment_(runtime.context(), parseImpairmentSettings(arguments), arguments.number("seed", 1) + 1)
    { }

    void start()
    {
        gateway_.start([this](const Endpoint &, std::span<const std::byte> datagram) { routeTunnelPacket(datagram); });
        reloadView();
        writePorts();
        runtime_.every(std::chrono::milliseconds(100), [this] { reloadView(); });
        runtime_.onSignal(SIGTERM, [this] { runtime_.stop(); });
        runtime_.run();
        std::cout << nlohmann::json {
            { "sprayed", sprayed_ }, { "delivered", delivered_ }, { "unroutable", unroutable_ }
        } << '\n';
    }

private:
    static ImpairmentSettings parseImpairmentSettings(const Arguments &arguments)
    {
        ImpairmentSettings settings;
        settings.drop = arguments.probability("drop");
        settings.duplicate = arguments.probability("duplicate");
        settings.reorder = arguments.probability("reorder");
        settings.delay = std::chrono::milliseconds(arguments.number("delay-ms", 0));
        return settings;
    }

    /// Loads the view file and applies it if its catalogue is newer. As in a real fabric, the list of live VMs can be
    /// out of date, by up to the interval between two calls.
    void reloadView()
    {
        auto loaded = loadViewFile(viewPath_);
        if (!loaded || (version_ && loaded->catalogue.version <= *version_)) {
            return;
        }
        version_ = loaded->catalogue.version;
        liveVms_.clear();
        for (const Vm &vm : loaded->vms) {
            if (vm.state == VmState::Live) {
                liveVms_.push_back(vm.packetEndpoint);
            }
        }
        for (const Entry &entry : loaded->catalogue.entries) {
            openEntrySocket(entry);
        }
    }

    void openEntrySocket(const Entry &entry)
    {
        if (entrySockets_.contains(entry.address)) {
            return;
        }
        auto socket = std::make_unique<UdpSocket>(runtime_.context(), anyLoopbackPort);
        socket->start([this, address = entry.address](const Endpoint &from, std::span<const std::byte> payload) {
            sendToRandomVm(buildUdpPacket(from, address, payload));
        });
        entryEndpoints_[entry.name.value] = socket->localEndpoint();
        entrySockets_.emplace(entry.address, std::move(socket));
    }

    void writePorts() const
    {
        nlohmann::json entries = nlohmann::json::object();
        for (const auto &[name, endpoint] : entryEndpoints_) {
            entries[name] = toString(endpoint);
        }
        const nlohmann::json ports { { "gateway", toString(gateway_.localEndpoint()) }, { "entries", entries } };
        replaceFile(portsPath_, ports.dump() + "\n");
    }

    void routeTunnelPacket(std::span<const std::byte> datagram)
    {
        auto packet = decodeGeneve(datagram);
        const auto inner = packet ? parseInnerPacket(packet->inner)
                                  : Outcome<InnerPacket, IpPacketError>::failure(IpPacketError::Truncated);
        if (!inner) {
            ++unroutable_;
            return;
        }
        if (entrySockets_.contains(inner->destination)) {
            sendToRandomVm(std::move(packet.value().inner));
            return;
        }
        const auto socket = entrySockets_.find(inner->source);
        if (socket == entrySockets_.end() || inner->protocol != InnerProtocol::Udp) {
            ++unroutable_;
            return;
        }
        const std::vector<std::byte> payload(inner->payload.begin(), inner->payload.end());
        impairment_.apply([this, socket = socket->second.get(), to = inner->destination, payload] {
            socket->send(to, payload);
            ++delivered_;
        });
    }

    void sendToRandomVm(std::vector<std::byte> inner)
    {
        const TunnelPacket packet { .service = ServiceId { 0 },
                                    .option = std::monostate {},
                                    .inner = std::move(inner) };
        impairment_.apply([this, datagram = encodeGeneve(packet)] {
            if (liveVms_.empty()) {
                ++unroutable_;
                return;
            }
            gateway_.send(liveVms_[random_.below(liveVms_.size())], datagram);
            ++sprayed_;
        });
    }

    AsioRuntime &runtime_;
    std::string viewPath_;
    std::string portsPath_;
    UdpSocket gateway_;
    Random random_;
    Impairment impairment_;
    std::optional<CatalogueVersion> version_;
    std::vector<Endpoint> liveVms_;
    std::map<Endpoint, std::unique_ptr<UdpSocket>> entrySockets_;
    std::map<std::string, Endpoint> entryEndpoints_;
    /// Packets sent to a random live VM.
    std::uint64_t sprayed_ = 0;
    /// Packets sent to a destination other than an entry, such as a caller.
    std::uint64_t delivered_ = 0;
    std::uint64_t unroutable_ = 0;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        const Arguments arguments(
            argc, argv, { "view-file", "ports-file", "seed", "drop", "duplicate", "reorder", "delay-ms" });
        AsioRuntime runtime;
        FabricStandin(runtime, arguments).start();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "fabric_standin: " << error.what() << '\n';
        return 2;
    }
}
