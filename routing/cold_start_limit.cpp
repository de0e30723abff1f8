#include "routing/cold_start_limit.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace boragelug
{
namespace
{

/// Steps of the bisection, enough for six digits.
constexpr int bisectionSteps = 40;

/// Probability that a Poisson variable with @p mean exceeds @p bound. It bounds that of a binomial one from above.
double excessProbability(double mean, double bound)
{
    double term = std::exp(-mean);
    double sum = term;
    for (double k = 1; k <= bound; ++k) {
        term *= mean / k;
        sum += term;
    }
    return 1 - sum;
}

/// The largest mean number of VMs per upstream with which more than @p bound of them are unlikely enough.
double largestMean(double bound, double probability)
{
    double low = 0;
    double high = bound;
    for (int step = 0; step < bisectionSteps; ++step) {
        const double middle = (low + high) / 2;
        (excessProbability(middle, bound) <= probability ? low : high) = middle;
    }
    return low;
}

} // namespace

ColdStartShare coldStartShare(double requestsPerSecond, const ColdStartSettings &settings)
{
    const double bound = std::floor(requestsPerSecond * settings.overrun + settings.slack);
    const auto vms = static_cast<double>(settings.maxVms);
    if (bound < 1) {
        return { .probability = 0, .spacing = settings.window };
    }
    if (bound >= vms) {
        const double flows = std::floor(bound / vms);
        return { .probability = 1, .spacing = std::chrono::duration_cast<Duration>(settings.window / flows) };
    }
    return { .probability = largestMean(bound, settings.excessProbability) / vms, .spacing = settings.window };
}

ColdStartLimit::ColdStartLimit(const ColdStartSettings &settings)
    : settings_(settings)
{ }

void ColdStartLimit::beginView(const std::map<ServiceId, double> &limits, TimePoint now)
{
    const auto earlier = std::exchange(services_, {});
    for (const auto &[service, requestsPerSecond] : limits) {
        const auto known = earlier.find(service);
        Service &limited = services_[service];
        limited.share = coldStartShare(requestsPerSecond, settings_);
        limited.limitedSince = known != earlier.end() ? known->second.limitedSince : now;
    }
    absl::erase_if(lastPlaced_, [&](const auto &placed) { return now - placed.second >= settings_.window; });
}

void ColdStartLimit::setUpstreams(ServiceId service, std::vector<ColdStartUpstream> upstreams)
{
    Service &known = services_.at(service);
    known.upstreams = std::move(upstreams);
    known.allWarmAt = {};
    known.sortedUntil = {};
    for (const ColdStartUpstream &upstream : known.upstreams) {
        known.allWarmAt = std::max(known.allWarmAt, upstream.coldUntil);
    }
}

bool ColdStartLimit::hasShareIn(UpstreamId upstream, const ColdStartShare &share) const
{
    constexpr auto maxScore = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return static_cast<double>(rendezvousScore(upstream.value, settings_.vm)) < share.probability * maxScore
        || share.probability >= 1;
}

void ColdStartLimit::sortUpstreams(Service &service, TimePoint now) const
{
    service.warm.clear();
    service.own.clear();
    service.sortedUntil = service.allWarmAt;
    for (std::size_t i = 0; i < service.upstreams.size(); ++i) {
        const ColdStartUpstream &upstream = service.upstreams[i];
        if (now >= upstream.coldUntil) {
            service.warm.push_back(i);
            continue;
        }
        service.sortedUntil = std::min(service.sortedUntil, upstream.coldUntil);
        if (hasShareIn(upstream.id, service.share)) {
            service.own.push_back(i);
        }
    }
}

const std::vector<std::size_t> *ColdStartLimit::allowed(ServiceId service, TimePoint now)
{
    const auto found = services_.find(service);
    if (found == services_.end() || now >= found->second.allWarmAt) {
        return nullptr;
    }
    Service &known = found->second;
    if (now >= known.sortedUntil) {
        sortUpstreams(known, now);
    }
    return known.warm.empty() ? &allowedCold(known, now) : &known.warm;
}

const std::vector<std::size_t> &ColdStartLimit::allowedCold(ServiceId service, TimePoint now)
{
    const auto found = services_.find(service);
    if (found == services_.end() || now >= found->second.allWarmAt) {
        allowed_.clear();
        return allowed_;
    }
    if (now >= found->second.sortedUntil) {
        sortUpstreams(found->second, now);
    }
    return allowedCold(found->second, now);
}

const std::vector<std::size_t> &ColdStartLimit::allowedCold(const Service &known, TimePoint now)
{
    allowed_.clear();
    if (now - known.limitedSince < settings_.window) {
        return allowed_;
    }
    for (const std::size_t index : known.own) {
        const auto placed = lastPlaced_.find(known.upstreams[index].id);
        if (placed == lastPlaced_.end() || now - placed->second >= known.share.spacing) {
            allowed_.push_back(index);
        }
    }
    return allowed_;
}

void ColdStartLimit::recordPlaced(UpstreamId upstream, TimePoint now)
{
    if (!services_.empty()) {
        lastPlaced_[upstream] = now;
    }
}

std::size_t ColdStartLimit::coldUpstreams(TimePoint now) const
{
    std::size_t count = 0;
    for (const auto &[id, service] : services_) {
        count += static_cast<std::size_t>(
            std::count_if(service.upstreams.begin(), service.upstreams.end(), [&](const ColdStartUpstream &upstream) {
                return now < upstream.coldUntil;
            }));
    }
    return count;
}

} // namespace boragelug
