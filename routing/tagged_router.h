#pragma once

#include "core/random.h"
#include "model/directory_view.h"
#include "model/flow_packet.h"
#include "routing/cold_start_limit.h"
#include "routing/passive_health.h"
#include "routing/request_admission.h"
#include "routing/silence_evidence.h"
#include "routing/tagged_placement.h"
#include "routing/upstream_speeds.h"
#include "routing/waiting_requests.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace boragelug
{

/// Fixed properties of a TaggedRouter.
struct TaggedRouterSettings
{
    PassiveHealthSettings health;
    SilenceSettings silence;
    TaggedPlacementSettings placement;
    AdmissionSettings admission;
    SpeedSettings speeds;
    ColdStartSettings coldStart;
    /// Time in which all VMs should have received the record of a new upstream: the batching delay between long polls
    /// plus one answer. Until then, placement prefers other upstreams.
    Duration propagationDelay = std::chrono::milliseconds(1500);
    /// A packet that is repeated within this time after this VM forwarded it says nothing about the upstream. Callers
    /// retransmit only after 200 ms, so that the packet was reordered, or was queued at this VM while its caller
    /// retransmitted it.
    Duration queuedPacketWindow = std::chrono::milliseconds(120);
    /// An upstream that leaves a SYN unanswered for this long, and for twice the mean time of answers, is checked
    /// actively, so that the result is known when the caller retransmits the SYN.
    Duration minOpeningTime = std::chrono::milliseconds(20);
    /// Retention of flows that did not open or that have ended; callers abandon opening a flow after 1.4 s.
    Duration endedFlowRetention = std::chrono::seconds(2);
    /// An upstream that has been unlisted for this long and has an overdue request is considered exited. After an
    /// outage, records are listed again within this time.
    Duration unlistedTimeout = std::chrono::milliseconds(2500);
    /// A request without an answer for this long, and for longer than its latency objective, makes this VM check the
    /// upstream. Upstreams acknowledge requests before they answer them, so that callers of one that crashed meanwhile
    /// retransmit nothing.
    Duration stalledRequestTimeout = std::chrono::milliseconds(500);
    /// Limit of flows with a record on this VM. Further flows are routed the same way, but contribute nothing to the
    /// load and health of upstreams.
    std::size_t maxTrackedFlows = 100'000;
    std::uint64_t seed = 1;
};

/// Why a packet was reset or dropped.
enum class TaggedRefusal : std::uint8_t {
    NoView, ///< No full listing of the directory has been received yet.
    UnknownEntry, ///< No catalogue entry has the destination address.
    NoUpstream, ///< The entry's service has no upstream that may take a flow.
    UnknownTag, ///< No upstream in the view has the packet's tag.
    ForeignTag, ///< The tag's upstream serves none of the entry's services.
    SilentUpstream, ///< The flow's upstream no longer responds, and the flow isn't open or its requests are idempotent.
    EndedUpstream, ///< The flow's upstream is unlisted or has lost its address, and leaves requests unanswered.
    ConcurrencyLimit, ///< The service is at its concurrency limit, and the SYN was not sent to any upstream.
    OutdatedSyn, ///< The SYN waited in the socket of a suspended process.
    UnplacedCopy, ///< The packet is a copy of a SYN that another VM may have placed.
};

/// Number of values of TaggedRefusal.
inline constexpr std::size_t taggedRefusalCount = static_cast<std::size_t>(TaggedRefusal::UnplacedCopy) + 1;

/// Why the upstream of a new flow was chosen: for its first SYN, or again for a copy of the SYN.
enum class PlacementReason : std::uint8_t { First, Repeated };

/// Sends the packet to an upstream.
struct ForwardPacket
{
    UpstreamId upstream;
    Endpoint address;
    FlowTag tag;
    /// The packet is a retransmission that its upstream should have answered; set only in the first one of a request.
    bool unanswered = false;
    /// The packet is the SYN of a flow or a copy of it.
    bool placed = false;
    PlacementReason reason = PlacementReason::First;
    /// The upstream that the packet's tag names, if the flow is open at another one; 0 otherwise and if that was
    /// reported for the flow before.
    UpstreamId tagUpstream {};
    /// Cost of the chosen upstream, and how many upstreams were compared; set only if placed and not Repeated.
    double cost = 0;
    std::size_t compared = 0;
};

/// Sends a TCP RST to the caller because the flow can't be served.
struct ResetFlow
{
    TaggedRefusal reason = TaggedRefusal::UnknownEntry;
    /// The upstream of the flow so far; 0 if it had none.
    UpstreamId upstream;
    /// Evidence that the upstream has ended or is silent: time since its last progress on this VM and for how long a
    /// request waits, of this flow for TaggedRefusal::EndedUpstream and of any flow for TaggedRefusal::SilentUpstream.
    Duration sinceProgress {};
    Duration waiting {};
    /// Further evidence for TaggedRefusal::EndedUpstream only: time since the upstream's record vanished, and whether
    /// this VM saw the flow open.
    Duration sinceUnlisted {};
    bool openedHere = false;
    /// Further evidence for TaggedRefusal::SilentUpstream only: time since the request of the check that failed, and
    /// since the last of the unanswered packets, whose number follows.
    Duration sinceCheck {};
    Duration sinceUnanswered {};
    std::uint32_t unanswered = 0;
};

/// Discards the packet without a response, because the view of this VM may be incomplete or outdated, or because the
/// request timed out in the queue.
struct DropPacket
{
    TaggedRefusal reason = TaggedRefusal::UnknownEntry;
};

/// Queues the SYN of a request whose service is at its concurrency limit, until room() allows it.
struct QueuePacket
{
    WaitingRequestAttributes attributes;
    /// Values behind the decision: requests in progress, their limit, and the mean latency of answers as a fraction of
    /// their objectives. The limit is 0 for a further packet of a request that is queued already.
    std::size_t inProgress = 0;
    double limit = 0;
    double meanLatencyRatio = 0;
};

using TaggedDecision = std::variant<ForwardPacket, ResetFlow, DropPacket, QueuePacket>;

/// Circumstances of a packet that is routed.
struct RouteOptions
{
    /// The view is recent enough that a flow may be reset because of it.
    bool viewIsFresh = false;
    /// The packet can be queued while its service is at its concurrency limit.
    bool mayQueue = false;
    /// Time that the packet was held before it is routed.
    Duration waited {};
};

/// Counters since the start of a TaggedRouter.
struct TaggedCounters
{
    std::uint64_t forwarded = 0;
    std::uint64_t placed = 0;
    std::uint64_t placedRemote = 0;
    std::uint64_t retransmittedData = 0;
    std::uint64_t unansweredPackets = 0;
    /// Flows whose callers used the tag of another upstream than the one at which the flow is open.
    std::uint64_t tagMismatches = 0;
    std::array<std::uint64_t, taggedRefusalCount> resets {};
    std::array<std::uint64_t, taggedRefusalCount> dropped {};
};

/// Flows of this VM at one upstream.
struct UpstreamUsage
{
    UpstreamId upstream;
    Incarnation incarnation;
    std::uint32_t openFlows = 0;
    std::uint32_t busyFlows = 0;
    bool ejected = false;
};

/// An active health check that is due; it succeeds if a connection to the address is accepted or refused.
struct UpstreamCheck
{
    UpstreamId upstream;
    Incarnation incarnation;
    Endpoint address;
};

/// A flow that is reset because its upstream fell silent.
struct SilentFlow
{
    /// Caller, entry and acknowledged sequence number of the flow, from which the reset is made.
    FlowPacket head;
    ResetFlow reset;
};

/// An upstream was ejected, or returned to placement.
struct EjectionChange
{
    UpstreamId upstream;
    bool ejected = false;
    std::uint32_t consecutiveUnanswered = 0;
    Duration sinceProgress {};
};

/**
 * Routes the packets of a fabric that carries a flow tag.
 *
 * The tag identifies the upstream, so that any VM routes any packet after the first without a flow table or a peer.
 * Flow records serve placement and passive health checks only; they may be lost at any time. Does no I/O and reads no
 * clock. Not synchronized: one thread at a time; times must not go back.
 */
class TaggedRouter
{
public:
    explicit TaggedRouter(const TaggedRouterSettings &settings);

    /// Replaces the view. Precondition: @p view isn't null.
    void applyView(std::shared_ptr<const DirectoryView> view, TimePoint now);

    /// Decides on one packet.
    TaggedDecision route(const FlowPacket &packet, const RouteOptions &options, TimePoint now);

    /// Where further requests of this VM to @p service may go now.
    ServiceRoom room(ServiceId service, TimePoint now) { return admission_.room(service, now); }

    /// Counts a SYN that is reset because of @p reason. Precondition: it was never forwarded.
    ResetFlow resetSyn(TaggedRefusal reason);

    /// Counts a SYN that isn't placed, because of @p reason.
    DropPacket dropSyn(TaggedRefusal reason);

    /// Concurrency limit of this VM's requests at each service.
    std::vector<std::pair<ServiceId, double>> admissionLimits() const { return admission_.limits(); }

    /// Cold upstreams of services that limit them, among those that may take flows.
    std::size_t coldUpstreams(TimePoint now) const { return coldStart_.coldUpstreams(now); }

    /// Evicts expired flows; returns the upstreams whose ejection changed. To be called about ten times a second.
    std::vector<EjectionChange> tick(TimePoint now);

    /// Health checks that became due since the last call; their results go to recordCheckResult().
    std::vector<UpstreamCheck> takeChecks();

    /// Records the result of a health check. @p answered is false only if nothing at all came back in time.
    void recordCheckResult(const UpstreamCheck &check, bool answered, TimePoint now);

    /// Flows of silent upstreams that have to be reset, so that their callers need not retransmit until then. To be
    /// called after recordCheckResult() and each tick.
    std::vector<SilentFlow> takeSilentFlows(TimePoint now);

    /// Upstreams that have flows on this VM or are ejected.
    std::vector<UpstreamUsage> usage() const;

    /// What this VM knows of the speed of upstreams. The reference is valid as long as the router.
    UpstreamSpeeds &speeds() { return speeds_; }
    const UpstreamSpeeds &speeds() const { return speeds_; }

    const TaggedCounters &counters() const { return counters_; }
    std::size_t trackedFlows() const { return flows_.size(); }

private:
    struct TrackedUpstream
    {
        DirectoryUpstream status;
        FlowTag tag;
        PassiveHealth health;
        /// Other listed upstreams with the same address, and since when there are any.
        std::vector<std::weak_ptr<TrackedUpstream>> rivals;
        TimePoint contestedSince;
        /// The upstream was listed after its rivals.
        bool isLatestAtAddress = true;
        std::uint32_t openFlows = 0;
        std::uint32_t busyFlows = 0;
        bool reportedEjected = false;
    };

    enum class FlowPhase : std::uint8_t { Opening, Open, Ended };

    struct Flow
    {
        std::shared_ptr<TrackedUpstream> upstream;
        FlowPhase phase = FlowPhase::Opening;
        bool busy = false;
        /// The packet in flight was already counted as unanswered.
        bool unansweredCounted = false;
        /// This VM placed the flow and forwarded the packet that opened it.
        bool openedHere = false;
        bool tagMismatchReported = false;
        /// Counts the request in progress at the concurrency limit of its service and zone.
        RequestAdmission::Ticket ticket;
        Duration objective {};
        /// Address of the flow's entry.
        Endpoint entry;
        TimePoint requestStartedAt;
        /// When this VM forwarded the SYN or data that it had not seen before.
        TimePoint lastNewDataAt;
        std::uint32_t synSequence = 0;
        std::uint32_t nextSequence = 0;
        std::uint32_t acknowledged = 0;
        TimePoint lastPacket;
        TimePoint synSentAt;
    };

    using FlowId = std::pair<Endpoint, Endpoint>;

    /// A flow whose SYN was placed.
    struct Opening
    {
        FlowId flow;
        std::uint32_t synSequence = 0;
        TimePoint placedAt;
    };

    void markContestedAddresses(TimePoint now);
    /// Whether one of the upstream's rivals seems to have the address now.
    static bool hasLostAddress(const TrackedUpstream &upstream);
    void checkStalledRequest(const Endpoint &address, Flow &flow, TimePoint now);
    /// Requests checks of the upstreams that leave the SYN of a flow unanswered.
    void checkOpenings(TimePoint now);
    Duration openingTime() const;
    const DirectoryEntry *findEntry(const Endpoint &address) const;
    std::shared_ptr<TrackedUpstream> findTagged(FlowTag tag, const DirectoryEntry &entry) const;
    std::shared_ptr<TrackedUpstream> findUpstream(const FlowPacket &packet, const DirectoryEntry &entry) const;
    /// Whether @p packet belongs to @p flow, not to another flow of the caller on the same port. Precondition: @p
    /// packet is no SYN.
    static bool continues(const Flow &flow, const FlowPacket &packet);
    /// Whether @p syn is a copy of the SYN that started @p flow.
    static bool isCopyOfSyn(const Flow &flow, const FlowPacket &syn);
    bool isInView(const TrackedUpstream &upstream) const;
    /// Routes a copy of the SYN of @p flow.
    TaggedDecision routeSynCopy(
        const FlowPacket &packet, const DirectoryEntry &entry, Flow &flow, const RouteOptions &options, TimePoint now);
    TaggedDecision
    routeSyn(const FlowPacket &packet, const DirectoryEntry &entry, const RouteOptions &options, TimePoint now);
    QueuePacket queueDecision(const WaitingRequestAttributes &attributes) const;
    TaggedDecision place(const FlowPacket &packet, const DirectoryEntry &entry, bool viewIsFresh, TimePoint now);
    std::vector<std::shared_ptr<TrackedUpstream>>
    selectUpstreams(const FlowPacket &packet, const DirectoryEntry &entry, TimePoint now);
    /// Whether another flow to the entry would be placed at an upstream that isn't ejected.
    bool hasAlternative(const FlowPacket &packet, const DirectoryEntry &entry, TimePoint now);
    PlacementCandidate placementCandidate(const TrackedUpstream &upstream, TimePoint now);
    /// Tells the admission in which zones services have upstreams.
    void setAdmissionSlots();
    /// Tells the limit of cold upstreams which upstreams may take flows.
    void setColdStartUpstreams(TimePoint now);
    /// track() and trackData() update the flow's record, and return whether the packet is a retransmission that its
    /// upstream should have answered.
    bool track(const FlowPacket &packet,
               const DirectoryEntry &entry,
               const std::shared_ptr<TrackedUpstream> &upstream,
               TimePoint now);
    bool trackData(const FlowPacket &packet, Flow &flow, TimePoint now);
    void countUnanswered(TrackedUpstream &upstream, UnansweredKind kind, TimePoint now);
    void requestCheck(const TrackedUpstream &upstream);
    /// Why the flow of a data packet is to be reset; std::nullopt if it isn't.
    std::optional<TaggedRefusal> resetReason(const FlowPacket &packet,
                                             const DirectoryEntry &entry,
                                             const TrackedUpstream &upstream,
                                             TimePoint now) const;
    /// Whether the request of the flow that @p packet belongs to waits for too long.
    bool hasOverdueRequest(const FlowPacket &packet, const TrackedUpstream &upstream, TimePoint now) const;
    /// Whether the upstream may have ended: it is unlisted or has lost its address, and none of its flows progresses.
    bool mayHaveEnded(const TrackedUpstream &upstream, TimePoint now) const;
    bool isConfirmedSilent(const TrackedUpstream &upstream, TimePoint now) const;
    ObservedUpstream observed(const TrackedUpstream &upstream) const;
    std::vector<ObservedUpstream> observedUpstreams() const;
    void discardFlow(const FlowPacket &packet);
    /// Discards the flow; @p reason is EndedUpstream or SilentUpstream.
    ResetFlow makeReset(TaggedRefusal reason, const FlowPacket &packet, const TrackedUpstream &upstream, TimePoint now);
    /// The reset of the flow that @p packet belongs to, whose upstream has ended.
    ResetFlow makeEndedReset(const FlowPacket &packet, const TrackedUpstream &upstream, TimePoint now) const;
    /// The reset of a flow of a silent upstream.
    static ResetFlow makeSilentReset(const TrackedUpstream &upstream, TimePoint now);
    /// The upstream that the packet's tag names, if it isn't @p upstream and wasn't reported for the flow before.
    UpstreamId mismatchedTag(const FlowPacket &packet, const DirectoryEntry &entry, const TrackedUpstream &upstream);
    void beginRequest(Flow &flow, TimePoint now);
    /// Learns from the answer to the request in progress.
    void recordAnswer(Flow &flow, TimePoint now);
    /// Ends the request in progress; @p answered says whether an answer arrived.
    void endRequest(Flow &flow, bool answered, TimePoint now);
    void setPhase(Flow &flow, FlowPhase phase);
    void assignUpstream(Flow &flow, const std::shared_ptr<TrackedUpstream> &upstream);
    void unassignUpstream(Flow &flow);
    TaggedDecision refuse(TaggedRefusal reason, bool mayReset);

    TaggedRouterSettings settings_;
    Random random_;
    std::shared_ptr<const DirectoryView> view_;
    std::map<UpstreamId, std::shared_ptr<TrackedUpstream>> upstreams_;
    /// Upstreams that may take new flows, by service; those of this VM's zone first.
    absl::flat_hash_map<ServiceId, std::vector<std::shared_ptr<TrackedUpstream>>> placeable_;
    /// All upstreams by tag, the earliest incarnation first.
    absl::flat_hash_map<FlowTag, std::vector<std::shared_ptr<TrackedUpstream>>> byTag_;
    absl::flat_hash_map<FlowId, Flow> flows_;
    /// When this VM saw the first request to each service.
    absl::flat_hash_map<ServiceId, TimePoint> servicesObservedSince_;
    RequestAdmission admission_;
    UpstreamSpeeds speeds_;
    ColdStartLimit coldStart_;
    std::vector<UpstreamCheck> checks_;
    EarlyCheckBudget earlyChecks_;
    /// Flows that were placed, in order of time, until the answers of their upstreams are due.
    std::deque<Opening> openings_;
    /// Mean time from the SYN of a flow to the packet that opens it.
    Duration meanOpeningTime_ {};
    TimePoint nextSweep_;
    TaggedCounters counters_;
};

} // namespace boragelug
