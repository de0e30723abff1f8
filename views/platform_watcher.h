#pragma once

#include "core/random.h"
#include "core/time_point.h"
#include "model/platform_message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace boragelug
{

/// Data that a VM currently needs from the configuration service.
struct PlatformNeeds
{
    /// Watch the index and the own zone's VM list with long polls.
    bool watch = false;
    /// Poll the index every 2 s without waiting, while this VM joins or after a suspension of its process.
    bool poll = false;
    /// Newest index version that the VM has adopted, rejected or is fetching.
    std::uint64_t knownIndex = 0;
    /// Parts to fetch.
    std::vector<std::uint16_t> parts;
    /// Zones whose VM lists to read once, without waiting.
    std::vector<ZoneId> lists;
    /// Zone whose VM list to watch, and the version that the VM holds.
    ZoneId ownZone;
    std::uint64_t knownList = 0;
};

/**
 * Schedules calls to the configuration service: limits the calls in progress, and adds backoff and jitter.
 *
 * Not synchronized: one thread at a time.
 */
class PlatformWatcher
{
public:
    /// Limit of calls for parts in progress.
    static constexpr std::size_t maxFetches = 16;

    PlatformWatcher(Duration wait, TimePoint now);

    /// Returns the calls to start now.
    std::vector<PlatformCall> tick(const PlatformNeeds &needs, TimePoint now, Random &random);

    /// Handles an answer and returns its call; std::nullopt if the call is unknown or has timed out.
    std::optional<PlatformCall> finish(const PlatformAnswer &answer, TimePoint now);

    /// Delays the next call for the resource of @p call, because the answer was unusable, for example too old.
    void handleStaleAnswer(const PlatformCall &call, TimePoint now);

    /// Makes the index due for reading at once. Call it when a part turned out to be newer than the index.
    void refetchIndex(TimePoint now) { nextIndex_ = now; }

    /// Discards calls in progress and ignores their answers. Call it after a suspension of the process.
    void reset(TimePoint now);

    /// When the last call succeeded; std::nullopt if none has.
    std::optional<TimePoint> lastSuccessAt() const { return lastSuccessAt_; }

    /// Whether at least two calls in a row failed. A single failure is often a throttled call.
    bool isFailing() const { return consecutiveFailures_ >= 2; }

    /// Number of failed calls since process start.
    std::uint64_t failures() const { return totalFailures_; }

private:
    struct Running
    {
        PlatformCall call;
        TimePoint startedAt;
    };

    bool isRunning(const PlatformCall &call) const;
    void start(PlatformCall call, TimePoint now, std::vector<PlatformCall> &calls);
    void dropOverdue(TimePoint now);
    void planIndex(const PlatformNeeds &needs, TimePoint now, Random &random, std::vector<PlatformCall> &calls);
    void planLists(const PlatformNeeds &needs, TimePoint now, std::vector<PlatformCall> &calls);
    void planParts(const PlatformNeeds &needs, TimePoint now, std::vector<PlatformCall> &calls);
    void recordFailure(Duration retryAfter, TimePoint now);

    Duration wait_;
    std::uint64_t lastId_ = 0;
    std::map<std::uint64_t, Running> running_;
    std::size_t consecutiveFailures_ = 0;
    std::uint64_t totalFailures_ = 0;
    /// Random factor that spreads the backoff of many VMs. Drawn in tick(), which has the random number generator.
    double jitter_ = 0.5;
    TimePoint notBefore_;
    TimePoint nextIndex_;
    TimePoint nextList_;
    std::map<std::uint16_t, TimePoint> partNotBefore_;
    std::map<ZoneId, TimePoint> listNotBefore_;
    std::optional<TimePoint> lastSuccessAt_;
};

} // namespace boragelug
