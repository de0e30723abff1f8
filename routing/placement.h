#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "core/time_point.h"
#include "model/catalogue.h"
#include "model/upstream.h"

#include <cstddef>
#include <cstdint>
#include <span>

namespace boragelug
{

/// A host that a flow may be placed on.
struct PlacementHost
{
    UpstreamId id;
    ZoneId zone;
    UpstreamState state = UpstreamState::Active;
    bool usable = true;
    /// Flows that the host takes; the service's connections per host.
    double capacity = 1;
    /// Open flows that this VM placed on it as primary.
    std::uint32_t ownFlows = 0;
    TimePoint activeSince;
    LoadReport report;
    /// Work of a flow on this host relative to the other hosts, learned from reports; 1 is average.
    double workPerFlow = 1;
    /// Time of the last report that workPerFlow was learned from.
    TimePoint workPerFlowAsOf;
};

/// What a placement depends on besides the hosts.
struct PlacementRequest
{
    FlowKey key;
    ZoneId localZone;
    Preference prefer = Preference::FlowContinuity;
    bool allowSpill = false;
    /// Restricts the choice to the local zone, whatever the entry allows.
    bool viewUnconfirmed = false;
    Duration slowStart {};
    /// VMs that place flows on the same hosts, this one included; each counts on an equal part of the flows.
    std::size_t placingVms = 1;
    TimePoint now;
};

/// Where a flow goes.
struct Placement
{
    /// Position in the hosts.
    std::size_t host = 0;
    /// Whether the host is outside of the local zone.
    bool spilled = false;
};

/// Why a flow was not placed.
enum class PlacementFailure : std::uint8_t { NoUpstream, NoCapacity, ViewUnconfirmed };

/// Reports older than this are ignored.
inline constexpr Duration maxReportAge = std::chrono::seconds(10);

/**
 * Adapts the work per flow of the hosts of one service to reports that are new. Thread-safe.
 *
 * Reports and own counts are compared only here, when a report is new. Comparing at each placement would cancel the
 * own counts, and all VMs would send their flows to the host with the lowest report until the next one.
 */
void updateWorkPerFlow(std::span<PlacementHost> hosts, TimePoint now);

/// Share of its capacity, in [0.02, 1], that a host active since @p activeSince takes during slow start.
/// Thread-safe.
double slowStartFraction(TimePoint activeSince, Duration slowStart, TimePoint now);

/**
 * Chooses the host for a new flow by weighted least connections. Thread-safe.
 *
 * Hosts that drain, leave or are unusable get nothing, except that all active ones are used when fewer than half
 * of them are usable. The local zone comes first, until it is full or its load exceeds that of the other zones: by
 * 1 % with `EvenLoad`, by 3 % with `FlowContinuity`.
 */
Outcome<Placement, PlacementFailure> placeFlow(std::span<const PlacementHost> hosts, const PlacementRequest &request);

} // namespace boragelug
