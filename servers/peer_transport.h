#pragma once

#include "core/hybrid_clock.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "model/endpoint.h"
#include "model/peer_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace boragelug
{

/// A message from a peer that passed all checks.
struct ReceivedMessage
{
    VmId from;
    Incarnation incarnation;
    /// Time of sending by the peer's hybrid clock.
    HybridTime sentAt;
    PeerMessage message;
};

/// Why a message was not sent.
enum class PeerSendError : std::uint8_t { TooLong, SocketFailed };

/// Exchanges messages with peers, at most once each and in any order. Implementations run on one thread.
class PeerTransport
{
public:
    using Receiver = std::function<void(ReceivedMessage)>;

    virtual ~PeerTransport() = default;

    /// Starts receiving; @p receiver is called once for each valid message until the transport is destroyed.
    virtual void start(Receiver receiver) = 0;

    /// Sends @p message to @p to and returns the bytes of its datagram. Delivery is not confirmed.
    virtual Outcome<std::size_t, PeerSendError>
    send(const Endpoint &to, const PeerMessage &message, HybridTime sentAt) = 0;

    /// Where this transport receives.
    virtual Endpoint localEndpoint() const = 0;
};

} // namespace boragelug
