#include "drivers/thrift_peer_transport.h"

#include <string>
#include <utility>

namespace boragelug
{

ThriftPeerTransport::ThriftPeerTransport(
    asio::io_context &context, const Endpoint &local, const Identity &identity, const Clock &clock, MetricSink &metrics)
    : socket_(context, local)
    , identity_(identity)
    , clock_(clock)
    , metrics_(metrics)
    , guard_(ReplayGuard::Config {})
{ }

void ThriftPeerTransport::start(Receiver receiver)
{
    receiver_ = std::move(receiver);
    socket_.start([this](const Endpoint &, std::span<const std::byte> datagram) { receive(datagram); });
}

Outcome<std::size_t, PeerSendError>
ThriftPeerTransport::send(const Endpoint &to, const PeerMessage &message, HybridTime sentAt)
{
    using Result = Outcome<std::size_t, PeerSendError>;
    const PeerHeader header {
        .sender = identity_.vm,
        .incarnation = identity_.incarnation,
        .sequence = ++sequence_,
        .sentAt = sentAt,
    };
    const auto datagram = sealPeerMessage(header, message, identity_.key);
    if (datagram.size() > maxPeerDatagram) {
        metrics_.add("boragelug_peer_messages_unsent_total", 1, { { "reason", "too_long" } });
        return Result::failure(PeerSendError::TooLong);
    }
    if (!socket_.send(to, datagram)) {
        metrics_.add("boragelug_peer_messages_unsent_total", 1, { { "reason", "socket" } });
        return Result::failure(PeerSendError::SocketFailed);
    }
    metrics_.add("boragelug_peer_messages_sent_total", 1);
    metrics_.add("boragelug_peer_bytes_sent_total", static_cast<double>(datagram.size()));
    return datagram.size();
}

void ThriftPeerTransport::receive(std::span<const std::byte> datagram)
{
    auto opened = openPeerMessage(datagram, identity_.key);
    if (!opened) {
        drop(opened.lastReason());
        return;
    }
    const PeerHeader &header = opened->header;
    if (const auto reason = guard_.check(header, clock_.now())) {
        drop(*reason);
        return;
    }
    metrics_.add("boragelug_peer_messages_received_total", 1);
    receiver_({
        .from = header.sender,
        .incarnation = header.incarnation,
        .sentAt = header.sentAt,
        .message = std::move(opened.value().message),
    });
}

void ThriftPeerTransport::drop(PeerDropReason reason)
{
    metrics_.add("boragelug_peer_messages_dropped_total", 1, { { "reason", std::string(toString(reason)) } });
}

} // namespace boragelug
