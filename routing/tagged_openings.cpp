#include "core/hash.h"
#include "routing/sequence_number.h"
#include "routing/syn_deadlines.h"
#include "routing/tagged_router.h"

#include <algorithm>

namespace boragelug
{
namespace
{

/// Selects the service of a flow by the weights of the entry; the same for all copies of a SYN on all VMs.
ServiceId serviceOf(const DirectoryEntry &entry, const FlowPacket &packet)
{
    std::uint64_t total = 0;
    for (const auto &[service, weight] : entry.services) {
        total += weight;
    }
    const std::uint64_t callerHash = combineHash(packet.caller.address.value, packet.caller.port.value);
    std::uint64_t point = combineHash(callerHash, packet.sequence) % total;
    for (const auto &[service, weight] : entry.services) {
        if (point < weight) {
            return service;
        }
        point -= weight;
    }
    return entry.services.front().first;
}

} // namespace

TaggedDecision TaggedRouter::routeSyn(const FlowPacket &packet,
                                      const DirectoryEntry &entry,
                                      const RouteOptions &options,
                                      TimePoint now)
{
    const auto found = flows_.find(FlowId { packet.caller, packet.entry });
    if (found != flows_.end() && isCopyOfSyn(found->second, packet)) {
        return routeSynCopy(packet, entry, found->second, options, now);
    }
    // Another VM may have placed the first SYN. If the upstreams of both VMs answered, the caller would get two tags.
    // If none answers, the caller opens another flow.
    if (packet.synCopies > 0) {
        return refuse(TaggedRefusal::UnplacedCopy, false);
    }
    const ServiceId service = serviceOf(entry, packet);
    const WaitingRequestAttributes attributes =
        waitingAttributes(packet, entry, service, now - options.waited, settings_.admission);
    const bool hasRoom = admission_.room(service, now).allows(ZoneId {}, now >= attributes.lateAt);
    if (options.mayQueue && placeable_.contains(service) && !hasRoom) {
        return queueDecision(attributes);
    }
    return place(packet, entry, options.viewIsFresh, now);
}

// A VM that did not place the flow has no record of its SYN, but knows the sequence numbers of its data.
bool TaggedRouter::isCopyOfSyn(const Flow &flow, const FlowPacket &syn)
{
    return flow.synSequence == syn.sequence
        || (syn.synCopies > 0 && flow.phase == FlowPhase::Open
            && isNear(syn.sequence, flow.nextSequence, maxSequenceGap));
}

// A SYN never goes to a second upstream, since the first one may answer later: the caller opens the flow at the first
// upstream that answers, but uses the tag of the last one, which other VMs then take for the flow's upstream. Callers
// ignore a reset of a SYN if the flow is open, and otherwise open another flow at once.
TaggedDecision TaggedRouter::routeSynCopy(
    const FlowPacket &packet, const DirectoryEntry &entry, Flow &flow, const RouteOptions &options, TimePoint now)
{
    flow.lastPacket = now;
    const bool isOpening = flow.phase == FlowPhase::Opening;
    if (isOpening && !flow.unansweredCounted && now - flow.synSentAt >= settings_.queuedPacketWindow) {
        flow.unansweredCounted = true;
        countUnanswered(*flow.upstream, UnansweredKind::Syn, now);
    }
    if (isOpening && options.viewIsFresh && isSilent(flow.upstream->health, settings_.health, now)
        && hasAlternative(packet, entry, now)) {
        return makeReset(TaggedRefusal::SilentUpstream, packet, *flow.upstream, now);
    }
    if (!isInView(*flow.upstream)) {
        return refuse(TaggedRefusal::UnknownTag, false);
    }
    ++counters_.forwarded;
    return ForwardPacket { .upstream = flow.upstream->status.upstream.id,
                           .address = flow.upstream->status.upstream.tunnelEndpoint,
                           .tag = flow.upstream->tag,
                           .placed = true,
                           .reason = PlacementReason::Repeated };
}

bool TaggedRouter::hasAlternative(const FlowPacket &packet, const DirectoryEntry &entry, TimePoint now)
{
    const auto found = placeable_.find(serviceOf(entry, packet));
    return found != placeable_.end()
        && std::any_of(found->second.begin(), found->second.end(), [&](const auto &upstream) {
               return !placementCandidate(*upstream, now).ejected;
           });
}

PlacementCandidate TaggedRouter::placementCandidate(const TrackedUpstream &upstream, TimePoint now)
{
    PlacementCandidate candidate;
    candidate.busyFlows = upstream.busyFlows;
    candidate.idleFlows = upstream.openFlows - std::min(upstream.openFlows, upstream.busyFlows);
    candidate.slots = std::max<std::uint32_t>(1, upstream.status.slots);
    candidate.local = upstream.status.upstream.zone == view_->selfZone;
    candidate.cold = now < upstream.status.coldUntil;
    candidate.slowness = speeds_.slowness(upstream.tag, now);
    candidate.propagating =
        upstream.status.knownSince != TimePoint {} && now - upstream.status.knownSince < settings_.propagationDelay;
    candidate.suspect = isSuspect(upstream.health, settings_.health, now);
    candidate.ejected =
        isEjected(upstream.health, now) || isSilent(upstream.health, settings_.health, now) || hasLostAddress(upstream);
    return candidate;
}

void TaggedRouter::setColdStartUpstreams(TimePoint now)
{
    coldStart_.beginView(view_->coldLimits, now);
    for (const auto &[service, perSecond] : view_->coldLimits) {
        std::vector<ColdStartUpstream> upstreams;
        if (const auto found = placeable_.find(service); found != placeable_.end()) {
            for (const auto &upstream : found->second) {
                upstreams.push_back({ .id = upstream->status.upstream.id, .coldUntil = upstream->status.coldUntil });
            }
        }
        coldStart_.setUpstreams(service, std::move(upstreams));
    }
}

std::vector<std::shared_ptr<TaggedRouter::TrackedUpstream>>
TaggedRouter::selectUpstreams(const FlowPacket &packet, const DirectoryEntry &entry, TimePoint now)
{
    std::vector<std::shared_ptr<TrackedUpstream>> chosen;
    const ServiceId service = serviceOf(entry, packet);
    const auto found = placeable_.find(service);
    if (found == placeable_.end()) {
        return chosen;
    }
    const auto &serviceUpstreams = found->second;
    const std::vector<std::size_t> *allowed = coldStart_.allowed(service, now);
    const auto takesFlows = [&](std::size_t index) {
        const TrackedUpstream &upstream = *serviceUpstreams[index];
        return !isEjected(upstream.health, now) && !isSilent(upstream.health, settings_.health, now)
            && !hasLostAddress(upstream);
    };
    if (allowed != nullptr && std::none_of(allowed->begin(), allowed->end(), takesFlows)) {
        const std::vector<std::size_t> &cold = coldStart_.allowedCold(service, now);
        allowed = cold.empty() ? coldStart_.allowed(service, now) : &cold;
    }
    const std::size_t count = allowed != nullptr ? allowed->size() : serviceUpstreams.size();
    const std::size_t wanted = settings_.placement.maxCompared;
    const std::size_t offset = count <= wanted ? 0 : random_.below(count);
    const std::size_t stride = std::max<std::size_t>(1, count / wanted);
    for (std::size_t i = 0; i < count && chosen.size() < wanted; ++i) {
        const std::size_t index = (offset + i * stride) % count;
        chosen.push_back(serviceUpstreams[allowed != nullptr ? (*allowed)[index] : index]);
    }
    return chosen;
}

TaggedDecision
TaggedRouter::place(const FlowPacket &packet, const DirectoryEntry &entry, bool viewIsFresh, TimePoint now)
{
    const FlowId id { packet.caller, packet.entry };
    const auto found = flows_.find(id);
    const auto upstreams = selectUpstreams(packet, entry, now);
    std::vector<PlacementCandidate> candidates;
    candidates.reserve(upstreams.size());
    const ServiceRoom room = admission_.room(serviceOf(entry, packet), now);
    for (const auto &upstream : upstreams) {
        candidates.push_back(placementCandidate(*upstream, now));
        candidates.back().zoneAtLimit = !room.allows(upstream->status.upstream.zone, false);
    }
    const auto choice = placeFlow(candidates, settings_.placement, random_);
    if (!choice) {
        return refuse(TaggedRefusal::NoUpstream, viewIsFresh);
    }
    const auto &upstream = upstreams[*choice];
    coldStart_.recordPlaced(upstream->status.upstream.id, now);
    ++counters_.forwarded;
    ++counters_.placed;
    counters_.placedRemote += candidates[*choice].local ? 0 : 1;
    if (found != flows_.end() || flows_.size() < settings_.maxTrackedFlows) {
        Flow &flow = found != flows_.end() ? found->second : flows_[id];
        unassignUpstream(flow);
        flow = Flow {};
        flow.synSequence = packet.sequence;
        flow.nextSequence = packet.sequence + 1;
        flow.lastPacket = now;
        flow.synSentAt = now;
        flow.lastNewDataAt = now;
        flow.objective = entry.latencyObjective;
        flow.entry = entry.address;
        assignUpstream(flow, upstream);
        openings_.push_back({ .flow = id, .synSequence = packet.sequence, .placedAt = now });
        // A caller that opens a flow is about to send a request, so that the request counts from here on.
        beginRequest(flow, now);
    }
    return ForwardPacket { .upstream = upstream->status.upstream.id,
                           .address = upstream->status.upstream.tunnelEndpoint,
                           .tag = upstream->tag,
                           .placed = true,
                           .reason = PlacementReason::First,
                           .cost = placementCost(candidates[*choice], settings_.placement),
                           .compared = candidates.size() };
}

Duration TaggedRouter::openingTime() const
{
    return std::max(settings_.minOpeningTime, meanOpeningTime_ * 2);
}

void TaggedRouter::checkOpenings(TimePoint now)
{
    while (!openings_.empty() && now - openings_.front().placedAt >= openingTime()) {
        const Opening opening = openings_.front();
        openings_.pop_front();
        const auto found = flows_.find(opening.flow);
        const bool isUnanswered = found != flows_.end() && found->second.phase == FlowPhase::Opening
            && found->second.synSequence == opening.synSequence && found->second.synSentAt == opening.placedAt;
        if (!isUnanswered) {
            continue;
        }
        TrackedUpstream &upstream = *found->second.upstream;
        if (beginCheckIfDue(upstream.health, CheckCause::StalledOpening, earlyChecks_, settings_.health, now)) {
            requestCheck(upstream);
        }
    }
}

} // namespace boragelug
