#include "routing/silence_evidence.h"

#include <algorithm>

namespace boragelug
{
namespace
{

bool wasServiceObserved(const ObservedUpstream &upstream, const SilenceSettings &settings, TimePoint now)
{
    return upstream.serviceObservedSince != TimePoint {}
    && now - upstream.serviceObservedSince >= settings.observationTime;
}

bool progressedInZone(const ObservedUpstream &upstream,
                      const std::vector<ObservedUpstream> &listed,
                      const SilenceSettings &settings,
                      TimePoint now)
{
    return std::any_of(listed.begin(), listed.end(), [&](const ObservedUpstream &other) {
        return other.zone == upstream.zone && other.health->lastProgressAt > upstream.health->checkRequestedAt
            && now - other.health->lastProgressAt < settings.zoneProgressWindow;
    });
}

// While packets get lost on the way to upstreams, or a service is overloaded, upstreams that serve look silent too.
// Soon, some of them turn out to serve. Before that, many look silent at once, as if they had crashed together, so that
// another failed check is needed to tell.
bool isDoubtful(const ObservedUpstream &upstream,
                const std::vector<ObservedUpstream> &listed,
                const PassiveHealthSettings &health,
                const SilenceSettings &settings,
                TimePoint now)
{
    std::size_t refuted = 0;
    std::size_t suspected = 0;
    for (const ObservedUpstream &other : listed) {
        if (other.health == upstream.health || other.service != upstream.service) {
            continue;
        }
        refuted += wasRefuted(*other.health, health, now) ? 1 : 0;
        suspected += isSilent(*other.health, health, now) || hasUnansweredData(*other.health, health, now) ? 1 : 0;
    }
    const bool needsConfirmation = suspected >= settings.suspectedUpstreamsToConfirm;
    return refuted >= settings.refutedUpstreamsToWithhold
        || (needsConfirmation && upstream.health->consecutiveFailedChecks < settings.checksToConfirm);
}

} // namespace

bool seemsSilent(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now)
{
    return isSilent(health, settings, now) && isLeftWaiting(health, now) && hasUnansweredData(health, settings, now);
}

bool isSilenceConfirmed(const ObservedUpstream &upstream,
                        const std::vector<ObservedUpstream> &listed,
                        const PassiveHealthSettings &health,
                        const SilenceSettings &settings,
                        TimePoint now)
{
    return seemsSilent(*upstream.health, health, now) && wasServiceObserved(upstream, settings, now)
        && !isDoubtful(upstream, listed, health, settings, now) && progressedInZone(upstream, listed, settings, now);
}

bool isSilenceShared(const ObservedUpstream &upstream,
                     const std::vector<ObservedUpstream> &listed,
                     ZoneId ownZone,
                     const PassiveHealthSettings &health,
                     const SilenceSettings &settings,
                     TimePoint now)
{
    if (upstream.zone != ownZone || !isSilent(*upstream.health, health, now)) {
        return false;
    }
    const bool pathWorks = std::any_of(listed.begin(), listed.end(), [&](const ObservedUpstream &other) {
        return other.zone == ownZone && other.health->lastProgressAt > upstream.health->checkRequestedAt;
    });
    if (!pathWorks) {
        return false;
    }
    std::size_t upstreams = 0;
    std::size_t silent = 0;
    std::size_t refuted = 0;
    for (const ObservedUpstream &other : listed) {
        if (other.service == upstream.service && other.zone == ownZone) {
            ++upstreams;
            silent += isSilent(*other.health, health, now) ? 1 : 0;
            refuted += wasRefuted(*other.health, health, now) ? 1 : 0;
        }
    }
    return 2 * silent < upstreams && refuted < settings.refutedUpstreamsToWithhold;
}

} // namespace boragelug
