#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "routing/passive_health.h"

#include <cstddef>
#include <vector>

namespace boragelug
{

/// Thresholds of isSilenceConfirmed().
struct SilenceSettings
{
    /// A VM resets no flow of a service as silent before it has seen requests to it for this long: until then, other
    /// upstreams that only seemed silent had no time to show that they serve.
    Duration observationTime = std::chrono::milliseconds(2500);
    /// Flows of a silent upstream are reset only if another upstream of its zone made progress within this time;
    /// otherwise the network path to the zone may be impaired.
    Duration zoneProgressWindow = std::chrono::milliseconds(400);
    /// No flow is reset as long as this many other upstreams of its service left packets or checks unanswered, but
    /// served: one may be at fault itself, two show that packets get lost or that the service is overloaded.
    std::size_t refutedUpstreamsToWithhold = 2;
    /// While this many other upstreams of the service leave data or checks unanswered, an upstream has to fail this
    /// many consecutive checks.
    std::size_t suspectedUpstreamsToConfirm = 1;
    std::uint32_t checksToConfirm = 2;
};

/// What the evidence needs to know of an upstream. Valid as long as the health that it refers to.
struct ObservedUpstream
{
    ServiceId service;
    ZoneId zone;
    const PassiveHealth *health = nullptr;
    /// When this VM first saw a request to the upstream's service; the epoch if it saw none.
    TimePoint serviceObservedSince;
};

/// Whether the upstream itself shows all signs of silence: an overdue request, recent unanswered data, and an active
/// check without a response. A flow that moved to another VM leaves an overdue request, but its caller retransmits
/// nothing here.
bool seemsSilent(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether flows of @p upstream may be reset because it is silent. Precondition: @p listed has all upstreams that this
/// VM knows; it may contain @p upstream. Thread-safe.
///
/// A lost acknowledgement looks the same as a silent upstream, and a wrong reset breaks a flow of a live upstream. So
/// this also regards other upstreams: one of the zone has to progress after the check, and those of the service
/// must not give reason to doubt.
bool isSilenceConfirmed(const ObservedUpstream &upstream,
                        const std::vector<ObservedUpstream> &listed,
                        const PassiveHealthSettings &health,
                        const SilenceSettings &settings,
                        TimePoint now);

/// Whether other VMs should avoid @p upstream because a check of this VM, which is in @p ownZone, found it silent. They
/// shouldn't if this VM's network path is as likely at fault: the upstream is of another zone, no upstream of the zone
/// has progressed since the check was requested, half of the service's upstreams of the zone seem silent here, or some
/// of them only seemed silent. Precondition: @p listed has all upstreams that this VM knows, with @p upstream.
/// Thread-safe.
bool isSilenceShared(const ObservedUpstream &upstream,
                     const std::vector<ObservedUpstream> &listed,
                     ZoneId ownZone,
                     const PassiveHealthSettings &health,
                     const SilenceSettings &settings,
                     TimePoint now);

} // namespace boragelug
