#include "routing/sequence_number.h"
#include "routing/tagged_router.h"

namespace boragelug
{

void TaggedRouter::moveTo(Flow &flow, const std::shared_ptr<Host> &host)
{
    release(flow);
    flow.host = host;
    flow.host->open += flow.phase != FlowPhase::Ended ? 1 : 0;
}

void TaggedRouter::release(Flow &flow)
{
    if (!flow.host) {
        return;
    }
    endRequest(flow, false, {});
    flow.host->open -= flow.phase != FlowPhase::Ended ? 1 : 0;
    flow.host.reset();
}

void TaggedRouter::beginRequest(Flow &flow, TimePoint now)
{
    if (flow.busy) {
        return;
    }
    flow.busy = true;
    flow.host->busy += 1;
    flow.service = flow.host->status.upstream.service;
    flow.ticket = admission(flow.service).begin(flow.objective, now);
}

void TaggedRouter::endRequest(Flow &flow, bool answered, TimePoint now)
{
    if (!flow.busy) {
        return;
    }
    flow.busy = false;
    flow.host->busy -= 1;
    if (answered) {
        admission(flow.service).finish(flow.ticket, now);
    } else {
        admission(flow.service).abandon(flow.ticket);
    }
}

void TaggedRouter::setPhase(Flow &flow, FlowPhase phase)
{
    if (flow.phase != FlowPhase::Ended && phase == FlowPhase::Ended) {
        flow.host->open -= 1;
    }
    flow.phase = phase;
}

bool TaggedRouter::track(const FlowPacket &packet,
                         const DirectoryEntry &entry,
                         const std::shared_ptr<Host> &host,
                         TimePoint now)
{
    const FlowId id { packet.caller, packet.entry };
    auto found = flows_.find(id);
    if (found == flows_.end()) {
        if (flows_.size() >= settings_.maxTrackedFlows) {
            return false;
        }
        found = flows_.emplace(id, Flow {}).first;
        found->second.phase = FlowPhase::Open;
        found->second.nextSequence = packet.sequence;
        found->second.acknowledged = packet.acknowledged;
        found->second.objective = entry.latencyObjective;
        moveTo(found->second, host);
    }
    Flow &flow = found->second;
    flow.lastPacket = now;
    if (flow.host != host) {
        moveTo(flow, host);
    }
    if (flow.phase == FlowPhase::Opening) {
        setPhase(flow, FlowPhase::Open);
        flow.acknowledged = packet.acknowledged;
        noteProgress(host->signals, now);
    }
    const bool unanswered = trackData(packet, flow, now);
    if (packet.fin || packet.reset) {
        if (packet.reset) {
            endRequest(flow, false, now);
        }
        setPhase(flow, FlowPhase::Ended);
    }
    return unanswered;
}

bool TaggedRouter::trackData(const FlowPacket &packet, Flow &flow, TimePoint now)
{
    if (packet.ack && isAfter(packet.acknowledged, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledged;
        flow.missed = false;
        noteProgress(flow.host->signals, now);
        endRequest(flow, true, now);
    }
    if (packet.dataBytes == 0) {
        return false;
    }
    const std::uint32_t end = packet.sequence + packet.dataBytes;
    if (isAfter(end, flow.nextSequence)) {
        flow.nextSequence = end;
        if (flow.phase != FlowPhase::Ended) {
            beginRequest(flow, now);
        }
        return false;
    }
    ++counters_.repeatedData;
    if (flow.missed) {
        return false;
    }
    flow.missed = true;
    miss(*flow.host, now);
    return true;
}

void TaggedRouter::miss(Host &host, TimePoint now)
{
    ++counters_.misses;
    noteMiss(host.signals, settings_.signals, now);
    if (wantsCheck(host.signals, settings_.signals, now)) {
        checks_.push_back({ .upstream = host.status.upstream.id,
                            .incarnation = host.status.upstream.incarnation,
                            .address = host.status.upstream.httpEndpoint });
    }
}

} // namespace boragelug
