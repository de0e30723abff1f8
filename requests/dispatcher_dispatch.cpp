#include "requests/dispatcher_state.h"

#include "requests/upstream_choice.h"

#include <algorithm>
#include <cmath>

namespace boragelug
{

namespace
{

/// Maximum number of requests skipped in one call of dispatchQueued because they can't use any free slot: the upstream
/// was already tried, or is in another zone and spilling is not allowed.
constexpr std::size_t maxSkipped = 4;
/// Weight of the newest sample in the mean attempt time.
constexpr double sampleWeight = 0.1;

void recordAttemptTime(ServiceState &service, Duration time, TimePoint now)
{
    const bool first = service.meanAttemptTime == Duration {};
    const auto mean = static_cast<double>(service.meanAttemptTime.count());
    const double next = mean + sampleWeight * (static_cast<double>(time.count()) - mean);
    service.meanAttemptTime = first ? time : Duration { static_cast<Duration::rep>(next) };
    service.sampledAt = now;
}

bool hasFreeSlot(const DispatcherState &s, ServiceId service, TimePoint now)
{
    return std::ranges::any_of(s.slots.upstreamsWithSlots(service),
                               [&](UpstreamId host) { return s.slots.available(host, now, now) > 0; });
}

void addCandidate(const DispatcherState &s,
                  const RequestRecord &record,
                  UpstreamId host,
                  TimePoint now,
                  std::vector<UpstreamCandidate> &candidates)
{
    const std::uint32_t free = s.slots.available(host, record.state.deadline, now);
    if (free == 0 || std::ranges::find(record.triedUpstreams, host) != record.triedUpstreams.end()) {
        return;
    }
    const UpstreamStatus *status = findUpstream(s, record.service, host);
    const UpstreamUse use = status == nullptr ? UpstreamUse::None : s.health.use(*status, now);
    if (use == UpstreamUse::None) {
        return;
    }
    UpstreamCandidate candidate;
    candidate.upstream = host;
    candidate.local = status->upstream.zone == s.view->selfZone;
    candidate.trial = use == UpstreamUse::Trial;
    candidate.freeSlots = free;
    candidate.slowStartFactor =
        computeSlowStartFactor(status->activeSince, s.services.at(record.service).slowStart, now);
    const bool loadIsCurrent = status->load.reportedAt >= s.loadsValidFrom
        && now - status->load.reportedAt <= std::chrono::seconds(10)
        && status->load.incarnation == status->upstream.incarnation;
    candidate.load = loadIsCurrent ? status->load.load : 0.0;
    candidates.push_back(candidate);
}

void startDispatch(DispatcherState &s,
                   std::uint64_t number,
                   RequestRecord &record,
                   const UpstreamCandidate &chosen,
                   TimePoint now,
                   RequestActions &out)
{
    const UpstreamStatus *status = findUpstream(s, record.service, chosen.upstream);
    record.slot = s.slots.acquire(chosen.upstream, record.state.deadline, now);
    record.onTrial = chosen.trial;
    record.attemptStarted = now;
    if (chosen.trial) {
        s.health.setTrialRunning(chosen.upstream, true);
    }
    const Upstream &upstream = status->upstream;
    const AttemptId attempt = startAttempt(record.state, number, upstream.id, upstream.incarnation);
    --s.queued;
    ++s.inFlight;
    ++s.counters.dispatched;
    ServiceState &service = s.services.at(record.service);
    ++service.inUse;
    service.peakUse = std::max(recentPeakUse(service, now), static_cast<double>(service.inUse));
    service.peakAt = now;
    s.counters.spilled += chosen.local ? 0 : 1;
    const auto entry = s.entries.find(record.entry);
    if (attempt.number == 1 && entry != s.entries.end()) {
        recordFirstAttempt(entry->second.retryBudget);
    }
    out.emplace_back(DispatchAttempt { attempt,
                                       upstream.id,
                                       upstream.incarnation,
                                       upstream.httpEndpoint,
                                       record.state.deadline - now,
                                       record.state.deadline,
                                       record.payload });
    out.emplace_back(RequestEvent { EventNumber::RequestDispatched, number, upstream.id, {} });
}

/// Starts an attempt if a suitable slot is free, or ends the request if it may no longer be dispatched. Returns false
/// if the request must stay queued.
bool tryDispatch(DispatcherState &s, std::uint64_t number, TimePoint now, RequestActions &out)
{
    RequestRecord &record = s.records.at(number);
    if (!mayDispatch(record.state, now)) {
        abandonRequest(s, number, RefusalReason::DeadlinePassed, UnknownReason::DeadlinePassed, now, out);
        return true;
    }
    std::vector<UpstreamCandidate> candidates;
    for (const UpstreamId host : s.slots.upstreamsWithSlots(record.service)) {
        addCandidate(s, record, host, now, candidates);
    }
    const auto chosen = chooseUpstream(candidates, record.allowSpill, s.random);
    if (!chosen) {
        return false;
    }
    startDispatch(s, number, record, candidates[*chosen], now, out);
    return true;
}

void abandonShed(DispatcherState &s, const std::vector<QueuedRequest> &shed, TimePoint now, RequestActions &out)
{
    for (const QueuedRequest &item : shed) {
        RequestRecord &record = s.records.at(item.request);
        record.inQueue = false;
        record.state.retryAfter = retryAfter(s, record, now);
        abandonRequest(s, item.request, RefusalReason::DeadlineUnreachable, UnknownReason::DeadlinePassed, now, out);
    }
}

/// Whether the service has an upstream on which the request was not tried yet.
bool hasUntriedUpstream(const DispatcherState &s, const RequestRecord &record)
{
    const auto service = s.services.find(record.service);
    if (service == s.services.end()) {
        return false;
    }
    const std::uint32_t hosts = record.allowSpill ? service->second.activeInRegion : service->second.activeLocal;
    return hosts > record.triedUpstreams.size();
}

/// Queues the request again if a retry is allowed and the retry budget has tokens, otherwise finishes it.
void retryOrFinish(DispatcherState &s, std::uint64_t number, UnknownReason unknown, TimePoint now, RequestActions &out)
{
    RequestRecord &record = s.records.at(number);
    const auto entry = s.entries.find(record.entry);
    const auto service = s.services.find(record.service);
    const bool allowed = mayRetry(record.state, s.config.maxAttempts, now) && hasUntriedUpstream(s, record)
        && entry != s.entries.end() && service != s.services.end();
    if (!allowed || !tryTakeRetry(entry->second.retryBudget)) {
        const auto reason = record.state.refusedByUpstream ? RefusalReason::UpstreamRefused : RefusalReason::NoUpstream;
        abandonRequest(s, number, reason, unknown, now, out);
        return;
    }
    ++s.counters.retried;
    record.inQueue = true;
    service->second.queue.pushFront(record.importance, record.ownerHash, { number, record.state.deadline });
    out.emplace_back(RequestEvent { EventNumber::RequestRetried, number, record.triedUpstreams.back(), {} });
}

void recordUpstreamFailure(DispatcherState &s, std::uint64_t number, TimePoint now, RequestActions &out)
{
    const RequestRecord &record = s.records.at(number);
    if (s.health.recordFailure(record.state.upstream, record.service, now)) {
        out.emplace_back(RequestEvent { EventNumber::UpstreamEjected, number, record.state.upstream, "failures" });
    }
}

/// Handles the end of the running attempt without an answer to deliver.
void endAttemptWithoutAnswer(
    DispatcherState &s, std::uint64_t number, AttemptResult result, TimePoint now, RequestActions &out)
{
    RequestRecord &record = s.records.at(number);
    record.triedUpstreams.push_back(record.state.upstream);
    releaseSlot(s, record, now);
    endAttempt(record.state, result);
    --s.inFlight;
    ++s.queued;
    const ServiceId service = record.service;
    retryOrFinish(s, number, UnknownReason::ConnectionLost, now, out);
    dispatchQueued(s, service, now, out);
}

} // namespace

void dispatchQueued(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out)
{
    const auto found = s.services.find(service);
    if (found == s.services.end()) {
        return;
    }
    serveWaitingLeases(s, service, now, out);
    Admission &queue = found->second.queue;
    std::vector<QueuedRequest> skipped;
    while (skipped.size() < maxSkipped && queue.size() > 0 && hasFreeSlot(s, service, now)) {
        std::vector<QueuedRequest> shed;
        const auto item = queue.pop(serviceRate(s, service, now), now, shed);
        abandonShed(s, shed, now, out);
        if (!item) {
            break;
        }
        s.records.at(item->request).inQueue = false;
        if (!tryDispatch(s, item->request, now, out)) {
            skipped.push_back(*item);
        }
    }
    for (auto item = skipped.rbegin(); item != skipped.rend(); ++item) {
        RequestRecord &record = s.records.at(item->request);
        record.inQueue = true;
        queue.pushFront(record.importance, record.ownerHash, *item);
    }
    borrowSlots(s, service, now, out);
}

void dispatchAllQueued(DispatcherState &s, TimePoint now, RequestActions &out)
{
    for (const auto &[id, service] : s.services) {
        if (service.queue.size() > 0) {
            dispatchQueued(s, id, now, out);
        }
    }
}

void endAttemptWithAnswer(
    DispatcherState &s, std::uint64_t number, UpstreamAnswer answer, TimePoint now, RequestActions &out)
{
    RequestRecord &record = s.records.at(number);
    const AttemptResult result = classifyAnswer(answer);
    const ServiceId service = record.service;
    if (result == AttemptResult::RefusedByUpstream) {
        record.state.retryAfter = answer.retryAfter.value_or(Duration {});
        s.health.recordShed(record.state.upstream, record.state.retryAfter, now);
        endAttemptWithoutAnswer(s, number, result, now, out);
        return;
    }
    if (result == AttemptResult::MayHaveExecuted) {
        ++s.counters.answersIncomplete;
        recordUpstreamFailure(s, number, now, out);
        endAttemptWithoutAnswer(s, number, result, now, out);
        return;
    }
    if (answer.status >= 500) {
        recordUpstreamFailure(s, number, now, out);
    } else {
        s.health.recordSuccess(record.state.upstream, service, now);
    }
    finishRequest(s, number, AnsweredOutcome { std::make_shared<const UpstreamAnswer>(std::move(answer)) }, now, out);
    dispatchQueued(s, service, now, out);
}

void endAttemptWithFailure(
    DispatcherState &s, std::uint64_t number, AttemptFailure failure, TimePoint now, RequestActions &out)
{
    recordUpstreamFailure(s, number, now, out);
    endAttemptWithoutAnswer(s, number, classifyFailure(failure), now, out);
}

void releaseSlot(DispatcherState &s, RequestRecord &record, TimePoint now)
{
    if (!record.slot) {
        return;
    }
    s.slots.release(*record.slot);
    record.slot.reset();
    const auto service = s.services.find(record.service);
    if (service != s.services.end()) {
        service->second.inUse -= service->second.inUse > 0 ? 1 : 0;
        recordAttemptTime(service->second, now - record.attemptStarted, now);
    }
}

ServiceRate serviceRate(const DispatcherState &s, ServiceId service, TimePoint now)
{
    ServiceRate rate;
    const auto found = s.services.find(service);
    if (found == s.services.end()) {
        return rate;
    }
    rate.slots = std::max<std::uint32_t>(1, s.slots.usable(service, now));
    // From one second after the last sample on, the estimate halves every second. Otherwise, admission could refuse all
    // requests forever after a period of slow attempts, because refused requests produce no samples.
    const double age = std::chrono::duration<double>(now - found->second.sampledAt).count();
    const double mean =
        static_cast<double>(found->second.meanAttemptTime.count()) * std::exp2(-std::max(0.0, age - 1.0));
    rate.meanAttemptTime = Duration { static_cast<Duration::rep>(mean) };
    return rate;
}

const UpstreamStatus *findUpstream(const DispatcherState &s, ServiceId service, UpstreamId upstream)
{
    const auto &upstreams = s.view->upstreams;
    const auto key = [](const UpstreamStatus &status) {
        return std::pair(status.upstream.service, status.upstream.id);
    };
    const auto found = std::ranges::lower_bound(upstreams, std::pair(service, upstream), {}, key);
    const bool matches = found != upstreams.end() && found->upstream.id == upstream
        && found->upstream.service == service && found->upstream.state == UpstreamState::Active;
    return matches ? &*found : nullptr;
}

} // namespace boragelug
