#include "routing/request_rejection.h"

namespace boragelug
{

Duration expectedWait(const QueuedRequests &ahead, Duration objective, const ServicePace &pace)
{
    if (pace.limit <= 0) {
        return Duration::zero();
    }
    // The requests in progress are taken for ones like those in the queue.
    const auto count = static_cast<double>(ahead.count);
    const std::chrono::duration<double, Duration::period> objectives =
        ahead.count > 0 ? ahead.objectives * ((count + 1) / count) : objective * 1.0;
    return std::chrono::duration_cast<Duration>(objectives * pace.meanLatencyRatio / pace.limit);
}

bool isHopeless(const WaitingRequestAttributes &attributes,
                const QueuedRequests &ahead,
                const ServicePace &pace,
                TimePoint now)
{
    return expectedWait(ahead, attributes.objective, pace) >= attributes.expiresAt - now;
}

bool isBacklogged(const QueuedRequests &queued, const ServicePace &pace, Duration maxBacklog)
{
    return queued.count > 0 && expectedWait(queued, Duration::zero(), pace) >= maxBacklog;
}

} // namespace boragelug
