#include "routing/request_rejection.h"

namespace boragelug
{
Duration expectedWait(std::size_t ahead, Duration objective, const ServicePace &pace)
{
    if (pace.limit <= 0) {
        return Duration::zero();
    }
    const std::chrono::duration<double, Duration::period> latency = objective * pace.meanLatencyRatio;
    return std::chrono::duration_cast<Duration>(latency * (static_cast<double>(ahead) + 1) / pace.limit);
}

bool isHopeless(const WaitingRequestAttributes &attributes, std::size_t ahead, const ServicePace &pace, TimePoint now)
{
    return expectedWait(ahead, attributes.objective, pace) >= attributes.expiresAt - now;
}

bool isBacklogged(const WaitingRequestAttributes &attributes,
                  std::size_t queued,
                  const ServicePace &pace,
                  Duration maxBacklog)
{
    return expectedWait(queued, attributes.objective, pace) >= maxBacklog;
}

} // namespace boragelug
