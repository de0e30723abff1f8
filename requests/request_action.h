#pragma once

#include "core/event.h"
#include "model/peer_message.h"
#include "requests/request.h"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace boragelug
{

/// Send the request to an upstream over a new connection.
struct DispatchAttempt
{
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation upstreamIncarnation;
    Endpoint endpoint;
    /// Remaining time until the deadline, sent to the upstream with the request.
    Duration remaining {};
    /// Latest time to send the first byte. The driver checks it right before sending and reports NotSent if it has
    /// passed.
    TimePoint sendBy;
    Payload payload;
};

/// Close the connection of an attempt; its result is no longer needed.
struct CancelAttempt
{
    AttemptId attempt;
};

/// Send an outcome to a caller, via @c to.forwardedBy if that is set.
struct ReplyToCaller
{
    ReplyAddress to;
    std::string idText;
    RequestOutcome outcome;
};

/// Send the request, or its cancellation, to the VM that issued its id. The issuer's reply carries @c forward as its
/// token and is passed to RequestDispatcher::handleForwardedOutcome.
struct ForwardToIssuer
{
    std::uint64_t forward = 0;
    /// The issuer's node calls handleCancel instead of handleCallerRequest.
    bool cancel = false;
    VmId issuer;
    Endpoint peerEndpoint;
    /// Copy of the request; @c timeout is the remaining time, and @c replyTo holds the forwarding VM and @c forward.
    CallerRequest request;
};

/// An event for the log and the timeline.
struct RequestEvent
{
    EventNumber number = EventNumber::RequestAccepted;
    /// Number of the request within this process.
    std::uint64_t causeId = 0;
    UpstreamId upstream;
    /// Additional text such as a reason; must have static storage duration.
    std::string_view detail;
};

/// An action that the node carries out for the dispatcher.
using RequestAction =
    std::variant<DispatchAttempt, CancelAttempt, ReplyToCaller, ForwardToIssuer, OutgoingMessage, RequestEvent>;

using RequestActions = std::vector<RequestAction>;

} // namespace boragelug
