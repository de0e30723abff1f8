#include "routing/tagged_router.h"

namespace boragelug
{

QueuePacket TaggedRouter::queueDecision(const WaitingRequestAttributes &attributes) const
{
    const RequestAdmission::Totals totals = admission_.totals(attributes.service);
    return { .attributes = attributes,
             .inProgress = totals.inProgress,
             .limit = totals.limit,
             .meanLatencyRatio = totals.meanLatencyRatio };
}

void TaggedRouter::setAdmissionSlots()
{
    std::vector<ZoneSlots> slots;
    for (const auto &[service, upstreams] : placeable_) {
        for (const auto &upstream : upstreams) {
            slots.push_back({ .service = service,
                              .zone = upstream->status.upstream.zone,
                              .slots = static_cast<double>(upstream->status.slots) });
        }
    }
    admission_.setSlots(slots);
}

ResetFlow TaggedRouter::resetSyn(TaggedRefusal reason)
{
    ++counters_.resets.at(static_cast<std::size_t>(reason));
    return { .reason = reason, .upstream = {} };
}

DropPacket TaggedRouter::dropSyn(TaggedRefusal reason)
{
    ++counters_.dropped.at(static_cast<std::size_t>(reason));
    return DropPacket { reason };
}

} // namespace boragelug
