#pragma once

#include "requests/request.h"

#include <cstdint>

namespace boragelug
{

/// Phase of a request between acceptance and outcome.
enum class RequestPhase : std::uint8_t { New, Queued, InFlight, Done };

/// State that decides whether a request may be dispatched and which outcomes are allowed for it.
struct RequestState
{
    RequestPhase phase = RequestPhase::New;
    bool idempotent = false;
    /// An earlier attempt ended, and the upstream may have executed the request.
    bool mayHaveExecuted = false;
    /// In the last attempt, the upstream reported that it did not execute the request.
    bool refusedByUpstream = false;
    std::uint32_t attempts = 0;
    TimePoint deadline;
    /// Expiry of the issued id; TimePoint::max() if the id was not issued.
    TimePoint idExpiry = TimePoint::max();
    /// The running attempt; valid in phase InFlight.
    AttemptId attempt;
    UpstreamId upstream;
    Incarnation upstreamIncarnation;
    /// Retry-After value for the caller: from the upstream that shed the request last, or from the expected wait in
    /// the queue.
    Duration retryAfter {};
};

/// How an attempt ended.
enum class AttemptResult : std::uint8_t {
    /// A complete answer, to be delivered to the caller.
    Answered,
    /// Not executed: no byte of the request was sent.
    NotSent,
    /// Not executed, as reported by the upstream: connection refused; status 421; 429 or 503 with Retry-After.
    RefusedByUpstream,
    /// Possibly executed: connection lost, or an incomplete answer.
    MayHaveExecuted,
};

/// How to handle an arriving request or duplicate: start it, wait for the outcome of the running request, repeat the
/// kept outcome, or reject an expired id.
enum class ArrivalAction : std::uint8_t { Start, Join, Replay, Expired };

/// The functions below are thread-safe for distinct states and do not read a clock.

/// How to handle a request that arrives at @p now, given the state of its record.
ArrivalAction classifyArrival(const RequestState &state, TimePoint now);

/// Enters Queued. The deadline is limited to the expiry of the id. Precondition: phase New.
void accept(RequestState &state, bool idempotent, TimePoint deadline);

/// Whether an attempt may start at @p now. At-most-once rule: never for a non-idempotent request that may already have
/// been executed.
bool mayDispatch(const RequestState &state, TimePoint now);

/// Enters InFlight with the next attempt. Precondition: mayDispatch().
AttemptId startAttempt(RequestState &state, std::uint64_t request, UpstreamId upstream, Incarnation incarnation);

/// Whether a result for @p attempt from this upstream incarnation is a result of the running attempt.
bool matchesAttempt(const RequestState &state, AttemptId attempt, Incarnation upstreamIncarnation);

/// Whether @p answer is to be delivered, and if not, whether the request may have been executed.
AttemptResult classifyAnswer(const UpstreamAnswer &answer);

/// Whether the request may have been executed in an attempt that ended with @p failure.
AttemptResult classifyFailure(AttemptFailure failure);

/// Records the end of the running attempt and enters Queued. Precondition: phase InFlight, @p result is not Answered.
void endAttempt(RequestState &state, AttemptResult result);

/// Whether another attempt is allowed at @p now, regardless of the retry budget. Precondition: phase Queued.
bool mayRetry(const RequestState &state, std::uint32_t maxAttempts, TimePoint now);

/// Outcome of a request that ends now without an answer: `refused` with reason @p refusal if it can't have been
/// executed, otherwise `unknown` with reason @p unknown.
RequestOutcome outcomeWithoutAnswer(const RequestState &state, RefusalReason refusal, UnknownReason unknown);

} // namespace boragelug
