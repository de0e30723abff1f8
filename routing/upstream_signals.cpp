#include "routing/upstream_signals.h"

#include <algorithm>

namespace boragelug
{

void noteProgress(UpstreamSignals &signals, TimePoint now)
{
    signals.lastProgress = now;
    signals.misses = 0;
    signals.avoided = 0;
    signals.avoidUntil = {};
    signals.silentSince = {};
}

void noteMiss(UpstreamSignals &signals, const SignalSettings &settings, TimePoint now)
{
    ++signals.misses;
    signals.lastMiss = now;
    if (signals.misses < settings.missesToAvoid || now < signals.avoidUntil) {
        return;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(signals.avoided, 8);
    signals.avoidUntil = now + std::min(settings.firstAvoidance * (1U << doublings), settings.maxAvoidance);
    ++signals.avoided;
}

bool isAvoided(const UpstreamSignals &signals, TimePoint now)
{
    return now < signals.avoidUntil;
}

bool wantsCheck(UpstreamSignals &signals, const SignalSettings &settings, TimePoint now)
{
    if (signals.misses < settings.missesToAvoid || now - signals.checkAskedAt < settings.checkInterval) {
        return false;
    }
    signals.checkAskedAt = now;
    return true;
}

void noteCheck(UpstreamSignals &signals, bool answered, TimePoint now)
{
    const bool progressMeanwhile = signals.lastProgress >= signals.checkAskedAt;
    signals.silentSince = answered || progressMeanwhile ? TimePoint {} : now;
}

bool isSilent(const UpstreamSignals &signals, const SignalSettings &settings, TimePoint now)
{
    return signals.silentSince != TimePoint {} && now - signals.silentSince < settings.silenceMemory;
}

bool isDoubted(const UpstreamSignals &signals, const SignalSettings &settings, TimePoint now)
{
    return signals.misses > 0 && now - signals.lastMiss < settings.missMemory;
}

} // namespace boragelug
