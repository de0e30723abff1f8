#pragma once

#include "node/node_action.h"

#include <functional>
#include <optional>

namespace boragelug
{

/// Returns a VM's packet endpoint; std::nullopt for a VM that isn't in the view.
using PacketEndpointLookup = std::function<std::optional<Endpoint>(VmId)>;

/**
 * Converts an action of the request layer to a NodeAction.
 *
 * Returns std::nullopt if the action goes to a VM for which @p endpointOf has no endpoint; the request then ends as
 * unknown at its deadline. Precondition: @p action isn't an OutgoingMessage, which goes through the control budget
 * instead. Thread-safe.
 */
std::optional<NodeAction> translate(RequestAction action, VmId self, const PacketEndpointLookup &endpointOf);

} // namespace boragelug
