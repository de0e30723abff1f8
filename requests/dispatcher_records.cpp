#include "requests/dispatcher_state.h"

#include <algorithm>

namespace boragelug
{

namespace
{

void countOutcome(DispatcherState &s, std::uint64_t number, const RequestOutcome &outcome, RequestActions &out)
{
    RequestEvent event { EventNumber::RequestAnswered, number, {}, {} };
    if (const auto *refused = std::get_if<RefusedOutcome>(&outcome)) {
        ++s.counters.refused;
        event.number = EventNumber::RequestRefused;
        event.detail = refusalReasonName(refused->reason);
    } else if (const auto *unknown = std::get_if<UnknownOutcome>(&outcome)) {
        ++s.counters.unknown;
        event.number = EventNumber::RequestUnknown;
        event.detail = unknownReasonName(unknown->reason);
    } else {
        ++s.counters.answered;
    }
    out.emplace_back(event);
}

void removeFromQueue(DispatcherState &s, std::uint64_t number, RequestRecord &record)
{
    if (record.inQueue) {
        const auto service = s.services.find(record.service);
        if (service != s.services.end()) {
            service->second.queue.remove(record.importance, record.ownerHash, number);
        }
        record.inQueue = false;
    }
}

void eraseRecord(DispatcherState &s, RecordMap::iterator record)
{
    if (!record->second.callerChosenKey.empty()) {
        s.callerChosen.erase(record->second.callerChosenKey);
    }
    if (record->second.outcome) {
        if (const auto *answered = std::get_if<AnsweredOutcome>(&*record->second.outcome)) {
            s.answerBytes -= payloadSize(answered->answer->payload);
        }
    }
    s.records.erase(record);
}

/// Evicts the oldest answers beyond maxAnswerBytes; duplicates of their requests then get `unknown`.
void evictAnswers(DispatcherState &s)
{
    while (s.answerBytes > s.config.maxAnswerBytes && !s.keptAnswers.empty()) {
        const auto oldest = s.records.find(s.keptAnswers.front());
        s.keptAnswers.pop_front();
        if (oldest == s.records.end() || !oldest->second.outcome) {
            continue;
        }
        if (const auto *answered = std::get_if<AnsweredOutcome>(&*oldest->second.outcome)) {
            s.answerBytes -= payloadSize(answered->answer->payload);
            oldest->second.outcome = UnknownOutcome { UnknownReason::AnswerNotKept };
        }
    }
}

void storeOutcome(DispatcherState &s, RecordMap::iterator found, RequestOutcome outcome, TimePoint now)
{
    RequestRecord &record = found->second;
    const bool issued = record.state.idExpiry != TimePoint::max();
    // For caller-chosen ids only answers are kept: after `refused` or `unknown`, the caller may retry with the same id.
    const bool keep = issued || (!record.idText.empty() && std::holds_alternative<AnsweredOutcome>(outcome));
    if (!keep) {
        eraseRecord(s, found);
        return;
    }
    if (const auto *answered = std::get_if<AnsweredOutcome>(&outcome)) {
        s.answerBytes += payloadSize(answered->answer->payload);
        s.keptAnswers.push_back(found->first);
    }
    record.outcome = std::move(outcome);
    record.keepUntil = issued ? record.state.idExpiry : now + s.config.chosenIdLifetime;
    if (!issued) {
        s.finishedCallerChosen.push_back(found->first);
    }
    s.timers.push({ record.keepUntil, TimerKind::RecordExpiry, found->first });
    evictAnswers(s);
}

/// Removes leading numbers whose records were erased, so that the list does not grow beyond the number of records.
void removeErased(const DispatcherState &s, std::deque<std::uint64_t> &numbers)
{
    while (!numbers.empty() && !s.records.contains(numbers.front())) {
        numbers.pop_front();
    }
}

void expireRecord(DispatcherState &s, std::uint64_t number)
{
    const auto found = s.records.find(number);
    if (found == s.records.end() || found->second.state.phase != RequestPhase::Done) {
        return;
    }
    eraseRecord(s, found);
    removeErased(s, s.keptAnswers);
    removeErased(s, s.finishedCallerChosen);
}

void finishDrain(DispatcherState &s, TimePoint now, RequestActions &out)
{
    std::vector<std::uint64_t> unfinished;
    for (const auto &[number, record] : s.records) {
        if (record.state.phase != RequestPhase::Done) {
            unfinished.push_back(number);
        }
    }
    std::ranges::sort(unfinished);
    for (const std::uint64_t number : unfinished) {
        abandonRequest(s, number, RefusalReason::Draining, UnknownReason::DrainBoundReached, now, out);
    }
    while (!s.forwards.empty()) {
        finishForward(s, s.forwards.begin()->first, UnknownOutcome { UnknownReason::DrainBoundReached }, out);
    }
}

void handleDeadline(DispatcherState &s, std::uint64_t number, TimePoint now, RequestActions &out)
{
    const auto found = s.records.find(number);
    if (found == s.records.end() || found->second.state.phase == RequestPhase::Done) {
        return;
    }
    RequestRecord &record = found->second;
    const bool isSlowAttempt = record.state.phase == RequestPhase::InFlight
        && now - record.attemptStarted > 2 * serviceRate(s, record.service, now).meanAttemptTime;
    if (isSlowAttempt && s.health.recordFailure(record.state.upstream, record.service, now)) {
        out.emplace_back(RequestEvent { EventNumber::UpstreamEjected, number, record.state.upstream, "no answer" });
    }
    abandonRequest(s, number, RefusalReason::DeadlinePassed, UnknownReason::DeadlinePassed, now, out);
}

void handleTimer(DispatcherState &s, const Timer &timer, TimePoint now, RequestActions &out)
{
    switch (timer.kind) {
    case TimerKind::Deadline:
        handleDeadline(s, timer.key, now, out);
        break;
    case TimerKind::RecordExpiry:
        expireRecord(s, timer.key);
        break;
    case TimerKind::IssuedIdExpiry:
        eraseIssuedId(s, timer.key);
        break;
    case TimerKind::ForwardRetry:
        if (s.forwards.contains(timer.key)) {
            emitForward(s, timer.key, false, now, out);
        }
        break;
    case TimerKind::ForwardDeadline:
        if (s.forwards.contains(timer.key)) {
            finishForward(s, timer.key, UnknownOutcome { UnknownReason::DeadlinePassed }, out);
        }
        break;
    case TimerKind::DrainBound:
        finishDrain(s, now, out);
        break;
    }
}

} // namespace

std::size_t payloadSize(const Payload &payload)
{
    return payload ? payload->size() : 0;
}

void finishRequest(DispatcherState &s, std::uint64_t number, RequestOutcome outcome, TimePoint now, RequestActions &out)
{
    const auto found = s.records.find(number);
    RequestRecord &record = found->second;
    s.queued -= record.state.phase == RequestPhase::Queued ? 1 : 0;
    s.inFlight -= record.state.phase == RequestPhase::InFlight ? 1 : 0;
    removeFromQueue(s, number, record);
    releaseSlot(s, record, now);
    record.state.phase = RequestPhase::Done;
    if (const auto entry = s.entries.find(record.entry); entry != s.entries.end()) {
        entry->second.inProgress -= entry->second.inProgress > 0 ? 1 : 0;
    }
    s.payloadBytes -= payloadSize(record.payload);
    record.payload.reset();
    countOutcome(s, number, outcome, out);
    for (const ReplyAddress &waiter : record.waiters) {
        out.emplace_back(ReplyToCaller { waiter, record.idText, outcome });
    }
    record.waiters.clear();
    record.triedUpstreams.clear();
    storeOutcome(s, found, std::move(outcome), now);
}

void abandonRequest(DispatcherState &s,
                    std::uint64_t number,
                    RefusalReason refusal,
                    UnknownReason unknown,
                    TimePoint now,
                    RequestActions &out)
{
    const RequestState &state = s.records.at(number).state;
    if (state.phase == RequestPhase::InFlight) {
        s.health.setTrialRunning(state.upstream, false);
        out.emplace_back(CancelAttempt { state.attempt });
    }
    finishRequest(s, number, outcomeWithoutAnswer(state, refusal, unknown), now, out);
}

void finishForward(DispatcherState &s, std::uint64_t forward, RequestOutcome outcome, RequestActions &out)
{
    const auto found = s.forwards.find(forward);
    const std::string key = forwardKey(found->second.request.idText, found->second.request.replyTo);
    countOutcome(s, forward, outcome, out);
    s.payloadBytes -= payloadSize(found->second.request.payload);
    out.emplace_back(ReplyToCaller { found->second.request.replyTo, found->second.request.idText, std::move(outcome) });
    s.forwardIndex.erase(key);
    s.forwards.erase(found);
}

void expireDue(DispatcherState &s, TimePoint now, RequestActions &out)
{
    while (!s.timers.empty() && s.timers.top().at <= now) {
        const Timer timer = s.timers.top();
        s.timers.pop();
        handleTimer(s, timer, now, out);
    }
}

void eraseIssuedId(DispatcherState &s, std::uint64_t number)
{
    const auto found = s.issued.find(number);
    if (found == s.issued.end()) {
        return;
    }
    const auto owner = s.issuedByOwner.find(found->second.ownerHash);
    if (owner != s.issuedByOwner.end() && --owner->second == 0) {
        s.issuedByOwner.erase(owner);
    }
    s.issued.erase(found);
}

bool makeRecordRoom(DispatcherState &s)
{
    while (s.records.size() + s.issued.size() >= s.config.maxRecords && !s.finishedCallerChosen.empty()) {
        const auto oldest = s.records.find(s.finishedCallerChosen.front());
        s.finishedCallerChosen.pop_front();
        if (oldest != s.records.end()) {
            eraseRecord(s, oldest);
        }
    }
    const bool timersFull = s.timers.size() >= 4 * s.config.maxRecords;
    return s.records.size() + s.issued.size() < s.config.maxRecords && !timersFull;
}

} // namespace boragelug
