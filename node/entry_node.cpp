#include "node/entry_node.h"

#include "core/hash.h"
#include "node/refuse_reason_name.h"
#include "node/request_action_translation.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace boragelug
{
namespace
{

// A longer gap between ticks counts as a suspension. The process reports it before it acts, since its state is then
// stale (design 2.4).
constexpr Duration suspensionThreshold = std::chrono::seconds(2);
// A drain lasts this long even if no work is left: peers and the fabric still send to this VM until they are notified
// that it leaves, which takes up to 3 s (design G6).
constexpr Duration drainLinger = std::chrono::seconds(3);
constexpr Duration usableCheckInterval = std::chrono::seconds(1);
// Flow events beyond this rate are dropped: they would evict all other events from the event ring. Counters stay exact.
constexpr double flowEventsPerSecond = 50;
// Ticks per second, by which the control budget is divided. Flow entries may use the whole budget of a tick if nothing
// else needs it.
constexpr double ticksPerSecond = 10;

std::uint64_t hashEndpoint(const Endpoint &endpoint)
{
    return combineHash(endpoint.address.value, endpoint.port.value);
}

FlowKey flowKey(ServiceId service, const InnerPacket &inner)
{
    const std::uint64_t serviceHash = combineHash(service.value, static_cast<std::uint64_t>(inner.protocol));
    const std::uint64_t endpointsHash = combineHash(hashEndpoint(inner.source), hashEndpoint(inner.destination));
    return FlowKey { combineHash(serviceHash, endpointsHash) };
}

FlowStart flowStart(const InnerPacket &inner)
{
    if (inner.protocol == InnerProtocol::Udp) {
        return FlowStart::Unknown;
    }
    return inner.tcp.syn && !inner.tcp.ack ? FlowStart::Yes : FlowStart::No;
}

PacketAttributes makeAttributes(ServiceId service, const InnerPacket &inner, const TunnelPacket &packet)
{
    PacketAttributes attributes;
    attributes.key = flowKey(service, inner);
    attributes.entry = inner.destination;
    attributes.flowStart = flowStart(inner);
    attributes.endsFlow = inner.tcp.fin || inner.tcp.rst;
    if (const auto *option = std::get_if<RedirectOption>(&packet.option)) {
        attributes.redirected = true;
        attributes.option = *option;
    }
    attributes.size = static_cast<std::uint32_t>(packet.inner.size());
    return attributes;
}

/// This VM's share of a limit; at least 1, since 0 means no limit.
std::uint64_t limitPerVm(std::uint64_t limit, std::uint64_t vms)
{
    return limit == 0 ? 0 : std::max<std::uint64_t>(1, limit / std::max<std::uint64_t>(1, vms));
}

} // namespace

EntryNode::EntryNode(const EntryNodeSettings &settings, TimePoint now)
    : settings_(settings)
    , keeper_(settings.views, now)
    , router_(settings.routing)
    , dispatcher_(settings.requests, settings.views.self.id, settings.views.self.incarnation, settings.seed)
    , random_(settings.seed)
    , view_(keeper_.publish())
    , nextUsableCheck_(now)
    , flowEvents_(flowEventsPerSecond, flowEventsPerSecond, now)
{ }

const Entry *EntryNode::findEntry(const Endpoint &address) const
{
    if (!view_) {
        return nullptr;
    }
    const auto &entries = view_->catalogue.entries;
    const auto found = std::lower_bound(
        entries.begin(), entries.end(), address, [](const Entry &e, const Endpoint &a) { return e.address < a; });
    return found != entries.end() && found->address == address ? &*found : nullptr;
}

std::optional<EntryKind> EntryNode::kindOf(const Endpoint &address) const
{
    const Entry *entry = findEntry(address);
    return entry != nullptr ? std::optional(entry->kind) : std::nullopt;
}

std::string EntryNode::entryName(const Endpoint &address) const
{
    const Entry *entry = findEntry(address);
    return entry != nullptr ? entry->name.value : "unknown";
}

std::optional<Endpoint> EntryNode::packetEndpoint(VmId vm) const
{
    const auto &members = view_->members;
    const auto found = std::lower_bound(
        members.begin(), members.end(), vm, [](const Member &member, VmId id) { return member.vm.id < id; });
    if (found == members.end() || found->vm.id != vm) {
        return std::nullopt;
    }
    return found->vm.packetEndpoint;
}

NodeActions EntryNode::handlePacket(const InnerPacket &inner, TunnelPacket packet, TimePoint now)
{
    NodeActions actions;
    const Entry *entry = findEntry(inner.destination);
    const ServiceId service = entry != nullptr ? entry->service : ServiceId {};
    const RoutingDecision decision = router_.route(makeAttributes(service, inner, packet), now);
    packet.service = service;
    append(decision, inner, std::move(packet), now, actions);
    return actions;
}

void EntryNode::append(
    const RoutingDecision &decision, const InnerPacket &inner, TunnelPacket packet, TimePoint now, NodeActions &actions)
{
    if (const auto *send = std::get_if<SendToUpstream>(&decision)) {
        if (send->placed) {
            recordFlowEvent(EventNumber::FlowPlaced, inner, std::to_string(send->upstream.value), now, actions);
        } else if (send->hashFallback) {
            recordFlowEvent(EventNumber::FlowGuessed, inner, std::to_string(send->upstream.value), now, actions);
        }
        packet.service = send->vni;
        packet.option = std::monostate {};
        actions.emplace_back(SendPacket { .to = send->tunnelEndpoint, .packet = std::move(packet) });
        return;
    }
    if (const auto *redirect = std::get_if<RedirectToVm>(&decision)) {
        if (redirect->placed) {
            const auto upstream = redirect->option.choice.upstream;
            recordFlowEvent(EventNumber::FlowPlaced, inner, std::to_string(upstream.value), now, actions);
        }
        packet.option = redirect->option;
        actions.emplace_back(SendPacket { .to = redirect->packetEndpoint, .packet = std::move(packet) });
        return;
    }
    const auto reason = std::get<RefusePacket>(decision).reason;
    recordFlowEvent(EventNumber::FlowRefused, inner, std::string(refuseReasonName(reason)), now, actions);
}

void EntryNode::recordFlowEvent(
    EventNumber number, const InnerPacket &inner, std::string detail, TimePoint now, NodeActions &actions)
{
    if (!flowEvents_.take(1, now)) {
        return;
    }
    const Entry *entry = findEntry(inner.destination);
    const ServiceId service = entry != nullptr ? entry->service : ServiceId {};
    actions.emplace_back(NodeEvent {
        .number = number,
        .causeId = flowKey(service, inner).value,
        .fields = { { "caller", toString(inner.source) },
                    { "entry", toString(inner.destination) },
                    { number == EventNumber::FlowRefused ? "reason" : "upstream", std::move(detail) } },
    });
}

NodeActions EntryNode::handleRequest(CallerRequest request, TimePoint now)
{
    NodeActions actions;
    append(dispatcher_.handleCallerRequest(std::move(request), now), now, actions);
    sendLeases(now, actions);
    return actions;
}

NodeActions EntryNode::handleIdRequest(const ReplyAddress &replyTo, TimePoint now)
{
    NodeActions actions;
    const auto issued = dispatcher_.issueRequestId(replyTo.entry, now);
    if (issued) {
        actions.emplace_back(ReplyRequestId { .to = replyTo, .requestId = *issued });
    } else {
        actions.emplace_back(ReplyToCaller { .to = replyTo, .idText = {}, .outcome = issued.lastReason() });
    }
    return actions;
}

NodeActions EntryNode::handleCancel(const std::string &requestId, const ReplyAddress &replyTo, TimePoint now)
{
    NodeActions actions;
    append(dispatcher_.handleCancel(requestId, replyTo, now), now, actions);
    sendLeases(now, actions);
    return actions;
}

NodeActions EntryNode::handleRelayedOutcome(std::uint64_t forward, RequestOutcome outcome, TimePoint now)
{
    NodeActions actions;
    append(dispatcher_.handleForwardedOutcome(forward, std::move(outcome), now), now, actions);
    sendLeases(now, actions);
    return actions;
}

NodeActions
EntryNode::handleAttemptResult(const AttemptId &attempt, Incarnation incarnation, AttemptResult result, TimePoint now)
{
    NodeActions actions;
    if (const auto *failure = std::get_if<AttemptFailure>(&result)) {
        append(dispatcher_.handleAttemptFailed(attempt, *failure, now), now, actions);
    } else {
        auto &answer = std::get<UpstreamAnswer>(result);
        append(dispatcher_.handleAnswer(attempt, incarnation, std::move(answer), now), now, actions);
    }
    sendLeases(now, actions);
    return actions;
}

NodeActions EntryNode::handlePeerMessage(const ReceivedMessage &received, TimePoint now)
{
    NodeActions actions;
    keeper_.handleMessage(received.message, received.from, now);
    if (const auto *entries = std::get_if<FlowEntries>(&received.message)) {
        router_.receive(*entries, received.from, now);
    }
    append(dispatcher_.handlePeer(received.from, received.message, now), now, actions);
    adoptPublishedView(now, actions);
    sendLeases(now, actions);
    return actions;
}

NodeActions EntryNode::handlePlatformAnswer(PlatformAnswer answer, TimePoint now)
{
    NodeActions actions;
    keeper_.handlePlatformAnswer(std::move(answer), now);
    adoptPublishedView(now, actions);
    return actions;
}

NodeActions EntryNode::tick(TimePoint now)
{
    NodeActions actions;
    handleSuspension(now, actions);
    const auto budget = static_cast<std::size_t>(settings_.views.controlBytesPerSecond / ticksPerSecond);
    for (OutgoingMessage &message : router_.tick(now, budget)) {
        keeper_.send(std::move(message), now);
    }
    append(dispatcher_.tick(now), now, actions);
    tickViews(now, actions);
    updateUsable(now);
    return actions;
}

NodeActions EntryNode::tickRequests(TimePoint now)
{
    NodeActions actions;
    append(dispatcher_.tick(now), now, actions);
    sendLeases(now, actions);
    return actions;
}

void EntryNode::tickViews(TimePoint now, NodeActions &actions)
{
    leasesQueued_ = false;
    ViewActions views = keeper_.tick(now, random_);
    for (OutgoingMessage &message : views.messages) {
        if (const auto endpoint = keeper_.peerEndpoint(message.to)) {
            actions.emplace_back(SendPeer { .to = *endpoint, .message = std::move(message.message) });
        }
    }
    for (PlatformCall &call : views.platformCalls) {
        actions.emplace_back(call);
    }
    for (ViewEvent &event : views.events) {
        actions.emplace_back(
            NodeEvent { .number = event.number, .causeId = event.causeId, .fields = std::move(event.fields) });
    }
    adoptPublishedView(now, actions);
}

// A request is queued until it has its slot lease, which takes two messages: sending them with the next ticks only
// would cost 200 ms.
void EntryNode::sendLeases(TimePoint now, NodeActions &actions)
{
    if (leasesQueued_) {
        tickViews(now, actions);
    }
}

void EntryNode::handleSuspension(TimePoint now, NodeActions &actions)
{
    if (lastTick_ && now - *lastTick_ > suspensionThreshold) {
        const auto suspension = std::chrono::duration_cast<std::chrono::milliseconds>(now - *lastTick_);
        actions.emplace_back(NodeEvent { .number = EventNumber::ProcessSlept,
                                         .causeId = 0,
                                         .fields = { { "milliseconds", std::to_string(suspension.count()) } } });
        append(dispatcher_.notifySuspension(now), now, actions);
    }
    lastTick_ = now;
}

void EntryNode::adoptPublishedView(TimePoint now, NodeActions &actions)
{
    auto published = keeper_.publish();
    // Until the VM is ready, its view may be older than the views of its peers, so the view isn't adopted.
    if (!keeper_.isReady() || (adopted_ && published == view_)) {
        return;
    }
    const bool first = !adopted_;
    adopted_ = true;
    view_ = std::move(published);
    memberEndpoints_.clear();
    for (const Member &member : view_->members) {
        memberEndpoints_.insert(member.vm.packetEndpoint);
    }
    applyToRouter(now);
    append(dispatcher_.applyView(view_, now), now, actions);
    updateShares(now);
    if (first) {
        actions.emplace_back(
            NodeEvent { .number = EventNumber::ProcessReady,
                        .causeId = 0,
                        .fields = { { "catalogue", std::to_string(view_->catalogue.version.value) } } });
    }
}

void EntryNode::applyToRouter(TimePoint now)
{
    const bool anyEjected = std::any_of(view_->upstreams.begin(), view_->upstreams.end(), [&](const auto &status) {
        return ejected_.contains(status.upstream.id);
    });
    if (!anyEjected) {
        router_.applyView(view_, now);
        return;
    }
    auto adjusted = std::make_shared<View>(*view_);
    for (UpstreamStatus &status : adjusted->upstreams) {
        status.usable = status.usable && !ejected_.contains(status.upstream.id);
    }
    router_.applyView(std::move(adjusted), now);
}

void EntryNode::updateUsable(TimePoint now)
{
    if (!adopted_ || now < nextUsableCheck_) {
        return;
    }
    nextUsableCheck_ = now + usableCheckInterval;
    std::set<UpstreamId> ejected;
    for (const UpstreamStatus &status : view_->upstreams) {
        if (!dispatcher_.upstreamUsable(status.upstream.id, now)) {
            ejected.insert(status.upstream.id);
        }
    }
    if (ejected != ejected_) {
        ejected_ = std::move(ejected);
        applyToRouter(now);
    }
}

void EntryNode::updateShares(TimePoint now)
{
    // Members stay in the view until the configuration service no longer lists them, so that a network partition
    // doesn't make the shares grow.
    const std::uint64_t vms = view_->members.size();
    for (const Entry &entry : view_->catalogue.entries) {
        if (entry.kind != EntryKind::Flows) {
            continue;
        }
        const double newFlows = entry.limits.newFlowsPerSecond;
        router_.setEntryShare(entry.address,
                              { .openFlows = limitPerVm(entry.limits.openFlows, vms),
                                .newFlowsPerSecond = newFlows / static_cast<double>(std::max<std::uint64_t>(1, vms)) },
                              now);
    }
}

NodeActions EntryNode::beginDrain(TimePoint now)
{
    NodeActions actions;
    if (drainStart_) {
        return actions;
    }
    drainStart_ = now;
    keeper_.leave(now);
    append(dispatcher_.beginDrain(now), now, actions);
    actions.emplace_back(NodeEvent { .number = EventNumber::ProcessDraining, .causeId = 0, .fields = {} });
    adoptPublishedView(now, actions);
    return actions;
}

DrainState EntryNode::drainState(TimePoint now) const
{
    assert(drainStart_);
    const DispatcherLoad load = dispatcher_.load();
    DrainState state {
        .requests = load.queued + load.inFlight + load.forwarded,
        .flowEntries = router_.handoverRemaining(),
        .finished = false,
    };
    const Duration elapsed = now - *drainStart_;
    const bool empty = dispatcher_.drained() && state.flowEntries == 0;
    state.finished = (empty && elapsed >= drainLinger) || elapsed >= settings_.drainBound;
    return state;
}

void EntryNode::append(RequestActions requestActions, TimePoint now, NodeActions &actions)
{
    for (RequestAction &action : requestActions) {
        if (auto *message = std::get_if<OutgoingMessage>(&action)) {
            leasesQueued_ = leasesQueued_ || std::holds_alternative<SlotLease>(message->message)
                || std::holds_alternative<SlotLeaseReply>(message->message);
            keeper_.send(std::move(*message), now);
            continue;
        }
        auto translated =
            translate(std::move(action), settings_.views.self.id, [this](VmId vm) { return packetEndpoint(vm); });
        if (translated) {
            actions.push_back(std::move(*translated));
        }
    }
}

} // namespace boragelug
