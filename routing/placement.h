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

/// A candidate host for placement.
struct PlacementHost
{
    UpstreamId id;
    ZoneId zone;
    UpstreamState state = UpstreamState::Active;
    bool usable = true;
    /// Maximum number of flows; the service's connections per host.
    double capacity = 1;
    /// Open flows that this VM placed on it as primary.
    std::uint32_t ownFlows = 0;
    TimePoint activeSince;
    LoadReport report;
    /// Load that a flow causes on this host relative to the other hosts, estimated from load reports; 1 is average.
    double workPerFlow = 1;
    /// Time of the last report that workPerFlow includes.
    TimePoint workPerFlowAsOf;
};

/// Parameters of a placement besides the hosts.
struct PlacementRequest
{
    FlowKey key;
    ZoneId localZone;
    Preference prefer = Preference::FlowContinuity;
    bool allowSpill = false;
    /// Restricts the choice to the local zone, even if the entry allows spilling.
    bool viewUnconfirmed = false;
    Duration slowStart {};
    /// Number of VMs that place flows on the same hosts, including this one; each assumes that it places an equal
    /// fraction of the flows.
    std::size_t placingVms = 1;
    TimePoint now;
};

/// Result of a placement.
struct Placement
{
    /// Index into the hosts.
    std::size_t host = 0;
    /// Whether the host is outside of the local zone.
    bool spilled = false;
};

/// Why a flow could not be placed.
enum class PlacementFailure : std::uint8_t { NoUpstream, NoCapacity, ViewUnconfirmed };

/// Reports older than this are ignored.
inline constexpr Duration maxReportAge = std::chrono::seconds(10);

/**
 * Updates the work per flow of the hosts of one service from new load reports. Thread-safe.
 *
 * Each report is compared with this VM's flow counts only once, when it is new. If it were compared at each placement,
 * the flow counts would cancel out of the estimated load, and all VMs would place their flows on the host with the
 * lowest reported load until the next report.
 */
void updateWorkPerFlow(std::span<PlacementHost> hosts, TimePoint now);

/// Fraction of its capacity, in [0.02, 1], that a host may use during slow start if active since @p activeSince.
/// Thread-safe.
double slowStartFraction(TimePoint activeSince, Duration slowStart, TimePoint now);

/**
 * Chooses the host for a new flow by weighted least connections. Thread-safe.
 *
 * Draining, leaving and unusable hosts get no new flows; but if fewer than half of the active hosts are usable, all
 * active hosts are used. The local zone is preferred until it is full, or until its load exceeds that of the other
 * zones by 1 % with `EvenLoad` or 3 % with `FlowContinuity`.
 */
Outcome<Placement, PlacementFailure> placeFlow(std::span<const PlacementHost> hosts, const PlacementRequest &request);

} // namespace boragelug
