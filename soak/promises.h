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
    Duration contact = std::chrono::seconds(4);
    Duration stop = std::chrono::seconds(6);
    Duration recovery = std::chrono::seconds(12);
    double recoveredShare = 0.25;
    std::size_t misledPackets = 3;
    std::size_t memoryKib = 260UL * 1024;
    std::size_t descriptors = 3900;
};

/// A promise that was broken.
struct Violation
{
    Duration at {};
    std::string promise;
    std::string detail;
};

using FlowEnds = std::pair<Endpoint, Endpoint>;

/**
 * Collects what callers and hosts see, and tells when a promise is broken. One violation of each promise is kept.
 *
 * Not synchronized: one thread at a time.
 */
class Promises
{
public:
    explicit Promises(TimePoint start)
        : start_(start)
    { }

    /// Something happened to the VM with this number, to the store, or to the host with this id.
    void disturbVm(std::size_t vm, TimePoint now) { vms_[vm] = now; }
    void disturbStore(TimePoint now) { store_ = now; }

    /// Whether the VM and the store have been without trouble for long enough.
    bool inTouch(std::size_t vm, TimePoint now) const;

    /// A packet arrived whose bytes are not those that its sender wrote.
    void changedBytes(const std::string &where, TimePoint now) { report("bytes", where, now); }

    /// A packet of an entry of @p wanted arrived at a host of @p service.
    void foreignService(const std::string &wanted, const std::string &service, TimePoint now);

    /// A host took an opening packet through @p vm. The times are those of the store's acknowledgement, if any.
    void
    opened(std::size_t vm, std::optional<TimePoint> draining, std::optional<TimePoint> routeRemoved, TimePoint now);

    /// A flow opened at @p host, or ended.
    void flowOpened(const FlowEnds &flow, std::uint64_t host) { flows_[flow] = { host, 0 }; }
    void flowEnded(const FlowEnds &flow) { flows_.erase(flow); }
    /// All flows at a host ended with it.
    void hostEnded(std::uint64_t host);

    /// A packet of an open flow arrived at @p host.
    void flowPacket(const FlowEnds &flow, std::uint64_t host, TimePoint now);

    /// A caller got a reset that no host sent.
    void systemReset(const FlowEnds &flow, TimePoint now);

    /// Records a violation; only the first of each promise.
    void report(const std::string &promise, const std::string &detail, TimePoint now);

    const std::vector<Violation> &violations() const { return violations_; }

private:
    struct OpenFlow
    {
        std::uint64_t host = 0;
        std::size_t misled = 0;
    };

    TimePoint start_;
    Bounds bounds_;
    std::map<std::size_t, TimePoint> vms_;
    TimePoint store_;
    std::map<FlowEnds, OpenFlow> flows_;
    std::vector<Violation> violations_;
};

} // namespace boragelug::soak
