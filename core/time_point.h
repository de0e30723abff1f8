#pragma once

#include <chrono>

namespace boragelug
{

/**
 * Clock tag for time since boot, including time spent asleep (CLOCK_BOOTTIME).
 *
 * The core never reads a clock; drivers read it and pass TimePoint values in.
 */
struct BootClock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock, duration>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name fixed by std::chrono.
};

using Duration = BootClock::duration;
using TimePoint = BootClock::time_point;

} // namespace boragelug
