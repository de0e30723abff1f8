#pragma once

#include "core/random.h"
#include "core/time_point.h"

#include <optional>

namespace boragelug
{

/**
 * Times at which new work starts: a Poisson process, whatever became of earlier work.
 *
 * The same seed gives the same intervals. Not synchronized: one thread at a time.
 */
class ArrivalSchedule
{
public:
    /// Arrivals in [@p start, @p end). Precondition: @p perSecond is over 0.
    ArrivalSchedule(double perSecond, TimePoint start, TimePoint end, std::uint64_t seed);

    /// The next arrival that is due at @p now, if any. To be called until it returns nothing.
    std::optional<TimePoint> takeDue(TimePoint now);

    /// Whether all arrivals were taken.
    bool finished() const { return next_ >= end_; }

private:
    void advance();

    double perSecond_;
    TimePoint next_;
    TimePoint end_;
    Random random_;
};

} // namespace boragelug
