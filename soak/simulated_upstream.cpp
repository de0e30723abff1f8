#include "soak/simulated_upstream.h"

#include "core/hash.h"
#include "drivers/byte_order.h"

#include <algorithm>

namespace boragelug::soak
{
namespace
{

constexpr std::size_t idPrefixBytes = 8; // Upstream id, prefixed by the VM.
constexpr std::uint32_t responseBytes = 200;
// Retransmissions of upstreams, as the platform's protocol defines them.
constexpr Duration initialRetransmitInterval = std::chrono::milliseconds(200);
constexpr Duration maxRetransmitInterval = std::chrono::milliseconds(1600);
constexpr unsigned maxRetransmissions = 8;

} // namespace

SimulatedUpstream::SimulatedUpstream(asio::io_context &context,
                                     std::uint64_t id,
                                     Incarnation incarnation,
                                     std::string service,
                                     const Endpoint &address,
                                     Environment environment,
                                     InvariantChecker &invariants)
    : id_(id)
    , incarnation_(incarnation)
    , service_(std::move(service))
    , address_(address)
    , environment_(std::move(environment))
    , invariants_(invariants)
    , socket_(context, address)
    , acceptor_(context)
{
    // Connections stay in the listen backlog and are never accepted, which suffices for health checks.
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(toTcpEndpoint(address));
    acceptor_.listen();
    socket_.start([this](const Endpoint &from, std::span<const std::byte> datagram) { receive(from, datagram); });
}

SimulatedUpstream::~SimulatedUpstream()
{
    invariants_.recordUpstreamStopped(id_);
}

void SimulatedUpstream::setIgnoresConnections(bool ignores)
{
    fillers_.clear();
    if (!ignores) {
        acceptor_.listen();
        return;
    }
    // Linux drops a SYN while the accept queue is full. The connections of earlier checks are still in the queue.
    acceptor_.listen(0);
    constexpr std::size_t fillerCount = 4;
    fillers_.reserve(fillerCount);
    for (std::size_t i = 0; i < fillerCount; ++i) {
        // The last ones stay unanswered until the sockets are closed.
        fillers_.emplace_back(acceptor_.get_executor());
        fillers_.back().async_connect(toTcpEndpoint(address_), [](const asio::error_code &) {});
    }
}

void SimulatedUpstream::receive(const Endpoint &from, std::span<const std::byte> datagram)
{
    if (datagram.size() < idPrefixBytes || readBigEndian<std::uint64_t>(datagram, 0) != id_) {
        return;
    }
    const std::size_t vm = environment_.vmNumber(from);
    if (environment_.isLost(vm)) {
        return;
    }
    const TimePoint now = environment_.now();
    const auto packet = decode(datagram.subspan(idPrefixBytes));
    if (!packet || packet->sum != checksum(*packet)) {
        invariants_.recordCorruptedPacket("corrupted packet at upstream " + toString(address_), now);
        return;
    }
    const auto [service, removedAt] = environment_.findEntry(packet->to);
    if (service != service_) {
        invariants_.recordWrongService(service.empty() ? "no service" : service, service_, now);
        return;
    }
    if (packet->syn) {
        invariants_.checkNewFlow(vm,
                                 { .drainingSince = drainingSince_,
                                   .entryRemovedAt = removedAt,
                                   .zoneEvacuatedAt = environment_.zoneEvacuatedAt() },
                                 now);
        handleSyn(*packet, vm);
        return;
    }
    const FlowEndpoints ends { packet->from, packet->to };
    invariants_.checkFlowPacket(ends, id_, now);
    // A flow opens with a packet that acknowledges the SYN-ACK.
    const auto found = flows_.find(ends);
    if (found == flows_.end() || (!found->second.open && packet->acknowledged != found->second.nextSequence)) {
        invariants_.checkUpstreamReset(ends, id_, now);
        Packet reset = makeResponse(*packet);
        reset.reset = true;
        reset.sequence = packet->acknowledged;
        send(reset);
        return;
    }
    if (!found->second.open) {
        found->second.open = true;
        invariants_.recordFlowOpened(ends, id_);
    }
    handleData(*packet, found->second);
    if (packet->fin || packet->reset) {
        invariants_.recordFlowEnded(ends);
        flows_.erase(found);
    }
}

void SimulatedUpstream::handleSyn(const Packet &packet, std::size_t)
{
    Flow &flow = flows_[{ packet.from, packet.to }];
    if (flow.open) {
        return;
    }
    const auto initialSequence = static_cast<std::uint32_t>(combineHash(id_, packet.sequence));
    flow = {};
    flow.nextSequence = initialSequence + 1;
    flow.expectedSequence = packet.sequence + 1;
    flow.retransmitAt = environment_.now() + initialRetransmitInterval;
    flow.retransmitInterval = initialRetransmitInterval * 2;
    flow.retransmissionsLeft = maxRetransmissions;
    Packet response = makeResponse(packet);
    response.syn = true;
    response.sequence = initialSequence;
    response.acknowledged = flow.expectedSequence;
    flow.synAck = response;
    send(response);
}

void SimulatedUpstream::tick()
{
    const TimePoint now = environment_.now();
    for (auto &[ends, flow] : flows_) {
        if (!flow.open && flow.retransmissionsLeft > 0 && now >= flow.retransmitAt) {
            --flow.retransmissionsLeft;
            flow.retransmitAt = now + flow.retransmitInterval;
            flow.retransmitInterval = std::min(flow.retransmitInterval * 2, Duration(maxRetransmitInterval));
            send(flow.synAck);
        }
    }
}

void SimulatedUpstream::handleData(const Packet &packet, Flow &flow)
{
    if (packet.data.empty() && !packet.fin) {
        return;
    }
    Packet response = makeResponse(packet);
    // A retransmitted request gets the same response again.
    if (packet.sequence == flow.expectedSequence) {
        flow.expectedSequence += static_cast<std::uint32_t>(packet.data.size());
        flow.nextSequence += packet.data.empty() ? 0 : responseBytes;
    }
    response.acknowledged = flow.expectedSequence;
    response.fin = packet.fin;
    response.sequence = packet.data.empty() ? flow.nextSequence : flow.nextSequence - responseBytes;
    response.data.resize(packet.data.empty() ? 0 : responseBytes);
    send(response);
}

Packet SimulatedUpstream::makeResponse(const Packet &packet) const
{
    Packet response;
    response.tag = packet.tag;
    response.from = packet.to;
    response.to = packet.from;
    response.ack = true;
    return response;
}

void SimulatedUpstream::send(const Packet &packet)
{
    environment_.sendToCaller(packet.to, encode(packet));
}

} // namespace boragelug::soak
