#pragma once

#include "core/ids.h"
#include "model/flow_packet.h"

#include <cstdint>

namespace boragelug
{

/// The flow tag of one incarnation of an upstream: the same on every VM, and never 0. It is a hash, so that two
/// incarnations may share a tag. Thread-safe.
FlowTag flowTagOf(UpstreamId upstream, Incarnation incarnation);

/// The cause id of a flow in events: a hash of both endpoints, the same on every VM. Thread-safe.
std::uint64_t flowCause(const Endpoint &caller, const Endpoint &entry);

} // namespace boragelug
