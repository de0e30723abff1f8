#pragma once

#include "core/random.h"
#include "model/peer_message.h"
#include "model/view.h"
#include "routing/flow_router.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace boragelug
{

/// Routing of one VM as a Fleet uses it; implemented by FlowRouter and by simpler baselines.
class FleetRouter
{
public:
    virtual ~FleetRouter() = default;
    virtual void applyView(std::shared_ptr<const View> view, TimePoint now) = 0;
    virtual RoutingDecision route(const PacketAttributes &attributes, TimePoint now) = 0;
    virtual void receive(const FlowEntries &entries, VmId from, TimePoint now) = 0;
    virtual std::vector<OutgoingMessage> tick(TimePoint now, std::size_t byteBudget) = 0;
    virtual std::size_t tableBytes() const { return 0; }
};

using RouterFactory = std::function<std::unique_ptr<FleetRouter>(std::uint64_t seed, std::size_t maxFlows)>;

/// Creates a FlowRouter.
std::unique_ptr<FleetRouter> makeFlowRouter(std::uint64_t seed, std::size_t maxFlows);
/// Creates a stateless baseline, which hashes the flow key modulo the number of active upstreams.
std::unique_ptr<FleetRouter> makeModuloRouter(std::uint64_t seed, std::size_t maxFlows);

struct FleetSettings
{
    std::uint64_t seed = 1;
    std::vector<int> vmsPerZone { 3, 3, 2 };
    std::vector<int> hostsPerZone { 5, 5, 4 };
    std::uint32_t connectionsPerHost = 2000;
    Duration slowStart = std::chrono::seconds(30);
    Preference prefer = Preference::FlowContinuity;
    bool allowSpill = true;
    Duration maxLag = std::chrono::seconds(10);
    std::size_t maxFlows = 20'000;
    std::size_t bytesPerSecond = 4000;
    double newFlowsPerSecond = 20;
    double meanLifetimeSeconds = 120;
    double packetIntervalSeconds = 2;
    double udpFraction = 0.2;
};

/// The actual state of a host, independent of the VMs' views.
struct FleetHost
{
    Upstream upstream;
    bool alive = true;
    std::uint64_t openFlows = 0;
    /// Sum of the weights of its open flows.
    double work = 0;
};

struct FleetFlow
{
    std::uint64_t number = 0;
    Endpoint entry;
    ServiceId service;
    bool udp = false;
    double weight = 1;
    TimePoint openedAt;
    TimePoint closesAt;
    TimePoint nextPacket;
    /// Time of the first packet that failed since the last one that was delivered.
    TimePoint failingSince = TimePoint::max();
    /// Index of the host that accepted the first packet, or -1.
    int host = -1;
    bool established = false;
};

struct BrokenFlow
{
    TimePoint openedAt;
    TimePoint brokenAt;
    std::uint64_t number = 0;
    bool stalled = false;
};

struct FleetResults
{
    std::vector<BrokenFlow> broken;
    std::uint64_t opened = 0;
    std::uint64_t delivered = 0;
    std::uint64_t redirects = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
    std::uint64_t hashFallbacks = 0;
    std::uint64_t loops = 0;
    /// Packets accepted by a host whose service isn't the flow's.
    std::uint64_t misdelivered = 0;
    /// Packets dropped by a host because their VNI isn't its service.
    std::uint64_t foreignDropped = 0;
    /// Flows that a VM placed on a draining or leaving host more than 3 s after its view listed it as such.
    std::uint64_t placedOnLeaving = 0;
    std::uint64_t controlBytes = 0;
};

/**
 * Simulates several VMs, each with a router and its own lagging view, and the flows of callers.
 *
 * The routers are connected by function calls, so forwarding a packet takes no simulated time. The time advances in
 * steps of 50 ms.
 */
class Fleet
{
public:
    Fleet(const FleetSettings &settings, RouterFactory factory);

    VmId joinVm(std::uint16_t zone);
    void leaveVm(std::size_t index);
    void killVm(std::size_t index);
    std::size_t startHost(ServiceId service, std::uint16_t zone);
    void drainHost(std::size_t index);
    /// Stops the host and assigns its address to a new host of @p service.
    void reuseAddress(std::size_t index, ServiceId service);
    /// Partitions @p zone from the other zones; probes detect it after about a second.
    void partitionZone(std::uint16_t zone);
    void pauseVm(std::size_t index, Duration duration);
    /// Publishes the current state to the VMs, each of which receives it after a delay of its own.
    void publish();
    Catalogue &catalogue() { return catalogue_; }

    /// Advances the simulation by @p duration, opening flows at the rate of the settings.
    void run(Duration duration);
    bool sendPacket(FleetFlow &flow, FlowStart flowStart, bool endsFlow, int vm = -1);

    std::vector<FleetFlow> &flows() { return flows_; }
    std::vector<FleetHost> &hosts() { return hosts_; }
    FleetResults &results() { return results_; }
    FleetRouter &router(std::size_t index) { return *vms_[index].router; }
    TimePoint now() const { return now_; }
    std::size_t vmCount() const { return vms_.size(); }
    /// Returns the load report for a host, called when views are refreshed; views have no reports if not set.
    std::function<LoadReport(const FleetHost &, TimePoint now)> report;
    /// Returns the weight of the next flow; 1 if not set.
    std::function<double(Random &)> weight;
    std::function<void(Fleet &)> everyStep;
    FleetSettings settings;

private:
    struct Snapshot
    {
        TimePoint at;
        Catalogue catalogue;
        std::vector<Vm> vms;
        std::vector<Upstream> upstreams;
    };

    struct VmSlot
    {
        Vm vm;
        std::unique_ptr<FleetRouter> router;
        bool alive = true;
        bool wasPaused = false;
        bool needsRefresh = false;
        TimePoint exitsAt = TimePoint::max();
        TimePoint pausedUntil {};
        /// Snapshots that aren't applied yet, as time of application and index, ascending.
        std::vector<std::pair<TimePoint, std::size_t>> pendingSnapshots;
        std::size_t snapshot = 0;
        TimePoint appliedAt {};
        std::map<VmId, TimePoint> failureDetectedAt;
        std::map<VmId, TimePoint> activeSince;
        std::uint64_t generation = 0;
    };

    enum class DeliveryResult { Delivered, Failed };

    void step();
    void openFlow();
    void advanceFlow(FleetFlow &flow);
    void closeFlow(FleetFlow &flow);
    void applyPending(VmSlot &vm);
    void refreshView(VmSlot &vm);
    int pickVm();
    int indexOf(VmId id) const;
    bool connected(const VmSlot &from, const VmSlot &to) const;
    DeliveryResult forwardPacket(FleetFlow &flow, FlowStart flowStart, bool endsFlow, int vm);
    DeliveryResult deliverToHost(FleetFlow &flow, const SendToUpstream &send, const VmSlot &from, FlowStart flowStart);
    void checkPlacement(const VmSlot &vm, UpstreamId upstream);
    void breakFlow(FleetFlow &flow, bool stalled);
    ServiceId serviceAt(const VmSlot &vm, const Endpoint &entry) const;

    Random random_;
    RouterFactory factory_;
    TimePoint now_;
    Catalogue catalogue_;
    std::vector<VmSlot> vms_;
    std::vector<FleetHost> hosts_;
    std::vector<Snapshot> snapshots_;
    std::vector<FleetFlow> flows_;
    std::map<Endpoint, std::size_t> hostByEndpoint_;
    FleetResults results_;
    std::uint64_t flowNumber_ = 0;
    std::uint64_t idNumber_ = 0;
    double dueFlows_ = 0;
    int steps_ = 0;
    int partitionedZone_ = -1;
};

} // namespace boragelug
