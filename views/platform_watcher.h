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

/// What a VM needs from the platform now.
struct PlatformNeeds
{
    /// Watch index and own zone's VM list with a blocking call.
    bool watch = false;
    /// Read the index every 2 s without waiting, while this VM joins or has just slept.
    bool poll = false;
    /// The last index version from the platform.
    std::uint64_t knownIndex = 0;
    /// Parts to fetch.
    std::vector<std::uint16_t> parts;
    /// Lists to read once, without waiting.
    std::vector<ZoneId> lists;
    /// The list to watch, and the version held.
    ZoneId ownZone;
    std::uint64_t knownList = 0;
};

/**
 * Decides which calls to the platform to make and when, with bounded calls in progress, back-off and jitter.
 *
 * Not synchronized: one thread at a time.
 */
class PlatformWatcher
{
public:
    /// Calls for parts in progress at once.
    static constexpr std::size_t maxFetches = 16;

    PlatformWatcher(Duration wait, TimePoint now);

    /// Calls to start now.
    std::vector<PlatformCall> tick(const PlatformNeeds &needs, TimePoint now, Random &random);

    /// Takes an answer; returns its call, or nothing when the call is unknown or was given up.
    std::optional<PlatformCall> finish(const PlatformAnswer &answer, TimePoint now);

    /// Notes that the answer to @p call was of an older version than known; the next one waits a little.
    void handleStaleAnswer(const PlatformCall &call, TimePoint now);

    /// Reads the index again at once. For use when a part turned out to be newer than the index.
    void refetchIndex(TimePoint now) { nextIndex_ = now; }

    /// Forgets calls in progress; their answers will be ignored. For use after a pause.
    void reset(TimePoint now);

    /// When the platform last gave a usable answer; nothing before the first.
    std::optional<TimePoint> lastSuccessAt() const { return lastSuccessAt_; }

    /// Whether several calls in a row failed. A single failure is often a throttled call.
    bool isFailing() const { return consecutiveFailures_ >= 2; }

    /// Since the start.
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
    /// Spreads the back-off of many VMs; drawn in tick(), where randomness is at hand.
    double jitter_ = 0.5;
    TimePoint notBefore_;
    TimePoint nextIndex_;
    TimePoint nextList_;
    std::map<std::uint16_t, TimePoint> partNotBefore_;
    std::map<ZoneId, TimePoint> listNotBefore_;
    std::optional<TimePoint> lastSuccessAt_;
};

} // namespace boragelug
