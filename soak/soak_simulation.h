#pragma once

#include "core/random.h"
#include "drivers/asio_runtime.h"
#include "drivers/http_call.h"
#include "drivers/udp_socket.h"
#include "model/directory_record.h"
#include "platform/standins/store_standin.h"
#include "soak/invariant_checker.h"
#include "soak/simulated_caller.h"
#include "soak/simulated_upstream.h"
#include "soak/vm_process.h"

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragelug::soak
{

/// A fault of the soak's own stand-ins, which shows that a check can fail.
enum class Sabotage : std::uint8_t {
    None,
    Bytes, ///< The fabric changes a byte of each hundredth packet.
    Withhold, ///< The store keeps changes back while it seems well.
    Reset, ///< The fabric resets open flows.
    Service, ///< A host that says it is of one service is of the other.
    Deaf ///< Restarted VMs get no packets.
};

/// Size and length of one run.
struct Plan
{
    std::uint64_t seed = 1;
    std::size_t vms = 6;
    std::size_t upstreams = 10;
    std::size_t callers = 8;
    std::size_t flowsPerCaller = 12;
    Duration length = std::chrono::seconds(20);
    std::string program;
    std::string folder;
    Sabotage sabotage = Sabotage::None;
};

/// Totals of one run.
struct Report
{
    std::vector<Violation> violations;
    std::vector<std::string> faults;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    double recoveredFraction = 0;
    std::size_t peakMemoryKib = 0;
    std::size_t peakDescriptors = 0;
};

/**
 * Runs daemons as separate processes among stand-ins, injects faults from outside of them by one seed's plan, and
 * checks the invariants from what callers and upstreams see.
 *
 * Uses loopback addresses of its own 127.x network, so that several runs can share a machine if their networks differ.
 */
class SoakSimulation
{
public:
    /// @p network is the second number of the loopback addresses, from 16 to 240.
    SoakSimulation(Plan plan, std::uint8_t network);
    ~SoakSimulation();

    /// Runs the whole plan.
    Report run();

private:
    struct Vm
    {
        std::unique_ptr<VmProcess> process;
        Endpoint packet;
        Endpoint admin;
        Endpoint relay;
        bool inRotation = false;
        bool readinessCheckPending = false;
        unsigned failedChecks = 0;
        bool wanted = true;
        std::optional<TimePoint> startAt;
        std::optional<TimePoint> resumeAt;
        std::optional<TimePoint> stoppingSince;
        bool restarted = false;
    };

    struct Entry
    {
        Endpoint address;
        std::string service;
        std::optional<TimePoint> removedAt;
    };

    TimePoint now() const { return runtime_.clock().now(); }
    Endpoint makeEndpoint(std::uint8_t group, std::size_t number, std::uint16_t port) const;
    void writeSettings(const Vm &vm) const;
    void addUpstream(const std::string &service, const Endpoint &address);
    UpstreamRecord makeRecord(const SimulatedUpstream &upstream, const std::string &service) const;
    void drainUpstream(SimulatedUpstream &upstream);
    void writeCatalogue();
    void sendThroughFabric(std::size_t caller, std::vector<std::byte> packet);
    std::optional<std::size_t> chooseVm(std::span<const std::byte> packet) const;
    void checkReadiness();
    void tick();
    void superviseVms();
    void injectFault();
    void injectVmFault();
    void injectUpstreamFault();
    void injectStoreFault();
    void changeCatalogue();
    void injectNetworkFault();
    void runAfter(Duration delay, std::function<void()> action);
    void recordFault(const std::string &what);
    void runFor(Duration length);
    CallerCounts takeCounts();

    Plan plan_;
    std::uint8_t network_;
    AsioRuntime runtime_;
    Random random_;
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
    std::uint64_t version_ = 0;
    std::uint64_t packets_ = 0;
    std::uint32_t lossPerMille_ = 0;
    Duration delay_ {};
    bool faultsEnabled_ = false;
    TimePoint nextFault_;
    TimePoint nextReadinessCheck_;
    Report report_;
};

} // namespace boragelug::soak
