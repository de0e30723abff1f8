#pragma once

#include "core/token_bucket.h"
#include "drivers/event_recorder.h"
#include "servers/clock.h"
#include "servers/metric_sink.h"

#include <string_view>

namespace boragelug
{

/**
 * Counts and logs exceptions that left a callback of the event loop. A peer that provokes many of them must not fill
 * the log, so that lines have a budget; the counter has all.
 *
 * Not synchronized: one thread at a time.
 */
class FaultReporter
{
public:
    /// The references must outlive the reporter.
    FaultReporter(EventRecorder &events, MetricSink &metrics, const Clock &clock);

    /// Reports one exception with its text.
    void report(std::string_view reason);

private:
    EventRecorder &events_;
    MetricSink &metrics_;
    const Clock &clock_;
    TokenBucket lines_;
};

} // namespace boragelug
