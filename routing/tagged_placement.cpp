#include "routing/tagged_placement.h"

#include <algorithm>

namespace boragelug
{
namespace
{

// Costs that differ by less count as equal, because the estimates are not more precise.
constexpr double costTolerance = 1e-6;

/// Index of the candidate with the lowest cost among those that @p takesPart selects.
template<class TakesPart>
std::optional<std::size_t> leastCost(std::span<const PlacementCandidate> candidates,
                                     const TaggedPlacementSettings &settings,
                                     Random &random,
                                     const TakesPart &takesPart)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    std::uint64_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (!takesPart(candidates[i])) {
            continue;
        }
        const double cost = placementCost(candidates[i], settings);
        if (!best || cost < bestCost - costTolerance) {
            best = i;
            bestCost = cost;
            ties = 1;
        } else if (cost <= bestCost + costTolerance && random.below(++ties) == 0) {
            best = i;
        }
    }
    return best;
}

} // namespace

double placementCost(const PlacementCandidate &candidate, const TaggedPlacementSettings &settings)
{
    const double work = candidate.busyFlows + candidate.busyFlowsOnOtherVms + settings.idleWeight * candidate.idleFlows;
    double cost = work * candidate.slowness / candidate.slots;
    if (candidate.cold) {
        cost = (work + 1) * settings.coldSlowdown / candidate.slots;
    }
    cost += candidate.local ? 0 : settings.remoteCost;
    cost += candidate.propagating ? settings.propagatingCost : 0;
    cost += candidate.suspect ? settings.suspectCost : 0;
    cost += candidate.zoneAtLimit ? settings.zoneAtLimitCost : 0;
    cost += candidate.ejected ? settings.ejectedCost : 0;
    return cost;
}

double comparisonShare(double slowness, const TaggedPlacementSettings &settings)
{
    if (slowness <= settings.fullShareSlowness) {
        return 1;
    }
    const double relative = settings.fullShareSlowness / slowness;
    return std::max(relative * relative * relative, settings.minShare);
}

std::optional<std::size_t>
placeFlow(std::span<const PlacementCandidate> candidates, const TaggedPlacementSettings &settings, Random &random)
{
    const auto isFastAndLocal = [&settings](const PlacementCandidate &candidate) {
        return candidate.local && !candidate.ejected && candidate.slowness <= settings.fullShareSlowness;
    };
    TaggedPlacementSettings weights = settings;
    if (std::none_of(candidates.begin(), candidates.end(), isFastAndLocal)) {
        weights.remoteCost = 0;
    }
    const auto best = leastCost(candidates, weights, random, [&](const PlacementCandidate &candidate) {
        const double share = comparisonShare(candidate.slowness, settings);
        return share >= 1 || random.chance(share);
    });
    const bool isUsable = best && !candidates[*best].ejected && !candidates[*best].zoneAtLimit;
    return isUsable ? best : leastCost(candidates, settings, random, [](const PlacementCandidate &) { return true; });
}

} // namespace boragelug
