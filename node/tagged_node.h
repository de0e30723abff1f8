#pragma once

#include "core/flow_sampler.h"
#include "core/random.h"
#include "model/directory_record.h"
#include "model/flow_packet.h"
#include "node/node_action.h"
#include "routing/tagged_router.h"
#include "routing/waiting_requests.h"
#include "views/directory_mirror.h"
#include "views/directory_reader.h"
#include "views/directory_relay.h"

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
    RelaySettings relay;
    TaggedRouterSettings routing;
    WaitingSettings waiting;
    /// After a longer gap between ticks the process acts on old state.
    Duration pauseThreshold = std::chrono::seconds(1);
    /// Time that the fabric takes to notice that this VM leaves: two missed checks at two a second, and a margin.
    Duration rotationExit = std::chrono::milliseconds(1300);
    /// A leaving VM that gets no packets for this long is no longer used.
    Duration quietTime = std::chrono::milliseconds(400);
    /// Longest time from the start of a drain until the process may exit.
    Duration drainBound = std::chrono::milliseconds(5500);
    /// Log lines of flows; whole flows are left out beyond it.
    double flowLinesPerSecond = 20;
    std::uint64_t seed = 1;
};

/// A packet that was kept, and what is to be done with it now.
struct ReleasedPacket
{
    WaitingPacket packet;
    TaggedDecision decision;
    Duration waited {};
};

/**
 * One entry VM of a fabric that carries a flow tag: joins the directory's view and routing.
 *
 * Does no I/O and reads no clock: inputs and time are arguments, and what to do is returned. The same settings, inputs
 * and times give the same actions. Not synchronized: one thread at a time; times must not go back.
 */
class TaggedNode
{
public:
    explicit TaggedNode(const TaggedNodeSettings &settings);

    /// Decides on one packet of a caller; what operators may want to know is added to @p events. For a KeepPacket the
    /// node has copied @p bytes, and nothing is to be done until takeReleased() returns them.
    TaggedDecision handlePacket(const FlowPacket &packet,
                                TimePoint now,
                                std::vector<NodeEvent> &events,
                                std::span<const std::byte> bytes = {});

    /// Packets that were kept and have to be sent or refused now. To be asked after every packet and tick.
    std::vector<ReleasedPacket> takeReleased(TimePoint now, std::vector<NodeEvent> &events);

    /// Requests that wait for room at their service.
    std::size_t waitingRequests() const { return waiting_.size(); }
    /// Requests that have waited since the start.
    std::uint64_t waitedRequests() const { return waitedRequests_; }

    /// The directory answered a call of this node.
    std::vector<NodeEvent> handleDirectoryAnswer(const DirectoryAnswer &answer, TimePoint now);

    /// The call to the directory that is due, if any. To be asked after every input and at nextCallAt().
    std::optional<DirectoryCall> nextCall(TimePoint now) { return reader_.nextCall(now); }

    /// When nextCall() is due; nothing while a call is in progress.
    std::optional<TimePoint> nextCallAt() const { return reader_.nextCallAt(); }

    /// Replaces the VMs that read the directory for the others.
    void setRelays(std::vector<Endpoint> relays) { reader_.setRelays(std::move(relays)); }

    /// Another VM asks for what this one knows of the directory.
    void handleFollower(FollowerId follower, const FollowRequest &request, TimePoint now);

    /// The VM no longer waits for an answer.
    void dropFollower(FollowerId follower) { relay_.handleDisconnect(follower); }

    /// Answers to other VMs that are due. To be asked after every directory answer, request and tick.
    std::vector<RelayAnswer> takeRelayAnswers(TimePoint now) { return relay_.takeAnswers(now, random_); }

    /// VMs that learn of the directory from this one.
    std::size_t followers() const { return relay_.followers(); }
    /// Whether this VM learns of the directory from another one.
    bool isFollowing() const { return reader_.isFollowing(); }

    /// Checks of upstreams that are due. To be asked after every packet.
    std::vector<UpstreamCheck> takeChecks() { return router_.takeChecks(); }

    /// A check ended; @p answered is false only if nothing at all came back in time.
    std::vector<NodeEvent> handleCheck(const UpstreamCheck &check, bool answered, TimePoint now);

    /// Does what is due. Call it every 100 ms.
    std::vector<NodeEvent> tick(TimePoint now);

    /// Starts to leave: the VM is no longer ready, and serves on until the fabric has noticed.
    std::vector<NodeEvent> beginDrain(TimePoint now);

    /// Whether a drain is over.
    bool isDrained(TimePoint now) const;

    /// Whether the VM takes new flows.
    bool isReady() const { return reader_.isComplete() && !drainStart_; }

    bool isDraining() const { return drainStart_.has_value(); }

    /// Changes the longest time of a drain, also of one in progress.
    void setDrainBound(Duration bound) { settings_.drainBound = bound; }

    const TaggedRouter &router() const { return router_; }
    const std::shared_ptr<const DirectoryView> &view() const { return view_; }
    /// Whether the last answer of the directory is recent.
    bool isFresh(TimePoint now) const { return reader_.isFresh(now); }
    /// Time since the last answer of the directory; nothing before the first.
    std::optional<Duration> viewAge(TimePoint now) const { return reader_.timeSinceAnswer(now); }

private:
    void publish(TimePoint now);
    bool mayReset(const FlowPacket &packet, TimePoint now) const;
    void noteGap(TimePoint now, std::vector<NodeEvent> &events);
    TaggedDecision decide(const FlowPacket &packet, TimePoint now, std::span<const std::byte> bytes);
    void release(WaitingRequest request, TimePoint now, std::vector<ReleasedPacket> &released);
    void noteDecision(const FlowPacket &packet,
                      const TaggedDecision &decision,
                      std::optional<Duration> waited,
                      TimePoint now,
                      std::vector<NodeEvent> &events);
    void addViewFields(FlowSampler &lines, TimePoint now, NodeEvent &event) const;
    void noteSources(const ReaderOutcome &outcome, TimePoint now, std::vector<NodeEvent> &events) const;
    void appendChanges(const std::vector<MirrorChange> &changes, std::vector<NodeEvent> &events) const;
    std::string viewAgeText(TimePoint now) const;

    TaggedNodeSettings settings_;
    DirectoryMirror mirror_;
    DirectoryReader reader_;
    DirectoryRelay relay_;
    TaggedRouter router_;
    WaitingRequests waiting_;
    std::uint64_t waitedRequests_ = 0;
    Random random_;
    std::shared_ptr<const DirectoryView> view_;
    FlowSampler placementLines_;
    /// Lines of flows that something happened to have a budget of their own.
    FlowSampler problemLines_;
    bool wasReady_ = false;
    std::optional<TimePoint> lastTick_;
    std::optional<TimePoint> lastPacket_;
    std::optional<TimePoint> drainStart_;
};

/// Name of a reason as events and metrics show it. Thread-safe.
std::string_view taggedRefusalName(TaggedRefusal reason);

} // namespace boragelug
