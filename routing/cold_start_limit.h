#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace boragelug
{

/// Parameters of the limit of new flows at cold upstreams.
struct ColdStartSettings
{
    /// Number of this VM, unique in the fleet; a restart keeps it.
    std::uint64_t vm = 1;
    /// The limit holds in fleets up to this size, as no VM knows how many there are.
    std::size_t maxVms = 300;
    /// All VMs together open at most the service's figure times this plus coldSlack flows a second at a cold upstream.
    double overrun = 1.5;
    double slack = 5;
    /// Probability per upstream that so many VMs take part in opening flows at it that the limit could be exceeded.
    double excessProbability = 1e-9;
    /// Shortest time between two flows that count in different seconds: packets are delayed differently on the way.
    Duration window = std::chrono::milliseconds(1200);
};

/// How one VM takes part in opening flows at cold upstreams.
struct ColdStartShare
{
    /// Fraction of the upstreams at which the VM opens flows, from 0 to 1.
    double probability = 0;
    /// Shortest time between its flows at one of them.
    Duration spacing {};
};

/// The share of each VM at cold upstreams that bear @p requestsPerSecond. Precondition: it is finite and positive.
/// Thread-safe.
ColdStartShare coldStartShare(double requestsPerSecond, const ColdStartSettings &settings);

/// An upstream that may take new flows.
struct ColdStartUpstream
{
    UpstreamId id;
    TimePoint coldUntil;
};

/**
 * Limits new flows at cold upstreams so that all VMs of the fleet together stay below what these bear, although no VM
 * knows what others do.
 *
 * While a service has an upstream that isn't cold, its cold ones get no flow. If all are cold, or the others can't take
 * flows, each is used by few VMs, selected by a hash, and by each of them at a fixed rate. Does no I/O and reads no
 * clock. Not synchronized: one thread at a time; times must not go back.
 */
class ColdStartLimit
{
public:
    explicit ColdStartLimit(const ColdStartSettings &settings);

    /// Replaces the limits, in requests a second, and forgets the upstreams. Precondition: limits are finite and
    /// positive.
    void beginView(const std::map<ServiceId, double> &limits, TimePoint now);

    /// Sets the upstreams of a service that may take flows. Precondition: @p service has a limit.
    void setUpstreams(ServiceId service, std::vector<ColdStartUpstream> upstreams);

    /// Indices of the upstreams of @p service that may take a flow now; null if all may. Valid until the next call.
    const std::vector<std::size_t> *allowed(ServiceId service, TimePoint now);

    /// Indices of the cold upstreams of @p service that may take a flow now if none of the warm ones can. Valid until
    /// the next call.
    const std::vector<std::size_t> &allowedCold(ServiceId service, TimePoint now);

    /// Records that a flow is placed at @p upstream.
    void recordPlaced(UpstreamId upstream, TimePoint now);

    /// Number of cold upstreams.
    std::size_t coldUpstreams(TimePoint now) const;

private:
    struct Service
    {
        ColdStartShare share;
        /// When this VM began to apply the limit. Until a window later, flows of an earlier process of the VM or
        /// without the limit may still count.
        TimePoint limitedSince;
        std::vector<ColdStartUpstream> upstreams;
        /// When the upstream that is cold for the longest time stops being cold.
        TimePoint allWarmAt;
        /// Until when @c warm and @c own are valid.
        TimePoint sortedUntil;
        /// Indices of the upstreams that aren't cold; and of the cold ones that this VM has a share in.
        std::vector<std::size_t> warm;
        std::vector<std::size_t> own;
    };

    void sortUpstreams(Service &service, TimePoint now) const;
    const std::vector<std::size_t> &allowedCold(const Service &known, TimePoint now);
    bool hasShareIn(UpstreamId upstream, const ColdStartShare &share) const;

    ColdStartSettings settings_;
    std::map<ServiceId, Service> services_;
    /// Time of the last flow at each upstream of a service with a limit.
    absl::flat_hash_map<UpstreamId, TimePoint> lastPlaced_;
    std::vector<std::size_t> allowed_;
};

} // namespace boragelug
