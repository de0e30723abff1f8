#pragma once

#include "drivers/udp_socket.h"
#include "servers/fabric.h"
#include "servers/metric_sink.h"

namespace boragelug
{

/// Geneve over one UDP socket. Datagrams that aren't valid are counted by reason and dropped.
class UdpFabric : public Fabric
{
public:
    /// Binds to @p local; port 0 lets the kernel choose. Throws asio::system_error if that fails.
    UdpFabric(asio::io_context &context, const Endpoint &local, MetricSink &metrics);

    void start(Receiver receiver) override;
    bool send(const Endpoint &to, const TunnelPacket &packet) override;
    Endpoint localEndpoint() const override { return socket_.localEndpoint(); }

private:
    void receive(const Endpoint &from, std::span<const std::byte> datagram);

    UdpSocket socket_;
    MetricSink &metrics_;
    Receiver receiver_;
};

} // namespace boragelug
