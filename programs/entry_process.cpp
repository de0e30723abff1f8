#include "programs/entry_process.h"

#include "drivers/http_codec.h"
#include "drivers/ip_packet.h"
#include "drivers/yaml_settings.h"
#include "programs/caller_packets.h"

#include <asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <limits>
#include <stdexcept>
#include <utility>

namespace boragelug
{
namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds(100);
// Bounds how often requests that wait are looked at.
constexpr Duration minRequestTick = std::chrono::milliseconds(2);
constexpr Duration secondInterval = std::chrono::seconds(1);
// A caller that sets no timeout gets the entry's longest deadline; the dispatcher shortens this value to it.
constexpr Duration unboundedTimeout = std::chrono::hours(24);
// The node numbers its calls from 1, so this one never meets another.
constexpr std::uint64_t zoneCallId = std::numeric_limits<std::uint64_t>::max();

EntryNodeSettings nodeSettings(const Settings &settings, const Vm &self, const FleetKey &key)
{
    EntryNodeSettings out;
    out.seed = self.incarnation.value;
    out.drainBound = settings.drainBound;
    out.views.self = self;
    for (const SeedPeer &peer : settings.seedPeers) {
        if (peer.vm != settings.vm) {
            // Any later incarnation that the peer tells of itself replaces this one.
            out.views.seedPeers.push_back({ .id = peer.vm,
                                            .incarnation = Incarnation {},
                                            .zone = peer.zone,
                                            .packetEndpoint = peer.packetEndpoint,
                                            .peerEndpoint = peer.peerEndpoint,
                                            .state = VmState::Live });
        }
    }
    out.views.controlBytesPerSecond = settings.controlBytesPerSecond;
    out.routing.maxFlows = settings.flowTableEntries;
    out.routing.seed = self.incarnation.value;
    out.requests.idKey = key.bytes;
    out.requests.maxRecords = settings.requestRecords;
    out.requests.drainBound = settings.drainBound;
    return out;
}

} // namespace

EntryProcess::EntryProcess(const EntryProcessParts &parts,
                           const Settings &settings,
                           std::string settingsPath,
                           const FleetKey &key,
                           Incarnation incarnation)
    : parts_(parts)
    , settings_(settings)
    , settingsPath_(std::move(settingsPath))
    , key_(key)
    , incarnation_(incarnation)
    , fabric_(parts.runtime.context(), settings.packetEndpoint, parts.metrics)
    , peers_(parts.runtime.context(),
             settings.peerEndpoint,
             { .vm = settings.vm, .incarnation = incarnation, .key = key.bytes },
             parts.runtime.clock(),
             parts.metrics)
    , upstreams_(parts.runtime.context(), parts.runtime.clock(), parts.metrics)
    , loadPoller_(
          parts.runtime, parts.metrics, [this](const LoadReport &report) { node_->handleLoadReport(report, now()); })
    , requestTimer_(parts.runtime.context())
    , admin_(settings_, incarnation, state_, parts.events, parts.runtime.clock(), parts.metrics)
    , adminServer_(parts.runtime.context(), admin_, parts.runtime.clock(), parts.metrics)
{
    const std::string error = adminServer_.start(settings.adminEndpoint);
    if (!error.empty()) {
        throw std::runtime_error("admin server: " + error);
    }
}

Vm EntryProcess::describe() const
{
    return {
        .id = settings_.vm,
        .incarnation = incarnation_,
        .zone = node_ && node_->view() ? node_->view()->selfZone : ZoneId {},
        .packetEndpoint = fabric_.localEndpoint(),
        .peerEndpoint = peers_.localEndpoint(),
        .state = VmState::Live,
    };
}

void EntryProcess::start()
{
    parts_.events.record(EventNumber::ProcessStarted,
                         0,
                         { { "packet", toString(fabric_.localEndpoint()) },
                           { "peer", toString(peers_.localEndpoint()) },
                           { "admin", toString(adminServer_.localEndpoint()) } });
    parts_.runtime.onSignal(SIGTERM, [this] { handleStopSignal(); });
    parts_.runtime.onSignal(SIGINT, [this] { handleStopSignal(); });
    parts_.runtime.onSignal(SIGHUP, [this] { reloadSettings(); });
    if (settings_.zoneNumber != ZoneId {}) {
        startNode(settings_.zoneNumber);
    } else {
        askForZone();
    }
}

void EntryProcess::askForZone()
{
    PlatformCall call;
    call.id = zoneCallId;
    call.resource = PlatformResource::Part;
    call.part = parts::zones;
    parts_.platform.call(call, [this](const PlatformAnswer &answer) { handleZones(answer); });
}

void EntryProcess::handleZones(const PlatformAnswer &answer)
{
    if (const auto *content = std::get_if<PartContent>(&answer.result)) {
        for (const PartItem &item : content->items) {
            const auto *zone = std::get_if<Zone>(&item);
            if (zone != nullptr && zone->name == settings_.zone && zone->region == settings_.region) {
                startNode(zone->id);
                return;
            }
        }
    }
    const auto timer = std::make_shared<asio::steady_timer>(parts_.runtime.context(), std::chrono::milliseconds(500));
    timer->async_wait([this, timer](const asio::error_code &error) {
        if (!error) {
            askForZone();
        }
    });
}

void EntryProcess::startNode(ZoneId zone)
{
    Vm self = describe();
    self.zone = zone;
    node_ = std::make_unique<EntryNode>(nodeSettings(settings_, self, key_), now());
    state_.node = node_.get();
    fabric_.start([this](const Endpoint &from, TunnelPacket packet) { receivePacket(from, std::move(packet)); });
    peers_.start([this](const ReceivedMessage &received) {
        parts_.events.receiveStamp(received.sentAt);
        perform(node_->handlePeerMessage(received, now()));
    });
    parts_.runtime.every(tickInterval, [this] { tick(); });
    parts_.runtime.every(secondInterval, [this] { everySecond(); });
}

void EntryProcess::tick()
{
    perform(node_->tick(now()));
    if (state_.draining && node_->drainState(now()).finished) {
        stop();
    }
}

void EntryProcess::everySecond()
{
    admin_.exportMetrics();
    loadPoller_.poll(node_->polledUpstreams());
}

void EntryProcess::dropPacket(std::string_view reason)
{
    parts_.metrics.add("boragelug_packets_dropped_total", 1, { { "reason", std::string(reason) } });
}

void EntryProcess::receivePacket(const Endpoint &from, TunnelPacket packet)
{
    const auto inner = parseInnerPacket(packet.inner);
    if (!inner) {
        dropPacket(toString(inner.lastReason()));
        return;
    }
    if (const auto *relay = std::get_if<RelayOption>(&packet.option)) {
        if (!node_->isMember(from)) {
            dropPacket("relay_from_stranger");
            return;
        }
        receiveRelay(*relay, *inner);
        return;
    }
    const bool fromFabric = std::holds_alternative<std::monostate>(packet.option);
    const bool isRequest = node_->kindOf(inner->destination) == EntryKind::Requests;
    if (isRequest && fromFabric && inner->protocol == InnerProtocol::Udp) {
        receiveCallerMessage(*inner);
        return;
    }
    const InnerPacket headers = *inner;
    perform(node_->handlePacket(headers, std::move(packet), now()));
}

void EntryProcess::receiveRelay(const RelayOption &option, const InnerPacket &inner)
{
    if (option.kind == RelayOption::Kind::Outcome) {
        auto outcome = decodeOutcome(payloadText(inner));
        if (!outcome) {
            dropPacket(toString(outcome.lastReason()));
            return;
        }
        perform(node_->handleRelayedOutcome(option.forward, std::move(outcome.value()), now()));
        return;
    }
    const auto message = decodeCallerMessage(payloadText(inner));
    if (!message) {
        dropPacket(toString(message.lastReason()));
        return;
    }
    const ReplyAddress replyTo {
        .caller = inner.source, .token = option.forward, .forwardedBy = option.forwarder, .entry = inner.destination
    };
    if (option.kind == RelayOption::Kind::Cancel) {
        perform(node_->handleCancel(message->requestId, replyTo, now()));
        return;
    }
    handleRequest(*message, inner, replyTo, std::chrono::milliseconds(option.remainingMilliseconds));
}

void EntryProcess::receiveCallerMessage(const InnerPacket &inner)
{
    const auto message = decodeCallerMessage(payloadText(inner));
    if (!message) {
        dropPacket(toString(message.lastReason()));
        return;
    }
    const ReplyAddress replyTo {
        .caller = inner.source, .token = message->token, .forwardedBy = std::nullopt, .entry = inner.destination
    };
    switch (message->intent) {
    case CallerIntent::IssueId:
        perform(node_->handleIdRequest(replyTo, now()));
        return;
    case CallerIntent::Cancel:
        perform(node_->handleCancel(message->requestId, replyTo, now()));
        return;
    case CallerIntent::Request:
        break;
    }
    handleRequest(*message, inner, replyTo, message->timeout.value_or(unboundedTimeout));
}

void EntryProcess::handleRequest(const CallerMessage &message,
                                 const InnerPacket &inner,
                                 const ReplyAddress &replyTo,
                                 Duration timeout)
{
    CallerRequest request {
        .entry = inner.destination,
        .idText = message.requestId,
        .idempotent = message.idempotent,
        .timeout = timeout,
        .payload = std::make_shared<const std::string>(payloadText(inner)),
        .replyTo = replyTo,
    };
    perform(node_->handleRequest(std::move(request), now()));
}

void EntryProcess::handleStopSignal()
{
    if (state_.draining || !node_) {
        stop();
        return;
    }
    state_.draining = true;
    perform(node_->beginDrain(now()));
}

void EntryProcess::stop()
{
    DrainState left;
    if (state_.draining) {
        left = node_->drainState(now());
    }
    parts_.metrics.add("boragelug_work_interrupted_total", static_cast<double>(left.requests + left.flowEntries), {});
    parts_.events.record(EventNumber::ProcessStopped,
                         0,
                         { { "requests_left", std::to_string(left.requests) },
                           { "flow_entries_left", std::to_string(left.flowEntries) } });
    parts_.runtime.stop();
}

void EntryProcess::reloadSettings()
{
    const auto loaded = loadSettings(settingsPath_);
    if (!loaded) {
        const std::string reason = loaded.lastReason().empty() ? "unreadable" : toString(loaded.lastReason().front());
        parts_.events.record(EventNumber::SettingsRejected, 0, { { "reason", reason } });
        return;
    }
    Settings changed = settings_;
    changed.logLevel = loaded->logLevel;
    changed.drainBound = loaded->drainBound;
    // The ports in use may come from the kernel.
    changed.packetEndpoint.port = loaded->packetEndpoint.port;
    changed.peerEndpoint.port = loaded->peerEndpoint.port;
    changed.adminEndpoint.port = loaded->adminEndpoint.port;
    if (changed != *loaded) {
        parts_.events.record(EventNumber::SettingsRejected,
                             0,
                             { { "reason", "only log_level and drain_bound may change in a running process" } });
        return;
    }
    settings_ = changed;
    parts_.log.setLeast(static_cast<EventSeverity>(settings_.logLevel));
    if (node_) {
        node_->setDrainBound(settings_.drainBound);
    }
    parts_.events.record(EventNumber::SettingsReloaded, 0, {});
}

void EntryProcess::perform(NodeActions actions)
{
    for (NodeAction &action : actions) {
        std::visit([this](auto &known) { perform(known); }, action);
    }
    scheduleRequestTick();
}

void EntryProcess::scheduleRequestTick()
{
    const TimePoint current = now();
    const auto next = node_->nextRequestTick(current);
    // The periodic tick comes soon enough for anything later.
    if (!next || *next >= current + tickInterval || (requestTickAt_ && *requestTickAt_ <= *next)) {
        return;
    }
    requestTickAt_ = std::max(*next, current + minRequestTick);
    requestTimer_.expires_after(*requestTickAt_ - current);
    requestTimer_.async_wait([this](const asio::error_code &error) {
        if (!error) {
            requestTickAt_.reset();
            perform(node_->tickRequests(now()));
        }
    });
}

void EntryProcess::perform(SendPacket &action)
{
    fabric_.send(action.to, action.packet);
}

void EntryProcess::perform(DispatchAttempt &action)
{
    upstreams_.send(action,
                    [this, attempt = action.attempt, incarnation = action.upstreamIncarnation](AttemptResult result) {
                        perform(node_->handleAttemptResult(attempt, incarnation, std::move(result), now()));
                    });
}

void EntryProcess::perform(CancelAttempt &action)
{
    upstreams_.cancel(action.attempt);
}

void EntryProcess::perform(ReplyToCaller &action)
{
    const std::string_view outcome = outcomeName(action.outcome);
    parts_.metrics.add("boragelug_requests_total",
                       1,
                       { { "entry", node_->entryName(action.to.entry) }, { "outcome", std::string(outcome) } });
    const std::string message = encodeOutcome(action.idText, action.to.token, action.outcome);
    fabric_.send(settings_.fabricEndpoint, makeAnswerPacket(action.to, message));
}

void EntryProcess::perform(RelayRequest &action)
{
    if (const auto packet = makeRelayPacket(action)) {
        fabric_.send(action.to, *packet);
    }
}

void EntryProcess::perform(RelayOutcome &action)
{
    fabric_.send(action.to, makeRelayPacket(action));
}

void EntryProcess::perform(ReplyRequestId &action)
{
    fabric_.send(settings_.fabricEndpoint,
                 makeAnswerPacket(action.to, encodeIssuedId(action.requestId, action.to.token)));
}

void EntryProcess::perform(SendPeer &action)
{
    peers_.send(action.to, action.message, parts_.events.stampMessage());
}

void EntryProcess::perform(PlatformCall &action)
{
    parts_.platform.call(
        action, [this](PlatformAnswer answer) { perform(node_->handlePlatformAnswer(std::move(answer), now())); });
}

void EntryProcess::perform(NodeEvent &action)
{
    if (action.number == EventNumber::ProcessSlept) {
        parts_.metrics.add("boragelug_process_sleeps_total", 1, {});
    } else if (action.number == EventNumber::CatalogueRejected) {
        parts_.metrics.add("boragelug_catalogue_rejected_total", 1, {});
    }
    parts_.events.record(action.number, action.causeId, std::move(action.fields));
}

} // namespace boragelug
