#include "routing/sequence_number.h"
#include "routing/tagged_router.h"

#include <algorithm>

namespace boragelug
{
namespace
{

/// Weight of one opening in their mean time is the inverse of this.
constexpr int openingSmoothing = 8;
/// Longest time of one opening that counts in the mean.
constexpr Duration maxOpeningSample = std::chrono::milliseconds(200);

} // namespace

void TaggedRouter::assignUpstream(Flow &flow, const std::shared_ptr<TrackedUpstream> &upstream)
{
    unassignUpstream(flow);
    flow.upstream = upstream;
    flow.upstream->openFlows += flow.phase != FlowPhase::Ended ? 1 : 0;
}

void TaggedRouter::unassignUpstream(Flow &flow)
{
    if (!flow.upstream) {
        return;
    }
    endRequest(flow, false, {});
    flow.upstream->openFlows -= flow.phase != FlowPhase::Ended ? 1 : 0;
    flow.upstream.reset();
}

void TaggedRouter::beginRequest(Flow &flow, TimePoint now)
{
    if (flow.busy) {
        return;
    }
    flow.busy = true;
    flow.requestStartedAt = now;
    flow.upstream->busyFlows += 1;
    const Upstream &upstream = flow.upstream->status.upstream;
    servicesObservedSince_.try_emplace(upstream.service, now);
    flow.ticket = admission_.begin(upstream.service, upstream.zone, flow.objective, now);
    const std::chrono::duration<double, Duration::period> meanLatency =
        flow.objective * admission_.meanLatencyRatio(upstream.service, upstream.zone);
    recordRequest(flow.upstream->health,
                  settings_.health,
                  std::chrono::duration_cast<Duration>(meanLatency * speeds_.expectedSlowness(flow.upstream->tag, now)),
                  now);
}

void TaggedRouter::recordAnswer(Flow &flow, TimePoint now)
{
    const TrackedUpstream &upstream = *flow.upstream;
    // A known slow upstream doesn't mean that the service is overloaded.
    admission_.finish(flow.ticket, speeds_.slowness(upstream.tag, now), now);
    // Hosts in slow start are slow for a known reason, and for a short time.
    if (now >= upstream.status.coldUntil) {
        speeds_.recordAnswer(upstream.tag, flow.entry, now - flow.requestStartedAt, now);
    }
}

void TaggedRouter::endRequest(Flow &flow, bool answered, TimePoint now)
{
    if (!flow.busy) {
        return;
    }
    flow.busy = false;
    flow.upstream->busyFlows -= 1;
    if (flow.upstream->busyFlows == 0) {
        recordIdle(flow.upstream->health);
    }
    if (answered) {
        recordAnswer(flow, now);
    } else {
        admission_.abandon(flow.ticket);
    }
}

void TaggedRouter::setPhase(Flow &flow, FlowPhase phase)
{
    if (flow.phase != FlowPhase::Ended && phase == FlowPhase::Ended) {
        flow.upstream->openFlows -= 1;
    }
    flow.phase = phase;
}

bool TaggedRouter::track(const FlowPacket &packet,
                         const DirectoryEntry &entry,
                         const std::shared_ptr<TrackedUpstream> &upstream,
                         TimePoint now)
{
    const FlowId id { packet.caller, packet.entry };
    auto found = flows_.find(id);
    if (found != flows_.end() && !continues(found->second, packet)) {
        if (found->second.phase == FlowPhase::Opening) {
            return false; // A late packet of an earlier flow; copies of the SYN need the record.
        }
        discardFlow(packet);
        found = flows_.end();
    }
    if (found == flows_.end()) {
        if (flows_.size() >= settings_.maxTrackedFlows) {
            return false;
        }
        found = flows_.emplace(id, Flow {}).first;
        found->second.phase = FlowPhase::Open;
        found->second.nextSequence = packet.sequence;
        found->second.acknowledged = packet.acknowledged;
        found->second.objective = entry.latencyObjective;
        found->second.entry = entry.address;
        assignUpstream(found->second, upstream);
    }
    Flow &flow = found->second;
    flow.lastPacket = now;
    if (flow.upstream != upstream) {
        assignUpstream(flow, upstream);
    }
    if (flow.phase == FlowPhase::Opening) {
        setPhase(flow, FlowPhase::Open);
        flow.openedHere = true;
        flow.unansweredCounted = false;
        meanOpeningTime_ += (std::min(now - flow.synSentAt, maxOpeningSample) - meanOpeningTime_) / openingSmoothing;
        flow.acknowledged = packet.acknowledged;
        recordProgress(upstream->health, now);
        // Another VM forwarded the first request, and may have seen its answer.
        if (packet.sequence != flow.synSequence + 1) {
            endRequest(flow, false, now);
        }
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
        flow.unansweredCounted = false;
        // Data that this VM didn't forward passed through another VM, where its answer may have arrived long ago. Only
        // an acknowledgement without data is sent as soon as the answer arrives.
        const bool isAnswerToRecord = !isAfter(packet.sequence, flow.nextSequence);
        const bool isPureAck = packet.dataBytes == 0 && !packet.fin && !packet.reset;
        if (isAnswerToRecord || isPureAck) {
            recordProgress(flow.upstream->health, now);
        }
        endRequest(flow, isAnswerToRecord, now);
    }
    if (packet.dataBytes == 0) {
        return false;
    }
    const std::uint32_t end = packet.sequence + packet.dataBytes;
    if (isAfter(end, flow.nextSequence)) {
        flow.nextSequence = end;
        flow.lastNewDataAt = now;
        if (flow.phase != FlowPhase::Ended) {
            beginRequest(flow, now);
        }
        return false;
    }
    ++counters_.retransmittedData;
    if (flow.unansweredCounted || now - flow.lastNewDataAt < settings_.queuedPacketWindow) {
        return false;
    }
    flow.unansweredCounted = true;
    countUnanswered(*flow.upstream, UnansweredKind::Data, now);
    return true;
}

void TaggedRouter::countUnanswered(TrackedUpstream &upstream, UnansweredKind kind, TimePoint now)
{
    ++counters_.unansweredPackets;
    recordUnanswered(upstream.health, kind, settings_.health, now);
    if (beginCheckIfDue(upstream.health, CheckCause::UnansweredPacket, earlyChecks_, settings_.health, now)) {
        requestCheck(upstream);
    }
}

void TaggedRouter::requestCheck(const TrackedUpstream &upstream)
{
    checks_.push_back({ .upstream = upstream.status.upstream.id,
                        .incarnation = upstream.status.upstream.incarnation,
                        .address = upstream.status.upstream.httpEndpoint });
}

} // namespace boragelug
