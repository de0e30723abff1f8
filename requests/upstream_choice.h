#pragma once

#include "core/ids.h"
#include "core/random.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace boragelug
{

/// An upstream on which this VM has a free slot.
struct UpstreamCandidate
{
    UpstreamId upstream;
    bool local = true;
    /// The upstream takes trial requests only, because it was ejected or reported unhealthy.
    bool trial = false;
    std::uint32_t freeSlots = 0;
    /// Fraction of its normal weight during slow start, from 0 to 1.
    double slowStartFactor = 1;
    /// Reported load; 0 if there is no current report.
    double load = 0;
};

/// Weight of a candidate in the random choice: its free slots, reduced during slow start and by reported load.
/// Thread-safe.
double candidateWeight(const UpstreamCandidate &candidate);

/// Chooses an upstream: local ones first, others only if @p maySpill and no local one has a free slot. Upstreams on
/// trial get one choice in ten, or all if there are no others. Returns std::nullopt if no candidate is allowed.
/// Thread-safe for distinct @p random.
std::optional<std::size_t>
chooseUpstream(const std::vector<UpstreamCandidate> &candidates, bool maySpill, Random &random);

/// Whether to request a slot in another zone instead of waiting for a local one: only if the expected wait is longer
/// than twice the latency that the other zone adds. Thread-safe.
bool isSpillWorthwhile(double expectedWaitSeconds, double spillLatencySeconds);

} // namespace boragelug
