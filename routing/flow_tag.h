#pragma once

#include "core/ids.h"
#include "model/flow_packet.h"

namespace boragelug
{

/// The tag of flows at one incarnation of an upstream: the same on every VM, and never 0. Two incarnations may share a
/// tag. Thread-safe.
FlowTag flowTagOf(UpstreamId upstream, Incarnation incarnation);

} // namespace boragelug
