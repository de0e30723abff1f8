#include "programs/boragelugctl/arrival_schedule.h"

#include <cmath>

namespace boragelug
{

ArrivalSchedule::ArrivalSchedule(double perSecond, TimePoint start, TimePoint end, std::uint64_t seed)
    : perSecond_(perSecond)
    , next_(start)
    , end_(end)
    , random_(seed)
{
    advance();
}

std::optional<TimePoint> ArrivalSchedule::takeDue(TimePoint now)
{
    if (finished() || next_ > now) {
        return std::nullopt;
    }
    const TimePoint due = next_;
    advance();
    return due;
}

void ArrivalSchedule::advance()
{
    // 1 - unit() is in (0, 1], so that the logarithm is finite.
    const double seconds = -std::log(1 - random_.unit()) / perSecond_;
    next_ += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace boragelug
