#pragma once

#include "core/ids.h"
#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace boragelug
{

/// A host on which this VM has a free slot.
struct UpstreamCandidate
{
    UpstreamId upstream;
    bool local = true;
    /// The host is on trial after an ejection.
    bool trial = false;
    std::uint32_t freeSlots = 0;
    /// Part of its full share while it ramps up, from 0 to 1.
    double slowStartFactor = 1;
    /// Reported load, or 0 if unknown.
    double load = 0;
};

/// Relative chance of a candidate: free slots, less for hosts that ramp up or report load. Thread-safe.
double candidateWeight(const UpstreamCandidate &candidate);

/// Chooses a host: local ones first, others only if @p maySpill and no local one has a free slot. A host on trial
/// gets one choice in ten, or all if there is no other. Nothing if no candidate is allowed. Thread-safe for distinct
/// @p random.
std::optional<std::size_t>
chooseUpstream(const std::vector<UpstreamCandidate> &candidates, bool maySpill, Random &random);

/// Whether to ask for a slot in another zone rather than wait for a local one: only if the wait is expected to be
/// longer than twice the time that the other zone adds. Thread-safe.
bool isSpillWorthwhile(double expectedWaitSeconds, double spillLatencySeconds);

} // namespace boragelug
