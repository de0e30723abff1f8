#pragma once

#include "core/event.h"
#include "model/peer_message.h"
#include "model/platform_message.h"
#include "requests/request_action.h"
#include "servers/tunnel_packet.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace boragelug
{

/// Send a packet to an upstream or to another VM.
struct SendPacket
{
    Endpoint to;
    TunnelPacket packet;
};

/// Send a caller's request, or its cancellation, to the VM that issued its id.
struct RelayRequest
{
    /// The issuer's packet endpoint.
    Endpoint to;
    RelayOption option;
    CallerRequest request;
};

/// Send the outcome of a request to the VM that forwarded it.
struct RelayOutcome
{
    /// The forwarder's packet endpoint.
    Endpoint to;
    RelayOption option;
    ReplyToCaller reply;
};

/// Send a new request id to the caller that asked for one.
struct ReplyRequestId
{
    ReplyAddress to;
    std::string requestId;
};

/// Send a message to a peer.
struct SendPeer
{
    Endpoint to;
    PeerMessage message;
};

/// An event for the log and the timeline.
struct NodeEvent
{
    EventNumber number = EventNumber::ProcessStarted;
    std::uint64_t causeId = 0;
    std::vector<std::pair<std::string, std::string>> fields;
};

/// An action that the process performs for the node.
using NodeAction = std::variant<SendPacket,
                                DispatchAttempt,
                                CancelAttempt,
                                ReplyToCaller,
                                RelayRequest,
                                RelayOutcome,
                                ReplyRequestId,
                                SendPeer,
                                PlatformCall,
                                NodeEvent>;

using NodeActions = std::vector<NodeAction>;

} // namespace boragelug
