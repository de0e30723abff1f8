#include "routing/service_admission.h"

#include <algorithm>

namespace boragelug
{

ServiceAdmission::ServiceAdmission(const AdmissionSettings &settings, double firstLimit)
    : settings_(settings)
    , limit_(std::max(firstLimit, settings.leastLimit))
{ }

bool ServiceAdmission::hasRoom(bool late, TimePoint now)
{
    if (!settings_.enabled) {
        return true;
    }
    forgetOld(now);
    return static_cast<double>(requests_.size()) < limit_ * (late ? settings_.lateLimitShare : 1);
}

ServiceAdmission::Ticket ServiceAdmission::begin(Duration objective, TimePoint now)
{
    requests_.emplace(++lastTicket_, Request { .startedAt = now, .objective = objective });
    return lastTicket_;
}

void ServiceAdmission::finish(Ticket ticket, TimePoint now)
{
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) {
        return;
    }
    const std::chrono::duration<double> taken = now - found->second.startedAt;
    const std::chrono::duration<double> objective = found->second.objective;
    requests_.erase(found);
    if (objective.count() > 0) {
        learn(std::min(taken / objective, settings_.largestShare));
    }
}

void ServiceAdmission::abandon(Ticket ticket)
{
    requests_.erase(ticket);
}

void ServiceAdmission::forgetOld(TimePoint now)
{
    while (!requests_.empty()) {
        const Request &oldest = requests_.begin()->second;
        const std::chrono::duration<double> age = now - oldest.startedAt;
        if (age < oldest.objective * settings_.forgottenAfter) {
            return;
        }
        requests_.erase(requests_.begin());
    }
}

void ServiceAdmission::learn(double share)
{
    meanShare_ += settings_.sampleWeight * (share - meanShare_);
    ++answersSinceShrink_;
    if (meanShare_ > settings_.crowdedShare && answersSinceShrink_ >= limit_) {
        limit_ = std::max(limit_ * settings_.shrinkFactor, settings_.leastLimit);
        answersSinceShrink_ = 0;
    } else if (meanShare_ < settings_.relaxedShare && static_cast<double>(requests_.size()) + 1 >= limit_ / 2) {
        limit_ += settings_.growthStep * (1 - meanShare_ / settings_.relaxedShare);
    }
}

} // namespace boragelug
