#pragma once

#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace boragelug
{

/// Load and state of one upstream that may get a new flow.
struct PlacementCandidate
{
    /// Flows of this VM with a request in progress or about to send one.
    double busyFlows = 0;
    /// The same on other VMs, as far as they reported it.
    double busyFlowsOnOtherVms = 0;
    /// Open flows without a request in progress, on all VMs that reported.
    double idleFlows = 0;
    double slots = 1;
    bool local = true;
    bool cold = false;
    /// Its latency as a multiple of that of the service's other upstreams; 1 if it is not slower.
    double slowness = 1;
    /// Other VMs may not have received the upstream's record yet.
    bool propagating = false;
    /// It left a packet unanswered recently.
    bool suspect = false;
    /// The VM's requests to the service in the upstream's zone are at their concurrency limit.
    bool zoneAtLimit = false;
    /// Gets no new flows unless no other upstream is left.
    bool ejected = false;
};

/// Weights of placement. Costs are in requests per slot.
struct TaggedPlacementSettings
{
    /// Expected number of requests in progress that an open flow counts as while it is idle.
    double idleWeight = 0.06;
    /// Factor by which an upstream in slow start takes longer to answer.
    double coldSlowdown = 1.6;
    /// Traffic to another zone has higher latency, costs money and may be cut off, so that an upstream there is chosen
    /// only if its load is lower by this much.
    double remoteCost = 0.7;
    double suspectCost = 1.0;
    double propagatingCost = 2.0;
    double zoneAtLimitCost = 10;
    double ejectedCost = 100;
    /// Slowness up to which an upstream takes part in every comparison. Beyond, it takes part in fewer of them, by the
    /// third power: it takes longer for each request, fewer of its answers are in time, and its queue is longer.
    double fullShareSlowness = 1.4;
    /// Smallest share of the comparisons, so that an upstream that has become faster is noticed.
    double minShare = 0.03;
    /// Limit of upstreams that are compared for one flow. A service with more is sampled, so that the cost of placement
    /// doesn't grow with the service.
    std::size_t maxCompared = 16;
};

/// Requests per slot that a new flow would find at the upstream, plus the penalties for the upstream's state.
/// Precondition: slots is positive. Thread-safe.
double placementCost(const PlacementCandidate &candidate, const TaggedPlacementSettings &settings);

/// Share of the comparisons that an upstream with this slowness takes part in, from 0 to 1. Thread-safe.
double comparisonShare(double slowness, const TaggedPlacementSettings &settings);

/// Index of the candidate with the lowest cost, ties broken at random; std::nullopt if there is no candidate. Slow
/// candidates take part at random, by their comparisonShare(), and all of them if the others are ejected or at their
/// limit. If all local candidates are slow, being local is no advantage.
std::optional<std::size_t>
placeFlow(std::span<const PlacementCandidate> candidates, const TaggedPlacementSettings &settings, Random &random);

} // namespace boragelug
