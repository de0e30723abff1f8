#pragma once

#include "core/ids.h"
#include "model/flow_packet.h"

#include <cstdint>

namespace boragelug
{

/// The tag of flows at one incarnation of an upstream: the same on every VM, and never 0. Two incarnations may share a
/// tag. Thread-safe.
FlowTag flowTagOf(UpstreamId upstream, Incarnation incarnation);

/// Identifies a flow in events: a hash of both ends, the same on every VM. Thread-safe.
std::uint64_t flowCause(const Endpoint &caller, const Endpoint &entry);

} // namespace boragelug
