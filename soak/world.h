#pragma once

#include "core/random.h"
#include "drivers/asio_runtime.h"
#include "drivers/http_call.h"
#include "drivers/udp_socket.h"
#include "model/directory_record.h"
#include "platform/standins/store_standin.h"
#include "soak/caller.h"
#include "soak/host.h"
#include "soak/promises.h"
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
    std::size_t hosts = 10;
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
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    double recoveredShare = 0;
    std::size_t mostMemoryKib = 0;
    std::size_t mostDescriptors = 0;
};

/**
 * Runs daemons as separate processes among stand-ins, injects faults from outside of them by one seed's plan, and
 * checks the promises from what callers and hosts see.
 *
 * Uses loopback addresses of its own 127.x network, so that several runs can share a machine if their networks differ.
 */
class World
{
public:
    /// @p network is the second number of the loopback addresses, from 16 to 240.
    World(Plan plan, std::uint8_t network);
    ~World();

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
        bool probing = false;
        unsigned misses = 0;
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
        std::optional<TimePoint> removed;
    };

    TimePoint now() const { return runtime_.clock().now(); }
    Endpoint at(std::uint8_t group, std::size_t number, std::uint16_t port) const;
    void writeSettings(const Vm &vm) const;
    void addHost(const std::string &service, const Endpoint &address);
    UpstreamRecord record(const Host &host, const std::string &service) const;
    void drainHost(Host &host);
    void writeCatalogue();
    void toFabric(std::size_t caller, std::vector<std::byte> packet);
    std::optional<std::size_t> chooseVm(std::span<const std::byte> packet) const;
    void checkReadiness();
    void tick();
    void superviseVms();
    void injectFault();
    void hurtVm();
    void hurtHosts();
    void hurtStore();
    void changeCatalogue();
    void hurtNetwork();
    void later(Duration delay, std::function<void()> action);
    void note(const std::string &what);
    void runFor(Duration length);
    CallerCounts takeCounts();

    Plan plan_;
    std::uint8_t network_;
    AsioRuntime runtime_;
    Random random_;
    Promises promises_;
    Bounds bounds_;
    TimePoint start_;
    std::unique_ptr<StoreStandin> store_;
    UdpSocket fabric_;
    std::vector<Vm> vms_;
    std::list<std::unique_ptr<Host>> hosts_;
    std::vector<std::unique_ptr<UdpSocket>> callerSockets_;
    std::vector<CallerFleet> callers_;
    std::vector<Entry> entries_;
    std::uint64_t nextHost_ = 1;
    std::uint64_t version_ = 0;
    std::uint64_t packets_ = 0;
    std::uint32_t lossPerMille_ = 0;
    Duration delay_ {};
    bool faultsEnabled_ = false;
    TimePoint nextFault_;
    TimePoint nextProbe_;
    Report report_;
};

} // namespace boragelug::soak
