#pragma once

#include "drivers/admin_server.h"
#include "drivers/asio_runtime.h"
#include "drivers/boost_log_sink.h"
#include "drivers/event_recorder.h"
#include "drivers/http_codec.h"
#include "drivers/http_upstream_client.h"
#include "drivers/key_file.h"
#include "drivers/thrift_peer_transport.h"
#include "drivers/udp_fabric.h"
#include "model/settings.h"
#include "node/entry_node.h"
#include "programs/load_poller.h"
#include "programs/node_admin.h"
#include "servers/platform.h"

#include <asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// What an EntryProcess is made of; the references must outlive it.
struct EntryProcessParts
{
    AsioRuntime &runtime;
    Platform &platform;
    PrometheusMetrics &metrics;
    EventRecorder &events;
    BoostLogSink &log;
};

/**
 * The daemon: connects an EntryNode with sockets, platform, signals and timers.
 *
 * Runs on the runtime's thread.
 */
class EntryProcess
{
public:
    /// Binds the sockets. Throws asio::system_error or std::runtime_error if that fails.
    EntryProcess(const EntryProcessParts &parts,
                 const Settings &settings,
                 std::string settingsPath,
                 const FleetKey &key,
                 Incarnation incarnation);

    /// Installs signal handlers and timers and asks the platform for the zone's number; the node starts with the
    /// answer.
    void start();

    /// This VM as the platform lists it; the zone's number is 0 until the platform told it.
    Vm describe() const;

    /// Where the admin server listens.
    Endpoint adminEndpoint() const { return adminServer_.localEndpoint(); }

private:
    void askForZone();
    void handleZones(const PlatformAnswer &answer);
    void startNode(ZoneId zone);
    void tick();
    void scheduleRequestTick();
    void everySecond();
    void receivePacket(const Endpoint &from, TunnelPacket packet);
    void receiveRelay(const RelayOption &option, const InnerPacket &inner);
    void receiveCallerMessage(const InnerPacket &inner);
    void handleRequest(const CallerMessage &message,
                       const InnerPacket &inner,
                       const ReplyAddress &replyTo,
                       Duration timeout);
    void handleStopSignal();
    void reloadSettings();
    void stop();
    void perform(NodeActions actions);
    void perform(SendPacket &action);
    void perform(DispatchAttempt &action);
    void perform(CancelAttempt &action);
    void perform(ReplyToCaller &action);
    void perform(RelayRequest &action);
    void perform(RelayOutcome &action);
    void perform(ReplyRequestId &action);
    void perform(SendPeer &action);
    void perform(PlatformCall &action);
    void perform(NodeEvent &action);
    void dropPacket(std::string_view reason);
    TimePoint now() const { return parts_.runtime.clock().now(); }

    EntryProcessParts parts_;
    Settings settings_;
    std::string settingsPath_;
    FleetKey key_;
    Incarnation incarnation_;
    UdpFabric fabric_;
    ThriftPeerTransport peers_;
    HttpUpstreamClient upstreams_;
    LoadPoller loadPoller_;
    std::unique_ptr<EntryNode> node_;
    asio::steady_timer requestTimer_;
    std::optional<TimePoint> requestTickAt_;
    ProcessState state_;
    NodeAdmin admin_;
    AdminServer adminServer_;
};

} // namespace boragelug
