#pragma once

#include "core/time_point.h"

#include <chrono>
#include <optional>

namespace boragelug
{

/// Detects that the process was suspended, from the time between two ticks. Not synchronized: one thread at a time.
class SuspensionDetector
{
public:
    /// 2 s is longer than any scheduling delay and shorter than the shortest lease.
    static constexpr Duration threshold = std::chrono::seconds(2);

    explicit SuspensionDetector(TimePoint now)
        : lastTick_(now)
    { }

    /// Records a tick at @p now on the boot-time clock. Returns the time since the last tick if it exceeds the
    /// threshold, std::nullopt otherwise.
    std::optional<Duration> tick(TimePoint now)
    {
        const Duration elapsed = now - lastTick_;
        lastTick_ = now;
        return elapsed > threshold ? std::optional<Duration>(elapsed) : std::nullopt;
    }

    /// Whether the time since the last tick exceeds the threshold at @p now. Records no tick: input handlers use it to
    /// react to a suspension before the next tick.
    bool isSuspended(TimePoint now) const { return now - lastTick_ > threshold; }

private:
    TimePoint lastTick_;
};

} // namespace boragelug
