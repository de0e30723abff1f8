#pragma once

#include "drivers/peer_codec.h"
#include "drivers/replay_guard.h"
#include "drivers/udp_socket.h"
#include "servers/clock.h"
#include "servers/metric_sink.h"
#include "servers/peer_transport.h"

#include <cstdint>

namespace boragelug
{

/// Authenticated Thrift messages over one UDP socket. What isn't valid is counted by reason and dropped.
class ThriftPeerTransport : public PeerTransport
{
public:
    struct Identity
    {
        VmId vm;
        Incarnation incarnation;
        PeerKey key {};
    };

    /// Binds to @p local; port 0 lets the kernel choose. Throws asio::system_error if that fails. @p clock and
    /// @p metrics must outlive the transport.
    ThriftPeerTransport(asio::io_context &context,
                        const Endpoint &local,
                        const Identity &identity,
                        const Clock &clock,
                        MetricSink &metrics);

    void start(Receiver receiver) override;
    Outcome<std::size_t, PeerSendError>
    send(const Endpoint &to, const PeerMessage &message, HybridTime sentAt) override;
    Endpoint localEndpoint() const override { return socket_.localEndpoint(); }

private:
    void receive(std::span<const std::byte> datagram);
    void drop(PeerDropReason reason);

    UdpSocket socket_;
    Identity identity_;
    const Clock &clock_;
    MetricSink &metrics_;
    ReplayGuard guard_;
    Receiver receiver_;
    std::uint64_t sequence_ = 0;
};

} // namespace boragelug
