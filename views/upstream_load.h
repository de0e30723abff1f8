#pragma once

#include "core/time_point.h"
#include "model/peer_message.h"
#include "model/upstream.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace boragelug
{

/// VMs that read the load of one upstream.
constexpr std::size_t pollersPerUpstream = 2;
/// Load values older than this are ignored.
constexpr Duration maxLoadAge = std::chrono::seconds(10);

/// Weight of a load value of this age: 1 when new, falling evenly to 0 at maxLoadAge. Thread-safe.
double loadWeight(Duration age);

/// The hosts of @p upstreams in @p zone that @p self reads: those for which it ranks among the first two of @p zoneVms
/// by rendezvous hash. Hosts that are leaving are not read. Thread-safe.
std::vector<Upstream>
upstreamsToPoll(std::span<const Upstream *const> zoneUpstreams, std::span<const VmId> zoneVms, VmId self);

/**
 * Load of the hosts of one zone, from own polls and from peers' digests.
 *
 * Keeps one value a upstream of the zone, the newest. Not synchronized: one thread at a time.
 */
class UpstreamLoad
{
public:
    /// Sets the zone's hosts; values of other hosts or incarnations are dropped.
    void setUpstreams(std::span<const Upstream *const> zoneUpstreams);

    /// Takes what this VM read itself. False when the upstream is not of this zone or the value is older than the known
    /// one.
    bool handleReport(const LoadReport &report, TimePoint now);

    /// Takes a peer's digest; ages count from @p now. True when something changed.
    bool handleDigest(const LoadDigest &digest, TimePoint now);

    /// The value for @p upstream when it is not too old, else nothing.
    std::optional<LoadReport> find(UpstreamId upstream, TimePoint now) const;

    /// A digest for one peer that fits into one datagram: own polls first, then values of others in turn; values older
    /// than half of maxLoadAge are left out. Empty when there is nothing.
    LoadDigest digest(TimePoint now);

    /// Forgets all values. For use after a pause, when their age says nothing.
    void clear();

    /// Number of values held.
    std::size_t size() const { return reports_.size(); }

private:
    struct StoredReport
    {
        LoadReport report;
        bool own = false;
    };

    bool store(const LoadReport &report, bool own);

    absl::flat_hash_map<UpstreamId, Incarnation> incarnations_;
    absl::flat_hash_map<UpstreamId, StoredReport> reports_;
    /// Order in which values are sent; each sent one goes to the end.
    std::deque<UpstreamId> sendOrder_;
};

} // namespace boragelug
