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

/// Number of VMs that poll the load of each upstream.
constexpr std::size_t pollersPerUpstream = 2;
/// Load values older than this are ignored.
constexpr Duration maxLoadAge = std::chrono::seconds(10);

/// Weight of a load value by its age: decreases linearly from 1 to 0 at maxLoadAge. Thread-safe.
double loadWeight(Duration age);

/// The upstreams of @p zoneUpstreams that @p self polls: those for which it ranks among the first two of @p zoneVms by
/// rendezvous hash. Upstreams that are leaving are not polled. Thread-safe.
std::vector<Upstream>
upstreamsToPoll(std::span<const Upstream *const> zoneUpstreams, std::span<const VmId> zoneVms, VmId self);

/**
 * Load of the upstreams of one zone, from this VM's own polls and peers' digests.
 *
 * Keeps the newest value of each upstream. Not synchronized: one thread at a time.
 */
class UpstreamLoad
{
public:
    /// Sets the upstreams of the zone and discards values of other upstreams or incarnations.
    void setUpstreams(std::span<const Upstream *const> zoneUpstreams);

    /// Stores a value that this VM polled. False if the upstream or incarnation is not in the zone, the value is
    /// invalid or it is not newer than the stored one.
    bool handleReport(const LoadReport &report, TimePoint now);

    /// Stores newer values from a peer's digest; their ages are relative to @p now. True if any value changed.
    bool handleDigest(const LoadDigest &digest, TimePoint now);

    /// The value for @p upstream; std::nullopt if there is none or it has reached maxLoadAge.
    std::optional<LoadReport> find(UpstreamId upstream, TimePoint now) const;

    /// A digest that fits into one datagram: first this VM's own polls, then values from peers, each in rotation.
    /// Values that have reached half of maxLoadAge are left out; the digest may be empty.
    LoadDigest digest(TimePoint now);

    /// Discards all values. Call it after a suspension of the process, when the values are out of date.
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
    /// Rotation in which values are sent: a value that was considered for a digest moves to the end.
    std::deque<UpstreamId> sendOrder_;
};

} // namespace boragelug
