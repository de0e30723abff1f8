#pragma once

#include "requests/request.h"

#include <cstdint>

namespace boragelug
{

/// Where a request is between acceptance and outcome.
enum class RequestPhase : std::uint8_t { New, Queued, InFlight, Done };

/// What decides whether a request may be dispatched and what may be said of it.
struct RequestState
{
    RequestPhase phase = RequestPhase::New;
    bool idempotent = false;
    /// An earlier attempt ended without proof that the upstream did not execute the request.
    bool mayHaveExecuted = false;
    /// The last attempt ended with the upstream's own report that it did not execute the request.
    bool refusedByUpstream = false;
    std::uint32_t attempts = 0;
    TimePoint deadline;
    /// Expiry of the issued id; TimePoint::max() without one.
    TimePoint idExpiry = TimePoint::max();
    /// The running attempt; meaningful in phase InFlight.
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation upstreamIncarnation;
    /// What the last upstream that shed the request asked for.
    Duration retryAfter {};
};

/// How an attempt ended.
enum class AttemptResult : std::uint8_t {
    /// A whole answer to deliver.
    Answered,
    /// Provably not executed: nothing was sent.
    NotSent,
    /// Provably not executed: the upstream said so (connection refused; 421; 429 or 503 with Retry-After).
    RefusedByUpstream,
    /// Nothing certain: connection lost, or an incomplete answer.
    MayHaveExecuted,
};

/// What to do with a copy of a request.
enum class ArrivalAction : std::uint8_t { Start, Join, Replay, Expired };

/// All functions here are thread-safe for distinct states; none reads a clock.

/// What a copy that arrives at @p now should do, given the record's state. Changes nothing.
ArrivalAction classifyArrival(const RequestState &state, TimePoint now);

/// Enters Queued. Precondition: phase New. The deadline is cut at the expiry of the id.
void accept(RequestState &state, bool idempotent, TimePoint deadline);

/// Whether an attempt may start at @p now. For a non-idempotent request this is the at-most-once rule.
bool mayDispatch(const RequestState &state, TimePoint now);

/// Enters InFlight with the next attempt. Precondition: mayDispatch().
AttemptId startAttempt(RequestState &state, std::uint64_t request, UpstreamId upstream, Incarnation incarnation);

/// Whether a result for @p attempt from this incarnation belongs to the running attempt.
bool matchesAttempt(const RequestState &state, AttemptId attempt, Incarnation upstreamIncarnation);

/// What an answer proves.
AttemptResult classifyAnswer(const UpstreamAnswer &answer);

/// What a failure proves.
AttemptResult classifyFailure(AttemptFailure failure);

/// Records the end of the running attempt and enters Queued. Precondition: phase InFlight, result not Answered.
void endAttempt(RequestState &state, AttemptResult result);

/// Whether the rules (not the budget) allow another attempt at @p now. Precondition: phase Queued.
bool mayRetry(const RequestState &state, std::uint32_t maxAttempts, TimePoint now);

/// The only true outcome if the request ends now without an answer: `refused` for @p refusal if it can't have run,
/// else `unknown` for @p unknown.
RequestOutcome outcomeWithoutAnswer(const RequestState &state, RefusalReason refusal, UnknownReason unknown);

} // namespace boragelug
