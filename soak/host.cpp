#include "soak/host.h"

#include "core/hash.h"
#include "drivers/byte_order.h"

namespace boragelug::soak
{
namespace
{

constexpr std::size_t prefixBytes = 8;
constexpr std::uint32_t answerBytes = 200;

} // namespace

Host::Host(asio::io_context &context,
           std::uint64_t id,
           std::string service,
           const Endpoint &address,
           World world,
           Promises &promises)
    : id_(id)
    , service_(std::move(service))
    , address_(address)
    , world_(std::move(world))
    , promises_(promises)
    , socket_(context, address)
    , acceptor_(context)
{
    // Connections wait in the listener's queue, which is enough for checks.
    acceptor_.open(asio::ip::tcp::v4());
    acceptor_.set_option(asio::socket_base::reuse_address(true));
    acceptor_.bind(toTcpEndpoint(address));
    acceptor_.listen();
    socket_.start([this](const Endpoint &from, std::span<const std::byte> datagram) { receive(from, datagram); });
}

Host::~Host()
{
    promises_.hostEnded(id_);
}

void Host::receive(const Endpoint &from, std::span<const std::byte> datagram)
{
    if (datagram.size() < prefixBytes || readBigEndian<std::uint64_t>(datagram, 0) != id_) {
        return;
    }
    const TimePoint now = world_.now();
    const auto packet = decode(datagram.subspan(prefixBytes));
    if (!packet || packet->sum != checksum(*packet)) {
        promises_.changedBytes("at host " + toString(address_), now);
        return;
    }
    const auto [service, removed] = world_.entry(packet->to);
    if (service != service_) {
        promises_.foreignService(service.empty() ? "no service" : service, service_, now);
        return;
    }
    const std::size_t vm = world_.vm(from);
    if (packet->syn) {
        promises_.opened(vm, draining_, removed, now);
        handleSyn(*packet, vm);
        return;
    }
    const FlowEnds ends { packet->from, packet->to };
    promises_.flowPacket(ends, id_, now);
    const auto found = flows_.find(ends);
    if (found == flows_.end() || (!found->second.open && packet->acknowledged != found->second.sent)) {
        Packet reset = answerTo(*packet);
        reset.reset = true;
        reset.sequence = packet->acknowledged;
        send(reset);
        return;
    }
    if (!found->second.open) {
        found->second.open = true;
        promises_.flowOpened(ends, id_);
    }
    handleData(*packet, found->second);
    if (packet->fin || packet->reset) {
        promises_.flowEnded(ends);
        flows_.erase(found);
    }
}

void Host::handleSyn(const Packet &packet, std::size_t)
{
    Flow &flow = flows_[{ packet.from, packet.to }];
    if (flow.open) {
        return;
    }
    const auto first = static_cast<std::uint32_t>(combineHash(id_, packet.sequence));
    flow = { .sent = first + 1, .expected = packet.sequence + 1, .open = false };
    Packet answer = answerTo(packet);
    answer.syn = true;
    answer.sequence = first;
    answer.acknowledged = flow.expected;
    send(answer);
}

void Host::handleData(const Packet &packet, Flow &flow)
{
    if (packet.data.empty() && !packet.fin) {
        return;
    }
    Packet answer = answerTo(packet);
    if (packet.sequence == flow.expected) {
        flow.expected += static_cast<std::uint32_t>(packet.data.size());
        flow.sent += packet.data.empty() ? 0 : answerBytes;
    }
    answer.acknowledged = flow.expected;
    answer.fin = packet.fin;
    answer.sequence = packet.data.empty() ? flow.sent : flow.sent - answerBytes;
    answer.data.resize(packet.data.empty() ? 0 : answerBytes);
    send(answer);
}

Packet Host::answerTo(const Packet &packet) const
{
    Packet answer;
    answer.tag = packet.tag;
    answer.from = packet.to;
    answer.to = packet.from;
    answer.ack = true;
    return answer;
}

void Host::send(const Packet &packet)
{
    world_.toCaller(packet.to, encode(packet));
}

} // namespace boragelug::soak
