#pragma once

#include "core/event_severity.h"
#include "core/time_point.h"
#include "core/token_bucket.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <ostream>

namespace boragelug
{

/**
 * Writes one structured line for each event through Boost.Log.
 *
 * Lines of one event number are limited to 100 at once and 20 a second after that, so that a flood of one kind of
 * event hides no other. The next written line of that number carries how many were left out. Thread-safe.
 */
class BoostLogSink
{
public:
    /// Writes events of at least @p least to @p stream, which must outlive the sink's shared pointer.
    BoostLogSink(const std::shared_ptr<std::ostream> &stream, EventSeverity least);
    ~BoostLogSink();
    BoostLogSink(const BoostLogSink &) = delete;
    BoostLogSink &operator=(const BoostLogSink &) = delete;

    /// Writes @p event, or counts it as left out.
    void write(const Event &event, TimePoint now);

    /// Changes the least severity that is written.
    void setLeast(EventSeverity least);

private:
    struct Impl;

    struct LineLimit
    {
        TokenBucket bucket;
        std::uint64_t leftOut = 0;
    };

    std::unique_ptr<Impl> impl_;
    std::mutex mutex_;
    EventSeverity least_;
    std::map<EventNumber, LineLimit> limits_;
};

} // namespace boragelug
