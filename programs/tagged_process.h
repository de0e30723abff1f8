#pragma once

#include "drivers/admin_server.h"
#include "drivers/asio_runtime.h"
#include "drivers/boost_log_sink.h"
#include "drivers/event_recorder.h"
#include "drivers/log_buffer.h"
#include "model/tagged_settings.h"
#include "node/tagged_node.h"
#include "programs/directory_calls.h"
#include "programs/tagged_admin.h"
#include "servers/directory.h"
#include "servers/flow_fabric.h"
#include "servers/reachability_probe.h"
#include "servers/relay_listener.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace boragelug
{

/// What a TaggedProcess is made of; the references must outlive it.
struct TaggedProcessParts
{
    AsioRuntime &runtime;
    FlowFabric &fabric;
    ReachabilityProbe &probe;
    Directory &directory;
    /// Ask other VMs, in operation and during the start; all null where each VM reads for itself.
    Directory *relays = nullptr;
    Directory *startRelays = nullptr;
    RelayListener *relayListener = nullptr;
    PrometheusMetrics &metrics;
    EventRecorder &events;
    BoostLogSink &log;
    LogBuffer &logBuffer;
};

/**
 * The daemon for a fabric that carries a flow tag: connects a TaggedNode with sockets, directory, signals and timers.
 *
 * Runs on the runtime's thread.
 */
class TaggedProcess
{
public:
    /// Opens the admin server; throws std::runtime_error if that fails.
    TaggedProcess(const TaggedProcessParts &parts,
                  const TaggedSettings &settings,
                  std::string settingsPath,
                  Incarnation incarnation);

    /// Installs signal handlers and timers, reads the directory and forwards packets.
    void start();

private:
    void receivePacket(const FlowPacket &head, std::span<const std::byte> packet);
    void carryOut(const TaggedDecision &decision, const FlowPacket &head, std::span<const std::byte> packet);
    void releasePackets();
    void checkUpstreams();
    void resetSilentFlows();
    void handleDirectoryEvents(std::vector<NodeEvent> events);
    void listenToFollowers();
    void answerFollowers();
    void tick();
    void record(std::vector<NodeEvent> events);
    void handleStopSignal();
    void reloadSettings();
    void stop();
    TimePoint now() const { return parts_.runtime.clock().now(); }

    TaggedProcessParts parts_;
    TaggedSettings settings_;
    std::string settingsPath_;
    TaggedNode node_;
    TaggedAdmin admin_;
    AdminServer adminServer_;
    std::optional<AdminServer> metricsServer_;
    DirectoryCalls directoryCalls_;
    std::vector<NodeEvent> packetEvents_;
};

} // namespace boragelug
