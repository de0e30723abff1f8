#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <cstddef>
#include <cstdint>

namespace boragelug
{

/// Attributes that determine the order and the timeout of a queued request.
struct WaitingRequestAttributes
{
    ServiceId service;
    /// Estimated time at which the caller sent the first SYN.
    TimePoint sentAt;
    /// A request that is dequeued at or after this time misses its latency objective.
    TimePoint lateAt;
    /// When the request times out in the queue.
    TimePoint expiresAt;
    /// Latency objective of the request's entry.
    Duration objective {};
    /// 0 is the most important.
    std::uint32_t priority = 0;
};

/// How quickly this VM's requests to a service are answered.
struct ServicePace
{
    /// Limit of requests in progress; if 0, the pace isn't known.
    double limit = 0;
    /// Mean latency of answers as a fraction of their objectives; 0 before the first answer.
    double meanLatencyRatio = 0;
};

/// Some of the queued requests of a service.
struct QueuedRequests
{
    std::size_t count = 0;
    /// Sum of the latency objectives of their entries.
    Duration objectives {};
};

/// Time until a request with @p objective and @p ahead before it is dequeued; zero if the pace isn't known.
/// Thread-safe.
Duration expectedWait(const QueuedRequests &ahead, Duration objective, const ServicePace &pace);

/// Whether a request that arrives now, with @p ahead before it, times out in the queue, so that its caller is told at
/// once. Thread-safe.
bool isHopeless(const WaitingRequestAttributes &attributes,
                const QueuedRequests &ahead,
                const ServicePace &pace,
                TimePoint now);

/// Whether the @p queued requests that are as important as a new one take longer to serve than @p maxBacklog.
/// Thread-safe.
bool isBacklogged(const QueuedRequests &queued, const ServicePace &pace, Duration maxBacklog);

} // namespace boragelug
