#include "requests/upstream_health.h"

#include <algorithm>
#include <chrono>

namespace boragelug
{

namespace
{

constexpr std::uint32_t consecutiveFailuresToEject = 5;
constexpr std::uint32_t minSamplesToEject = 20;
constexpr double maxFailureRatio = 0.5;
/// Weight of the newest outcome in the failure ratio, which thus covers about the last 20 outcomes.
constexpr double sampleWeight = 0.05;
constexpr auto initialEjectionTime = std::chrono::seconds(1);
constexpr auto maxEjectionTime = std::chrono::seconds(30);
constexpr std::uint32_t successesToRecover = 3;
constexpr auto maxShedPause = std::chrono::seconds(1);
constexpr auto maxLoadReportAge = std::chrono::seconds(10);
/// A success within this time takes precedence over a report of the health endpoint.
constexpr auto ownSuccessPrecedence = std::chrono::seconds(2);

} // namespace

bool shouldEject(const UpstreamHealth &health)
{
    return health.consecutiveFailures >= consecutiveFailuresToEject
        || (health.samples >= minSamplesToEject && health.failureRatio > maxFailureRatio);
}

double computeSlowStartFactor(TimePoint activeSince, Duration slowStart, TimePoint now)
{
    if (slowStart <= Duration {} || now - activeSince >= slowStart) {
        return 1.0;
    }
    const auto age = static_cast<double>((now - activeSince).count());
    return std::max(0.1, age / static_cast<double>(slowStart.count()));
}

void UpstreamHealthTable::applyView(const View &view, TimePoint now)
{
    absl::flat_hash_map<UpstreamId, UpstreamHealth> kept;
    services_.clear();
    reportedUnhealthy_.clear();
    for (const UpstreamStatus &status : view.upstreams) {
        if (status.upstream.state != UpstreamState::Active) {
            continue;
        }
        ServiceCount &count = services_[status.upstream.service];
        ++count.hosts;
        const bool recent = now - status.load.reportedAt <= maxLoadReportAge;
        const bool sameIncarnation = status.load.incarnation == status.upstream.incarnation;
        const bool unhealthy = !status.usable || (recent && sameIncarnation && !status.load.healthy);
        if (unhealthy) {
            reportedUnhealthy_.insert(status.upstream.id);
            ++count.reportedUnhealthy;
        }
        const auto found = health_.find(status.upstream.id);
        if (found != health_.end() && found->second.incarnation == status.upstream.incarnation) {
            count.ejected += found->second.ejected ? 1 : 0;
            kept.insert(*found);
        } else {
            kept[status.upstream.id].incarnation = status.upstream.incarnation;
        }
    }
    health_ = std::move(kept);
}

void UpstreamHealthTable::recordSuccess(UpstreamId upstream, ServiceId service, TimePoint now)
{
    const auto found = health_.find(upstream);
    if (found == health_.end()) {
        return;
    }
    UpstreamHealth &health = found->second;
    health.consecutiveFailures = 0;
    health.failureRatio *= 1.0 - sampleWeight;
    ++health.samples;
    health.lastSuccess = now;
    health.trialRunning = false;
    if (health.ejected && ++health.trialSuccesses >= successesToRecover) {
        UpstreamHealth recovered;
        recovered.incarnation = health.incarnation;
        recovered.lastSuccess = now;
        health = recovered;
        ServiceCount &count = services_[service];
        count.ejected -= count.ejected > 0 ? 1 : 0;
    }
}

bool UpstreamHealthTable::recordFailure(UpstreamId upstream, ServiceId service, TimePoint now)
{
    const auto found = health_.find(upstream);
    if (found == health_.end()) {
        return false;
    }
    UpstreamHealth &health = found->second;
    ++health.consecutiveFailures;
    health.failureRatio += sampleWeight * (1.0 - health.failureRatio);
    ++health.samples;
    health.trialRunning = false;
    ServiceCount &count = services_[service];
    if (!health.ejected && (!shouldEject(health) || (count.ejected + 1) * 3 > count.hosts)) {
        return false;
    }
    const bool newlyEjected = !health.ejected;
    count.ejected += newlyEjected ? 1 : 0;
    health.ejected = true;
    health.trialSuccesses = 0;
    const auto doubled = initialEjectionTime * (1U << std::min(health.ejections, 5U));
    health.ejectedUntil = now + std::min<Duration>(doubled, maxEjectionTime);
    ++health.ejections;
    return newlyEjected;
}

void UpstreamHealthTable::recordShed(UpstreamId upstream, Duration retryAfter, TimePoint now)
{
    const auto found = health_.find(upstream);
    if (found != health_.end()) {
        found->second.shedUntil = now + std::min<Duration>(retryAfter, maxShedPause);
        found->second.trialRunning = false;
    }
}

void UpstreamHealthTable::setTrialRunning(UpstreamId upstream, bool running)
{
    const auto found = health_.find(upstream);
    if (found != health_.end()) {
        found->second.trialRunning = running;
    }
}

bool UpstreamHealthTable::ownOutcomesAllowUse(UpstreamId upstream, TimePoint now) const
{
    const auto found = health_.find(upstream);
    return found != health_.end() && !found->second.ejected && found->second.shedUntil <= now;
}

UpstreamUse UpstreamHealthTable::use(const UpstreamStatus &status, TimePoint now) const
{
    const auto found = health_.find(status.upstream.id);
    const auto count = services_.find(status.upstream.service);
    if (found == health_.end() || count == services_.end()) {
        return UpstreamUse::None;
    }
    const UpstreamHealth &health = found->second;
    if (health.shedUntil > now) {
        return UpstreamUse::None;
    }
    const std::uint32_t notUsable =
        std::min(count->second.hosts, count->second.ejected + count->second.reportedUnhealthy);
    if ((count->second.hosts - notUsable) * 2 < count->second.hosts) {
        return UpstreamUse::Full;
    }
    if (health.ejected) {
        return health.ejectedUntil <= now && !health.trialRunning ? UpstreamUse::Trial : UpstreamUse::None;
    }
    const bool recentSuccess = health.lastSuccess != TimePoint {} && now - health.lastSuccess <= ownSuccessPrecedence;
    if (reportedUnhealthy_.contains(status.upstream.id) && !recentSuccess) {
        return health.trialRunning ? UpstreamUse::None : UpstreamUse::Trial;
    }
    return UpstreamUse::Full;
}

} // namespace boragelug
