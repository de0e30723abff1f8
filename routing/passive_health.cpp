#include "routing/passive_health.h"

#include <algorithm>

namespace boragelug
{

void recordRequest(PassiveHealth &health, const PassiveHealthSettings &settings, Duration meanLatency, TimePoint now)
{
    if (health.waitingSince == TimePoint {}) {
        health.waitingSince = now;
        health.answerTimeout = settings.minAnswerTimeout;
    }
    health.answerTimeout = std::max(health.answerTimeout, meanLatency * settings.meanLatenciesToAnswer);
}

void recordIdle(PassiveHealth &health)
{
    health.waitingSince = {};
}

bool isLeftWaiting(const PassiveHealth &health, TimePoint now)
{
    return health.waitingSince != TimePoint {} && now - health.waitingSince >= health.answerTimeout;
}

void recordProgress(PassiveHealth &health, TimePoint now)
{
    if (health.waitingSince != TimePoint {}) {
        health.waitingSince = now;
    }
    if (health.consecutiveUnanswered > 0 || health.silentSince != TimePoint {}) {
        health.refutedAt = now;
    }
    health.lastProgressAt = now;
    health.consecutiveUnanswered = 0;
    health.consecutiveEjections = 0;
    health.ejectedUntil = {};
    health.silentSince = {};
    health.consecutiveFailedChecks = 0;
}

void recordUnanswered(PassiveHealth &health, UnansweredKind kind, const PassiveHealthSettings &settings, TimePoint now)
{
    ++health.consecutiveUnanswered;
    health.lastUnansweredAt = now;
    if (kind == UnansweredKind::Data) {
        health.lastUnansweredDataAt = now;
    }
    if (health.consecutiveUnanswered < settings.unansweredToEject || now < health.ejectedUntil) {
        return;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(health.consecutiveEjections, 8);
    health.ejectedUntil = now + std::min(settings.baseEjectionTime * (1U << doublings), settings.maxEjectionTime);
    ++health.consecutiveEjections;
}

bool isEjected(const PassiveHealth &health, TimePoint now)
{
    return now < health.ejectedUntil;
}

bool beginCheckIfDue(PassiveHealth &health,
                     CheckCause cause,
                     EarlyCheckBudget &budget,
                     const PassiveHealthSettings &settings,
                     TimePoint now)
{
    if (now - health.checkRequestedAt < settings.checkInterval) {
        return false;
    }
    const bool isEarly =
        cause != CheckCause::UnansweredPacket || health.consecutiveUnanswered < settings.unansweredToCheck;
    if (isEarly && !budget.take(now)) {
        return false;
    }
    health.checkRequestedAt = now;
    health.checkIsEarly = isEarly;
    return true;
}

void recordCheckResult(PassiveHealth &health, bool answered, EarlyCheckBudget &budget, TimePoint now)
{
    const bool progressMeanwhile = health.lastProgressAt >= health.checkRequestedAt;
    const bool failed = !answered && !progressMeanwhile;
    health.silentSince = failed ? now : TimePoint {};
    health.consecutiveFailedChecks = failed ? health.consecutiveFailedChecks + 1 : 0;
    if (!answered && progressMeanwhile) {
        health.refutedAt = now;
    }
    if (health.checkIsEarly && !answered) {
        budget.giveBack(now);
    }
}

bool isSilent(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now)
{
    return health.silentSince != TimePoint {} && now - health.silentSince < settings.checkResultRetention;
}

bool isSuspect(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now)
{
    return health.consecutiveUnanswered > 0 && now - health.lastUnansweredAt < settings.unansweredRetention;
}

bool hasUnansweredData(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now)
{
    return health.lastUnansweredDataAt > health.lastProgressAt
        && now - health.lastUnansweredDataAt < settings.unansweredRetention;
}

bool wasRefuted(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now)
{
    return health.refutedAt != TimePoint {} && now - health.refutedAt < settings.checkResultRetention;
}

} // namespace boragelug
