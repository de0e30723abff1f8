#include "requests/upstream_choice.h"

#include <algorithm>

namespace boragelug
{

namespace
{

/// Fraction of choices that go to upstreams on trial while healthy ones are available.
constexpr double trialProbability = 0.1;

std::optional<std::size_t>
pickWeighted(const std::vector<UpstreamCandidate> &candidates, const std::vector<std::size_t> &eligible, Random &random)
{
    double total = 0;
    for (const std::size_t i : eligible) {
        total += candidateWeight(candidates[i]);
    }
    double left = random.unit() * total;
    for (const std::size_t i : eligible) {
        left -= candidateWeight(candidates[i]);
        if (left < 0) {
            return i;
        }
    }
    return eligible.empty() ? std::nullopt : std::optional(eligible.back());
}

std::vector<std::size_t> select(const std::vector<UpstreamCandidate> &candidates, bool local, bool trial)
{
    std::vector<std::size_t> chosen;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamCandidate &candidate = candidates[i];
        if (candidate.freeSlots > 0 && candidate.local == local && candidate.trial == trial) {
            chosen.push_back(i);
        }
    }
    return chosen;
}

} // namespace

double candidateWeight(const UpstreamCandidate &candidate)
{
    const double loadFactor = 1.25 - std::clamp(candidate.load, 0.0, 1.0);
    return static_cast<double>(candidate.freeSlots) * std::clamp(candidate.slowStartFactor, 0.01, 1.0) * loadFactor;
}

std::optional<std::size_t>
chooseUpstream(const std::vector<UpstreamCandidate> &candidates, bool maySpill, Random &random)
{
    for (const bool local : { true, false }) {
        if (!local && !maySpill) {
            break;
        }
        const std::vector<std::size_t> healthy = select(candidates, local, false);
        const std::vector<std::size_t> trial = select(candidates, local, true);
        if (!trial.empty() && (healthy.empty() || random.chance(trialProbability))) {
            return trial[random.below(trial.size())];
        }
        if (!healthy.empty()) {
            return pickWeighted(candidates, healthy, random);
        }
    }
    return std::nullopt;
}

bool isSpillWorthwhile(double expectedWaitSeconds, double spillLatencySeconds)
{
    constexpr double minWaitToLatencyRatio = 2.0;
    return expectedWaitSeconds > minWaitToLatencyRatio * spillLatencySeconds;
}

} // namespace boragelug
