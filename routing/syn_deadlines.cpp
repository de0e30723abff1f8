#include "routing/syn_deadlines.h"

namespace boragelug
{

Duration sinceFirstSyn(const FlowPacket &syn, const AdmissionSettings &settings)
{
    if (syn.synCopies == 0) {
        return Duration::zero();
    }
    return syn.synCopies == 1 ? settings.firstSynCopyDelay : settings.secondSynCopyDelay;
}

bool hasMovedAway(std::uint32_t latestCopy, Duration elapsed, const AdmissionSettings &settings)
{
    const Duration nextCopyDelay = latestCopy == 0 ? settings.firstSynCopyDelay : settings.secondSynCopyDelay;
    return latestCopy < lastSynCopy && elapsed >= nextCopyDelay + settings.synCopyMargin;
}

WaitingRequestAttributes waitingAttributes(const FlowPacket &syn,
                                           const DirectoryEntry &entry,
                                           ServiceId service,
                                           TimePoint arrivedAt,
                                           const AdmissionSettings &settings)
{
    const TimePoint sentAt = arrivedAt - sinceFirstSyn(syn, settings);
    const std::chrono::duration<double, std::nano> lateAfter = entry.latencyObjective * settings.lateAfterRatio;
    return { .service = service,
             .sentAt = sentAt,
             .lateAt = sentAt + std::chrono::duration_cast<Duration>(lateAfter),
             .expiresAt = sentAt + settings.openingTimeout,
             .objective = entry.latencyObjective,
             .priority = entry.priority };
}

} // namespace boragelug
