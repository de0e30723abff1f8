#include "requests/request_state.h"

#include <algorithm>
#include <cassert>

namespace boragelug
{

ArrivalAction classifyArrival(const RequestState &state, TimePoint now)
{
    switch (state.phase) {
    case RequestPhase::New:
        return now < state.idExpiry ? ArrivalAction::Start : ArrivalAction::Expired;
    case RequestPhase::Queued:
    case RequestPhase::InFlight:
        return ArrivalAction::Join;
    case RequestPhase::Done:
        break;
    }
    return ArrivalAction::Replay;
}

void accept(RequestState &state, bool idempotent, TimePoint deadline)
{
    assert(state.phase == RequestPhase::New);
    state.phase = RequestPhase::Queued;
    state.idempotent = idempotent;
    state.deadline = std::min(deadline, state.idExpiry);
}

bool mayDispatch(const RequestState &state, TimePoint now)
{
    const bool safeToRun = state.idempotent || !state.mayHaveExecuted;
    return state.phase == RequestPhase::Queued && safeToRun && now < state.deadline && now < state.idExpiry;
}

AttemptId startAttempt(RequestState &state, std::uint64_t request, UpstreamId upstream, Incarnation incarnation)
{
    assert(state.phase == RequestPhase::Queued);
    state.phase = RequestPhase::InFlight;
    state.attempt = { request, ++state.attempts };
    state.upstream = upstream;
    state.upstreamIncarnation = incarnation;
    state.refusedByUpstream = false;
    return state.attempt;
}

bool matchesAttempt(const RequestState &state, AttemptId attempt, Incarnation upstreamIncarnation)
{
    return state.phase == RequestPhase::InFlight && state.attempt == attempt
        && state.upstreamIncarnation == upstreamIncarnation;
}

AttemptResult classifyAnswer(const UpstreamAnswer &answer)
{
    if (!answer.complete) {
        return AttemptResult::MayHaveExecuted;
    }
    // RFC 9110: 421 is sent by a server that does not serve the request. A 429 or 503 without Retry-After may come from
    // an application that has already started to execute the request, so it is delivered like any other answer.
    const bool sheds = (answer.status == 429 || answer.status == 503) && answer.retryAfter.has_value();
    return sheds || answer.status == 421 ? AttemptResult::RefusedByUpstream : AttemptResult::Answered;
}

AttemptResult classifyFailure(AttemptFailure failure)
{
    switch (failure) {
    case AttemptFailure::NotSent:
        return AttemptResult::NotSent;
    case AttemptFailure::RefusedByUpstream:
        return AttemptResult::RefusedByUpstream;
    case AttemptFailure::ConnectionLost:
        break;
    }
    return AttemptResult::MayHaveExecuted;
}

void endAttempt(RequestState &state, AttemptResult result)
{
    assert(state.phase == RequestPhase::InFlight && result != AttemptResult::Answered);
    state.phase = RequestPhase::Queued;
    state.mayHaveExecuted = state.mayHaveExecuted || result == AttemptResult::MayHaveExecuted;
    state.refusedByUpstream = result == AttemptResult::RefusedByUpstream;
}

bool mayRetry(const RequestState &state, std::uint32_t maxAttempts, TimePoint now)
{
    return state.attempts < maxAttempts && mayDispatch(state, now);
}

RequestOutcome outcomeWithoutAnswer(const RequestState &state, RefusalReason refusal, UnknownReason unknown)
{
    if (state.phase == RequestPhase::InFlight || state.mayHaveExecuted) {
        return UnknownOutcome { unknown };
    }
    return RefusedOutcome { refusal, state.retryAfter };
}

} // namespace boragelug
