#pragma once

#include "model/flow_packet.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace boragelug
{

/// Answers of one upstream that a VM observed since its last report. Sums, so that a relay can add up the reports of
/// its followers.
struct SpeedObservation
{
    /// Identifies the upstream and its incarnation.
    FlowTag upstream;
    std::uint32_t answers = 0;
    /// Sum of the latencies of these answers, each as a multiple of the latency that is usual at its entry.
    double latencySum = 0;

    bool operator==(const SpeedObservation &) const = default;
};

/// An upstream that is slower than the others of its service.
struct SlowUpstream
{
    FlowTag upstream;
    /// Its latency as a multiple of that of the others; above 1.
    double slowness = 1;

    bool operator==(const SlowUpstream &) const = default;
};

/// Slow upstreams, which all answers to followers share.
using SharedSlowUpstreams = std::shared_ptr<const std::vector<SlowUpstream>>;

} // namespace boragelug
