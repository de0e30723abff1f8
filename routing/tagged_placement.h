#pragma once

#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace boragelug
{

/// What speaks for and against one upstream as the place of a new flow.
struct PlacementCandidate
{
    /// Requests that callers of this VM wait for, and flows that are about to send one.
    double busyFlows = 0;
    /// The same on other VMs, as far as they told.
    double busyFlowsOnOtherVms = 0;
    /// Open flows without a request, on all VMs that told.
    double idleFlows = 0;
    double slots = 1;
    bool local = true;
    bool cold = false;
    /// Other VMs may not know the upstream yet.
    bool propagating = false;
    /// A flow got no answer of it lately.
    bool suspect = false;
    /// Gets no new flows unless nothing else is left.
    bool ejected = false;
};

/// Weights of placement. Costs are in requests for each slot.
struct TaggedPlacementSettings
{
    /// Expected requests in progress of an open flow that is idle now.
    double idleWeight = 0.06;
    /// A host that has just started takes this many times as long.
    double coldSlowdown = 1.6;
    /// Another zone is farther, costs money and may be cut off: it has to be emptier by this much.
    double remoteCost = 0.7;
    double suspectCost = 1.0;
    double propagatingCost = 2.0;
    double ejectedCost = 100;
    /// Upstreams that are compared for one flow; more are sampled, so that the effort doesn't grow with the service.
    std::size_t maxCompared = 16;
};

/// Requests for each slot that a new flow would meet, with the costs of all that speaks against the upstream.
/// Precondition: slots is positive. Thread-safe.
double placementCost(const PlacementCandidate &candidate, const TaggedPlacementSettings &settings);

/// Index of the cheapest candidate, ties by chance; nothing if there is none.
std::optional<std::size_t>
placeFlow(std::span<const PlacementCandidate> candidates, const TaggedPlacementSettings &settings, Random &random);

} // namespace boragelug
