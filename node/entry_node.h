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
    /// Names this VM, its addresses and its zone.
    ViewKeeperSettings views;
    FlowRouterSettings routing;
    DispatcherConfig requests;
    /// Longest time from the start of a drain until the process may exit.
    Duration drainBound = std::chrono::seconds(30);
    std::uint64_t seed = 1;
};

/// Work that a drain still waits for.
struct DrainState
{
    std::size_t requests = 0;
    std::size_t flowEntries = 0;
    /// Nothing is left, or the bound has passed.
    bool finished = false;
};

/**
 * One entry VM: joins views, routing and requests.
 *
 * Does no I/O and reads no clock: inputs and time are arguments, and what to do is returned. The same settings, inputs
 * and times give the same actions. Not synchronized: one thread at a time; times must not go back.
 */
class EntryNode
{
public:
    EntryNode(const EntryNodeSettings &settings, TimePoint now);

    /// How the entry at @p address is served; nothing if this VM's view has no such entry.
    std::optional<EntryKind> kindOf(const Endpoint &address) const;

    /// Name of the entry at @p address; "unknown" if this VM's view has no such entry.
    std::string entryName(const Endpoint &address) const;

    /// Whether @p from is the packet endpoint of a VM in the view. Relayed requests and outcomes of others are
    /// dropped: unlike packets of flows, they lead to statements that callers rely on.
    bool isMember(const Endpoint &from) const { return memberEndpoints_.contains(from); }

    /// A packet of a flow arrived. Precondition: @p inner was parsed from @p packet.
    NodeActions handlePacket(const InnerPacket &inner, TunnelPacket packet, TimePoint now);

    /// A request arrived from a caller or from a forwarding VM.
    NodeActions handleRequest(CallerRequest request, TimePoint now);

    /// A caller asks for a request id for the entry in @p replyTo.
    NodeActions handleIdRequest(const ReplyAddress &replyTo, TimePoint now);

    /// The caller at @p replyTo no longer waits for the request with @p requestId.
    NodeActions handleCancel(const std::string &requestId, const ReplyAddress &replyTo, TimePoint now);

    /// The issuer replied to a RelayRequest of this VM.
    NodeActions handleRelayedOutcome(std::uint64_t forward, RequestOutcome outcome, TimePoint now);

    /// An attempt to upstream incarnation @p incarnation ended.
    NodeActions
    handleAttemptResult(const AttemptId &attempt, Incarnation incarnation, AttemptResult result, TimePoint now);

    /// An authenticated message arrived from a peer.
    NodeActions handlePeerMessage(const ReceivedMessage &received, TimePoint now);

    /// The platform answered a PlatformCall.
    NodeActions handlePlatformAnswer(PlatformAnswer answer, TimePoint now);

    /// The load of a host was read.
    void handleLoadReport(const LoadReport &report, TimePoint now) { keeper_.handleLoadReport(report, now); }

    /// Hosts whose load this VM reads.
    const std::vector<Upstream> &polledUpstreams() const { return keeper_.polledUpstreams(); }

    /// Does what is due. Call it every 100 ms.
    NodeActions tick(TimePoint now);

    /// Does what is due for requests only. Call it at nextRequestTick(), since a request can't wait for a whole tick.
    NodeActions tickRequests(TimePoint now);

    /// When requests next need attention; nothing if there is nothing to do before the next input.
    std::optional<TimePoint> nextRequestTick(TimePoint now) const { return dispatcher_.nextTick(now); }

    /// Stops taking new ownership and requests; what is in progress is finished up to the drain bound.
    NodeActions beginDrain(TimePoint now);

    /// What a drain still waits for. Precondition: beginDrain() was called.
    DrainState drainState(TimePoint now) const;

    /// Changes the longest time of a drain, also of one in progress.
    void setDrainBound(Duration bound) { settings_.drainBound = bound; }

    /// Whether the VM takes work.
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
    void notePause(TimePoint now, NodeActions &actions);
    void tickViews(TimePoint now, NodeActions &actions);
    void sendLeases(TimePoint now, NodeActions &actions);
    void append(const RoutingDecision &decision,
                const InnerPacket &inner,
                TunnelPacket packet,
                TimePoint now,
                NodeActions &actions);
    void append(RequestActions requestActions, TimePoint now, NodeActions &actions);
    void
    noteFlow(EventNumber number, const InnerPacket &inner, std::string detail, TimePoint now, NodeActions &actions);

    EntryNodeSettings settings_;
    ViewKeeper keeper_;
    FlowRouter router_;
    RequestDispatcher dispatcher_;
    Random random_;
    std::shared_ptr<const View> view_;
    bool adopted_ = false;
    std::set<Endpoint> memberEndpoints_;
    /// Upstreams that this VM's own request outcomes ejected, as the router knows them.
    std::set<UpstreamId> ejected_;
    TimePoint nextUsableCheck_;
    std::optional<TimePoint> lastTick_;
    /// Messages about slot leases wait in the control budget's queue.
    bool leasesQueued_ = false;
    std::optional<TimePoint> drainStart_;
    TokenBucket flowEvents_;
};

} // namespace boragelug
