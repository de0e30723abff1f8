#include "drivers/udp_fabric.h"

#include "drivers/geneve_codec.h"

#include <string>
#include <utility>

namespace boragelug
{

UdpFabric::UdpFabric(asio::io_context &context, const Endpoint &local, MetricSink &metrics)
    : socket_(context, local)
    , metrics_(metrics)
{ }

void UdpFabric::start(Receiver receiver)
{
    receiver_ = std::move(receiver);
    socket_.start([this](const Endpoint &from, std::span<const std::byte> datagram) { receive(from, datagram); });
}

bool UdpFabric::send(const Endpoint &to, const TunnelPacket &packet)
{
    const bool sent = socket_.send(to, encodeGeneve(packet));
    metrics_.add(sent ? "boragelug_packets_sent_total" : "boragelug_packet_send_failures_total", 1);
    return sent;
}

void UdpFabric::receive(const Endpoint &from, std::span<const std::byte> datagram)
{
    auto packet = decodeGeneve(datagram);
    if (!packet) {
        metrics_.add(
            "boragelug_packets_dropped_total", 1, { { "reason", std::string(toString(packet.lastReason())) } });
        return;
    }
    metrics_.add("boragelug_packets_received_total", 1);
    receiver_(from, std::move(packet.value()));
}

} // namespace boragelug
