#pragma once

#include "core/time_point.h"

#include <chrono>
#include <optional>

namespace boragelug
{

/// Detects that the process did not run for a while. Not synchronized: one thread at a time.
class SuspensionDetector
{
public:
    /// A pause over 2 s is longer than any scheduling delay and shorter than the shortest lease.
    static constexpr Duration threshold = std::chrono::seconds(2);

    explicit SuspensionDetector(TimePoint now)
        : lastTick_(now)
    { }

    /// Notes a tick at boot-time clock @p now; returns the pause since the last one if it was over the threshold.
    std::optional<Duration> tick(TimePoint now)
    {
        const Duration pause = now - lastTick_;
        lastTick_ = now;
        return pause > threshold ? std::optional<Duration>(pause) : std::nullopt;
    }

    /// The pause up to @p now without noting a tick. Input handlers use it to act before the next tick.
    bool isSuspended(TimePoint now) const { return now - lastTick_ > threshold; }

private:
    TimePoint lastTick_;
};

} // namespace boragelug
