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

/// Bounds and times of one VM's dispatcher.
struct DispatcherConfig
{
    RequestIdKey idKey {};
    /// Time from issue to expiry of an id; its record lives as long.
    Duration idLifetime = std::chrono::seconds(30);
    /// Records of all states together, issued ids included. At the bound, requests and ids are refused.
    std::size_t maxRecords = 65536;
    /// Bytes of answers kept for copies; the oldest answers go first and their copies then get `unknown`.
    std::size_t maxAnswerBytes = std::size_t { 8 } << 20U;
    /// Bytes of requests held while queued, in progress or forwarded; at the bound, requests are refused.
    std::size_t maxPayloadBytes = std::size_t { 16 } << 20U;
    /// Queued requests of one owner in one class of one service.
    std::size_t maxQueuedPerOwner = 32;
    /// Queued requests of one class of one service.
    std::size_t maxQueuedPerClass = 256;
    /// Callers that wait for one request, its copies included.
    std::size_t maxWaitersPerRequest = 8;
    std::uint32_t maxAttempts = 3;
    /// Validity of slot leases. Requests with a longer remaining deadline use the VM's own slots only.
    Duration leaseTime = std::chrono::seconds(5);
    /// Added by the lender and by the next owner of a slot, for clock rates that differ and late cancellation.
    Duration leaseMargin = std::chrono::milliseconds(500);
    /// Time over which a larger limit share must hold before it is used.
    Duration shareIncreaseDelay = std::chrono::seconds(3);
    /// Interval of demand reports to peers of the same zone.
    Duration demandInterval = std::chrono::seconds(1);
    /// Time between copies of a forwarded request until its issuer replies.
    Duration forwardRetryInterval = std::chrono::milliseconds(200);
    /// Time for which a forwarding VM still waits after the deadline, since the issuer starts to count later.
    Duration forwardGracePeriod = std::chrono::milliseconds(300);
    /// Requests that are forwarded at the same time. At the bound, further ones get `unknown`.
    std::size_t maxForwards = 4096;
    /// Time that a request to another zone takes longer than a local one, its lease included; spilling is tried only
    /// if the expected wait is more than twice as long.
    Duration spillLatency = std::chrono::milliseconds(4);
    /// Time for which the outcome of a request with a caller-chosen id is kept for copies.
    Duration chosenIdLifetime = std::chrono::seconds(10);
    /// A graceful stop ends with outcomes for everything after this time.
    Duration drainBound = std::chrono::seconds(20);
};

/// Counters since the start of the process; all grow only.
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

/// What is still to be finished.
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
 * Takes requests of one VM from arrival to outcome.
 *
 * Every request gets exactly one outcome before its deadline plus one second if tick() is called by nextTick().
 * `refused` is given only if the request was not executed for certain. A non-idempotent request is dispatched only
 * by the incarnation that issued its id, and again only if the upstream reported that it did not execute it.
 * Deterministic: the same seed and inputs give the same actions. Copyable, for exhaustive tests.
 * Not synchronized: one thread at a time. Each input first ends what is past its deadline at @c now; @c now must not
 * go back. Inputs other than construction and applyView need a view: without one, requests are refused.
 */
class RequestDispatcher
{
public:
    /// A dispatcher for VM @p self in its run @p incarnation. Issues ids under @c config.idKey.
    RequestDispatcher(DispatcherConfig config, VmId self, Incarnation incarnation, std::uint64_t seed);
    ~RequestDispatcher();
    RequestDispatcher(const RequestDispatcher &other);
    RequestDispatcher &operator=(const RequestDispatcher &other);
    RequestDispatcher(RequestDispatcher &&) noexcept;
    RequestDispatcher &operator=(RequestDispatcher &&) noexcept;

    /// Uses @p view from now on. Precondition: not null, and of this VM.
    RequestActions applyView(std::shared_ptr<const View> view, TimePoint now);

    /// Issues a request id for @p entry in its text form, or says why there is none now.
    Outcome<std::string, RefusedOutcome> issueRequestId(const Endpoint &entry, TimePoint now);

    /// A request or a copy of one arrived from a caller, or from a forwarding VM (replyTo.forwardedBy is set).
    RequestActions handleCallerRequest(CallerRequest request, TimePoint now);

    /// An upstream answered. What does not match a running attempt of this upstream incarnation is discarded.
    RequestActions
    handleAnswer(AttemptId attempt, Incarnation upstreamIncarnation, UpstreamAnswer answer, TimePoint now);

    /// An attempt ended without an answer.
    RequestActions handleAttemptFailed(AttemptId attempt, AttemptFailure failure, TimePoint now);

    /// The caller at @p replyTo no longer waits for the request with @p idText.
    RequestActions handleCancel(const std::string &idText, const ReplyAddress &replyTo, TimePoint now);

    /// The issuer replied to a ForwardToIssuer of this VM.
    RequestActions handleForwardedOutcome(std::uint64_t forward, RequestOutcome outcome, TimePoint now);

    /// A SlotLease, SlotLeaseReply or DemandReport arrived from @p from; other messages are ignored.
    RequestActions handlePeer(VmId from, const PeerMessage &message, TimePoint now);

    /// Ends what is due. Call at nextTick(), and at least every 100 ms while there is load.
    RequestActions tick(TimePoint now);

    /// The process did not run for a while until @p now: drops leases and load data.
    RequestActions notifySuspension(TimePoint now);

    /// Stops issuing ids and accepting new requests; finishes what is in progress up to the drain bound.
    RequestActions beginDrain(TimePoint now);

    /// Time of the next due step, as seen at @p now; nothing if there is none.
    std::optional<TimePoint> nextTick(TimePoint now) const;

    /// Whether a drain has finished: nothing is queued, in flight or forwarded.
    bool drained() const;

    /// What is still to be finished, and the memory in use.
    DispatcherLoad load() const;

    /// Counters since the start.
    const DispatcherCounters &counters() const;

    /// Whether this VM's own outcomes make @p upstream usable at @p now.
    bool upstreamUsable(UpstreamId upstream, TimePoint now) const;

    /// Slots of @p upstream that this VM has in use now.
    std::uint32_t slotsInUse(UpstreamId upstream) const;

    /// Rate and requests in progress of one VM.
    struct Share
    {
        double requestsPerSecond = 0;
        double requestsInProgress = 0;
    };

    /// What this VM may use of the limits of @p entry at @p now; 0 also if no limit is set.
    Share limitShare(const EntryName &entry, TimePoint now);

private:
    std::unique_ptr<DispatcherState> state_;
};

} // namespace boragelug
