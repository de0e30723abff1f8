#include "views/platform_watcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragelug
{

namespace
{

constexpr Duration backoffBase = std::chrono::milliseconds(500);
constexpr std::size_t maxDoublings = 5;
// Upper limit for the retry delay that the configuration service requests. With a longer delay, the VM would notice too
// late that the service has recovered.
constexpr Duration maxRetryAfter = std::chrono::seconds(60);
// Prevents a busy loop when long polls return unchanged at once because the configuration service ignores the timeout.
constexpr Duration minWatchPeriod = std::chrono::milliseconds(500);
constexpr Duration staleRetryDelay = std::chrono::seconds(1);
constexpr Duration pollPeriod = std::chrono::seconds(2);
// Time after a call's wait at which its answer counts as lost, so that the watch can't stop forever. Longer than the
// call's own timeout in the driver.
constexpr Duration overdueGrace = std::chrono::seconds(15);

bool sameResource(const PlatformCall &left, const PlatformCall &right)
{
    return left.resource == right.resource && left.part == right.part && left.zone == right.zone;
}

} // namespace

PlatformWatcher::PlatformWatcher(Duration wait, TimePoint now)
    : wait_(wait)
    , notBefore_(now)
    , nextIndex_(now)
    , nextList_(now)
{ }

bool PlatformWatcher::isRunning(const PlatformCall &call) const
{
    return std::any_of(running_.begin(), running_.end(), [&call](const auto &running) {
        return sameResource(running.second.call, call);
    });
}

void PlatformWatcher::start(PlatformCall call, TimePoint now, std::vector<PlatformCall> &calls)
{
    call.id = ++lastId_;
    running_[call.id] = { call, now };
    calls.push_back(call);
}

void PlatformWatcher::dropOverdue(TimePoint now)
{
    for (auto it = running_.begin(); it != running_.end();) {
        if (now - it->second.startedAt > it->second.call.wait + overdueGrace) {
            it = running_.erase(it);
            recordFailure(Duration::zero(), now);
        } else {
            ++it;
        }
    }
}

void PlatformWatcher::planIndex(const PlatformNeeds &needs,
                                TimePoint now,
                                Random &random,
                                std::vector<PlatformCall> &calls)
{
    PlatformCall call;
    call.resource = PlatformResource::Index;
    call.knownVersion = needs.knownIndex;
    if ((!needs.watch && !needs.poll) || now < nextIndex_ || isRunning(call)) {
        return;
    }
    call.wait = needs.watch ? wait_ : Duration::zero();
    const Duration period = needs.watch ? minWatchPeriod : pollPeriod;
    nextIndex_ = now + period + Duration(static_cast<Duration::rep>(random.below(period.count() / 4)));
    start(call, now, calls);
}

void PlatformWatcher::planLists(const PlatformNeeds &needs, TimePoint now, std::vector<PlatformCall> &calls)
{
    PlatformCall call;
    call.resource = PlatformResource::VmList;
    for (const ZoneId zone : needs.lists) {
        call.zone = zone;
        if (!isRunning(call) && now >= listNotBefore_[zone]) {
            listNotBefore_[zone] = now + minWatchPeriod;
            start(call, now, calls);
        }
    }
    call.zone = needs.ownZone;
    if (needs.watch && now >= nextList_ && !isRunning(call)) {
        call.knownVersion = needs.knownList;
        call.wait = wait_;
        nextList_ = now + minWatchPeriod;
        start(call, now, calls);
    }
}

void PlatformWatcher::planParts(const PlatformNeeds &needs, TimePoint now, std::vector<PlatformCall> &calls)
{
    std::size_t fetches = 0;
    for (const auto &[id, running] : running_) {
        fetches += running.call.resource == PlatformResource::Part ? 1U : 0U;
    }
    PlatformCall call;
    call.resource = PlatformResource::Part;
    for (const std::uint16_t part : needs.parts) {
        call.part = part;
        if (fetches >= maxFetches) {
            return;
        }
        const auto delay = partNotBefore_.find(part);
        if ((delay == partNotBefore_.end() || now >= delay->second) && !isRunning(call)) {
            start(call, now, calls);
            ++fetches;
        }
    }
}

std::vector<PlatformCall> PlatformWatcher::tick(const PlatformNeeds &needs, TimePoint now, Random &random)
{
    std::vector<PlatformCall> calls;
    jitter_ = random.unit();
    dropOverdue(now);
    if (now < notBefore_) {
        return calls;
    }
    planIndex(needs, now, random, calls);
    planLists(needs, now, calls);
    planParts(needs, now, calls);
    std::erase_if(partNotBefore_, [now](const auto &delay) { return now >= delay.second; });
    return calls;
}

void PlatformWatcher::recordFailure(Duration retryAfter, TimePoint now)
{
    ++totalFailures_;
    const auto factor = Duration::rep { 1 } << std::min(consecutiveFailures_, maxDoublings);
    ++consecutiveFailures_;
    const Duration backoff = std::max(backoffBase * factor, std::min(retryAfter, maxRetryAfter));
    // A random factor from 1 to 2, so that VMs that failed at the same time don't retry at the same time.
    const auto jittered = Duration(static_cast<Duration::rep>(static_cast<double>(backoff.count()) * (1 + jitter_)));
    notBefore_ = std::max(notBefore_, now + jittered);
}

std::optional<PlatformCall> PlatformWatcher::finish(const PlatformAnswer &answer, TimePoint now)
{
    const auto it = running_.find(answer.callId);
    if (it == running_.end()) {
        return std::nullopt;
    }
    PlatformCall call = it->second.call;
    running_.erase(it);
    if (const auto *failure = std::get_if<PlatformFailure>(&answer.result)) {
        recordFailure(failure->retryAfter, now);
        return call;
    }
    consecutiveFailures_ = 0;
    lastSuccessAt_ = now;
    if (call.resource == PlatformResource::Index && std::holds_alternative<PlatformIndex>(answer.result)
        && call.wait > Duration::zero()) {
        // The next change may already be available: starts the next long poll at once.
        nextIndex_ = now;
    }
    return call;
}

void PlatformWatcher::handleStaleAnswer(const PlatformCall &call, TimePoint now)
{
    switch (call.resource) {
    case PlatformResource::Index:
        nextIndex_ = std::max(nextIndex_, now + staleRetryDelay);
        break;
    case PlatformResource::Part:
        partNotBefore_[call.part] = now + staleRetryDelay;
        break;
    case PlatformResource::VmList:
        nextList_ = std::max(nextList_, now + staleRetryDelay);
        break;
    }
}

void PlatformWatcher::reset(TimePoint now)
{
    running_.clear();
    notBefore_ = now;
    nextIndex_ = now;
    nextList_ = now;
}

} // namespace boragelug
