#include "requests/dispatcher_state.h"

#include "core/hash.h"

#include <algorithm>
#include <chrono>

namespace boragelug
{

namespace
{

constexpr auto minRetryAfter = std::chrono::milliseconds(50);
constexpr auto maxRetryAfter = std::chrono::seconds(5);
/// Retry-After for conditions that last longer than a full queue: no upstream, draining, or tables full.
constexpr auto unavailableRetryAfter = std::chrono::seconds(1);
/// Time for which a forwarded request waits until the view lists its issuer. On a loaded machine, a VM that had just
/// started appeared in the views of all others within 1.5 s.
constexpr Duration unlistedIssuerTimeout = std::chrono::seconds(2);

void replyImmediately(DispatcherState &s, const CallerRequest &request, RequestOutcome outcome, RequestActions &out)
{
    s.counters.refused += std::holds_alternative<RefusedOutcome>(outcome) ? 1 : 0;
    s.counters.unknown += std::holds_alternative<UnknownOutcome>(outcome) ? 1 : 0;
    out.emplace_back(ReplyToCaller { request.replyTo, request.idText, std::move(outcome) });
}

/// Key of a caller-chosen id, with the caller's address so that no caller gets another caller's answer. A request
/// without an id is identified by the caller's port and token, which are the same in a duplicated datagram.
std::string callerChosenKey(const std::string &idText, const ReplyAddress &replyTo)
{
    const std::string address = std::to_string(replyTo.caller.address.value);
    if (!idText.empty()) {
        return address + '/' + idText;
    }
    return address + ':' + std::to_string(replyTo.caller.port.value) + '#' + std::to_string(replyTo.token);
}

/// Returns the refusal if the request can't be accepted now; std::nullopt if it can.
std::optional<RefusedOutcome>
reasonToRefuse(DispatcherState &s, EntryState &entry, const CallerRequest &request, bool issued, TimePoint now)
{
    ++entry.arrivals;
    if (request.timeout <= Duration {}) {
        return RefusedOutcome { RefusalReason::InvalidTimeout, {} };
    }
    if (s.drainDeadline && (!issued || now >= *s.drainDeadline)) {
        return RefusedOutcome { RefusalReason::Draining, unavailableRetryAfter };
    }
    const auto service = s.services.find(entry.service);
    const bool hasUpstream = service != s.services.end()
        && (entry.allowSpill ? service->second.activeInRegion : service->second.activeLocal) > 0;
    if (!hasUpstream) {
        return RefusedOutcome { RefusalReason::NoUpstream, unavailableRetryAfter };
    }
    if (s.payloadBytes + payloadSize(request.payload) > s.config.maxPayloadBytes) {
        return RefusedOutcome { RefusalReason::RecordsFull, unavailableRetryAfter };
    }
    const Limits &limits = entry.limits;
    if (limits.requestsInProgress > 0
        && entry.inProgress >= s.shares->countShare(entry.nameHash, limits.requestsInProgress, now)) {
        const Duration wait = retryAfter(s, entry.service, entry.importance, entry.ownerHash, now);
        return RefusedOutcome { RefusalReason::LimitReached, wait };
    }
    if (limits.requestsPerSecond > 0) {
        const double share = s.shares->rateShare(entry.nameHash, limits.requestsPerSecond, now);
        // The burst is what the share allows in 100 ms, but at least one request.
        const double burst = share > 0 ? std::max(1.0, share * 0.1) : 0.0;
        if (!entry.rateLimiter) {
            entry.rateLimiter.emplace(share, burst, now);
        }
        entry.rateLimiter->reconfigure(share, burst, now);
        if (!entry.rateLimiter->take(1.0, now)) {
            const double seconds = std::clamp(1.0 / std::max(share, 0.2), 0.05, 5.0);
            return RefusedOutcome { RefusalReason::LimitReached,
                                    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)) };
        }
    }
    return std::nullopt;
}

void queueRequest(DispatcherState &s, std::uint64_t number, TimePoint now, RequestActions &out)
{
    RequestRecord &record = s.records.at(number);
    std::vector<QueuedRequest> shed;
    const EnqueueResult result = s.services.at(record.service)
                                     .queue.enqueue(record.importance,
                                                    record.ownerHash,
                                                    { number, record.state.deadline },
                                                    serviceRate(s, record.service, now),
                                                    now,
                                                    shed);
    for (const QueuedRequest &item : shed) {
        RequestRecord &displaced = s.records.at(item.request);
        displaced.inQueue = false;
        const bool cannotMeetDeadline = item.deadline - now < serviceRate(s, record.service, now).meanAttemptTime;
        const auto reason = cannotMeetDeadline ? RefusalReason::DeadlineUnreachable : RefusalReason::QueueFull;
        displaced.state.retryAfter = retryAfter(s, displaced, now);
        abandonRequest(s, item.request, reason, UnknownReason::DeadlinePassed, now, out);
    }
    if (result == EnqueueResult::Queued) {
        record.inQueue = true;
        dispatchQueued(s, record.service, now, out);
        return;
    }
    const auto reason =
        result == EnqueueResult::QueueFull ? RefusalReason::QueueFull : RefusalReason::DeadlineUnreachable;
    record.state.retryAfter = retryAfter(s, record, now);
    abandonRequest(s, number, reason, UnknownReason::DeadlinePassed, now, out);
}

RequestRecord &addRecord(DispatcherState &s, std::uint64_t number, const EntryState &entry, CallerRequest &request)
{
    RequestRecord &record = s.records[number];
    record.entry = request.entry;
    record.service = entry.service;
    record.importance = entry.importance;
    record.ownerHash = entry.ownerHash;
    record.allowSpill = entry.allowSpill;
    record.idText = std::move(request.idText);
    record.contentHash = request.payload ? hashText(*request.payload) : 0;
    record.payload = std::move(request.payload);
    record.waiters.push_back(request.replyTo);
    s.payloadBytes += payloadSize(record.payload);
    return record;
}

/// Handles the first arrival of a request at the VM that may dispatch it. Precondition: there is room for a record.
void startRequest(DispatcherState &s,
                  std::uint64_t number,
                  EntryState &entry,
                  CallerRequest request,
                  std::optional<TimePoint> idExpiry,
                  const std::optional<RefusedOutcome> &refused,
                  TimePoint now,
                  RequestActions &out)
{
    const bool idempotent = request.idempotent;
    const TimePoint deadline = now + std::min(request.timeout, entry.maxDeadline);
    std::string key = idExpiry ? std::string() : callerChosenKey(request.idText, request.replyTo);
    RequestRecord &record = addRecord(s, number, entry, request);
    record.state.idExpiry = idExpiry.value_or(TimePoint::max());
    accept(record.state, idempotent, deadline);
    ++s.queued;
    ++entry.inProgress;
    if (!key.empty()) {
        record.callerChosenKey = key;
        s.callerChosen.emplace(std::move(key), number);
    }
    if (refused) {
        finishRequest(s, number, *refused, now, out);
        return;
    }
    ++s.counters.accepted;
    out.emplace_back(RequestEvent { EventNumber::RequestAccepted, number, {}, {} });
    s.timers.push({ record.state.deadline, TimerKind::Deadline, number });
    queueRequest(s, number, now, out);
}

/// Handles a duplicate of a request that has a record.
void handleDuplicate(
    DispatcherState &s, std::uint64_t number, const CallerRequest &request, TimePoint now, RequestActions &out)
{
    RequestRecord &record = s.records.at(number);
    ++s.counters.duplicates;
    const std::uint64_t contentHash = request.payload ? hashText(*request.payload) : 0;
    if (record.entry != request.entry || record.contentHash != contentHash) {
        replyImmediately(s, request, RefusedOutcome { RefusalReason::RequestIdReused, {} }, out);
        return;
    }
    if (classifyArrival(record.state, now) == ArrivalAction::Replay) {
        out.emplace_back(ReplyToCaller { request.replyTo, request.idText, *record.outcome });
        return;
    }
    const bool alreadyWaiting = std::ranges::find(record.waiters, request.replyTo) != record.waiters.end();
    if (!alreadyWaiting && record.waiters.size() >= s.config.maxWaitersPerRequest) {
        replyImmediately(s, request, UnknownOutcome { UnknownReason::AnswerNotKept }, out);
        return;
    }
    if (alreadyWaiting) {
        return;
    }
    record.waiters.push_back(request.replyTo);
    // All duplicates get the same outcome, so the earliest of their deadlines applies to the request.
    const TimePoint deadline = now + request.timeout;
    if (request.timeout > Duration {} && deadline < record.state.deadline) {
        record.state.deadline = deadline;
        s.timers.push({ deadline, TimerKind::Deadline, number });
    }
}

void acceptIssued(DispatcherState &s, const RequestId &id, CallerRequest request, TimePoint now, RequestActions &out)
{
    const auto record = s.records.find(id.sequence);
    if (record != s.records.end()) {
        handleDuplicate(s, id.sequence, request, now, out);
        return;
    }
    const auto issued = s.issued.find(id.sequence);
    const auto entry = s.entries.find(request.entry);
    if (issued == s.issued.end() || now >= id.expiry) {
        // The record has expired, so it is no longer known whether the request was executed.
        replyImmediately(s, request, UnknownOutcome { UnknownReason::RecordExpired }, out);
        return;
    }
    if (issued->second.entry != request.entry || entry == s.entries.end()) {
        const auto reason = entry == s.entries.end() ? RefusalReason::UnknownEntry : RefusalReason::RequestIdReused;
        replyImmediately(s, request, RefusedOutcome { reason, {} }, out);
        return;
    }
    const bool cancelled = issued->second.cancelled;
    eraseIssuedId(s, id.sequence);
    const auto refused = cancelled ? std::optional(RefusedOutcome { RefusalReason::Cancelled, {} })
                                   : reasonToRefuse(s, entry->second, request, true, now);
    startRequest(s, id.sequence, entry->second, std::move(request), id.expiry, refused, now, out);
}

void acceptCallerChosen(DispatcherState &s, CallerRequest request, TimePoint now, RequestActions &out)
{
    if (!request.idempotent) {
        const auto reason = request.idText.empty() ? RefusalReason::MissingRequestId : RefusalReason::CallerChosenId;
        replyImmediately(s, request, RefusedOutcome { reason, {} }, out);
        return;
    }
    const auto existing = s.callerChosen.find(callerChosenKey(request.idText, request.replyTo));
    if (existing != s.callerChosen.end()) {
        handleDuplicate(s, existing->second, request, now, out);
        return;
    }
    const auto entry = s.entries.find(request.entry);
    if (entry == s.entries.end()) {
        replyImmediately(s, request, RefusedOutcome { RefusalReason::UnknownEntry, {} }, out);
        return;
    }
    if (!makeRecordRoom(s)) {
        replyImmediately(s, request, RefusedOutcome { RefusalReason::RecordsFull, unavailableRetryAfter }, out);
        return;
    }
    const auto refused = reasonToRefuse(s, entry->second, request, false, now);
    startRequest(s, s.nextNumber++, entry->second, std::move(request), std::nullopt, refused, now, out);
}

void forwardRequest(DispatcherState &s, const RequestId &id, CallerRequest request, TimePoint now, RequestActions &out)
{
    const bool unreachable = reachableIssuer(s, id.vm, id.incarnation) == nullptr && !isUnlistedIssuer(s, id.vm);
    const bool full = s.forwards.size() >= s.config.maxForwards
        || s.payloadBytes + payloadSize(request.payload) > s.config.maxPayloadBytes;
    // A request is forwarded only once. The outcome is `unknown`, not `refused`, because the issuer may have executed a
    // duplicate of it.
    if (unreachable || full || request.replyTo.forwardedBy || request.timeout <= Duration {}) {
        replyImmediately(s, request, UnknownOutcome { UnknownReason::IssuerUnreachable }, out);
        return;
    }
    std::string key = forwardKey(request.idText, request.replyTo);
    if (s.forwardIndex.contains(key)) {
        ++s.counters.duplicates;
        return;
    }
    const auto entry = s.entries.find(request.entry);
    const Duration longest = entry == s.entries.end() ? s.config.idLifetime : entry->second.maxDeadline;
    const std::uint64_t forward = s.nextNumber++;
    const TimePoint deadline = now + std::min(request.timeout, longest);
    s.payloadBytes += payloadSize(request.payload);
    s.forwardIndex.emplace(std::move(key), forward);
    s.forwards.emplace(
        forward, ForwardedRequest { std::move(request), id.vm, id.incarnation, deadline, now + unlistedIssuerTimeout });
    ++s.counters.forwarded;
    out.emplace_back(RequestEvent { EventNumber::RequestForwarded, forward, {}, {} });
    s.timers.push({ deadline + s.config.forwardGracePeriod, TimerKind::ForwardDeadline, forward });
    emitForward(s, forward, false, now, out);
}

} // namespace

std::string forwardKey(const std::string &idText, const ReplyAddress &replyTo)
{
    return callerChosenKey({}, replyTo) + '/' + idText;
}

void acceptCallerRequest(DispatcherState &s, CallerRequest request, TimePoint now, RequestActions &out)
{
    const ParsedRequestId parsed = parseRequestId(request.idText, s.config.idKey);
    if (parsed.check == RequestIdCheck::Unverified) {
        // The id may have been issued under a key that was replaced since. Only its issuer could verify it.
        replyImmediately(s, request, UnknownOutcome { UnknownReason::UnverifiedId }, out);
        return;
    }
    if (parsed.check == RequestIdCheck::Foreign) {
        acceptCallerChosen(s, std::move(request), now, out);
        return;
    }
    if (parsed.id.vm == s.self && parsed.id.incarnation == s.incarnation) {
        acceptIssued(s, parsed.id, std::move(request), now, out);
        return;
    }
    forwardRequest(s, parsed.id, std::move(request), now, out);
}

void cancelCallerRequest(
    DispatcherState &s, const std::string &idText, const ReplyAddress &replyTo, TimePoint now, RequestActions &out)
{
    const auto cancelRecord = [&](std::uint64_t number) {
        const auto record = s.records.find(number);
        if (record == s.records.end() || record->second.state.phase == RequestPhase::Done) {
            return;
        }
        const ServiceId service = record->second.service;
        out.emplace_back(RequestEvent { EventNumber::RequestCancelled, number, {}, {} });
        abandonRequest(s, number, RefusalReason::Cancelled, UnknownReason::Cancelled, now, out);
        dispatchQueued(s, service, now, out);
    };
    const ParsedRequestId parsed = parseRequestId(idText, s.config.idKey);
    if (parsed.check == RequestIdCheck::Foreign) {
        const auto existing = s.callerChosen.find(callerChosenKey(idText, replyTo));
        if (existing != s.callerChosen.end()) {
            cancelRecord(existing->second);
        }
        return;
    }
    if (parsed.check == RequestIdCheck::Valid && parsed.id.vm == s.self && parsed.id.incarnation == s.incarnation) {
        if (const auto issued = s.issued.find(parsed.id.sequence); issued != s.issued.end()) {
            // The cancellation arrived before the request, which must not be dispatched when it arrives.
            issued->second.cancelled = true;
        }
        cancelRecord(parsed.id.sequence);
        return;
    }
    if (const auto existing = s.forwardIndex.find(forwardKey(idText, replyTo)); existing != s.forwardIndex.end()) {
        const std::uint64_t forward = existing->second;
        emitForward(s, forward, true, now, out);
        finishForward(s, forward, UnknownOutcome { UnknownReason::Cancelled }, out);
    }
}

void emitForward(DispatcherState &s, std::uint64_t forward, bool cancel, TimePoint now, RequestActions &out)
{
    const ForwardedRequest &forwarded = s.forwards.at(forward);
    const Member *issuer = reachableIssuer(s, forwarded.issuer, forwarded.issuerIncarnation);
    const bool mayBeListedSoon = isUnlistedIssuer(s, forwarded.issuer) && now < forwarded.awaitListingUntil;
    if (issuer == nullptr && !mayBeListedSoon && !cancel) {
        finishForward(s, forward, UnknownOutcome { UnknownReason::IssuerUnreachable }, out);
        return;
    }
    if (!cancel && now < forwarded.deadline) {
        s.timers.push({ now + s.config.forwardRetryInterval, TimerKind::ForwardRetry, forward });
    }
    if (issuer == nullptr || now >= forwarded.deadline) {
        return;
    }
    CallerRequest copy = forwarded.request;
    copy.timeout = forwarded.deadline - now;
    copy.replyTo = { forwarded.request.replyTo.caller, forward, s.self };
    out.emplace_back(ForwardToIssuer { forward, cancel, forwarded.issuer, issuer->vm.peerEndpoint, std::move(copy) });
}

const Member *reachableIssuer(const DispatcherState &s, VmId vm, Incarnation incarnation)
{
    if (!s.view || vm == s.self) {
        return nullptr;
    }
    const auto key = [](const Member &member) { return member.vm.id; };
    const auto found = std::ranges::lower_bound(s.view->members, vm, {}, key);
    if (found == s.view->members.end() || found->vm.id != vm) {
        return nullptr;
    }
    // A valid id of a later incarnation than the view shows means that the view is stale. The issuer checks its own
    // incarnation when it receives the request.
    const bool viewIsStale = found->vm.incarnation < incarnation;
    const bool isLiveIssuer = found->vm.incarnation == incarnation && found->health != MemberHealth::Dead;
    return viewIsStale || isLiveIssuer ? &*found : nullptr;
}

bool isUnlistedIssuer(const DispatcherState &s, VmId vm)
{
    if (!s.view || vm == s.self) {
        return false;
    }
    const auto key = [](const Member &member) { return member.vm.id; };
    return !std::ranges::binary_search(s.view->members, vm, {}, key);
}

Duration retryAfter(const DispatcherState &s, const RequestRecord &record, TimePoint now)
{
    return retryAfter(s, record.service, record.importance, record.ownerHash, now);
}

Duration retryAfter(const DispatcherState &s, ServiceId id, Importance importance, std::uint64_t owner, TimePoint now)
{
    const auto service = s.services.find(id);
    if (service == s.services.end()) {
        return unavailableRetryAfter;
    }
    const ServiceRate rate = serviceRate(s, id, now);
    const Duration wait = service->second.queue.expectedWait(importance, owner, rate);
    return std::clamp<Duration>(wait, minRetryAfter, maxRetryAfter);
}

} // namespace boragelug
