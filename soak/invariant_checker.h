#pragma once

#include "core/time_point.h"
#include "model/endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace boragelug::soak
{

/// Bounds of the promises, as the platform's pages state them.
struct Bounds
{
    Duration drain = std::chrono::seconds(3);
    Duration change = std::chrono::seconds(3);
    /// A VM or the store without trouble for this long has to keep the bounds.
    Duration undisturbedTime = std::chrono::seconds(4);
    Duration stop = std::chrono::seconds(6);
    Duration recovery = std::chrono::seconds(12);
    double minRecoveredFraction = 0.25;
    std::size_t misroutedPacketThreshold = 3;
    std::size_t maxMemoryKib = 260UL * 1024;
    std::size_t maxDescriptors = 3900;
};

/// A promise that was broken.
struct Violation
{
    Duration at {};
    std::string invariant;
    std::string detail;
};

using FlowEndpoints = std::pair<Endpoint, Endpoint>;

/**
 * Collects what callers and hosts see, and tells when an invariant is broken. One violation of each invariant is kept.
 *
 * Not synchronized: one thread at a time.
 */
class InvariantChecker
{
public:
    explicit InvariantChecker(TimePoint start)
        : start_(start)
    { }

    /// Something happened to the VM with this number, to the store, or to the host with this id.
    void recordVmDisturbance(std::size_t vm, TimePoint now) { lastVmDisturbance_[vm] = now; }
    void recordStoreDisturbance(TimePoint now) { lastStoreDisturbance_ = now; }

    /// Whether the VM and the store have been without trouble for long enough.
    bool isUndisturbed(std::size_t vm, TimePoint now) const;

    /// A packet arrived whose bytes are not those that its sender wrote.
    void recordCorruptedPacket(const std::string &receiver, TimePoint now) { report("bytes", receiver, now); }

    /// A packet of an entry of @p wanted arrived at a host of @p service.
    void recordWrongService(const std::string &expectedService, const std::string &service, TimePoint now);

    /// A host took an opening packet through @p vm. The times are those of the store's acknowledgement, if any.
    void checkNewFlow(std::size_t vm,
                      std::optional<TimePoint> drainingSince,
                      std::optional<TimePoint> entryRemovedAt,
                      TimePoint now);

    /// A flow opened at @p host, or ended.
    void recordFlowOpened(const FlowEndpoints &flow, std::uint64_t upstream) { flows_[flow] = { upstream, 0 }; }
    void recordFlowEnded(const FlowEndpoints &flow) { flows_.erase(flow); }
    /// All flows at a host ended with it.
    void recordUpstreamStopped(std::uint64_t upstream);

    /// A packet of an open flow arrived at @p host.
    void checkFlowPacket(const FlowEndpoints &flow, std::uint64_t upstream, TimePoint now);

    /// A caller got a reset that no host sent.
    void checkLoadBalancerReset(const FlowEndpoints &flow, TimePoint now);

    /// Records a violation; only the first of each promise.
    void report(const std::string &invariant, const std::string &detail, TimePoint now);

    const std::vector<Violation> &violations() const { return violations_; }

private:
    struct OpenFlow
    {
        std::uint64_t upstream = 0;
        std::size_t misroutedPackets = 0;
    };

    TimePoint start_;
    Bounds bounds_;
    std::map<std::size_t, TimePoint> lastVmDisturbance_;
    TimePoint lastStoreDisturbance_;
    std::map<FlowEndpoints, OpenFlow> flows_;
    std::vector<Violation> violations_;
};

} // namespace boragelug::soak
