#include "routing/tagged_router.h"

#include "core/hash.h"
#include "routing/flow_tag.h"

#include <algorithm>

namespace boragelug
{
namespace
{

constexpr Duration sweepInterval = std::chrono::milliseconds(500);

bool serves(const DirectoryEntry &entry, ServiceId service)
{
    return std::any_of(
        entry.services.begin(), entry.services.end(), [&](const auto &share) { return share.first == service; });
}

/// The entry's service for a flow, by weight; the same for all copies of a SYN on all VMs.
ServiceId serviceOf(const DirectoryEntry &entry, const FlowPacket &packet)
{
    std::uint64_t total = 0;
    for (const auto &[service, weight] : entry.services) {
        total += weight;
    }
    const std::uint64_t ends = combineHash(packet.caller.address.value, packet.caller.port.value);
    std::uint64_t point = combineHash(ends, packet.sequence) % total;
    for (const auto &[service, weight] : entry.services) {
        if (point < weight) {
            return service;
        }
        point -= weight;
    }
    return entry.services.front().first;
}

bool mayTakeFlows(const DirectoryUpstream &status)
{
    return status.listing != Listing::Gone && status.upstream.state == UpstreamState::Active;
}

} // namespace

TaggedRouter::TaggedRouter(const TaggedRouterSettings &settings)
    : settings_(settings)
    , random_(settings.seed)
{ }

void TaggedRouter::applyView(std::shared_ptr<const DirectoryView> view, TimePoint now)
{
    static_cast<void>(now);
    view_ = std::move(view);
    std::map<HostKey, std::shared_ptr<Host>> hosts;
    placeable_.clear();
    byTag_.clear();
    for (const DirectoryUpstream &status : view_->upstreams) {
        const HostKey key { status.upstream.id.value, status.upstream.incarnation.value };
        const auto known = hosts_.find(key);
        auto host = known != hosts_.end() ? known->second : std::make_shared<Host>();
        host->status = status;
        host->tag = flowTagOf(status.upstream.id, status.upstream.incarnation);
        byTag_[host->tag].push_back(host);
        if (mayTakeFlows(status)) {
            placeable_[status.upstream.service].push_back(host);
        }
        hosts.emplace(key, std::move(host));
    }
    hosts_ = std::move(hosts);
    for (auto &[tag, sharing] : byTag_) {
        std::sort(sharing.begin(), sharing.end(), [](const auto &a, const auto &b) {
            return std::pair(a->status.upstream.incarnation, a->status.upstream.id)
                < std::pair(b->status.upstream.incarnation, b->status.upstream.id);
        });
    }
    for (auto &[service, members] : placeable_) {
        std::stable_partition(members.begin(), members.end(), [&](const auto &host) {
            return host->status.upstream.zone == view_->selfZone;
        });
        // Packets with a shared tag go to the earliest incarnation of the service, so only that one takes flows.
        std::erase_if(members, [&](const auto &host) {
            const auto &sharing = byTag_.at(host->tag);
            const auto first = std::find_if(sharing.begin(), sharing.end(), [&](const auto &other) {
                return other->status.upstream.service == host->status.upstream.service;
            });
            return *first != host;
        });
    }
}

const DirectoryEntry *TaggedRouter::findEntry(const Endpoint &address) const
{
    const auto &entries = view_->entries;
    const auto found =
        std::lower_bound(entries.begin(), entries.end(), address, [](const auto &entry, const Endpoint &a) {
            return entry.address < a;
        });
    return found != entries.end() && found->address == address ? &*found : nullptr;
}

TaggedDecision TaggedRouter::refuse(TaggedRefusal reason, bool sure)
{
    if (sure) {
        ++counters_.resets.at(static_cast<std::size_t>(reason));
        return ResetFlow { .reason = reason, .upstream = {} };
    }
    ++counters_.ignored.at(static_cast<std::size_t>(reason));
    return IgnorePacket { reason };
}

std::shared_ptr<TaggedRouter::Host> TaggedRouter::findTagged(FlowTag tag, const DirectoryEntry &entry) const
{
    const auto found = byTag_.find(tag);
    if (found == byTag_.end()) {
        return nullptr;
    }
    for (const auto &host : found->second) {
        if (serves(entry, host->status.upstream.service)) {
            return host;
        }
    }
    return nullptr;
}

TaggedDecision TaggedRouter::route(const FlowPacket &packet, bool viewIsFresh, TimePoint now, bool mayWait)
{
    if (!view_) {
        return refuse(TaggedRefusal::NoView, false);
    }
    const DirectoryEntry *entry = findEntry(packet.entry);
    if (entry == nullptr) {
        return refuse(TaggedRefusal::UnknownEntry, viewIsFresh && packet.syn);
    }
    if (packet.syn) {
        return routeSyn(packet, *entry, viewIsFresh, now, mayWait);
    }
    const auto host = findTagged(packet.tag, *entry);
    if (!host) {
        return refuse(byTag_.contains(packet.tag) ? TaggedRefusal::ForeignTag : TaggedRefusal::UnknownTag, false);
    }
    if (mayWait) {
        if (const auto kept = keepIfCrowded(packet, *entry, host->status.upstream.service, now)) {
            return *kept;
        }
    }
    const bool unanswered = track(packet, *entry, host, now);
    const auto reset = viewIsFresh ? resetReason(packet, *entry, *host, unanswered, now) : std::nullopt;
    if (reset) {
        forget(packet);
        ++counters_.resets.at(static_cast<std::size_t>(*reset));
        return ResetFlow { .reason = *reset, .upstream = host->status.upstream.id };
    }
    ++counters_.forwarded;
    return ForwardPacket { .upstream = host->status.upstream.id,
                           .address = host->status.upstream.tunnelEndpoint,
                           .tag = host->tag,
                           .unanswered = unanswered };
}

TaggedDecision TaggedRouter::routeSyn(
    const FlowPacket &packet, const DirectoryEntry &entry, bool viewIsFresh, TimePoint now, bool mayWait)
{
    const auto found = flows_.find(FlowId { packet.caller, packet.entry });
    if (found == flows_.end() || found->second.synSequence != packet.sequence) {
        const ServiceId service = serviceOf(entry, packet);
        const WaitingFacts facts = waitingFacts(packet, entry, service, false, now);
        if (mayWait && placeable_.contains(service) && !hasRoom(service, now >= facts.lateAt, now)) {
            return keep(facts);
        }
        return place(packet, entry, PlacementReason::First, viewIsFresh, now);
    }
    Flow &flow = found->second;
    const bool sameHost = flow.phase != FlowPhase::Opening || now - flow.synSentAt < settings_.synRepeatGap;
    if (sameHost && mayTakeFlows(flow.host->status)) {
        flow.lastPacket = now;
        ++counters_.forwarded;
        return ForwardPacket { .upstream = flow.host->status.upstream.id,
                               .address = flow.host->status.upstream.tunnelEndpoint,
                               .tag = flow.host->tag,
                               .placed = true,
                               .reason = PlacementReason::Repeated };
    }
    miss(*flow.host, now);
    flow.tried = { flow.host->status.upstream.id, flow.tried.front() };
    return place(packet, entry, PlacementReason::OtherAfterNoAnswer, viewIsFresh, now);
}

PlacementCandidate TaggedRouter::candidateFacts(const Host &host, TimePoint now) const
{
    PlacementCandidate facts;
    facts.busy = host.busy;
    facts.idle = host.open - std::min(host.open, host.busy);
    facts.slots = std::max<std::uint32_t>(1, host.status.slots);
    facts.local = host.status.upstream.zone == view_->selfZone;
    facts.cold = now < host.status.coldUntil;
    facts.unsettled = host.status.knownSince != TimePoint {} && now - host.status.knownSince < settings_.settleTime;
    facts.doubted = isDoubted(host.signals, settings_.signals, now);
    facts.avoided = isAvoided(host.signals, now) || isSilent(host.signals, settings_.signals, now);
    return facts;
}

std::vector<std::shared_ptr<TaggedRouter::Host>>
TaggedRouter::candidates(const FlowPacket &packet, const DirectoryEntry &entry, const Flow *earlier, TimePoint now)
{
    static_cast<void>(now);
    std::vector<std::shared_ptr<Host>> chosen;
    const auto found = placeable_.find(serviceOf(entry, packet));
    if (found == placeable_.end()) {
        return chosen;
    }
    const auto &members = found->second;
    const std::size_t wanted = settings_.placement.maxCompared;
    const std::size_t offset = members.size() <= wanted ? 0 : random_.below(members.size());
    const std::size_t stride = std::max<std::size_t>(1, members.size() / wanted);
    for (std::size_t i = 0; i < members.size() && chosen.size() < wanted; ++i) {
        chosen.push_back(members[(offset + i * stride) % members.size()]);
    }
    if (earlier != nullptr) {
        const auto wasTried = [&](const auto &host) {
            const UpstreamId id = host->status.upstream.id;
            return std::find(earlier->tried.begin(), earlier->tried.end(), id) != earlier->tried.end();
        };
        if (!std::all_of(chosen.begin(), chosen.end(), wasTried)) {
            std::erase_if(chosen, wasTried);
        }
    }
    return chosen;
}

TaggedDecision TaggedRouter::place(
    const FlowPacket &packet, const DirectoryEntry &entry, PlacementReason reason, bool viewIsFresh, TimePoint now)
{
    const FlowId id { packet.caller, packet.entry };
    const auto found = flows_.find(id);
    const bool again = reason == PlacementReason::OtherAfterNoAnswer;
    const auto hosts = candidates(packet, entry, again ? &found->second : nullptr, now);
    std::vector<PlacementCandidate> facts;
    facts.reserve(hosts.size());
    for (const auto &host : hosts) {
        facts.push_back(candidateFacts(*host, now));
    }
    const auto choice = placeFlow(facts, settings_.placement, random_);
    if (!choice) {
        return refuse(TaggedRefusal::NoUpstream, viewIsFresh);
    }
    const auto &host = hosts[*choice];
    ++counters_.forwarded;
    ++counters_.placed;
    counters_.placedElsewhere += again ? 1 : 0;
    counters_.placedRemote += facts[*choice].local ? 0 : 1;
    if (found != flows_.end() || flows_.size() < settings_.maxTrackedFlows) {
        Flow &flow = found != flows_.end() ? found->second : flows_[id];
        const auto tried = again ? flow.tried : std::array<UpstreamId, 2> {};
        release(flow);
        flow = Flow {};
        flow.tried = tried;
        flow.synSequence = packet.sequence;
        flow.nextSequence = packet.sequence + 1;
        flow.lastPacket = now;
        flow.synSentAt = now;
        flow.objective = entry.latencyObjective;
        moveTo(flow, host);
        // A caller that opens a flow is about to send a request.
        beginRequest(flow, now);
    }
    return ForwardPacket { .upstream = host->status.upstream.id,
                           .address = host->status.upstream.tunnelEndpoint,
                           .tag = host->tag,
                           .placed = true,
                           .reason = reason,
                           .cost = placementCost(facts[*choice], settings_.placement),
                           .compared = facts.size() };
}

std::optional<TaggedRefusal> TaggedRouter::resetReason(
    const FlowPacket &packet, const DirectoryEntry &entry, const Host &host, bool unanswered, TimePoint now) const
{
    if (packet.dataBytes == 0) {
        return std::nullopt;
    }
    // Progress after the record vanished shows a host that lives but doesn't reach the directory.
    const TimePoint quietSince = std::max(host.status.vanishedAt, host.signals.lastProgress);
    const Duration patience = unanswered ? settings_.endedAfterMiss : settings_.endedAfter;
    if (host.status.listing == Listing::Gone && now - quietSince >= patience) {
        return TaggedRefusal::EndedUpstream;
    }
    if (entry.idempotent && isCertainlySilent(host, now)) {
        return TaggedRefusal::SilentUpstream;
    }
    return std::nullopt;
}

// One lost acknowledgement looks the same as a silent host, and a wrong reset breaks a flow of a living host. So misses
// of several flows, a check without answer and progress of another host of the zone have to agree.
bool TaggedRouter::isCertainlySilent(const Host &host, TimePoint now) const
{
    if (!isSilent(host.signals, settings_.signals, now)) {
        return false;
    }
    return std::any_of(hosts_.begin(), hosts_.end(), [&](const auto &other) {
        const UpstreamSignals &signals = other.second->signals;
        return other.second->status.upstream.zone == host.status.upstream.zone
            && signals.lastProgress > host.signals.checkAskedAt
            && now - signals.lastProgress < settings_.signals.zoneProgress;
    });
}

void TaggedRouter::forget(const FlowPacket &packet)
{
    const auto flow = flows_.find(FlowId { packet.caller, packet.entry });
    if (flow != flows_.end()) {
        release(flow->second);
        flows_.erase(flow);
    }
}

std::vector<UpstreamCheck> TaggedRouter::takeChecks()
{
    return std::exchange(checks_, {});
}

void TaggedRouter::noteCheck(const UpstreamCheck &check, bool answered, TimePoint now)
{
    const auto found = hosts_.find({ check.upstream.value, check.incarnation.value });
    if (found != hosts_.end()) {
        boragelug::noteCheck(found->second->signals, answered, now);
    }
}

std::vector<UpstreamBelief> TaggedRouter::tick(TimePoint now)
{
    std::vector<UpstreamBelief> beliefs;
    if (now < nextSweep_ || !view_) {
        return beliefs;
    }
    nextSweep_ = now + sweepInterval;
    for (auto it = flows_.begin(); it != flows_.end();) {
        Flow &flow = it->second;
        const Duration limit = flow.phase == FlowPhase::Open ? view_->flowIdleTimeout : settings_.endedFlowMemory;
        if (now - flow.lastPacket >= limit) {
            release(flow);
            flows_.erase(it++);
        } else {
            ++it;
        }
    }
    for (const auto &[key, host] : hosts_) {
        const bool avoided = isAvoided(host->signals, now);
        if (avoided != host->reportedAvoided) {
            host->reportedAvoided = avoided;
            beliefs.push_back({ .upstream = host->status.upstream.id,
                                .avoided = avoided,
                                .misses = host->signals.misses,
                                .sinceProgress = now - host->signals.lastProgress });
        }
    }
    return beliefs;
}

std::vector<UpstreamUse> TaggedRouter::use() const
{
    std::vector<UpstreamUse> all;
    for (const auto &[key, host] : hosts_) {
        if (host->open > 0 || host->reportedAvoided) {
            all.push_back({ .upstream = host->status.upstream.id,
                            .incarnation = host->status.upstream.incarnation,
                            .openFlows = host->open,
                            .busyFlows = host->busy,
                            .avoided = host->reportedAvoided });
        }
    }
    return all;
}

} // namespace boragelug
