#pragma once

#include "core/outcome.h"
#include "core/random.h"
#include "model/view.h"
#include "requests/request.h"
#include "requests/request_action.h"
#include "requests/request_id.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace boragelug
{

struct DispatcherState;

/// Limits and time intervals of one VM's dispatcher.
struct DispatcherConfig
{
    RequestIdKey idKey {};
    /// Lifetime of an issued request id. The record of its request is kept until the id expires.
    Duration idLifetime = std::chrono::seconds(30);
    /// Maximum number of records plus unused issued ids. At this limit, requests without an issued id and the issue of
    /// new ids are refused.
    std::size_t maxRecords = 65536;
    /// Maximum bytes of answers kept for duplicates. The oldest answers are evicted first; duplicates of their requests
    /// then get `unknown`.
    std::size_t maxAnswerBytes = std::size_t { 8 } << 20U;
    /// Maximum bytes of requests that are queued, in progress or forwarded. At this limit, requests are refused.
    std::size_t maxPayloadBytes = std::size_t { 16 } << 20U;
    /// Maximum number of queued requests of one owner in one importance class of one service.
    std::size_t maxQueuedPerOwner = 32;
    /// Maximum number of queued requests of one importance class of one service.
    std::size_t maxQueuedPerClass = 256;
    /// Maximum number of callers that wait for one request, including those that sent duplicates.
    std::size_t maxWaitersPerRequest = 8;
    std::uint32_t maxAttempts = 3;
    /// Duration of a slot lease. Requests whose remaining time exceeds it use only the VM's own slots.
    Duration leaseTime = std::chrono::seconds(5);
    /// Margin that the lender and the next owner of a slot add to the lease time, because clock rates differ and
    /// attempts may be cancelled late.
    Duration leaseMargin = std::chrono::milliseconds(500);
    /// Time for which a larger limit share must persist before it is used.
    Duration shareIncreaseDelay = std::chrono::seconds(3);
    /// Interval of demand reports to peers of the same zone.
    Duration demandInterval = std::chrono::seconds(1);
    /// Interval at which a forwarded request is sent again until its issuer replies.
    Duration forwardRetryInterval = std::chrono::milliseconds(200);
    /// Time for which a forwarding VM waits beyond the deadline, because the issuer's timeout starts later.
    Duration forwardGracePeriod = std::chrono::milliseconds(300);
    /// Maximum number of concurrently forwarded requests. At this limit, further ones get `unknown`.
    std::size_t maxForwards = 4096;
    /// Latency that spilling to another zone adds to a request, including its slot lease. Slots in other zones are
    /// requested only if the expected wait in the queue is more than twice this value.
    Duration spillLatency = std::chrono::milliseconds(4);
    /// Time for which the outcome of a request with a caller-chosen id is kept for duplicates.
    Duration chosenIdLifetime = std::chrono::seconds(10);
    /// Maximum duration of a graceful stop. After it, unfinished requests end as `refused` or `unknown`.
    Duration drainBound = std::chrono::seconds(20);
};

/// Monotonic counters since the start of the process.
struct DispatcherCounters
{
    std::uint64_t accepted = 0;
    std::uint64_t dispatched = 0;
    std::uint64_t retried = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t forwarded = 0;
    std::uint64_t answersDiscarded = 0;
    std::uint64_t answersIncomplete = 0;
    std::uint64_t duplicates = 0;
    std::uint64_t leasesGranted = 0;
    std::uint64_t leasesBorrowed = 0;
    std::uint64_t spilled = 0;
};

/// Requests and forwards that are not finished, and the memory in use.
struct DispatcherLoad
{
    std::size_t queued = 0;
    std::size_t inFlight = 0;
    std::size_t forwarded = 0;
    std::size_t records = 0;
    std::size_t answerBytes = 0;
    std::size_t payloadBytes = 0;
};

/**
 * Handles the requests of one VM from arrival to outcome.
 *
 * Every request gets exactly one outcome, at most one second after its deadline if tick() is called by nextTick().
 * `refused` guarantees that the request was not executed. A non-idempotent request is dispatched only by the
 * incarnation that issued its id, and dispatched again only if the upstream reported that it did not execute it.
 *
 * Deterministic: the same seed and inputs produce the same actions. Copyable, for exhaustive tests.
 *
 * Not synchronized: one thread at a time. Each input first ends all requests whose deadline has passed at @c now;
 * @c now must not decrease. Before the first applyView, no request is dispatched: a request ends as `refused`, or as
 * `unknown` if its id may come from another VM or process.
 */
class RequestDispatcher
{
public:
    /// Creates the dispatcher of VM @p self with @p incarnation. Issued ids are signed with @c config.idKey.
    RequestDispatcher(DispatcherConfig config, VmId self, Incarnation incarnation, std::uint64_t seed);
    ~RequestDispatcher();
    RequestDispatcher(const RequestDispatcher &other);
    RequestDispatcher &operator=(const RequestDispatcher &other);
    RequestDispatcher(RequestDispatcher &&) noexcept;
    RequestDispatcher &operator=(RequestDispatcher &&) noexcept;

    /// Replaces the current view. Precondition: @p view is not null and is the view of this VM.
    RequestActions applyView(std::shared_ptr<const View> view, TimePoint now);

    /// Issues a request id for @p entry in text form, or returns the reason why none can be issued now.
    Outcome<std::string, RefusedOutcome> issueRequestId(const Endpoint &entry, TimePoint now);

    /// Handles a request or a duplicate of one from a caller, or from a forwarding VM if replyTo.forwardedBy is set.
    RequestActions handleCallerRequest(CallerRequest request, TimePoint now);

    /// Handles an upstream's answer. It is discarded if it matches no running attempt of this upstream incarnation.
    RequestActions
    handleAnswer(AttemptId attempt, Incarnation upstreamIncarnation, UpstreamAnswer answer, TimePoint now);

    /// Handles the end of an attempt without an answer.
    RequestActions handleAttemptFailed(AttemptId attempt, AttemptFailure failure, TimePoint now);

    /// Handles the cancellation of the request with @p idText by the caller at @p replyTo.
    RequestActions handleCancel(const std::string &idText, const ReplyAddress &replyTo, TimePoint now);

    /// Handles the issuer's reply to a ForwardToIssuer of this VM.
    RequestActions handleForwardedOutcome(std::uint64_t forward, RequestOutcome outcome, TimePoint now);

    /// Handles a SlotLease, SlotLeaseReply or DemandReport from @p from; other messages are ignored.
    RequestActions handlePeer(VmId from, const PeerMessage &message, TimePoint now);

    /// Processes expired timers, leases and reports. Call at nextTick(), and at least every 100 ms under load.
    RequestActions tick(TimePoint now);

    /// Handles a suspension of the process that ended at @p now: discards borrowed slots and load reports.
    RequestActions notifySuspension(TimePoint now);

    /// Stops issuing ids and accepting requests without an issued id. Requests in progress may finish until the drain
    /// bound.
    RequestActions beginDrain(TimePoint now);

    /// Time of the next required call to tick(), as of @p now; std::nullopt if none is required.
    std::optional<TimePoint> nextTick(TimePoint now) const;

    /// Whether a drain has finished: no request is queued, in flight or forwarded.
    bool drained() const;

    /// Unfinished requests and the memory in use.
    DispatcherLoad load() const;

    const DispatcherCounters &counters() const;

    /// Whether the outcomes of this VM's own attempts (passive health check) allow use of @p upstream at @p now.
    bool upstreamUsable(UpstreamId upstream, TimePoint now) const;

    /// Slots of @p upstream that are in use by attempts of this VM.
    std::uint32_t slotsInUse(UpstreamId upstream) const;

    /// One VM's share of an entry's limits on request rate and concurrent requests.
    struct Share
    {
        double requestsPerSecond = 0;
        double requestsInProgress = 0;
    };

    /// This VM's share of the limits of @p entry at @p now. A value is 0 also if that limit is not set.
    Share limitShare(const EntryName &entry, TimePoint now);

private:
    std::unique_ptr<DispatcherState> state_;
};

} // namespace boragelug
