#include "routing/upstream_speeds.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace boragelug
{
namespace
{

/// Slowness beyond this makes no difference.
constexpr double maxSlowness = 20;
/// Estimates with less weight than this many answers are forgotten.
constexpr double minWeight = 0.01;
/// More answers of one upstream in a single report are not plausible.
constexpr std::uint32_t maxAnswersPerReport = 100'000;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Sorts @p slow, the slowest first, and cuts it off after @p most.
void keepSlowest(std::vector<SlowUpstream> &slow, std::size_t most)
{
    std::sort(slow.begin(), slow.end(), [](const SlowUpstream &a, const SlowUpstream &b) {
        return std::pair(b.slowness, a.upstream) < std::pair(a.slowness, b.upstream);
    });
    slow.resize(std::min(slow.size(), most));
}

} // namespace

UpstreamSpeeds::UpstreamSpeeds(const SpeedSettings &settings)
    : settings_(settings)
{ }

void UpstreamSpeeds::setUpstreams(std::span<const std::pair<FlowTag, ServiceId>> upstreams)
{
    if (!settings_.enabled) {
        return;
    }
    absl::flat_hash_map<FlowTag, Estimate> estimates;
    estimates.reserve(upstreams.size());
    for (const auto &[tag, service] : upstreams) {
        const auto known = estimates_.find(tag);
        Estimate &estimate = estimates[tag];
        if (known != estimates_.end()) {
            estimate = known->second;
        }
        estimate.service = service;
    }
    estimates_ = std::move(estimates);
}

double UpstreamSpeeds::latencyRatio(const Endpoint &entry, Duration latency)
{
    if (entries_.size() >= settings_.maxEntries && !entries_.contains(entry)) {
        entries_.clear();
    }
    EntryLatency &known = entries_[entry];
    known.answers = std::min(known.answers + 1, std::numeric_limits<std::uint32_t>::max() - 1);
    const double weight = std::max(1.0 / known.answers, settings_.entrySampleWeight);
    const double measured = seconds(latency);
    const double counted =
        known.answers == 1 ? measured : std::min(measured, known.usualSeconds * settings_.maxLatencyRatio);
    known.usualSeconds += weight * (counted - known.usualSeconds);
    if (known.answers < settings_.minEntryAnswers || known.usualSeconds <= 0) {
        return 0;
    }
    return std::min(measured / known.usualSeconds, settings_.maxLatencyRatio);
}

void UpstreamSpeeds::recordAnswer(FlowTag upstream, const Endpoint &entry, Duration latency, TimePoint now)
{
    const auto found = estimates_.find(upstream);
    if (!settings_.enabled || found == estimates_.end() || latency <= Duration::zero()) {
        return;
    }
    if (const double ratio = latencyRatio(entry, latency); ratio > 0) {
        add(found->second, 1, ratio, now);
    }
}

void UpstreamSpeeds::recordSilence(FlowTag upstream, TimePoint now)
{
    const auto found = estimates_.find(upstream);
    if (!settings_.enabled || found == estimates_.end()) {
        return;
    }
    // Answers from before say nothing about an upstream that is silent now.
    found->second.answers = 0;
    found->second.latencySum = 0;
    add(found->second, settings_.silenceAnswers, settings_.silenceAnswers * settings_.maxLatencyRatio, now);
}

void UpstreamSpeeds::add(Estimate &estimate, std::uint32_t answers, double latencySum, TimePoint now)
{
    fade(estimate, now);
    estimate.answers += answers;
    estimate.latencySum += latencySum;
    if (estimate.answers > settings_.maxWeight) {
        estimate.latencySum *= settings_.maxWeight / estimate.answers;
        estimate.answers = settings_.maxWeight;
    }
    if (estimate.unreportedAnswers == 0 || now - estimate.unreportedSince > settings_.reportRetention) {
        estimate.unreportedAnswers = 0;
        estimate.unreportedSum = 0;
        estimate.unreportedSince = now;
    }
    if (estimate.unreportedAnswers + answers <= maxAnswersPerReport) {
        estimate.unreportedAnswers += answers;
        estimate.unreportedSum += latencySum;
    }
}

void UpstreamSpeeds::fade(Estimate &estimate, TimePoint now) const
{
    const double factor = std::exp(-seconds(now - estimate.updatedAt) / seconds(settings_.memory));
    estimate.answers *= factor;
    estimate.latencySum *= factor;
    estimate.updatedAt = now;
}

void UpstreamSpeeds::addObservations(std::span<const SpeedObservation> observations, TimePoint now)
{
    if (!settings_.enabled) {
        return;
    }
    for (const SpeedObservation &observation : observations) {
        const auto found = estimates_.find(observation.upstream);
        const double mostSum = observation.answers * settings_.maxLatencyRatio;
        const bool isValid = observation.answers > 0 && observation.answers <= maxAnswersPerReport
            && observation.latencySum > 0 && observation.latencySum <= mostSum; // False for NaN too.
        if (found != estimates_.end() && isValid) {
            add(found->second, observation.answers, observation.latencySum, now);
        }
    }
}

std::vector<SpeedObservation> UpstreamSpeeds::takeObservations(TimePoint now)
{
    std::vector<SpeedObservation> taken;
    for (const auto &[tag, estimate] : estimates_) {
        if (estimate.unreportedAnswers > 0 && now - estimate.unreportedSince <= settings_.reportRetention) {
            taken.push_back(
                { .upstream = tag, .answers = estimate.unreportedAnswers, .latencySum = estimate.unreportedSum });
        }
    }
    if (taken.size() > settings_.maxReported) {
        const auto end = taken.begin() + static_cast<std::ptrdiff_t>(settings_.maxReported);
        std::nth_element(taken.begin(), end, taken.end(), [](const SpeedObservation &a, const SpeedObservation &b) {
            return a.answers > b.answers;
        });
        taken.erase(end, taken.end());
    }
    for (const SpeedObservation &observation : taken) {
        Estimate &estimate = estimates_[observation.upstream];
        estimate.unreportedAnswers = 0;
        estimate.unreportedSum = 0;
    }
    return taken;
}

void UpstreamSpeeds::setSlowUpstreams(std::span<const SlowUpstream> upstreams, TimePoint now)
{
    if (!settings_.enabled) {
        return;
    }
    listed_.clear();
    for (const SlowUpstream &slow : upstreams) {
        if (slow.slowness > 1 && estimates_.contains(slow.upstream)) { // False for NaN too.
            listed_[slow.upstream] = std::min(slow.slowness, maxSlowness);
        }
    }
    listedAt_ = now;
}

bool UpstreamSpeeds::hasFreshList(TimePoint now) const
{
    return listedAt_ != TimePoint {} && now - listedAt_ < settings_.listRetention;
}

std::vector<SlowUpstream> UpstreamSpeeds::slowUpstreams(TimePoint now)
{
    update(now);
    std::vector<SlowUpstream> slow;
    for (const auto &[tag, slowness] : known(now)) {
        // Rounded down: the list must not make an upstream look slower than it is.
        const double steps =
            std::max(std::floor(slowness / settings_.listStep), std::floor(1 / settings_.listStep) + 1);
        slow.push_back({ .upstream = tag, .slowness = steps * settings_.listStep });
    }
    keepSlowest(slow, settings_.maxReported);
    return slow;
}

std::vector<SlowUpstream> UpstreamSpeeds::slowest(std::size_t most, TimePoint now) const
{
    std::vector<SlowUpstream> slow;
    for (const auto &[tag, slowness] : known(now)) {
        slow.push_back({ .upstream = tag, .slowness = slowness });
    }
    keepSlowest(slow, most);
    return slow;
}

double UpstreamSpeeds::slowness(FlowTag upstream, TimePoint now)
{
    if (!settings_.enabled) {
        return 1;
    }
    update(now);
    const Slowness &slow = known(now);
    const auto found = slow.find(upstream);
    return found != slow.end() ? found->second : 1;
}

std::optional<SlowUpstream> UpstreamSpeeds::takeChange(TimePoint now)
{
    if (!settings_.enabled || now < nextChange_) {
        return std::nullopt;
    }
    update(now);
    std::optional<SlowUpstream> change;
    const Slowness &slow = known(now);
    for (const auto &[tag, slowness] : slow) {
        if (slowness >= settings_.reportedSlowness && !reportedSlow_.contains(tag)) {
            change = SlowUpstream { .upstream = tag, .slowness = slowness };
            reportedSlow_.insert(tag);
            break;
        }
    }
    const auto recovered =
        std::find_if(reportedSlow_.begin(), reportedSlow_.end(), [&](FlowTag tag) { return !slow.contains(tag); });
    if (!change && recovered != reportedSlow_.end()) {
        change = SlowUpstream { .upstream = *recovered, .slowness = 1 };
        reportedSlow_.erase(recovered);
    }
    if (change) {
        nextChange_ = now + settings_.changeInterval;
    }
    return change;
}

void UpstreamSpeeds::update(TimePoint now)
{
    if (now < nextUpdate_) {
        return;
    }
    nextUpdate_ = now + settings_.updateInterval;
    for (auto &[tag, estimate] : estimates_) {
        if (estimate.answers > 0) {
            fade(estimate, now);
            estimate.answers = estimate.answers < minWeight ? 0 : estimate.answers;
        }
    }
    const auto usual = usualRatios();
    observed_.clear();
    for (const auto &[tag, estimate] : estimates_) {
        const auto reference = usual.find(estimate.service);
        if (estimate.answers <= 0 || reference == usual.end()) {
            continue;
        }
        const double prior = settings_.priorAnswers;
        const double slowness = (estimate.latencySum / reference->second + prior) / (estimate.answers + prior);
        if (slowness > settings_.slowThreshold) {
            observed_[tag] = std::min(slowness, maxSlowness);
        }
    }
}

absl::flat_hash_map<ServiceId, double> UpstreamSpeeds::usualRatios() const
{
    absl::flat_hash_map<ServiceId, std::vector<double>> ratios;
    for (const auto &[tag, estimate] : estimates_) {
        if (estimate.answers >= settings_.minAnswersToCompare) {
            ratios[estimate.service].push_back(estimate.latencySum / estimate.answers);
        }
    }
    absl::flat_hash_map<ServiceId, double> usual;
    for (auto &[service, all] : ratios) {
        const auto rank = static_cast<std::ptrdiff_t>(settings_.usualQuantile * static_cast<double>(all.size() - 1));
        std::nth_element(all.begin(), all.begin() + rank, all.end());
        if (all[static_cast<std::size_t>(rank)] > 0) {
            usual[service] = all[static_cast<std::size_t>(rank)];
        }
    }
    return usual;
}

} // namespace boragelug
