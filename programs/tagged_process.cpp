#include "programs/tagged_process.h"

#include "drivers/yaml_tagged_settings.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <utility>

namespace boragelug
{
namespace
{

constexpr Duration tickInterval = std::chrono::milliseconds(100);
constexpr Duration secondInterval = std::chrono::seconds(1);
/// Kept between the end of a drain and the moment at which the process would be killed.
constexpr Duration stopMargin = std::chrono::milliseconds(500);
/// Limits of the bound for changes that the delays between calls follow.
constexpr Duration minChangeBound = std::chrono::milliseconds(500);
constexpr Duration maxChangeBound = std::chrono::minutes(1);
/// Part of the bound for changes in which they may collect before the next call: the rest is left for a slow answer and
/// a failed call.
constexpr int collectDivisor = 4;
/// Part of the bound for changes in which possibly stale answers do.
constexpr int staleDivisor = 2;
/// Parts of the bound in which a relay that serves waits for changes and lets them collect: its knowledge is then at
/// most a third of the bound old, and that of a VM that follows through another one half of it.
constexpr int relayWatchDivisor = 4;
constexpr int relayCollectDivisor = 12;
/// Time after the collection in which all VMs have read of a new upstream.
constexpr Duration settleMargin = std::chrono::seconds(1);

Duration drainBound(Duration stopGrace)
{
    return std::max(stopGrace - stopMargin, stopGrace / 2);
}

/// Every change may be an evacuation, so that all are read in time for the shorter of the two bounds. Shorter delays
/// than the minimum would keep the processor busy with calls, and longer ones than the maximum would keep records too
/// long.
Duration boundForChanges(const TaggedSettings &settings)
{
    const bool hasEvacuationBound = settings.evacuationBound > Duration::zero();
    const Duration bound =
        hasEvacuationBound ? std::min(settings.changeBound, settings.evacuationBound) : settings.changeBound;
    return std::clamp(bound, minChangeBound, maxChangeBound);
}

TaggedNodeSettings nodeSettings(const TaggedSettings &settings, Incarnation incarnation)
{
    TaggedNodeSettings out;
    const Duration changeBound = boundForChanges(settings);
    out.mirror.zone = settings.zone;
    out.mirror.lapseGrace = settings.lapseGrace;
    out.reader.batchingDelay = changeBound / collectDivisor;
    out.reader.staleReadWindow = changeBound / staleDivisor;
    // Three parts have to fit into the bound: a relay that lost the directory, the call in progress there, and reading
    // for oneself.
    out.reader.follow.maxStaleness = changeBound / staleDivisor;
    out.reader.follow.relayLongPollWait = changeBound / relayWatchDivisor;
    out.reader.follow.relayBatchingDelay = changeBound / relayCollectDivisor;
    if (settings.relayEndpoint) {
        out.reader.follow.relays = settings.relays;
        out.reader.follow.self = *settings.relayEndpoint;
    }
    constexpr double bytesPerMegabit = 1e6 / 8;
    out.reader.listing.linkBandwidth = settings.linkMbps * bytesPerMegabit;
    out.routing.propagationDelay = out.reader.batchingDelay + settleMargin;
    out.routing.unlistedTimeout = settings.lapseGrace;
    out.routing.speeds.enabled = settings.learnSpeeds;
    out.drainBound = drainBound(settings.stopGrace);
    out.flowLogLinesPerSecond = settings.flowLogLinesPerSecond;
    out.seed = vmNumber(settings.vm).value ^ incarnation.value;
    out.routing.seed = out.seed;
    out.routing.coldStart = { .vm = vmNumber(settings.vm).value,
                              .maxVms = settings.maxVms,
                              .overrun = settings.coldOverrun,
                              .slack = settings.coldSlack };
    return out;
}

void startAdminServer(AdminServer &server, const Endpoint &endpoint)
{
    const std::string error = server.start(endpoint);
    if (!error.empty()) {
        throw std::runtime_error("admin server: " + error);
    }
}

} // namespace

TaggedProcess::TaggedProcess(const TaggedProcessParts &parts,
                             const TaggedSettings &settings,
                             std::string settingsPath,
                             Incarnation incarnation)
    : parts_(parts)
    , settings_(settings)
    , settingsPath_(std::move(settingsPath))
    , node_(nodeSettings(settings, incarnation))
    , admin_(settings_, incarnation, node_, parts.events, parts.runtime.clock(), parts.metrics)
    , adminServer_(parts.runtime.context(), admin_, parts.runtime.clock(), parts.metrics)
    , directoryCalls_(parts.runtime,
                      node_,
                      parts.directory,
                      parts.relays,
                      parts.startRelays,
                      parts.metrics,
                      [this](std::vector<NodeEvent> events) { handleDirectoryEvents(std::move(events)); })
{
    startAdminServer(adminServer_, settings.adminEndpoint);
    if (settings.metricsEndpoint) {
        metricsServer_.emplace(parts.runtime.context(), admin_, parts.runtime.clock(), parts.metrics);
        startAdminServer(*metricsServer_, *settings.metricsEndpoint);
    }
}

void TaggedProcess::start()
{
    parts_.events.record(EventNumber::ProcessStarted,
                         0,
                         { { "vm_name", settings_.vm },
                           { "zone", settings_.zone },
                           { "packet", toString(settings_.packetEndpoint) },
                           { "admin", toString(adminServer_.localEndpoint()) },
                           { "directory", toString(settings_.directoryEndpoint) } });
    parts_.runtime.onSignal(SIGTERM, [this] { handleStopSignal(); });
    parts_.runtime.onSignal(SIGINT, [this] { handleStopSignal(); });
    parts_.runtime.onSignal(SIGHUP, [this] { reloadSettings(); });
    listenToFollowers();
    directoryCalls_.update();
    parts_.fabric.start(
        [this](const FlowPacket &head, std::span<const std::byte> packet) { receivePacket(head, packet); });
    parts_.logBuffer.drain();
    parts_.runtime.every(tickInterval, [this] { tick(); });
    parts_.runtime.every(secondInterval, [this] { admin_.exportMetrics(); });
}

void TaggedProcess::receivePacket(const FlowPacket &head, std::span<const std::byte> packet)
{
    packetEvents_.clear();
    carryOut(node_.handlePacket(head, now(), packetEvents_, packet), head, packet);
    releasePackets();
    record(std::move(packetEvents_));
    checkUpstreams();
}

void TaggedProcess::releasePackets()
{
    for (const DequeuedPacket &dequeued : node_.takeDequeued(now(), packetEvents_)) {
        carryOut(dequeued.decision, dequeued.packet.head, dequeued.packet.bytes);
    }
}

void TaggedProcess::carryOut(const TaggedDecision &decision, const FlowPacket &head, std::span<const std::byte> packet)
{
    bool sent = true;
    if (const auto *forward = std::get_if<ForwardPacket>(&decision)) {
        sent = parts_.fabric.forward(packet, forward->tag, forward->upstream, forward->address);
    } else if (std::holds_alternative<ResetFlow>(decision)) {
        sent = parts_.fabric.reset(head);
    }
    if (!sent) {
        parts_.metrics.add("boragelug_packet_send_failures_total", 1, {});
    }
}

void TaggedProcess::checkUpstreams()
{
    for (const UpstreamCheck &check : node_.takeChecks()) {
        parts_.metrics.add("boragelug_upstream_checks_total", 1, {});
        parts_.probe.check(check.address, [this, check](Reachability result) {
            record(node_.handleCheckResult(check, result != Reachability::Silent, now()));
            resetSilentFlows();
        });
    }
}

void TaggedProcess::resetSilentFlows()
{
    std::vector<NodeEvent> events;
    for (const SilentFlow &flow : node_.takeSilentFlows(now(), events)) {
        carryOut(flow.reset, flow.head, {});
    }
    record(std::move(events));
}

void TaggedProcess::handleDirectoryEvents(std::vector<NodeEvent> events)
{
    record(std::move(events));
    answerFollowers();
    // The first view releases the packets that were held.
    packetEvents_.clear();
    releasePackets();
    record(std::move(packetEvents_));
}

void TaggedProcess::listenToFollowers()
{
    if (parts_.relayListener == nullptr) {
        return;
    }
    parts_.relayListener->start({ .onRequest =
                                      [this](FollowerId follower, const FollowRequest &request) {
                                          node_.handleFollower(follower, request, now());
                                          directoryCalls_.update();
                                          answerFollowers();
                                      },
                                  .onGone = [this](FollowerId follower) { node_.dropFollower(follower); } });
}

void TaggedProcess::answerFollowers()
{
    if (parts_.relayListener == nullptr) {
        return;
    }
    for (const RelayAnswer &answer : node_.takeRelayAnswers(now())) {
        parts_.relayListener->answer(answer);
    }
}

void TaggedProcess::tick()
{
    record(node_.tick(now()));
    checkUpstreams();
    resetSilentFlows();
    answerFollowers();
    packetEvents_.clear();
    releasePackets();
    record(std::move(packetEvents_));
    parts_.logBuffer.drain();
    if (node_.isDrained(now())) {
        stop();
    }
}

void TaggedProcess::record(std::vector<NodeEvent> events)
{
    for (NodeEvent &event : events) {
        parts_.events.record(event.number, event.causeId, std::move(event.fields));
    }
}

void TaggedProcess::handleStopSignal()
{
    if (node_.isDraining()) {
        stop();
        return;
    }
    record(node_.beginDrain(now()));
    packetEvents_.clear();
    releasePackets();
    record(std::move(packetEvents_));
}

void TaggedProcess::reloadSettings()
{
    const auto loaded = loadTaggedSettings(settingsPath_);
    if (!loaded) {
        const std::string reason = loaded.lastReason().empty() ? "unreadable" : toString(loaded.lastReason().front());
        parts_.events.record(EventNumber::SettingsRejected, 0, { { "reason", reason } });
        return;
    }
    TaggedSettings changed = settings_;
    changed.logLevel = loaded->logLevel;
    changed.stopGrace = loaded->stopGrace;
    changed.relays = loaded->relays;
    if (changed != *loaded) {
        parts_.events.record(EventNumber::SettingsRejected,
                             0,
                             { { "reason", "only log_level, stop_grace and relays may change in a running process" } });
        return;
    }
    settings_ = changed;
    parts_.log.setLeast(static_cast<EventSeverity>(settings_.logLevel));
    node_.setDrainBound(drainBound(settings_.stopGrace));
    node_.setRelays(settings_.relayEndpoint ? settings_.relays : std::vector<Endpoint> {});
    parts_.events.record(EventNumber::SettingsReloaded, 0, {});
}

void TaggedProcess::stop()
{
    parts_.events.record(EventNumber::ProcessStopped,
                         0,
                         { { "open_flows", std::to_string(node_.router().trackedFlows()) },
                           { "log_lines_dropped", std::to_string(parts_.logBuffer.droppedLines()) } });
    parts_.logBuffer.drain();
    parts_.runtime.stop();
}

} // namespace boragelug
