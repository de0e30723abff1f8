#pragma once

#include "core/time_point.h"
#include "model/directory_view.h"
#include "model/flow_packet.h"
#include "routing/request_rejection.h"
#include "routing/service_admission.h"

#include <cstdint>

namespace boragelug
{

// What a VM knows about the time that the caller of a SYN has left. Callers send copies of a SYN at known times, and
// abandon opening the flow at a known time. All functions are thread-safe.

/// Time since the caller sent the first SYN of the flow, estimated from FlowPacket::synCopies.
Duration sinceFirstSyn(const FlowPacket &syn, const AdmissionSettings &settings);

/// Whether the fabric sends the packets of the flow of a queued SYN to another VM: a copy of the SYN, which the caller
/// first sent @p elapsed ago, is overdue. @p latestCopy is the FlowPacket::synCopies of the latest one that arrived.
bool hasMovedAway(std::uint32_t latestCopy, Duration elapsed, const AdmissionSettings &settings);

/// Attributes of the request whose flow @p syn opens at @p entry, and which arrived at @p arrivedAt.
WaitingRequestAttributes waitingAttributes(const FlowPacket &syn,
                                           const DirectoryEntry &entry,
                                           ServiceId service,
                                           TimePoint arrivedAt,
                                           const AdmissionSettings &settings);

} // namespace boragelug
