#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace boragelug
{

/**
 * What the callers' packets tell about one upstream. Answers pass the system by, but a caller's acknowledgements show
 * that they arrive, and its repeated packets show that they don't.
 */
struct UpstreamSignals
{
    TimePoint lastProgress;
    TimePoint lastMiss;
    /// Flows that got no answer since the last progress.
    std::uint32_t misses = 0;
    /// No new flows are placed until then, except one trial at a time.
    TimePoint avoidUntil;
    /// Times that the upstream was avoided without progress in between.
    std::uint32_t avoided = 0;
};

/// Times and counts of the judgement of upstreams.
struct SignalSettings
{
    /// Datagrams are lost now and then, so that a single miss proves nothing.
    std::uint32_t missesToAvoid = 2;
    /// How long a suspected upstream gets no new flows; doubles each time up to the maximum.
    Duration firstAvoidance = std::chrono::milliseconds(800);
    Duration maxAvoidance = std::chrono::seconds(4);
    /// How long a single miss makes other upstreams preferable.
    Duration missMemory = std::chrono::seconds(2);
};

/// A caller acknowledged something new of the upstream.
void noteProgress(UpstreamSignals &signals, TimePoint now);

/// A flow's packet stayed without answer.
void noteMiss(UpstreamSignals &signals, const SignalSettings &settings, TimePoint now);

/// Whether the upstream is to get no new flows now.
bool isAvoided(const UpstreamSignals &signals, TimePoint now);

/// Whether a recent miss speaks against the upstream.
bool isDoubted(const UpstreamSignals &signals, const SignalSettings &settings, TimePoint now);

} // namespace boragelug
