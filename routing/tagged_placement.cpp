#include "routing/tagged_placement.h"

namespace boragelug
{
namespace
{

// Costs that differ by less count as equal, because the estimates are not more precise.
constexpr double costTolerance = 1e-6;

} // namespace

double placementCost(const PlacementCandidate &candidate, const TaggedPlacementSettings &settings)
{
    const double work = candidate.busyFlows + candidate.busyFlowsOnOtherVms + settings.idleWeight * candidate.idleFlows;
    double cost = work / candidate.slots;
    if (candidate.cold) {
        cost = (work + 1) * settings.coldSlowdown / candidate.slots;
    }
    cost += candidate.local ? 0 : settings.remoteCost;
    cost += candidate.propagating ? settings.propagatingCost : 0;
    cost += candidate.suspect ? settings.suspectCost : 0;
    cost += candidate.ejected ? settings.ejectedCost : 0;
    return cost;
}

std::optional<std::size_t>
placeFlow(std::span<const PlacementCandidate> candidates, const TaggedPlacementSettings &settings, Random &random)
{
    std::optional<std::size_t> best;
    double bestCost = 0;
    std::uint64_t ties = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
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

} // namespace boragelug
