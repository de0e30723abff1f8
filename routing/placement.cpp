#include "routing/placement.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace boragelug
{
namespace
{

/// A cold host starts with 2 % of its capacity: 40 of 2,000 flows arrive at once when it appears.
constexpr double initialSlowStartFraction = 0.02;
/// Bound of a report's factor either way. One host that reports 0 raises the others by the same factor, so it gets
/// at most 21 % more than they do.
constexpr double maxCorrection = 1.1;
/// Weight of one report in the work per flow; smooths the noise of flows that came and went since the report.
constexpr double reportGain = 0.2;
/// Below this number of own flows per host, counts are too coarse to compare with reports.
constexpr double minComparableFlows = 8;
/// Estimated use at which a zone counts as full; views and counts of other VMs lag behind.
constexpr double fullAt = 0.95;
/// Estimated use above which flows are refused. The estimate assumes equal shares of all VMs.
constexpr double refuseAt = 1.1;
/// Excess of load over the other zones that is accepted for staying in the local zone. Continuity accepts more,
/// because flows within the zone survive its separation.
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

/// 1 for a new report, down to 0 for one that is too old.
double reportWeight(const PlacementHost &host, TimePoint now)
{
    if (!reportIsFresh(host, now)) {
        return 0;
    }
    const Duration age = std::max(Duration::zero(), now - host.report.reportedAt);
    return 1 - std::chrono::duration<double>(age).count() / std::chrono::duration<double>(maxReportAge).count();
}

/// Totals over the hosts that may take flows.
struct Totals
{
    std::size_t active = 0;
    std::size_t usable = 0;
    std::size_t reporting = 0;
    double ownPerCapacity = 0;
    double ownFlows = 0;
    double reported = 0;
    double maxSlowStartFraction = 0;
};

Totals sumUp(std::span<const PlacementHost> hosts, Duration slowStart, TimePoint now)
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
            totals.reported += host.report.load;
        }
    }
    return totals;
}

/// A host that may take the flow, with its load.
struct Candidate
{
    std::size_t host = 0;
    double load = std::numeric_limits<double>::infinity();
    /// Estimated use of the host's capacity by all VMs.
    double use = 0;
    double tieBreak = 0;
};

Candidate assess(const PlacementHost &host, const Totals &totals, const PlacementRequest &request)
{
    const double relativeFraction =
        slowStartFraction(host.activeSince, request.slowStart, request.now) / totals.maxSlowStartFraction;
    const double flows = host.ownFlows + 1.0;
    Candidate candidate;
    const double work = std::clamp(host.workPerFlow, 1 / maxCorrection, maxCorrection);
    candidate.load = flows / (host.capacity * relativeFraction);
    if (totals.ownFlows >= minComparableFlows * static_cast<double>(totals.active)) {
        candidate.load *= 1 + reportWeight(host, request.now) * (work - 1);
    }
    // Ties depend on the key, so that VMs with equal counts don't all pick the same host.
    const RendezvousNode node { host.id.value, host.capacity * relativeFraction / work };
    candidate.tieBreak = weightedRendezvousScore(request.key.value, node);
    const auto vms = static_cast<double>(request.placingVms);
    if (host.capacity >= 2 * minComparableFlows * vms) {
        candidate.use = flows * vms / (host.capacity * relativeFraction);
    } else if (reportIsFresh(host, request.now)) {
        candidate.use = host.report.load;
    }
    return candidate;
}

/// The less loaded of two.
void keepBetter(Candidate &best, const Candidate &other)
{
    if (other.load < best.load || (other.load == best.load && other.tieBreak > best.tieBreak)) {
        best = other;
    }
}

bool staysLocal(const Candidate &local, const Candidate &overall, double smallestUse, const PlacementRequest &request)
{
    if (request.viewUnconfirmed || !request.allowSpill) {
        return true;
    }
    const double tolerance = request.prefer == Preference::EvenLoad ? evenLoadTolerance : continuityTolerance;
    return smallestUse < fullAt && local.load <= overall.load * tolerance;
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
    const Totals totals = sumUp(hosts, Duration::zero(), now);
    const auto active = static_cast<double>(totals.active);
    if (totals.reporting == 0 || totals.reported <= 0) {
        return;
    }
    const bool comparable = totals.ownFlows >= minComparableFlows * active;
    for (PlacementHost &host : hosts) {
        if (!reportIsFresh(host, now) || host.report.reportedAt <= host.workPerFlowAsOf) {
            continue;
        }
        host.workPerFlowAsOf = host.report.reportedAt;
        const double expected = comparable ? host.ownFlows / host.capacity * active / totals.ownPerCapacity : 1;
        // The report of a host that has just started says little about the flows it will have.
        if (expected < 0.2) {
            continue;
        }
        const double reported = host.report.load * static_cast<double>(totals.reporting) / totals.reported;
        const double ratio = std::clamp(reported / expected, 0.5, 2.0);
        host.workPerFlow += reportGain * reportWeight(host, now) * (ratio - host.workPerFlow);
    }
}

Outcome<Placement, PlacementFailure> placeFlow(std::span<const PlacementHost> hosts, const PlacementRequest &request)
{
    using Result = Outcome<Placement, PlacementFailure>;
    const Totals totals = sumUp(hosts, request.slowStart, request.now);
    if (totals.active == 0) {
        return Result::failure(PlacementFailure::NoUpstream);
    }
    const bool useAll = totals.usable * 2 < totals.active;
    Candidate local;
    Candidate overall;
    double smallestLocalUse = std::numeric_limits<double>::infinity();
    bool hasLocal = false;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        const PlacementHost &host = hosts[i];
        if (host.state != UpstreamState::Active || host.capacity <= 0 || !(useAll || isUsable(host, request.now))) {
            continue;
        }
        Candidate candidate = assess(host, totals, request);
        candidate.host = i;
        keepBetter(overall, candidate);
        if (host.zone == request.localZone) {
            hasLocal = true;
            smallestLocalUse = std::min(smallestLocalUse, candidate.use);
            keepBetter(local, candidate);
        }
    }
    if (!hasLocal && request.viewUnconfirmed) {
        return Result::failure(PlacementFailure::ViewUnconfirmed);
    }
    // A service without hosts in the local zone is served from the others even if the entry doesn't allow spilling.
    const bool stay = hasLocal && staysLocal(local, overall, smallestLocalUse, request);
    const Candidate &best = stay ? local : overall;
    if (best.use > refuseAt) {
        return Result::failure(PlacementFailure::NoCapacity);
    }
    return Placement { best.host, hosts[best.host].zone != request.localZone };
}

} // namespace boragelug
