#include "routing/sequence_number.h"
#include "routing/tagged_router.h"

namespace boragelug
{

// Data of a flow with a request in progress is part of that request, which was forwarded already, so it isn't queued.
std::optional<QueuePacket> TaggedRouter::queueIfAtLimit(
    const FlowPacket &packet, const DirectoryEntry &entry, ServiceId service, Duration waited, TimePoint now)
{
    if (packet.dataBytes == 0) {
        return std::nullopt;
    }
    const auto flow = flows_.find(FlowId { packet.caller, packet.entry });
    const bool hasRecord = flow != flows_.end() && continues(flow->second, packet);
    const bool startsRequest = !hasRecord
        || (!flow->second.busy && flow->second.phase != FlowPhase::Ended
            && isAfter(packet.sequence + packet.dataBytes, flow->second.nextSequence));
    if (!startsRequest) {
        return std::nullopt;
    }
    const WaitingRequestAttributes attributes =
        waitingRequestAttributes(packet, entry, service, !hasRecord, now - waited);
    return isBelowLimit(service, now >= attributes.lateAt, now) ? std::nullopt
                                                                : std::optional(queueDecision(attributes));
}

QueuePacket TaggedRouter::queueDecision(const WaitingRequestAttributes &attributes)
{
    const ServiceAdmission &state = admission(attributes.service);
    return { .attributes = attributes,
             .inProgress = state.inProgress(),
             .limit = state.limit(),
             .meanLatencyRatio = state.meanLatencyRatio() };
}

Duration TaggedRouter::sinceFirstSyn(const FlowPacket &syn) const
{
    if (syn.synCopies == 0) {
        return Duration::zero();
    }
    return syn.synCopies == 1 ? settings_.admission.firstSynCopyDelay : settings_.admission.secondSynCopyDelay;
}

bool TaggedRouter::hasMovedAway(std::uint32_t latestCopy, Duration elapsed) const
{
    const AdmissionSettings &settings = settings_.admission;
    const Duration nextCopyDelay = latestCopy == 0 ? settings.firstSynCopyDelay : settings.secondSynCopyDelay;
    return latestCopy < lastSynCopy && elapsed >= nextCopyDelay + settings.synCopyMargin;
}

WaitingRequestAttributes TaggedRouter::waitingRequestAttributes(const FlowPacket &packet,
                                                                const DirectoryEntry &entry,
                                                                ServiceId service,
                                                                bool unknownFlow,
                                                                TimePoint arrivedAt) const
{
    const AdmissionSettings &settings = settings_.admission;
    WaitingRequestAttributes attributes {
        .service = service, .sentAt = arrivedAt, .lateAt = {}, .expiresAt = {}, .priority = entry.priority
    };
    if (packet.syn) {
        attributes.sentAt -= sinceFirstSyn(packet);
    } else if (unknownFlow) {
        // Most likely a retransmission: the first packet was lost, or went to a VM that has exited.
        attributes.sentAt -= settings.firstSynCopyDelay;
    }
    attributes.lateAt = attributes.sentAt
        + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(entry.latencyObjective)
                                               * settings.lateAfterRatio);
    if (packet.syn) {
        attributes.expiresAt = attributes.sentAt + settings.openingTimeout;
        return attributes;
    }
    const Duration timeout = entry.timeout > Duration::zero() ? entry.timeout : settings.defaultTimeout;
    // The last part of the timeout, as long as the latency objective, is needed to serve the request.
    attributes.expiresAt = attributes.sentAt + timeout - entry.latencyObjective;
    return attributes;
}

bool TaggedRouter::isBelowLimit(ServiceId service, bool late, TimePoint now)
{
    return admission(service).isBelowLimit(late, now);
}

ServiceAdmission &TaggedRouter::admission(ServiceId service)
{
    const auto found = admissions_.find(service);
    if (found != admissions_.end()) {
        return found->second;
    }
    return admissions_.try_emplace(service, settings_.admission, localSlots(service)).first->second;
}

// A VM doesn't know how many others there are. Each VM of a zone starts with all slots of the zone's upstreams as its
// limit, so that together they start with a small multiple of the slots; the limits adapt to the latency of answers
// within a few objectives.
double TaggedRouter::localSlots(ServiceId service) const
{
    double local = 0;
    double all = 0;
    const auto members = placeable_.find(service);
    if (members == placeable_.end()) {
        return 0;
    }
    for (const auto &upstream : members->second) {
        all += upstream->status.slots;
        local += upstream->status.upstream.zone == view_->selfZone ? upstream->status.slots : 0;
    }
    return local > 0 ? local : all;
}

DropPacket TaggedRouter::dropSyn(TaggedRefusal reason)
{
    ++counters_.dropped.at(static_cast<std::size_t>(reason));
    return DropPacket { reason };
}

std::vector<std::pair<ServiceId, double>> TaggedRouter::admissionLimits() const
{
    std::vector<std::pair<ServiceId, double>> limits;
    limits.reserve(admissions_.size());
    for (const auto &[service, admission] : admissions_) {
        limits.emplace_back(service, admission.limit());
    }
    return limits;
}

} // namespace boragelug
