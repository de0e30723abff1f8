#include "routing/placement.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace boragelug
{
namespace
{

/// Slow start begins at 2 % of the capacity: a new host with a capacity of 2,000 flows receives 40 flows at once.
constexpr double initialSlowStartFraction = 0.02;
/// Maximum factor by which reports correct the load of a host, upwards or downwards. If one host reports 0, its load is
/// divided by the factor and that of the others multiplied by it, so it gets at most 21 % more flows than they do.
constexpr double maxCorrection = 1.1;
/// Weight of one report in the moving average of the work per flow; smooths the noise of flows that were opened or
/// closed since the report.
constexpr double reportGain = 0.2;
/// Below this number of own flows per host, flow counts are too coarse to compare with reports.
constexpr double minComparableFlows = 8;
/// Estimated utilization at which a zone counts as full; below 1, as views and the flow counts of other VMs lag.
constexpr double fullUtilization = 0.95;
/// Estimated utilization above which flows are refused. The estimate assumes that all VMs place equally many flows.
constexpr double maxUtilization = 1.1;
/// Factor by which the load of the local zone may exceed that of the other zones before flows spill. FlowContinuity
/// tolerates more, because flows within a zone survive a partition that cuts off the zone.
constexpr double evenLoadTolerance = 1.01;
constexpr double continuityTolerance = 1.03;

bool reportIsFresh(const PlacementHost &host, TimePoint now)
{
    return host.report.upstream == host.id && host.report.reportedAt > now - maxReportAge;
}

bool isUsable(const PlacementHost &host, TimePoint now)
{
    return host.usable && (host.report.healthy || !reportIsFresh(host, now));
}

/// Weight of the host's report: 1 for a new report, decreasing linearly to 0 at maxReportAge.
double reportWeight(const PlacementHost &host, TimePoint now)
{
    if (!reportIsFresh(host, now)) {
        return 0;
    }
    const Duration age = std::max(Duration::zero(), now - host.report.reportedAt);
    return 1 - std::chrono::duration<double>(age).count() / std::chrono::duration<double>(maxReportAge).count();
}

/// Totals over the active hosts.
struct Totals
{
    std::size_t active = 0;
    std::size_t usable = 0;
    std::size_t reporting = 0;
    double ownPerCapacity = 0;
    double ownFlows = 0;
    double reportedLoad = 0;
    double maxSlowStartFraction = 0;
};

Totals computeTotals(std::span<const PlacementHost> hosts, Duration slowStart, TimePoint now)
{
    Totals totals;
    for (const PlacementHost &host : hosts) {
        if (host.state != UpstreamState::Active || host.capacity <= 0) {
            continue;
        }
        ++totals.active;
        totals.usable += isUsable(host, now) ? 1 : 0;
        totals.ownFlows += host.ownFlows;
        totals.ownPerCapacity += host.ownFlows / host.capacity;
        totals.maxSlowStartFraction =
            std::max(totals.maxSlowStartFraction, slowStartFraction(host.activeSince, slowStart, now));
        if (reportIsFresh(host, now)) {
            ++totals.reporting;
            totals.reportedLoad += host.report.load;
        }
    }
    return totals;
}

/// A host that the flow may be placed on, with its load.
struct Candidate
{
    std::size_t host = 0;
    double load = std::numeric_limits<double>::infinity();
    /// Estimated utilization of the host's capacity by the flows of all VMs.
    double utilization = 0;
    double tieBreak = 0;
};

Candidate assess(const PlacementHost &host, const Totals &totals, const PlacementRequest &request)
{
    const double slowStartFactor =
        slowStartFraction(host.activeSince, request.slowStart, request.now) / totals.maxSlowStartFraction;
    const double flows = host.ownFlows + 1.0;
    Candidate candidate;
    const double workFactor = std::clamp(host.workPerFlow, 1 / maxCorrection, maxCorrection);
    candidate.load = flows / (host.capacity * slowStartFactor);
    if (totals.ownFlows >= minComparableFlows * static_cast<double>(totals.active)) {
        candidate.load *= 1 + reportWeight(host, request.now) * (workFactor - 1);
    }
    // Ties are broken by a hash of the key, so that VMs with equal counts don't all choose the same host.
    const RendezvousNode node { host.id.value, host.capacity * slowStartFactor / workFactor };
    candidate.tieBreak = weightedRendezvousScore(request.key.value, node);
    const auto vms = static_cast<double>(request.placingVms);
    if (host.capacity >= 2 * minComparableFlows * vms) {
        candidate.utilization = flows * vms / (host.capacity * slowStartFactor);
    } else if (reportIsFresh(host, request.now)) {
        candidate.utilization = host.report.load;
    }
    return candidate;
}

/// Replaces @p best by @p other if @p other is less loaded.
void keepLessLoaded(Candidate &best, const Candidate &other)
{
    if (other.load < best.load || (other.load == best.load && other.tieBreak > best.tieBreak)) {
        best = other;
    }
}

bool staysLocal(const Candidate &local,
                const Candidate &overall,
                double lowestLocalUtilization,
                const PlacementRequest &request)
{
    if (request.viewUnconfirmed || !request.allowSpill) {
        return true;
    }
    const double tolerance = request.prefer == Preference::EvenLoad ? evenLoadTolerance : continuityTolerance;
    return lowestLocalUtilization < fullUtilization && local.load <= overall.load * tolerance;
}

} // namespace

double slowStartFraction(TimePoint activeSince, Duration slowStart, TimePoint now)
{
    if (slowStart <= Duration::zero() || now >= activeSince + slowStart) {
        return 1;
    }
    const Duration active = std::max(Duration::zero(), now - activeSince);
    return std::max(initialSlowStartFraction,
                    static_cast<double>(active.count()) / static_cast<double>(slowStart.count()));
}

void updateWorkPerFlow(std::span<PlacementHost> hosts, TimePoint now)
{
    const Totals totals = computeTotals(hosts, Duration::zero(), now);
    const auto active = static_cast<double>(totals.active);
    if (totals.reporting == 0 || totals.reportedLoad <= 0) {
        return;
    }
    const bool comparable = totals.ownFlows >= minComparableFlows * active;
    for (PlacementHost &host : hosts) {
        if (!reportIsFresh(host, now) || host.report.reportedAt <= host.workPerFlowAsOf) {
            continue;
        }
        host.workPerFlowAsOf = host.report.reportedAt;
        const double expected = comparable ? host.ownFlows / host.capacity * active / totals.ownPerCapacity : 1;
        // Below a fifth of the average number of flows, the host has just started, and its report isn't representative
        // of its later load per flow.
        if (expected < 0.2) {
            continue;
        }
        const double reported = host.report.load * static_cast<double>(totals.reporting) / totals.reportedLoad;
        const double ratio = std::clamp(reported / expected, 0.5, 2.0);
        host.workPerFlow += reportGain * reportWeight(host, now) * (ratio - host.workPerFlow);
    }
}

Outcome<Placement, PlacementFailure> placeFlow(std::span<const PlacementHost> hosts, const PlacementRequest &request)
{
    using Result = Outcome<Placement, PlacementFailure>;
    const Totals totals = computeTotals(hosts, request.slowStart, request.now);
    if (totals.active == 0) {
        return Result::failure(PlacementFailure::NoUpstream);
    }
    const bool useUnusable = totals.usable * 2 < totals.active;
    Candidate local;
    Candidate overall;
    double lowestLocalUtilization = std::numeric_limits<double>::infinity();
    bool hasLocal = false;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const PlacementHost &host = hosts[i];
        if (host.state != UpstreamState::Active || host.capacity <= 0
            || !(useUnusable || isUsable(host, request.now))) {
            continue;
        }
        Candidate candidate = assess(host, totals, request);
        candidate.host = i;
        keepLessLoaded(overall, candidate);
        if (host.zone == request.localZone) {
            hasLocal = true;
            lowestLocalUtilization = std::min(lowestLocalUtilization, candidate.utilization);
            keepLessLoaded(local, candidate);
        }
    }
    if (!hasLocal && request.viewUnconfirmed) {
        return Result::failure(PlacementFailure::ViewUnconfirmed);
    }
    // A service without hosts in the local zone is served from other zones even if the entry doesn't allow spilling.
    const bool staysInZone = hasLocal && staysLocal(local, overall, lowestLocalUtilization, request);
    const Candidate &best = staysInZone ? local : overall;
    if (best.utilization > maxUtilization) {
        return Result::failure(PlacementFailure::NoCapacity);
    }
    return Placement { best.host, hosts[best.host].zone != request.localZone };
}

} // namespace boragelug
