#pragma once

#include "core/flow_sampler.h"
#include "core/random.h"
#include "model/directory_record.h"
#include "model/flow_packet.h"
#include "node/node_action.h"
#include "routing/held_packets.h"
#include "routing/tagged_router.h"
#include "routing/waiting_requests.h"
#include "views/directory_mirror.h"
#include "views/directory_reader.h"
#include "views/directory_relay.h"
#include "views/relay_start.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace boragelug
{

/// Fixed properties of a TaggedNode.
struct TaggedNodeSettings
{
    MirrorSettings mirror;
    ReaderSettings reader;
    RelayStartSettings start;
    RelaySettings relay;
    TaggedRouterSettings routing;
    WaitingSettings waiting;
    /// Limit of packets that are held until the first view.
    std::size_t maxHeldPackets = 2000;
    /// A longer gap between ticks counts as a suspension of the process, after which its state is outdated.
    Duration suspensionThreshold = std::chrono::seconds(1);
    /// Packets that are read within this time after a suspension may have waited in the socket meanwhile.
    Duration socketDrainTime = std::chrono::milliseconds(100);
    /// Time that the fabric takes to detect that this VM drains: two failed health checks, which it runs twice a
    /// second, plus a margin.
    Duration fabricDetectionTime = std::chrono::milliseconds(1300);
    /// A draining VM that gets no packets for this long is no longer used by the fabric.
    Duration drainIdleTime = std::chrono::milliseconds(400);
    /// The process may exit this long after the start of a drain, even if packets still arrive.
    Duration drainBound = std::chrono::milliseconds(5500);
    /// Limit of log lines about flows; beyond it, all lines of some flows are left out.
    double flowLogLinesPerSecond = 20;
    std::uint64_t seed = 1;
};

/// A packet that left the queue, with the decision on it.
struct DequeuedPacket
{
    WaitingPacket packet;
    TaggedDecision decision;
    Duration waited {};
};

/**
 * Logic of one entry VM of a fabric that carries a flow tag: combines the directory's view with routing.
 *
 * Does no I/O and reads no clock: inputs and time are arguments, and actions are returned. The same settings, inputs
 * and times give the same actions. Not synchronized: one thread at a time; times must not go back.
 */
class TaggedNode
{
public:
    explicit TaggedNode(const TaggedNodeSettings &settings);

    /// Decides on one packet of a caller; appends the events of the decision to @p events. If the decision is a
    /// QueuePacket, the node keeps a copy of @p bytes, which takeDequeued() returns later. Before the first view, all
    /// packets are queued.
    TaggedDecision handlePacket(const FlowPacket &packet,
                                TimePoint now,
                                std::vector<NodeEvent> &events,
                                std::span<const std::byte> bytes = {});

    /// Packets that leave the queue now, to be forwarded, reset or dropped. To be called after every packet and tick.
    std::vector<DequeuedPacket> takeDequeued(TimePoint now, std::vector<NodeEvent> &events);

    /// Requests that are queued because their service is at its concurrency limit.
    std::size_t waitingRequests() const { return waiting_.size(); }
    /// Requests that were queued since the start.
    std::uint64_t waitedRequests() const { return waitedRequests_; }

    /// Handles an answer of the directory to a call of this node.
    std::vector<NodeEvent> handleDirectoryAnswer(const DirectoryAnswer &answer, TimePoint now);

    /// The call to the directory that is due; std::nullopt if none is. To be called after every input and at
    /// nextCallAt().
    std::optional<DirectoryCall> nextCall(TimePoint now);

    /// When nextCall() is due; std::nullopt while a call is in progress.
    std::optional<TimePoint> nextCallAt() const { return reader_.nextCallAt(); }

    /// Id of the call of nextCall() whose answer the node waits for; std::nullopt if there is none. An earlier call
    /// that has not ended has to be cancelled.
    std::optional<std::uint64_t> directoryCallInProgress() const { return reader_.callInProgress(); }

    /// Calls to a relay for all records, while the VM has none: nextStartCall() and nextStartCallAt() are used like
    /// nextCall() and nextCallAt(), and the answers go to handleStartAnswer().
    std::optional<DirectoryCall> nextStartCall(TimePoint now) { return start_.nextCall(now); }
    std::optional<TimePoint> nextStartCallAt() const { return start_.nextCallAt(); }
    std::vector<NodeEvent> handleStartAnswer(const DirectoryAnswer &answer, TimePoint now);

    /// When to call abandonsListing(); std::nullopt if no call in progress can be abandoned.
    std::optional<TimePoint> listingCheckAt() const { return reader_.listingCheckAt(); }

    /// Whether the listing in progress, of whose answer @p receivedBytes have arrived, is abandoned and has to be
    /// cancelled. Precondition: listingCheckAt() has a value.
    bool abandonsListing(std::size_t receivedBytes, TimePoint now)
    {
        return reader_.abandonsListing(receivedBytes, now, random_);
    }

    /// Replaces the relays from which this VM may get directory changes.
    void setRelays(std::vector<Endpoint> relays) { reader_.setRelays(std::move(relays)); }

    /// Handles the request of another VM that follows this one.
    void handleFollower(FollowerId follower, const FollowRequest &request, TimePoint now);

    /// Discards the request of a follower that no longer waits for an answer.
    void dropFollower(FollowerId follower) { relay_.handleDisconnect(follower); }

    /// Answers to followers that are due. To be called after every directory answer, follower's request and tick.
    std::vector<RelayAnswer> takeRelayAnswers(TimePoint now);

    /// VMs that get directory changes from this one.
    std::size_t followers() const { return relay_.followers(); }
    /// Whether this VM gets directory changes from a relay.
    bool isFollowing() const { return reader_.isFollowing(); }

    /// Health checks of upstreams that are due. To be called after every packet.
    std::vector<UpstreamCheck> takeChecks() { return router_.takeChecks(); }

    /// Handles the result of a health check; @p answered is false only if nothing at all came back in time.
    std::vector<NodeEvent> handleCheckResult(const UpstreamCheck &check, bool answered, TimePoint now);

    /// Flows that have to be reset because their upstream fell silent. To be called after each check result and tick.
    std::vector<SilentFlow> takeSilentFlows(TimePoint now, std::vector<NodeEvent> &events);

    /// Runs periodic work: expires upstreams and flows and updates ejections. To be called every 100 ms.
    std::vector<NodeEvent> tick(TimePoint now);

    /// Starts a drain: the VM is no longer ready, and continues to serve until the fabric stops sending it packets.
    std::vector<NodeEvent> beginDrain(TimePoint now);

    /// Whether the drain has ended, so that the process may exit.
    bool isDrained(TimePoint now) const;

    /// Whether the VM has no complete records yet.
    bool isStarting() const { return !reader_.isComplete(); }

    /// Whether the VM takes new flows.
    bool isReady() const { return reader_.isComplete() && !drainStart_; }

    bool isDraining() const { return drainStart_.has_value(); }

    /// Changes the bound of a drain, also of one in progress.
    void setDrainBound(Duration bound) { settings_.drainBound = bound; }

    const TaggedRouter &router() const { return router_; }
    const std::shared_ptr<const DirectoryView> &view() const { return view_; }
    /// The catalogue in force; its version is 0 if there is none.
    const CatalogueMirror &catalogue() const { return mirror_.catalogue(); }
    /// Number of availability zones that are evacuated.
    std::size_t evacuatedZones() const { return mirror_.evacuatedZones(); }
    /// Whether the last answer of the directory is recent.
    bool isFresh(TimePoint now) const { return reader_.isFresh(now); }
    /// Time since the last answer of the directory; std::nullopt before the first and after a suspension of the
    /// process.
    std::optional<Duration> viewAge(TimePoint now) const { return reader_.timeSinceAnswer(now); }

private:
    void publish(TimePoint now);
    /// Adopts the records of a relay, if the reader takes them.
    bool adoptRecords(const Endpoint &relay,
                      const DirectoryChanges &records,
                      DirectoryReader::Acceptance acceptance,
                      TimePoint now,
                      std::vector<NodeEvent> &events);
    void adoptStaleRecords(TimePoint now, std::vector<NodeEvent> &events);
    void appendReadyEvent(std::vector<NodeEvent> &events);
    void releaseWaiting(TimePoint now, std::vector<DequeuedPacket> &dequeued);
    void routeHeld(TimePoint now, std::vector<DequeuedPacket> &dequeued);
    /// @p waited is the time that the packet was held before the first view.
    bool mayReset(const FlowPacket &packet, Duration waited, TimePoint now) const;
    bool isOutdatedSyn(const FlowPacket &packet, TimePoint now) const;
    void handleTickGap(TimePoint now, std::vector<NodeEvent> &events);
    TaggedDecision decide(const FlowPacket &packet, TimePoint now, std::span<const std::byte> bytes, Duration waited);
    /// Queues @p syn, or resets it if it would be late before it is dequeued.
    TaggedDecision
    queueSyn(const FlowPacket &syn, const QueuePacket &queued, TimePoint now, std::span<const std::byte> bytes);
    bool hasMovedAway(const WaitingRequest &request, TimePoint now) const;
    /// Resets the SYN of a request that leaves the queue unserved, unless another VM may have placed a copy of it.
    void rejectDequeued(WaitingRequest request, TimePoint now, std::vector<DequeuedPacket> &dequeued);
    void routeDequeued(WaitingRequest request, TimePoint now, std::vector<DequeuedPacket> &dequeued);
    void appendDecisionEvent(const FlowPacket &packet,
                             const TaggedDecision &decision,
                             std::optional<Duration> waited,
                             TimePoint now,
                             std::vector<NodeEvent> &events);
    void addViewFields(FlowSampler &sampler, TimePoint now, NodeEvent &event) const;
    void appendReaderEvents(const ReaderOutcome &outcome, TimePoint now, std::vector<NodeEvent> &events) const;
    void appendChanges(const std::vector<MirrorChange> &changes, std::vector<NodeEvent> &events) const;
    std::string viewAgeText(TimePoint now) const;

    TaggedNodeSettings settings_;
    DirectoryMirror mirror_;
    DirectoryReader reader_;
    DirectoryRelay relay_;
    TaggedRouter router_;
    WaitingRequests waiting_;
    HeldPackets held_;
    std::uint64_t waitedRequests_ = 0;
    Random random_;
    RelayStart start_;
    /// The freshest records of a relay that were too stale to be taken before all relays were asked.
    struct StaleRecords
    {
        Endpoint relay;
        DirectoryChanges records;
        TimePoint receivedAt;
    };
    std::optional<StaleRecords> staleRecords_;
    std::shared_ptr<const DirectoryView> view_;
    FlowSampler placementSampler_;
    /// Events other than first placements have a budget of their own.
    FlowSampler problemSampler_;
    bool wasReady_ = false;
    std::optional<TimePoint> lastTick_;
    /// End of the last suspension.
    std::optional<TimePoint> resumedAt_;
    std::optional<TimePoint> lastPacket_;
    std::optional<TimePoint> drainStart_;
};

/// Name of a refusal's reason in events and metrics. Thread-safe.
std::string_view taggedRefusalName(TaggedRefusal reason);

} // namespace boragelug
