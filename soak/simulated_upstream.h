#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "drivers/udp_socket.h"
#include "platform/standins/wire.h"
#include "soak/invariant_checker.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragelug::soak
{

/// One upstream: responds to the packets of its flows directly to the callers, bypassing the VMs, and listens for TCP
/// connections. The destructor closes the sockets and discards the flows.
class SimulatedUpstream
{
public:
    /// Functions of the simulation that an upstream calls.
    struct Environment
    {
        std::function<TimePoint()> now;
        /// Sends a packet to a caller.
        std::function<void(const Endpoint &caller, std::vector<std::byte>)> sendToCaller;
        /// The service of an entry, and when the entry was removed; an empty service if the entry never existed.
        std::function<std::pair<std::string, std::optional<TimePoint>>(const Endpoint &entry)> findEntry;
        /// When the evacuation of the upstream's zone was requested; std::nullopt while there is none.
        std::function<std::optional<TimePoint>()> zoneEvacuatedAt;
        /// The number of the VM at an address.
        std::function<std::size_t(const Endpoint &vm)> vmNumber;
        /// Whether a packet of the VM with this number is lost on its way to the upstream. Called once for each packet.
        std::function<bool(std::size_t vm)> isLost;
    };

    /// @p incarnation is the start time that the upstream's record contains.
    SimulatedUpstream(asio::io_context &context,
                      std::uint64_t id,
                      Incarnation incarnation,
                      std::string service,
                      const Endpoint &address,
                      Environment environment,
                      InvariantChecker &invariants);
    ~SimulatedUpstream();
    SimulatedUpstream(const SimulatedUpstream &) = delete;
    SimulatedUpstream &operator=(const SimulatedUpstream &) = delete;

    /// Sends SYN-ACKs that were not acknowledged again. Call it at least every 20 ms.
    void tick();

    /// Makes the upstream ignore TCP connections, as one whose accept queue is full, or accept them again.
    void setIgnoresConnections(bool ignores);

    void setDraining(TimePoint now) { drainingSince_ = now; }
    bool isDraining() const { return drainingSince_.has_value(); }
    std::uint64_t id() const { return id_; }
    Incarnation incarnation() const { return incarnation_; }
    const std::string &service() const { return service_; }
    const Endpoint &address() const { return address_; }

private:
    struct Flow
    {
        std::uint32_t nextSequence = 0;
        std::uint32_t expectedSequence = 0;
        bool open = false;
        Packet synAck;
        TimePoint retransmitAt;
        Duration retransmitInterval {};
        unsigned retransmissionsLeft = 0;
    };

    void receive(const Endpoint &from, std::span<const std::byte> datagram);
    void handleSyn(const Packet &packet, std::size_t vm);
    void handleData(const Packet &packet, Flow &flow);
    Packet makeResponse(const Packet &packet) const;
    void send(const Packet &packet);

    std::uint64_t id_;
    Incarnation incarnation_;
    std::string service_;
    Endpoint address_;
    Environment environment_;
    InvariantChecker &invariants_;
    UdpSocket socket_;
    asio::ip::tcp::acceptor acceptor_;
    /// Connections of the upstream's own that fill its accept queue.
    std::vector<asio::ip::tcp::socket> fillers_;
    std::optional<TimePoint> drainingSince_;
    std::map<FlowEndpoints, Flow> flows_;
};

} // namespace boragelug::soak
