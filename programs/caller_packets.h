#pragma once

#include "node/node_action.h"
#include "servers/tunnel_packet.h"

#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// A packet with the HTTP message @p message from the entry to the caller, for the fabric to deliver. Thread-safe.
TunnelPacket makeAnswerPacket(const ReplyAddress &to, const std::string &message);

/// A packet with the caller's request for its issuer; nothing if the request has no payload. Thread-safe.
std::optional<TunnelPacket> makeRelayPacket(const RelayRequest &action);

/// A packet with an outcome for the VM that forwarded the request. Thread-safe.
TunnelPacket makeRelayPacket(const RelayOutcome &action);

/// Payload of an inner packet as text. Thread-safe.
std::string_view payloadText(const InnerPacket &inner);

} // namespace boragelug
