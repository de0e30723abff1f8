#pragma once

#include "core/time_point.h"
#include "model/endpoint.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace boragelug::soak
{

/// Limits that the invariants are checked against, as the platform's documentation states them.
struct Bounds
{
    /// Time from the start of draining until an upstream must no longer receive new flows.
    Duration drain = std::chrono::seconds(3);
    /// Time from the removal of an entry until it must no longer receive new flows.
    Duration change = std::chrono::seconds(3);
    /// Time from the request to evacuate a zone until its upstreams must no longer receive new flows.
    Duration evacuation = std::chrono::seconds(3);
    /// A new flow is checked against drain, change and evacuation only if no fault affected its VM or the store for
    /// this long.
    Duration undisturbedTime = std::chrono::seconds(4);
    /// Time from SIGTERM until a VM must have exited.
    Duration stop = std::chrono::seconds(6);
    /// Time in which restarted VMs recover; the window for minRecoveredFraction starts after half of it.
    Duration recovery = std::chrono::seconds(12);
    double minRecoveredFraction = 0.25;
    /// Consecutive packets of an open flow that count as a violation if they arrive at other upstreams than its own.
    std::size_t misroutedPacketThreshold = 3;
    std::size_t maxMemoryKib = 260UL * 1024;
    std::size_t maxDescriptors = 3900;
};

/// Since when an upstream or entry must not get new flows, as far as the store accepted that; std::nullopt otherwise.
struct Withdrawals
{
    std::optional<TimePoint> drainingSince;
    std::optional<TimePoint> entryRemovedAt;
    std::optional<TimePoint> zoneEvacuatedAt;
};

/// The first violation of an invariant in a run, and how many there were.
struct Violation
{
    Duration at {};
    std::string invariant;
    std::string detail;
    std::size_t count = 1;
};

/// The caller's endpoint and the entry of a flow.
using FlowEndpoints = std::pair<Endpoint, Endpoint>;

/**
 * Checks the packets that callers and upstreams receive against the invariants. Keeps the first violation of each
 * invariant.
 *
 * Not synchronized: one thread at a time.
 */
class InvariantChecker
{
public:
    explicit InvariantChecker(TimePoint start)
        : start_(start)
    { }

    /// Records that a fault affects the VM with number @p vm until @p end, which may be in the future.
    void recordVmDisturbance(std::size_t vm, TimePoint end)
    {
        lastVmDisturbance_[vm] = std::max(lastVmDisturbance_[vm], end);
    }
    /// Records that a fault affects the upstream with id @p upstream until @p end, which may be in the future.
    void recordUpstreamDisturbance(std::uint64_t upstream, TimePoint end)
    {
        lastUpstreamDisturbance_[upstream] = std::max(lastUpstreamDisturbance_[upstream], end);
    }
    /// Records that a fault affects the configuration store.
    void recordStoreDisturbance(TimePoint now) { lastStoreDisturbance_ = now; }

    /// Whether neither the VM nor the store was disturbed within Bounds::undisturbedTime.
    bool isUndisturbed(std::size_t vm, TimePoint now) const;

    /// Reports a packet that arrived with a wrong checksum or format. @p detail is the violation's text.
    void recordCorruptedPacket(const std::string &detail, TimePoint now) { report("bytes", detail, now); }

    /// Reports a packet to an entry of @p expectedService that arrived at an upstream of @p service.
    void recordWrongService(const std::string &expectedService, const std::string &service, TimePoint now);

    /// Checks a SYN that an upstream received through the VM with number @p vm.
    void checkNewFlow(std::size_t vm, const Withdrawals &withdrawals, TimePoint now);

    /// Records that a flow was opened at @p upstream.
    void recordFlowOpened(const FlowEndpoints &flow, std::uint64_t upstream) { flows_[flow] = { upstream, 0 }; }
    /// Records that the caller or the upstream closed a flow.
    void recordFlowEnded(const FlowEndpoints &flow) { flows_.erase(flow); }
    /// Discards all flows of an upstream that stopped.
    void recordUpstreamStopped(std::uint64_t upstream);

    /// Checks a packet that arrived at @p upstream: packets of an open flow must reach the upstream
    /// at which it was opened.
    void checkFlowPacket(const FlowEndpoints &flow, std::uint64_t upstream, TimePoint now);

    /// Checks a reset that the load balancer sent to a caller: it must not end an open flow of a running upstream.
    void checkLoadBalancerReset(const FlowEndpoints &flow, TimePoint now);

    /// Checks a reset that @p upstream sent to a caller: the flow must not be open at another running upstream, unless
    /// one of the two was disturbed within Bounds::undisturbedTime.
    void checkUpstreamReset(const FlowEndpoints &flow, std::uint64_t upstream, TimePoint now);

    /// Records a violation; only counted if @p invariant was already violated.
    void report(const std::string &invariant, const std::string &detail, TimePoint now);

    const std::vector<Violation> &violations() const { return violations_; }

private:
    struct OpenFlow
    {
        std::uint64_t upstream = 0;
        std::size_t misroutedPackets = 0;
    };

    bool isUpstreamUndisturbed(std::uint64_t upstream, TimePoint now) const;

    TimePoint start_;
    Bounds bounds_;
    std::map<std::size_t, TimePoint> lastVmDisturbance_;
    std::map<std::uint64_t, TimePoint> lastUpstreamDisturbance_;
    TimePoint lastStoreDisturbance_;
    std::map<FlowEndpoints, OpenFlow> flows_;
    std::vector<Violation> violations_;
};

} // namespace boragelug::soak
