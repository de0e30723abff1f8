#pragma once

#include "gen/peer_types.h"
#include "model/peer_message.h"

#include <optional>

namespace boragelug
{

/// Wire form of @p message. Thread-safe.
wire::Body toWire(const PeerMessage &message);

/// Model form of @p body; nothing if no or several members are set, or if a value is out of its range. Thread-safe.
std::optional<PeerMessage> fromWire(const wire::Body &body);

} // namespace boragelug
