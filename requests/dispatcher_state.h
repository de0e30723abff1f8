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

/// An entry of kind Requests, with what this VM counts for it.
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
    std::optional<TokenBucket> rate;
    std::uint32_t inProgress = 0;
    RetryBudget retries;
    /// Requests since the last demand report, and the smoothed rate.
    std::uint32_t arrivals = 0;
    double demand = 0;
};

/// A service of the view, with its queue and measured speed.
struct ServiceState
{
    explicit ServiceState(const DispatcherConfig &config)
        : queue(config.maxQueuedPerOwner, config.maxQueuedPerClass)
    { }

    Admission queue;
    std::uint32_t activeLocal = 0;
    std::uint32_t activeInRegion = 0;
    std::uint32_t slotsPerHost = 0;
    /// Slots of the zone's hosts divided by the VMs of the zone, rounded up.
    std::uint32_t fairShareOfSlots = 0;
    Duration slowStart {};
    /// Smoothed time of an attempt, and the time of the last sample.
    Duration meanAttemptTime {};
    TimePoint sampledAt;
    /// Attempts in progress, and their recent maximum, which halves every second.
    std::uint32_t inUse = 0;
    double peakUse = 0;
    TimePoint peakAt;
    TimePoint nextBorrow;
    Duration borrowBackoff {};
};

/// A request from acceptance until its outcome is no longer kept.
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
    /// Key in DispatcherState::callerChosen; empty for issued ids.
    std::string callerChosenKey;
    std::uint64_t contentHash = 0;
    Payload payload;
    std::vector<ReplyAddress> waiters;
    std::vector<UpstreamId> tried;
    std::optional<AcquiredSlot> slot;
    TimePoint attemptStarted;
    TimePoint keepUntil;
    std::optional<RequestOutcome> outcome;
};

/// An id that was issued and not used yet.
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
    TimePoint until;
};

/// A request that another VM is to dispatch.
struct ForwardedRequest
{
    CallerRequest request;
    VmId issuer;
    Incarnation issuerIncarnation;
    TimePoint deadline;
    /// Until then an issuer that the view doesn't list may be one that it doesn't list yet.
    TimePoint awaitListingUntil;
};

enum class TimerKind : std::uint8_t { Deadline, RecordEnd, IssuedEnd, ForwardRetry, ForwardDeadline, DrainBound };

struct Timer
{
    TimePoint at;
    TimerKind kind = TimerKind::Deadline;
    std::uint64_t key = 0;

    auto operator<=>(const Timer &) const = default;
};

/// Everything that a RequestDispatcher holds. The functions below are its parts; none is thread-safe.
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
    /// The process slept, and no view has been applied since.
    bool suspended = false;
    /// Reported loads made before this time are not used.
    TimePoint loadsValidFrom;
    std::optional<TimePoint> drainUntil;
    std::uint64_t nextNumber = 1;
    DispatcherCounters counters;

    absl::flat_hash_map<Endpoint, EntryState> entries;
    /// Ordered, because the order of pumping decides the order of actions.
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
    /// Forwards by idText and reply address, to recognize copies.
    absl::flat_hash_map<std::string, std::uint64_t> forwardIndex;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
    /// Finished requests with kept answers, oldest first.
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

/// Gives a request its outcome: ends its attempt, replies to all waiters, and keeps what copies will need.
void finishRequest(
    DispatcherState &s, std::uint64_t number, RequestOutcome outcome, TimePoint now, RequestActions &out);

/// Ends a request without an answer, with the only outcome that is true for it; cancels a running attempt.
void abandonRequest(DispatcherState &s,
                    std::uint64_t number,
                    RefusalReason refusal,
                    UnknownReason unknown,
                    TimePoint now,
                    RequestActions &out);

/// Ends a forwarded request at this VM.
void finishForward(DispatcherState &s, std::uint64_t forward, RequestOutcome outcome, RequestActions &out);

/// Processes all timers that are due.
void expireDue(DispatcherState &s, TimePoint now, RequestActions &out);

/// Forgets an issued id that was not used, or is being used now.
void eraseIssuedId(DispatcherState &s, std::uint64_t number);

/// Makes room for one more record; false if there is none.
bool makeRecordRoom(DispatcherState &s);

/// Bytes of a payload, 0 for none.
std::size_t payloadSize(const Payload &payload);

// dispatcher_arrivals.cpp

void acceptCallerRequest(DispatcherState &s, CallerRequest request, TimePoint now, RequestActions &out);
void cancelCallerRequest(
    DispatcherState &s, const std::string &idText, const ReplyAddress &replyTo, TimePoint now, RequestActions &out);
/// Sends (another copy of) a forwarded request to its issuer.
void emitForward(DispatcherState &s, std::uint64_t forward, bool cancel, TimePoint now, RequestActions &out);
/// The member that runs this incarnation, or may run it as far as this view knows; null if it is gone.
const Member *reachableIssuer(const DispatcherState &s, VmId vm, Incarnation incarnation);
/// Whether the view lists no run of the VM at all, so that it says nothing of the issuer.
bool isUnlistedIssuer(const DispatcherState &s, VmId vm);
/// Bounded time after which a refused caller may try again, by the length of its queue.
Duration retryAfter(const DispatcherState &s, const RequestRecord &record, TimePoint now);
Duration retryAfter(const DispatcherState &s, ServiceId id, Importance importance, std::uint64_t owner, TimePoint now);
/// Names one copy of a forwarded request in DispatcherState::forwardIndex.
std::string forwardKey(const std::string &idText, const ReplyAddress &replyTo);

// dispatcher_dispatch.cpp

/// Starts attempts for queued requests of @p service while slots are free, then asks peers for slots if some wait.
void dispatchQueued(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out);
void dispatchAllQueued(DispatcherState &s, TimePoint now, RequestActions &out);
void endAttemptWithAnswer(
    DispatcherState &s, std::uint64_t number, UpstreamAnswer answer, TimePoint now, RequestActions &out);
void endAttemptWithFailure(
    DispatcherState &s, std::uint64_t number, AttemptFailure failure, TimePoint now, RequestActions &out);
/// Notes the time of the running attempt and gives its slot back.
void releaseSlot(DispatcherState &s, RequestRecord &record, TimePoint now);
/// Speed of @p service as admission sees it now.
ServiceRate serviceRate(const DispatcherState &s, ServiceId service, TimePoint now);
/// The active host in the current view, or null.
const UpstreamStatus *findUpstream(const DispatcherState &s, ServiceId service, UpstreamId upstream);

// dispatcher_peers.cpp

/// Asks one owner of a slot of @p service to lend it, if requests wait or this VM is busy with less than its fair
/// share, and the budget allows it.
void borrowSlots(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out);
/// Recent maximum of attempts in progress of @p service.
double recentPeakUse(const ServiceState &service, TimePoint now);
/// Lends slots that have become free to peers that wait for them, as far as this VM has more than its fair share.
void serveWaitingLeases(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out);
/// Gives up waiting lease requests that are due, and tells their senders.
void expireWaitingLeases(DispatcherState &s, TimePoint now, RequestActions &out);
void handlePeerMessage(DispatcherState &s, VmId from, const PeerMessage &message, TimePoint now, RequestActions &out);
/// Sends demand reports if they are due.
void reportDemand(DispatcherState &s, TimePoint now, RequestActions &out);

} // namespace boragelug
