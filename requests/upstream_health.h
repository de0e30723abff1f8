#pragma once

#include "core/time_point.h"
#include "model/view.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>

namespace boragelug
{

/// How an upstream may be used, by this VM's outcomes and the health endpoint as a hint.
enum class UpstreamUse : std::uint8_t { Full, Trial, None };

/// What one VM has learned of one upstream from its own attempts.
struct UpstreamHealth
{
    Incarnation incarnation;
    std::uint32_t consecutiveFailures = 0;
    /// Exponentially weighted share of failures.
    double failureRatio = 0;
    std::uint32_t samples = 0;
    bool ejected = false;
    TimePoint ejectedUntil;
    std::uint32_t ejections = 0;
    std::uint32_t trialSuccesses = 0;
    bool trialRunning = false;
    TimePoint lastSuccess;
    /// The upstream shed work and asked for a pause until then.
    TimePoint shedUntil;
};

/// Whether the outcomes so far call for ejection. Thread-safe.
bool shouldEject(const UpstreamHealth &health);

/// Part of its full share that a host gets at @p now while it ramps up, from 0.1 to 1. Thread-safe.
double computeSlowStartFactor(TimePoint activeSince, Duration slowStart, TimePoint now);

/**
 * Health of all upstreams as one VM sees it.
 *
 * Ejects at most a third of a service. If fewer than half of a service's hosts remain usable, all are used: then the
 * cause is more likely the view or the endpoint than the hosts.
 * Not synchronized: one thread at a time.
 */
class UpstreamHealthTable
{
public:
    /// Counts hosts by service and forgets those that have left.
    void applyView(const View &view, TimePoint now);

    /// An attempt ended well.
    void recordSuccess(UpstreamId upstream, ServiceId service, TimePoint now);

    /// An attempt failed in a way that speaks against the upstream. True if that ejected it.
    bool recordFailure(UpstreamId upstream, ServiceId service, TimePoint now);

    /// The upstream shed a request.
    void recordShed(UpstreamId upstream, Duration retryAfter, TimePoint now);

    /// A trial attempt starts, or ended with neither success nor failure.
    void setTrialRunning(UpstreamId upstream, bool running);

    /// How @p status may be used at @p now.
    UpstreamUse use(const UpstreamStatus &status, TimePoint now) const;

    /// Whether this VM's own outcomes allow normal use of @p upstream at @p now.
    bool ownOutcomesAllowUse(UpstreamId upstream, TimePoint now) const;

    /// Drops what the endpoint reported: the process slept.
    void discardReportedHealth() { reportedUnhealthy_.clear(); }

private:
    struct ServiceCount
    {
        std::uint32_t hosts = 0;
        std::uint32_t ejected = 0;
        std::uint32_t reportedUnhealthy = 0;
    };
    absl::flat_hash_map<UpstreamId, UpstreamHealth> health_;
    absl::flat_hash_set<UpstreamId> reportedUnhealthy_;
    absl::flat_hash_map<ServiceId, ServiceCount> services_;
};

} // namespace boragelug
