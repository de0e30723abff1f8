#include "routing/service_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragelug
{
namespace
{

/// Answers before which their average isn't compared: single latencies spread widely.
constexpr std::uint32_t lowestMeanSamples = 30;

} // namespace

ServiceAdmission::ServiceAdmission(const AdmissionSettings &settings, double initialLimit)
    : settings_(settings)
    , limit_(std::max(initialLimit, settings.minLimit))
{ }

bool ServiceAdmission::isBelowLimit(bool late, TimePoint now)
{
    if (!settings_.enabled) {
        return true;
    }
    evictExpired(now);
    return static_cast<double>(requests_.size()) < limit_ * (late ? settings_.lateLimitRatio : 1);
}

ServiceAdmission::Ticket ServiceAdmission::begin(Duration objective, TimePoint now)
{
    requests_.emplace(++lastTicket_, Request { .startedAt = now, .objective = objective });
    return lastTicket_;
}

void ServiceAdmission::finish(Ticket ticket, TimePoint now, double slowness, std::optional<double> lowestMeanElsewhere)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) {
        return;
    }
    const std::chrono::duration<double> latency = now - found->second.startedAt;
    const std::chrono::duration<double> objective = found->second.objective;
    requests_.erase(found);
    if (objective.count() > 0) {
        addSample(std::min(latency / objective / slowness, settings_.maxLatencyRatio), lowestMeanElsewhere, now);
    }
}

void ServiceAdmission::abandon(Ticket ticket)
{
    requests_.erase(ticket);
}

void ServiceAdmission::evictExpired(TimePoint now)
{
    while (!requests_.empty()) {
        const Request &oldest = requests_.begin()->second;
        const std::chrono::duration<double> age = now - oldest.startedAt;
        if (age < oldest.objective * settings_.expiryFactor) {
            return;
        }
        requests_.erase(requests_.begin());
    }
}

std::optional<double> ServiceAdmission::lowestMean(TimePoint now) const
{
    return now - lowestMeanUpdatedAt_ < settings_.lowestMeanTimeConstant ? lowestMean_ : std::nullopt;
}

double ServiceAdmission::shrinkThreshold(std::optional<double> lowestMeanElsewhere) const
{
    // A mean that isn't known compares lower than any other.
    const auto lowest = lowestMean_ && lowestMeanElsewhere ? std::min(lowestMean_, lowestMeanElsewhere)
                                                           : std::max(lowestMean_, lowestMeanElsewhere);
    const double byGrowth = lowest.value_or(0) * settings_.maxLatencyGrowth;
    return std::min(std::max(byGrowth, settings_.minShrinkThreshold), settings_.shrinkThreshold);
}

void ServiceAdmission::updateLowestMean(double latencyRatio, TimePoint now)
{
    answers_ += answers_ < std::numeric_limits<std::uint32_t>::max() ? 1 : 0;
    const double weight = std::max(1.0 / answers_, settings_.lowestMeanSampleWeight);
    longMean_ += weight * (latencyRatio - longMean_);
    if (answers_ < lowestMeanSamples) {
        return;
    }
    if (!lowestMean_ || longMean_ < *lowestMean_) {
        lowestMean_ = longMean_;
    } else {
        const std::chrono::duration<double> elapsed = now - lowestMeanUpdatedAt_;
        const std::chrono::duration<double> timeConstant = settings_.lowestMeanTimeConstant;
        *lowestMean_ += (longMean_ - *lowestMean_) * (1 - std::exp(-elapsed / timeConstant));
    }
    lowestMeanUpdatedAt_ = now;
}

void ServiceAdmission::addSample(double latencyRatio, std::optional<double> lowestMeanElsewhere, TimePoint now)
{
    meanLatencyRatio_ += settings_.sampleWeight * (latencyRatio - meanLatencyRatio_);
    updateLowestMean(latencyRatio, now);
    ++answersSinceShrink_;
    const auto inProgress = static_cast<double>(requests_.size()) + 1;
    const double shrinkAbove = shrinkThreshold(lowestMeanElsewhere);
    const double growBelow = shrinkAbove * settings_.growThresholdRatio;
    if (meanLatencyRatio_ > shrinkAbove && answersSinceShrink_ >= std::min(limit_, inProgress)) {
        // A limit above what is in progress bounds nothing.
        limit_ = std::max(std::min(limit_, inProgress) * settings_.shrinkFactor, settings_.minLimit);
        answersSinceShrink_ = 0;
    } else if (meanLatencyRatio_ < growBelow && inProgress >= limit_ / 2) {
        const double step = std::min(settings_.growthStep, settings_.growthPerRound / limit_);
        limit_ += step * (1 - meanLatencyRatio_ / growBelow);
    }
}

} // namespace boragelug
