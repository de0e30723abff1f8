#pragma once

#include "core/time_point.h"
#include "model/view.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>

namespace boragelug
{

/// How an upstream may be used: normally, for single trial attempts, or not at all. Depends on the outcomes of this
/// VM's attempts and, as a hint, on the upstream's health reports.
enum class UpstreamUse : std::uint8_t { Full, Trial, None };

/// Passive health check of one upstream from the outcomes of one VM's attempts.
struct UpstreamHealth
{
    Incarnation incarnation;
    std::uint32_t consecutiveFailures = 0;
    /// Exponentially weighted failure ratio.
    double failureRatio = 0;
    std::uint32_t samples = 0;
    bool ejected = false;
    TimePoint ejectedUntil;
    std::uint32_t ejections = 0;
    std::uint32_t trialSuccesses = 0;
    bool trialRunning = false;
    TimePoint lastSuccess;
    /// The upstream shed a request with Retry-After; no requests are sent to it until this time.
    TimePoint shedUntil;
};

/// Whether the recorded outcomes meet the conditions for ejection. Thread-safe.
bool shouldEject(const UpstreamHealth &health);

/// Fraction of its normal weight, from 0.1 to 1, that an upstream gets at @p now during slow start. Thread-safe.
double computeSlowStartFactor(TimePoint activeSince, Duration slowStart, TimePoint now);

/**
 * Passive health checks and outlier ejection of all upstreams on one VM.
 *
 * Ejects at most a third of a service's upstreams. If fewer than half of them remain usable, all are used: then the
 * cause is more likely the view or the health endpoint than the upstreams.
 *
 * Not synchronized: one thread at a time.
 */
class UpstreamHealthTable
{
public:
    /// Counts upstreams by service and discards the state of those that are no longer active in the view.
    void applyView(const View &view, TimePoint now);

    /// Records a successful attempt. Readmits an ejected upstream after enough successful trials.
    void recordSuccess(UpstreamId upstream, ServiceId service, TimePoint now);

    /// Records an attempt that counts as a failure of the upstream. Returns true if this newly ejects the upstream.
    bool recordFailure(UpstreamId upstream, ServiceId service, TimePoint now);

    /// Records that the upstream shed a request.
    void recordShed(UpstreamId upstream, Duration retryAfter, TimePoint now);

    /// Records that a trial attempt starts, or ended with neither success nor failure.
    void setTrialRunning(UpstreamId upstream, bool running);

    /// How @p status may be used at @p now.
    UpstreamUse use(const UpstreamStatus &status, TimePoint now) const;

    /// Whether the outcomes of this VM's own attempts allow normal use of @p upstream at @p now.
    bool ownOutcomesAllowUse(UpstreamId upstream, TimePoint now) const;

    /// Discards what the health endpoints reported, because it is outdated after a suspension of the process.
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
