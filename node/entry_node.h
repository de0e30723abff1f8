#pragma once

#include "core/random.h"
#include "core/time_point.h"
#include "core/token_bucket.h"
#include "model/view.h"
#include "node/node_action.h"
#include "requests/request_dispatcher.h"
#include "routing/flow_router.h"
#include "servers/peer_transport.h"
#include "servers/tunnel_packet.h"
#include "servers/upstream_client.h"
#include "views/view_keeper.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragelug
{

/// Fixed properties of an EntryNode.
struct EntryNodeSettings
{
    /// Includes this VM's id, addresses and zone.
    ViewKeeperSettings views;
    FlowRouterSettings routing;
    DispatcherConfig requests;
    /// Longest time from the start of a drain until the process may exit.
    Duration drainBound = std::chrono::seconds(30);
    std::uint64_t seed = 1;
};

/// Work left before a drain is finished.
struct DrainState
{
    std::size_t requests = 0;
    std::size_t flowEntries = 0;
    /// No work is left and peers and the fabric no longer send any, or the drain bound has passed.
    bool finished = false;
};

/**
 * One entry VM: connects views, routing and requests.
 *
 * Does no I/O and reads no clock: inputs and time are arguments, and actions are returned. The same settings, inputs
 * and times give the same actions. Not synchronized: one thread at a time; times must not go back.
 */
class EntryNode
{
public:
    EntryNode(const EntryNodeSettings &settings, TimePoint now);

    /// Kind of the entry at @p address; std::nullopt if this VM's view has no such entry.
    std::optional<EntryKind> kindOf(const Endpoint &address) const;

    /// Name of the entry at @p address; "unknown" if this VM's view has no such entry.
    std::string entryName(const Endpoint &address) const;

    /// Whether @p from is the packet endpoint of a VM in the view. Relayed requests and outcomes from other addresses
    /// are dropped: unlike packets of flows, they determine the outcomes that callers rely on.
    bool isMember(const Endpoint &from) const { return memberEndpoints_.contains(from); }

    /// Handles a packet of a flow. Precondition: @p inner was parsed from @p packet.
    NodeActions handlePacket(const InnerPacket &inner, TunnelPacket packet, TimePoint now);

    /// Handles a request from a caller or from a forwarding VM.
    NodeActions handleRequest(CallerRequest request, TimePoint now);

    /// Issues a request id for the entry in @p replyTo to the caller there.
    NodeActions handleIdRequest(const ReplyAddress &replyTo, TimePoint now);

    /// Handles the cancellation of request @p requestId by the caller at @p replyTo.
    NodeActions handleCancel(const std::string &requestId, const ReplyAddress &replyTo, TimePoint now);

    /// Handles the issuer's reply to a RelayRequest of this VM.
    NodeActions handleRelayedOutcome(std::uint64_t forward, RequestOutcome outcome, TimePoint now);

    /// Handles the result of an attempt at upstream incarnation @p incarnation.
    NodeActions
    handleAttemptResult(const AttemptId &attempt, Incarnation incarnation, AttemptResult result, TimePoint now);

    /// Handles an authenticated message from a peer.
    NodeActions handlePeerMessage(const ReceivedMessage &received, TimePoint now);

    /// Handles the configuration service's answer to a PlatformCall.
    NodeActions handlePlatformAnswer(PlatformAnswer answer, TimePoint now);

    /// Handles a load report of an upstream.
    void handleLoadReport(const LoadReport &report, TimePoint now) { keeper_.handleLoadReport(report, now); }

    /// Upstreams whose load this VM polls.
    const std::vector<Upstream> &polledUpstreams() const { return keeper_.polledUpstreams(); }

    /// Runs all timers that are due. Call it every 100 ms.
    NodeActions tick(TimePoint now);

    /// Runs the timers of requests only. Call it at nextRequestTick(), since requests can't wait for the next tick().
    NodeActions tickRequests(TimePoint now);

    /// When the next timer of a request is due; std::nullopt if none is set.
    std::optional<TimePoint> nextRequestTick(TimePoint now) const { return dispatcher_.nextTick(now); }

    /// Starts a drain: takes no new ownership of flows and no new requests. Work in progress may finish within the
    /// drain bound.
    NodeActions beginDrain(TimePoint now);

    /// Work left before the drain is finished. Precondition: beginDrain() was called.
    DrainState drainState(TimePoint now) const;

    /// Changes the drain bound, also of a drain in progress.
    void setDrainBound(Duration bound) { settings_.drainBound = bound; }

    /// Whether the VM has adopted a view and serves packets and requests.
    bool isReady() const { return adopted_; }

    const std::shared_ptr<const View> &view() const { return view_; }
    const FlowRouter &router() const { return router_; }
    const RequestDispatcher &dispatcher() const { return dispatcher_; }
    const ViewKeeper &keeper() const { return keeper_; }

private:
    const Entry *findEntry(const Endpoint &address) const;
    std::optional<Endpoint> packetEndpoint(VmId vm) const;
    void adoptPublishedView(TimePoint now, NodeActions &actions);
    void updateShares(TimePoint now);
    void updateUsable(TimePoint now);
    void applyToRouter(TimePoint now);
    void handleSuspension(TimePoint now, NodeActions &actions);
    void tickViews(TimePoint now, NodeActions &actions);
    void sendLeases(TimePoint now, NodeActions &actions);
    void append(const RoutingDecision &decision,
                const InnerPacket &inner,
                TunnelPacket packet,
                TimePoint now,
                NodeActions &actions);
    void append(RequestActions requestActions, TimePoint now, NodeActions &actions);
    void recordFlowEvent(
        EventNumber number, const InnerPacket &inner, std::string detail, TimePoint now, NodeActions &actions);

    EntryNodeSettings settings_;
    ViewKeeper keeper_;
    FlowRouter router_;
    RequestDispatcher dispatcher_;
    Random random_;
    std::shared_ptr<const View> view_;
    bool adopted_ = false;
    std::set<Endpoint> memberEndpoints_;
    /// Upstreams ejected by this VM's own request outcomes, as last applied to the router.
    std::set<UpstreamId> ejected_;
    TimePoint nextUsableCheck_;
    std::optional<TimePoint> lastTick_;
    /// Slot lease messages have been queued since the last tickViews().
    bool leasesQueued_ = false;
    std::optional<TimePoint> drainStart_;
    TokenBucket flowEvents_;
};

} // namespace boragelug
