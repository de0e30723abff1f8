#pragma once

#include "core/random.h"
#include "drivers/asio_runtime.h"
#include "drivers/http_call.h"
#include "drivers/udp_socket.h"
#include "model/directory_record.h"
#include "platform/standins/store_standin.h"
#include "soak/fault_plan.h"
#include "soak/invariant_checker.h"
#include "soak/simulated_caller.h"
#include "soak/simulated_upstream.h"
#include "soak/vm_process.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragelug::soak
{

/// A deliberate fault of the simulation's stand-ins, which shows that a violated invariant is detected.
enum class Sabotage : std::uint8_t {
    None,
    Bytes, ///< The fabric corrupts a byte of every hundredth packet.
    Withhold, ///< The store withholds changes while it responds normally.
    Reset, ///< The fabric answers every hundredth packet with a forged reset.
    Service, ///< One upstream is recorded in the store under another service than its own.
    Deaf ///< The fabric drops all packets to restarted VMs.
};

/// Parameters of one run.
struct Plan
{
    std::uint64_t seed = 1;
    std::size_t vms = 6;
    std::size_t upstreams = 10;
    std::size_t callers = 8;
    std::size_t flowsPerCaller = 12;
    /// Time during which faults are injected.
    Duration length = std::chrono::seconds(20);
    std::string program;
    std::string folder;
    Sabotage sabotage = Sabotage::None;
    FaultMix mix = FaultMix::Unplanned;
};

/// Violations, injected faults and totals of one run.
struct Report
{
    std::vector<Violation> violations;
    std::vector<std::string> faults;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    /// Requests served divided by requests sent in the last seconds of the run, after all VMs were killed and
    /// restarted; at most 1, although requests sent before these seconds may be served in them.
    double recoveredFraction = 0;
    std::size_t peakMemoryKib = 0;
    std::size_t peakDescriptors = 0;
};

/**
 * Runs daemons as separate processes among stand-ins for the fabric, the store, callers and upstreams. Draws faults
 * from the seed, injects them from outside of the daemons and checks the invariants at the callers and upstreams.
 *
 * All addresses are in one loopback network 127.x.0.0/16; runs with different networks can share a machine.
 */
class SoakSimulation
{
public:
    /// @p network is the second octet of the loopback addresses, from 16 to 240.
    SoakSimulation(Plan plan, std::uint8_t network);
    ~SoakSimulation();

    /// Runs the faults of the plan, then kills and restarts all VMs and checks that they recover.
    Report run();

private:
    struct Vm
    {
        std::unique_ptr<VmProcess> process;
        Endpoint packet;
        Endpoint admin;
        Endpoint relay;
        /// The store's endpoint for this VM.
        Endpoint store;
        bool inRotation = false;
        bool readinessCheckPending = false;
        unsigned failedChecks = 0;
        bool wanted = true;
        std::optional<TimePoint> startAt;
        std::optional<TimePoint> resumeAt;
        std::optional<TimePoint> stoppingSince;
        bool restarted = false;
        /// Until then, packets of callers don't reach the VM, or its packets don't reach upstreams.
        TimePoint cutFromCallersUntil;
        TimePoint cutFromUpstreamsUntil;
    };

    /// An upstream whose receive queue and accept queue are full at times.
    struct Overload
    {
        /// Of each packet that VMs send to it.
        double packetDropChance = 0;
        /// That it ignores all connections until its accept queue changes again.
        double connectionDropChance = 0;
    };

    struct Entry
    {
        Endpoint address;
        std::string service;
        std::optional<TimePoint> removedAt;
    };

    TimePoint now() const { return runtime_.clock().now(); }
    /// The endpoint 127.network_.group.number:port.
    Endpoint makeEndpoint(std::uint8_t group, std::size_t number, std::uint16_t port) const;
    Endpoint upstreamEndpoint(std::size_t number) const;
    Endpoint entryEndpoint(std::size_t number) const;
    void writeSettings(const Vm &vm) const;
    void addUpstream(const std::string &service, const Endpoint &address);
    /// Starts an upstream, which has no record yet.
    SimulatedUpstream &startUpstream(std::uint64_t id, const std::string &service, const Endpoint &address);
    /// Sends a packet of the upstream with id @p upstream to a caller.
    void sendToCaller(std::uint64_t upstream, const Endpoint &caller, std::vector<std::byte> bytes);
    SimulatedUpstream *findUpstream(std::uint64_t id);
    UpstreamRecord makeRecord(const SimulatedUpstream &upstream, const std::string &service) const;
    void drainUpstream(SimulatedUpstream &upstream);
    void writeCatalogue();
    void sendThroughFabric(std::size_t caller, std::vector<std::byte> packet);
    std::optional<std::size_t> chooseVm(std::span<const std::byte> packet) const;
    void checkReadiness();
    void tick();
    void superviseVms();
    /// Injects the faults that are due.
    void injectFaults();
    void inject(const PlannedFault &fault);
    void injectVmFault(Random &random);
    void injectUpstreamFault(Random &random);
    void injectStoreFault(Random &random);
    void changeCatalogue(Random &random);
    void injectNetworkFault(Random &random);
    void injectPartition(Random &random);
    void injectPlannedVmFault(Random &random);
    void injectLifetimeFault(Random &random);
    void restartUpstream(std::uint64_t id, Random &random);
    void injectLateAnswers(Random &random);
    void injectReachabilityFault(Random &random);
    void injectPathFault(Random &random);
    void injectOverload(Random &random);
    void injectEvacuation(Random &random);
    void injectSlowness(Random &random);
    /// The zone of the upstream with id @p upstream.
    std::string zoneOf(std::uint64_t upstream) const;
    /// When the evacuation of the zone of an upstream was requested; std::nullopt while there is none.
    std::optional<TimePoint> zoneEvacuatedAt(std::uint64_t upstream) const;
    /// How late an upstream answers now.
    Duration answerDelay(std::uint64_t upstream) const;
    /// Whether an upstream drops the packet that just arrived because it is overloaded.
    bool isDroppedByOverload(std::uint64_t upstream);
    /// Makes each overloaded upstream ignore or accept connections, and repeats that until the overload ends.
    void changeAcceptQueues(TimePoint end, Random random);
    /// Cuts a VM off from the store alone.
    void cutOffFromStore(std::size_t vm, Duration length);
    /// Removes the record of a running upstream, which writes it again after @p length.
    void loseRecord(std::uint64_t id, Duration length);
    /// Writes the record of another upstream of the same service with the address of a running one.
    void writeRecordAtAddress(const SimulatedUpstream &upstream, Duration length, bool later);
    void runAfter(Duration delay, std::function<void()> action);
    void recordFault(const std::string &what);
    void runFor(Duration length);
    CallerCounts takeCounts();

    Plan plan_;
    std::uint8_t network_;
    AsioRuntime runtime_;
    /// Decides on packets only; faults have their own seeds.
    Random packetRandom_;
    InvariantChecker invariants_;
    Bounds bounds_;
    TimePoint start_;
    std::unique_ptr<StoreStandin> store_;
    UdpSocket fabric_;
    std::vector<Vm> vms_;
    std::list<std::unique_ptr<SimulatedUpstream>> upstreams_;
    std::vector<std::unique_ptr<UdpSocket>> callerSockets_;
    std::vector<SimulatedCaller> callers_;
    std::vector<Entry> entries_;
    std::uint64_t nextUpstreamId_ = 1;
    std::uint64_t nextIncarnation_ = 1;
    /// VMs, by number, and upstreams whose packets from the VM are lost until the time given.
    std::map<std::pair<std::size_t, std::uint64_t>, TimePoint> cutPairs_;
    /// Upstreams whose packets to callers are lost until the time given.
    std::map<std::uint64_t, TimePoint> muteUntil_;
    /// Upstreams that answer late until the time given.
    std::map<std::uint64_t, std::pair<TimePoint, Duration>> lateAnswers_;
    /// Upstreams that are overloaded now.
    std::map<std::uint64_t, Overload> overloads_;
    /// The zone that is evacuated, and since when; std::nullopt if none is.
    std::optional<std::pair<std::string, TimePoint>> evacuation_;
    std::uint64_t catalogueVersion_ = 0;
    std::uint64_t packetCount_ = 0;
    /// Packets per thousand that the fabric drops, and also that it duplicates.
    std::uint32_t lossPerMille_ = 0;
    Duration maxPacketDelay_ {};
    std::vector<PlannedFault> faults_;
    std::size_t nextFault_ = 0;
    /// Start of the time with faults; std::nullopt while there are none.
    std::optional<TimePoint> faultsSince_;
    TimePoint nextReadinessCheck_;
    Report report_;
};

} // namespace boragelug::soak
