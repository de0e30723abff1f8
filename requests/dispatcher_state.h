#pragma once

#include "core/random.h"
#include "core/token_bucket.h"
#include "requests/admission.h"
#include "requests/limit_share.h"
#include "requests/request_dispatcher.h"
#include "requests/request_state.h"
#include "requests/retry_budget.h"
#include "requests/slots.h"
#include "requests/upstream_health.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace boragelug
{

/// An entry of kind Requests and this VM's counters for it.
struct EntryState
{
    EntryName name;
    std::uint64_t nameHash = 0;
    std::uint64_t ownerHash = 0;
    ServiceId service;
    Importance importance = Importance::Ordinary;
    bool allowSpill = false;
    Duration maxDeadline {};
    Limits limits;
    std::optional<TokenBucket> rateLimiter;
    std::uint32_t inProgress = 0;
    RetryBudget retryBudget;
    /// Requests since the last demand report, and the smoothed request rate.
    std::uint32_t arrivals = 0;
    double demand = 0;
};

/// A service of the view with its queue and measured attempt time.
struct ServiceState
{
    explicit ServiceState(const DispatcherConfig &config)
        : queue(config.maxQueuedPerOwner, config.maxQueuedPerClass)
    { }

    Admission queue;
    std::uint32_t activeLocal = 0;
    std::uint32_t activeInRegion = 0;
    std::uint32_t slotsPerHost = 0;
    /// Slots of all active upstreams of the zone divided by the number of VMs in the zone, rounded up.
    std::uint32_t fairShareOfSlots = 0;
    Duration slowStart {};
    /// Exponentially smoothed duration of an attempt, and the time of its last sample.
    Duration meanAttemptTime {};
    TimePoint sampledAt;
    /// Attempts in progress, and their recent maximum, which decays by half every second.
    std::uint32_t inUse = 0;
    double peakUse = 0;
    TimePoint peakAt;
    TimePoint nextBorrow;
    Duration borrowBackoff {};
};

/// A request from its acceptance until its outcome is discarded.
struct RequestRecord
{
    RequestState state;
    Endpoint entry;
    ServiceId service;
    Importance importance = Importance::Ordinary;
    std::uint64_t ownerHash = 0;
    bool allowSpill = false;
    bool inQueue = false;
    bool onTrial = false;
    std::string idText;
    /// Key of the request in DispatcherState::callerChosen; empty for issued ids.
    std::string callerChosenKey;
    std::uint64_t contentHash = 0;
    Payload payload;
    std::vector<ReplyAddress> waiters;
    std::vector<UpstreamId> triedUpstreams;
    std::optional<AcquiredSlot> slot;
    TimePoint attemptStarted;
    TimePoint keepUntil;
    std::optional<RequestOutcome> outcome;
};

/// An id that was issued and has not been used yet.
struct IssuedId
{
    Endpoint entry;
    std::uint64_t ownerHash = 0;
    bool cancelled = false;
};

/// A peer's lease request that waits for a slot to become free.
struct WaitingLease
{
    VmId from;
    SlotLease lease;
    ServiceId service;
    TimePoint expiresAt;
};

/// A request that was forwarded to the VM that issued its id.
struct ForwardedRequest
{
    CallerRequest request;
    VmId issuer;
    Incarnation issuerIncarnation;
    TimePoint deadline;
    /// While the view does not list the issuer, forwarding is retried until this time: the issuer may have just
    /// started.
    TimePoint awaitListingUntil;
};

enum class TimerKind : std::uint8_t {
    Deadline,
    RecordExpiry,
    IssuedIdExpiry,
    ForwardRetry,
    ForwardDeadline,
    DrainBound
};

struct Timer
{
    TimePoint at;
    TimerKind kind = TimerKind::Deadline;
    std::uint64_t key = 0;

    auto operator<=>(const Timer &) const = default;
};

/// State of a RequestDispatcher. The functions below implement the dispatcher on it; none of them is thread-safe.
struct DispatcherState
{
    DispatcherState(DispatcherConfig givenConfig, VmId givenSelf, Incarnation givenIncarnation, std::uint64_t seed)
        : config(givenConfig)
        , self(givenSelf)
        , incarnation(givenIncarnation)
        , random(seed)
        , slots(givenConfig.leaseTime, givenConfig.leaseMargin)
    { }

    DispatcherConfig config;
    VmId self;
    Incarnation incarnation;
    Random random;
    std::shared_ptr<const View> view;
    /// The process was suspended, and no view has been applied since.
    bool suspended = false;
    /// Load reports from before this time are ignored.
    TimePoint loadsValidFrom;
    std::optional<TimePoint> drainDeadline;
    std::uint64_t nextNumber = 1;
    DispatcherCounters counters;

    absl::flat_hash_map<Endpoint, EntryState> entries;
    /// Ordered, so that queues are served, and actions emitted, in a deterministic order.
    std::map<ServiceId, ServiceState> services;
    SlotTable slots;
    UpstreamHealthTable health;
    std::optional<LimitShares> shares;
    TimePoint nextDemand;
    std::optional<TokenBucket> leaseBudget;
    std::vector<WaitingLease> waitingLeases;

    std::unordered_map<std::uint64_t, RequestRecord> records;
    absl::flat_hash_map<std::uint64_t, IssuedId> issued;
    absl::flat_hash_map<std::uint64_t, std::size_t> issuedByOwner;
    absl::flat_hash_map<std::string, std::uint64_t> callerChosen;
    std::map<std::uint64_t, ForwardedRequest> forwards;
    /// Forwards by idText and reply address, to detect duplicates.
    absl::flat_hash_map<std::string, std::uint64_t> forwardIndex;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    /// Finished requests whose answers are kept, oldest first.
    std::deque<std::uint64_t> keptAnswers;
    /// Finished requests with caller-chosen ids, oldest first.
    std::deque<std::uint64_t> finishedCallerChosen;
    std::size_t answerBytes = 0;
    std::size_t payloadBytes = 0;
    std::size_t queued = 0;
    std::size_t inFlight = 0;
};

using RecordMap = std::unordered_map<std::uint64_t, RequestRecord>;

// dispatcher_records.cpp

/// Finishes a request with @p outcome: releases its slot, replies to all waiting callers, and keeps the outcome for
/// duplicates.
void finishRequest(
    DispatcherState &s, std::uint64_t number, RequestOutcome outcome, TimePoint now, RequestActions &out);

/// Finishes a request without an answer and cancels its running attempt. The outcome is `refused` with reason
/// @p refusal if the request is known not to have been executed, otherwise `unknown` with reason @p unknown.
void abandonRequest(DispatcherState &s,
                    std::uint64_t number,
                    RefusalReason refusal,
                    UnknownReason unknown,
                    TimePoint now,
                    RequestActions &out);

/// Finishes a request that this VM forwarded, and replies to its caller.
void finishForward(DispatcherState &s, std::uint64_t forward, RequestOutcome outcome, RequestActions &out);

/// Processes all expired timers.
void expireDue(DispatcherState &s, TimePoint now, RequestActions &out);

/// Removes an unused issued id, because it expired or its request has arrived.
void eraseIssuedId(DispatcherState &s, std::uint64_t number);

/// Evicts finished requests with caller-chosen ids until there is room for one more record; false if there still is
/// none.
bool makeRecordRoom(DispatcherState &s);

/// Size of @p payload in bytes; 0 if it is null.
std::size_t payloadSize(const Payload &payload);

// dispatcher_arrivals.cpp

void acceptCallerRequest(DispatcherState &s, CallerRequest request, TimePoint now, RequestActions &out);
void cancelCallerRequest(
    DispatcherState &s, const std::string &idText, const ReplyAddress &replyTo, TimePoint now, RequestActions &out);
/// Sends a forwarded request, or its cancellation, to its issuer; also used to retransmit it.
void emitForward(DispatcherState &s, std::uint64_t forward, bool cancel, TimePoint now, RequestActions &out);
/// The member of the view for @p vm if it runs @p incarnation, or may run it because the view shows an earlier one.
/// Null if the view does not list @p vm, shows a later incarnation, or shows this one as dead; also null for this VM.
const Member *reachableIssuer(const DispatcherState &s, VmId vm, Incarnation incarnation);
/// Whether the view does not list the VM, so that the state of the issuer is not known.
bool isUnlistedIssuer(const DispatcherState &s, VmId vm);
/// Time after which a refused caller may retry: the expected wait in its queue, within fixed limits.
Duration retryAfter(const DispatcherState &s, const RequestRecord &record, TimePoint now);
Duration retryAfter(const DispatcherState &s, ServiceId id, Importance importance, std::uint64_t owner, TimePoint now);
/// Key of a forwarded request in DispatcherState::forwardIndex.
std::string forwardKey(const std::string &idText, const ReplyAddress &replyTo);

// dispatcher_dispatch.cpp

/// Lends free slots to waiting peers, starts attempts for queued requests of @p service while slots are free, then
/// requests slots from peers if necessary.
void dispatchQueued(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out);
/// Calls dispatchQueued for each service with queued requests.
void dispatchAllQueued(DispatcherState &s, TimePoint now, RequestActions &out);
void endAttemptWithAnswer(
    DispatcherState &s, std::uint64_t number, UpstreamAnswer answer, TimePoint now, RequestActions &out);
void endAttemptWithFailure(
    DispatcherState &s, std::uint64_t number, AttemptFailure failure, TimePoint now, RequestActions &out);
/// Records the duration of the running attempt and releases its slot.
void releaseSlot(DispatcherState &s, RequestRecord &record, TimePoint now);
/// Estimated attempt time and slot count of @p service at @p now, as used by admission.
ServiceRate serviceRate(const DispatcherState &s, ServiceId service, TimePoint now);
/// The active upstream in the current view, or null.
const UpstreamStatus *findUpstream(const DispatcherState &s, ServiceId service, UpstreamId upstream);

// dispatcher_peers.cpp

/// Renews leases that are still needed. Requests a new one if requests are queued, or if all usable slots were recently
/// in use and are fewer than this VM's fair share; new leases are limited by DispatcherState::leaseBudget.
void borrowSlots(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out);
/// Recent maximum of concurrent attempts of @p service; decays over time.
double recentPeakUse(const ServiceState &service, TimePoint now);
/// Lends free slots to peers whose lease requests wait for them, up to the number that may be lent to each peer.
void serveWaitingLeases(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out);
/// Rejects waiting lease requests that have timed out.
void expireWaitingLeases(DispatcherState &s, TimePoint now, RequestActions &out);
void handlePeerMessage(DispatcherState &s, VmId from, const PeerMessage &message, TimePoint now, RequestActions &out);
/// Sends demand reports if they are due.
void reportDemand(DispatcherState &s, TimePoint now, RequestActions &out);

} // namespace boragelug
