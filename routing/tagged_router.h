#pragma once

#include "core/random.h"
#include "model/directory_view.h"
#include "model/flow_packet.h"
#include "routing/passive_health.h"
#include "routing/service_admission.h"
#include "routing/tagged_placement.h"
#include "routing/waiting_requests.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
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
    TaggedPlacementSettings placement;
    AdmissionSettings admission;
    /// A new upstream gets flows when all VMs should have read of it: the pause between their watches plus an answer.
    Duration propagationDelay = std::chrono::milliseconds(1500);
    /// A repeated SYN goes to the same upstream if the first one left this VM less than this before: both then waited
    /// in this VM's queue. Callers repeat after 200 ms.
    Duration queuedSynWindow = std::chrono::milliseconds(120);
    /// Time after which a flow that didn't open or that has ended is forgotten; callers give up opening after 1.4 s.
    Duration endedFlowRetention = std::chrono::seconds(2);
    /// A host whose record is gone, and of whose flows none progressed for this long, has ended: records come back
    /// within 2.5 s after an outage, and this VM reads of it up to 1.5 s later.
    Duration unlistedTimeout = std::chrono::milliseconds(4000);
    /// The same where the packet itself came again without an answer.
    Duration unlistedTimeoutUnanswered = std::chrono::milliseconds(2500);
    /// Flows of which this VM keeps a record. Flows beyond are routed just the same, but tell nothing.
    std::size_t maxTrackedFlows = 100'000;
    std::uint64_t seed = 1;
};

/// Why a packet was reset or dropped.
enum class TaggedRefusal : std::uint8_t {
    NoView, ///< The directory hasn't been read yet.
    UnknownEntry, ///< No catalogue entry has the destination address.
    NoUpstream, ///< The entry's service has no upstream that may take a flow.
    UnknownTag, ///< No known upstream has the packet's tag.
    ForeignTag, ///< The tag's upstream serves none of the entry's services.
    SilentUpstream, ///< The flow's upstream answers nothing any more, and the caller may try again.
    EndedUpstream, ///< The flow's upstream is no longer listed, and none of its flows makes progress.
    ConcurrencyLimit, ///< The request waited too long for room at its service; this VM sent it nowhere.
};

/// Number of values of TaggedRefusal.
inline constexpr std::size_t taggedRefusalCount = static_cast<std::size_t>(TaggedRefusal::ConcurrencyLimit) + 1;

/// Why a new flow went where it did.
enum class PlacementReason : std::uint8_t { First, Repeated, OtherAfterNoAnswer };

/// Sends the packet to an upstream.
struct ForwardPacket
{
    UpstreamId upstream;
    Endpoint address;
    FlowTag tag;
    /// The packet came again although its upstream should have answered; set once for each request.
    bool unanswered = false;
    /// Set in the first packet of a flow.
    bool placed = false;
    PlacementReason reason = PlacementReason::First;
    /// Cost of the chosen upstream, and how many were compared; only when placed.
    double cost = 0;
    std::size_t compared = 0;
};

/// Tells the caller that the flow can't be served.
struct ResetFlow
{
    TaggedRefusal reason = TaggedRefusal::UnknownEntry;
    /// Where the flow went until now; 0 if nowhere.
    UpstreamId upstream;
};

/// Says nothing, because this VM can't be sure.
struct DropPacket
{
    TaggedRefusal reason = TaggedRefusal::UnknownEntry;
};

/// Starts a request for which its service has no room now; the packet is to be kept until hasRoom().
struct QueuePacket
{
    WaitingRequestAttributes attributes;
    /// What decided: requests in progress, their limit, and the mean time of answers as a part of their objectives. The
    /// limit is 0 for a further packet of a request that waits already.
    std::size_t inProgress = 0;
    double limit = 0;
    double meanLatencyRatio = 0;
};

using TaggedDecision = std::variant<ForwardPacket, ResetFlow, DropPacket, QueuePacket>;

/// Counters since the start of a TaggedRouter.
struct TaggedCounters
{
    std::uint64_t forwarded = 0;
    std::uint64_t placed = 0;
    std::uint64_t moved = 0;
    std::uint64_t placedRemote = 0;
    std::uint64_t retransmittedData = 0;
    std::uint64_t unansweredPackets = 0;
    std::array<std::uint64_t, taggedRefusalCount> resets {};
    std::array<std::uint64_t, taggedRefusalCount> dropped {};
};

/// Use of one upstream as this VM sees it.
struct UpstreamUsage
{
    UpstreamId upstream;
    Incarnation incarnation;
    std::uint32_t openFlows = 0;
    std::uint32_t busyFlows = 0;
    bool ejected = false;
};

/// An upstream whose address is to be checked: does anything there still accept or refuse connections?
struct UpstreamCheck
{
    UpstreamId upstream;
    Incarnation incarnation;
    Endpoint address;
};

/// A change of what this VM believes of an upstream.
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
 * The tag names the upstream, so that any VM routes any packet after the first without a table or a peer. What is kept
 * of flows serves placement and judgement only; it may be lost at any time. Does no I/O and reads no clock. Not
 * synchronized: one thread at a time; times must not go back.
 */
class TaggedRouter
{
public:
    explicit TaggedRouter(const TaggedRouterSettings &settings);

    /// Replaces the view. Precondition: @p view isn't null.
    void applyView(std::shared_ptr<const DirectoryView> view, TimePoint now);

    /// Decides on one packet. @p viewIsFresh says whether the view is recent enough to reset what doesn't agree with
    /// it, and @p mayQueue whether the packet can be kept until its service has room.
    TaggedDecision route(const FlowPacket &packet, bool viewIsFresh, TimePoint now, bool mayQueue = false);

    /// How long before now the caller sent the first packet of a flow, as far as its SYN shows.
    Duration sinceFirstSyn(const FlowPacket &syn) const;

    /// Whether @p service has room for one more request of this VM; @p late says that it can't be answered in time any
    /// more.
    bool isBelowLimit(ServiceId service, bool late, TimePoint now);

    /// Counts a SYN that waited in vain.
    DropPacket dropExpiredSyn();

    /// Requests that this VM lets each service work on at once.
    std::vector<std::pair<ServiceId, double>> admissionLimits() const;

    /// Forgets old flows. To be called about ten times a second; returns changed beliefs.
    std::vector<EjectionChange> tick(TimePoint now);

    /// Checks that are due since the last call; each is answered with noteCheck().
    std::vector<UpstreamCheck> takeChecks();

    /// Takes the result of a check. @p answered is false only if nothing at all came back in time.
    void recordCheckResult(const UpstreamCheck &check, bool answered, TimePoint now);

    /// Use of all upstreams that have flows on this VM.
    std::vector<UpstreamUsage> use() const;

    const TaggedCounters &counters() const { return counters_; }
    std::size_t trackedFlows() const { return flows_.size(); }

private:
    struct TrackedUpstream
    {
        DirectoryUpstream status;
        FlowTag tag;
        PassiveHealth health;
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
        /// The packet in flight was already counted as missed.
        bool unansweredCounted = false;
        /// The service that the request in progress counts at.
        ServiceId service;
        ServiceAdmission::Ticket ticket = 0;
        Duration objective {};
        std::uint32_t synSequence = 0;
        std::uint32_t nextSequence = 0;
        std::uint32_t acknowledged = 0;
        TimePoint lastPacket;
        TimePoint synSentAt;
        /// Upstreams that didn't answer an earlier copy of the SYN.
        std::array<UpstreamId, 2> tried {};
    };

    using UpstreamKey = std::pair<std::uint64_t, std::uint64_t>;
    using FlowId = std::pair<Endpoint, Endpoint>;

    const DirectoryEntry *findEntry(const Endpoint &address) const;
    std::shared_ptr<TrackedUpstream> findTagged(FlowTag tag, const DirectoryEntry &entry) const;
    TaggedDecision
    routeSyn(const FlowPacket &packet, const DirectoryEntry &entry, bool viewIsFresh, TimePoint now, bool mayQueue);
    std::optional<QueuePacket>
    queueIfAtLimit(const FlowPacket &packet, const DirectoryEntry &entry, ServiceId service, TimePoint now);
    /// Facts of a request whose first packet is this; @p unknownFlow says that this VM has no record of its flow.
    WaitingRequestAttributes waitingRequestAttributes(const FlowPacket &packet,
                                                      const DirectoryEntry &entry,
                                                      ServiceId service,
                                                      bool unknownFlow,
                                                      TimePoint now) const;
    QueuePacket queueDecision(const WaitingRequestAttributes &attributes);
    ServiceAdmission &admission(ServiceId service);
    double localSlots(ServiceId service) const;
    TaggedDecision place(
        const FlowPacket &packet, const DirectoryEntry &entry, PlacementReason reason, bool viewIsFresh, TimePoint now);
    std::vector<std::shared_ptr<TrackedUpstream>>
    selectUpstreams(const FlowPacket &packet, const DirectoryEntry &entry, const Flow *earlier, TimePoint now);
    PlacementCandidate placementCandidate(const TrackedUpstream &upstream, TimePoint now) const;
    /// Whether the packet shows that its upstream didn't answer; so does trackData().
    bool track(const FlowPacket &packet,
               const DirectoryEntry &entry,
               const std::shared_ptr<TrackedUpstream> &upstream,
               TimePoint now);
    bool trackData(const FlowPacket &packet, Flow &flow, TimePoint now);
    void countUnanswered(TrackedUpstream &upstream, TimePoint now);
    /// Why the flow of a data packet is to be reset, if it is.
    std::optional<TaggedRefusal> resetReason(const FlowPacket &packet,
                                             const DirectoryEntry &entry,
                                             const TrackedUpstream &upstream,
                                             bool unanswered,
                                             TimePoint now) const;
    bool isConfirmedSilent(const TrackedUpstream &upstream, TimePoint now) const;
    void discardFlow(const FlowPacket &packet);
    void beginRequest(Flow &flow, TimePoint now);
    /// Ends the request in progress; @p answered says whether an answer arrived.
    void endRequest(Flow &flow, bool answered, TimePoint now);
    void setPhase(Flow &flow, FlowPhase phase);
    void assignUpstream(Flow &flow, const std::shared_ptr<TrackedUpstream> &upstream);
    void unassignUpstream(Flow &flow);
    TaggedDecision refuse(TaggedRefusal reason, bool mayReset);

    TaggedRouterSettings settings_;
    Random random_;
    std::shared_ptr<const DirectoryView> view_;
    std::map<UpstreamKey, std::shared_ptr<TrackedUpstream>> upstreams_;
    /// Hosts that may take new flows, by service; those of the own zone first.
    absl::flat_hash_map<ServiceId, std::vector<std::shared_ptr<TrackedUpstream>>> placeable_;
    /// All hosts by tag, the earliest incarnation first.
    absl::flat_hash_map<FlowTag, std::vector<std::shared_ptr<TrackedUpstream>>> byTag_;
    absl::flat_hash_map<FlowId, Flow> flows_;
    std::map<ServiceId, ServiceAdmission> admissions_;
    std::vector<UpstreamCheck> checks_;
    TimePoint nextSweep_;
    TaggedCounters counters_;
};

} // namespace boragelug
