#include "routing/tagged_router.h"

#include "routing/flow_tag.h"
#include "routing/sequence_number.h"

#include <algorithm>
#include <set>

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

/// The current incarnation of each upstream: the listed one, and of several the latest.
std::map<UpstreamId, const DirectoryUpstream *> currentIncarnations(const DirectoryView &view)
{
    const auto order = [](const DirectoryUpstream &status) {
        return std::pair(status.listing != Listing::Gone, status.upstream.incarnation);
    };
    std::map<UpstreamId, const DirectoryUpstream *> current;
    for (const DirectoryUpstream &status : view.upstreams) {
        const DirectoryUpstream *&known = current[status.upstream.id];
        if (known == nullptr || order(*known) < order(status)) {
            known = &status;
        }
    }
    return current;
}

bool mayTakeFlows(const DirectoryUpstream &status)
{
    return status.listing != Listing::Gone && status.upstream.state == UpstreamState::Active && !status.evacuated;
}

} // namespace

TaggedRouter::TaggedRouter(const TaggedRouterSettings &settings)
    : settings_(settings)
    , random_(settings.seed)
    , admission_(settings.admission)
    , speeds_(settings.speeds)
    , coldStart_(settings.coldStart)
    , earlyChecks_(settings.health)
{ }

void TaggedRouter::applyView(std::shared_ptr<const DirectoryView> view, TimePoint now)
{
    view_ = std::move(view);
    std::map<UpstreamId, std::shared_ptr<TrackedUpstream>> upstreams;
    placeable_.clear();
    byTag_.clear();
    for (const auto &[id, status] : currentIncarnations(*view_)) {
        const auto existing = upstreams_.find(id);
        auto upstream = existing != upstreams_.end() ? existing->second : std::make_shared<TrackedUpstream>();
        if (upstream->status.upstream.incarnation != status->upstream.incarnation) {
            upstream->health = {};
        }
        upstream->status = *status;
        upstream->tag = flowTagOf(id, status->upstream.incarnation);
        upstreams.emplace(id, std::move(upstream));
    }
    // Flows may have opened at a restarted upstream while VMs had the record of its earlier incarnation. The upstream
    // itself resets those that it doesn't hold.
    for (const DirectoryUpstream &status : view_->upstreams) {
        const auto &upstream = upstreams.at(status.upstream.id);
        auto &sameTag = byTag_[flowTagOf(status.upstream.id, status.upstream.incarnation)];
        if (std::find(sameTag.begin(), sameTag.end(), upstream) == sameTag.end()) {
            sameTag.push_back(upstream);
        }
    }
    upstreams_ = std::move(upstreams);
    std::vector<std::pair<FlowTag, ServiceId>> tags;
    for (const auto &[id, upstream] : upstreams_) {
        tags.emplace_back(upstream->tag, upstream->status.upstream.service);
    }
    speeds_.setUpstreams(tags);
    markContestedAddresses(now);
    for (const auto &[key, upstream] : upstreams_) {
        if (mayTakeFlows(upstream->status)) {
            placeable_[upstream->status.upstream.service].push_back(upstream);
        }
    }
    for (auto &[tag, sameTag] : byTag_) {
        std::sort(sameTag.begin(), sameTag.end(), [](const auto &a, const auto &b) {
            return std::pair(a->status.upstream.incarnation, a->status.upstream.id)
                < std::pair(b->status.upstream.incarnation, b->status.upstream.id);
        });
    }
    for (auto &[service, serviceUpstreams] : placeable_) {
        std::stable_partition(serviceUpstreams.begin(), serviceUpstreams.end(), [&](const auto &upstream) {
            return upstream->status.upstream.zone == view_->selfZone;
        });
        // Packets with a shared tag go to the earliest incarnation of the service, so only that one may take new flows.
        std::erase_if(serviceUpstreams, [&](const auto &upstream) {
            const auto &sameTag = byTag_.at(upstream->tag);
            const auto first = std::find_if(sameTag.begin(), sameTag.end(), [&](const auto &other) {
                return other->status.upstream.service == upstream->status.upstream.service;
            });
            return *first != upstream;
        });
    }
    setAdmissionSlots();
    setColdStartUpstreams(now);
}

// The record of an upstream that crashed stays listed for some seconds, and its address answers active checks once
// another upstream has it.
void TaggedRouter::markContestedAddresses(TimePoint now)
{
    // Upstreams of the first listing have no time; their incarnations are start times.
    const auto order = [](const DirectoryUpstream &status) {
        return std::pair(status.knownSince, status.upstream.incarnation);
    };
    absl::flat_hash_map<Endpoint, std::vector<std::shared_ptr<TrackedUpstream>>> listed;
    for (const auto &[id, upstream] : upstreams_) {
        if (upstream->status.listing != Listing::Gone) {
            listed[upstream->status.upstream.tunnelEndpoint].push_back(upstream);
        }
    }
    for (const auto &[id, upstream] : upstreams_) {
        upstream->rivals.clear();
        upstream->isLatestAtAddress = true;
        for (const auto &other : listed[upstream->status.upstream.tunnelEndpoint]) {
            if (other != upstream) {
                upstream->rivals.push_back(other);
                upstream->isLatestAtAddress =
                    upstream->isLatestAtAddress && order(other->status) < order(upstream->status);
            }
        }
        if (upstream->rivals.empty()) {
            upstream->contestedSince = {};
        } else if (upstream->contestedSince == TimePoint {}) {
            upstream->contestedSince = now;
        }
    }
}

// A record may be written late or by another writer, so that progress decides which upstream has the address: the one
// that made progress last, or the one that was listed last as long as none did.
bool TaggedRouter::hasLostAddress(const TrackedUpstream &upstream)
{
    TimePoint lastRivalProgress = upstream.contestedSince;
    for (const auto &candidate : upstream.rivals) {
        if (const auto rival = candidate.lock()) {
            lastRivalProgress = std::max(lastRivalProgress, rival->health.lastProgressAt);
        }
    }
    if (upstream.health.lastProgressAt > lastRivalProgress) {
        return false;
    }
    return !upstream.isLatestAtAddress || lastRivalProgress > upstream.contestedSince;
}

const DirectoryEntry *TaggedRouter::findEntry(const Endpoint &address) const
{
    const auto &entries = *view_->entries;
    const auto found =
        std::lower_bound(entries.begin(), entries.end(), address, [](const auto &entry, const Endpoint &a) {
            return entry.address < a;
        });
    return found != entries.end() && found->address == address ? &*found : nullptr;
}

TaggedDecision TaggedRouter::refuse(TaggedRefusal reason, bool mayReset)
{
    if (mayReset) {
        ++counters_.resets.at(static_cast<std::size_t>(reason));
        return ResetFlow { .reason = reason, .upstream = {} };
    }
    ++counters_.dropped.at(static_cast<std::size_t>(reason));
    return DropPacket { reason };
}

std::shared_ptr<TaggedRouter::TrackedUpstream> TaggedRouter::findTagged(FlowTag tag, const DirectoryEntry &entry) const
{
    const auto found = byTag_.find(tag);
    if (found == byTag_.end()) {
        return nullptr;
    }
    for (const auto &upstream : found->second) {
        if (serves(entry, upstream->status.upstream.service)) {
            return upstream;
        }
    }
    return nullptr;
}

// A SYN and its copies may be answered by two upstreams. The caller opens the flow at one of them, but uses the tag of
// the answer that it received last. Only the record of the flow tells where it was opened.
std::shared_ptr<TaggedRouter::TrackedUpstream> TaggedRouter::findUpstream(const FlowPacket &packet,
                                                                          const DirectoryEntry &entry) const
{
    auto tagged = findTagged(packet.tag, entry);
    const auto found = flows_.find(FlowId { packet.caller, packet.entry });
    if (found == flows_.end() || found->second.phase == FlowPhase::Opening || found->second.upstream == tagged) {
        return tagged;
    }
    const Flow &flow = found->second;
    const DirectoryUpstream &status = flow.upstream->status;
    const bool mayHoldFlow =
        isInView(*flow.upstream) && status.listing != Listing::Gone && serves(entry, status.upstream.service);
    return mayHoldFlow && continues(flow, packet) ? flow.upstream : tagged;
}

// Packets of another flow on the same port have unrelated sequence numbers. Until a flow is open, this VM doesn't know
// those of its upstream.
bool TaggedRouter::continues(const Flow &flow, const FlowPacket &packet)
{
    const bool knowsAcknowledged = packet.ack && flow.phase != FlowPhase::Opening;
    return isNear(packet.sequence, flow.nextSequence, maxSequenceGap)
        && (!knowsAcknowledged || isNear(packet.acknowledged, flow.acknowledged, maxSequenceGap));
}

bool TaggedRouter::isInView(const TrackedUpstream &upstream) const
{
    const auto found = upstreams_.find(upstream.status.upstream.id);
    return found != upstreams_.end() && found->second.get() == &upstream;
}

TaggedDecision TaggedRouter::route(const FlowPacket &packet, const RouteOptions &options, TimePoint now)
{
    if (!view_) {
        return refuse(TaggedRefusal::NoView, false);
    }
    checkOpenings(now);
    const DirectoryEntry *entry = findEntry(packet.entry);
    if (entry == nullptr) {
        return refuse(TaggedRefusal::UnknownEntry, options.viewIsFresh && packet.syn);
    }
    if (packet.syn) {
        return routeSyn(packet, *entry, options, now);
    }
    const auto upstream = findUpstream(packet, *entry);
    if (!upstream) {
        return refuse(byTag_.contains(packet.tag) ? TaggedRefusal::ForeignTag : TaggedRefusal::UnknownTag, false);
    }
    const bool unanswered = track(packet, *entry, upstream, now);
    const auto reset = options.viewIsFresh ? resetReason(packet, *entry, *upstream, now) : std::nullopt;
    if (reset) {
        return makeReset(*reset, packet, *upstream, now);
    }
    ++counters_.forwarded;
    return ForwardPacket { .upstream = upstream->status.upstream.id,
                           .address = upstream->status.upstream.tunnelEndpoint,
                           .tag = upstream->tag,
                           .unanswered = unanswered,
                           .tagUpstream = mismatchedTag(packet, *entry, *upstream) };
}

ResetFlow
TaggedRouter::makeReset(TaggedRefusal reason, const FlowPacket &packet, const TrackedUpstream &upstream, TimePoint now)
{
    const bool hasEnded = reason == TaggedRefusal::EndedUpstream;
    const ResetFlow reset = hasEnded ? makeEndedReset(packet, upstream, now) : makeSilentReset(upstream, now);
    discardFlow(packet);
    ++counters_.resets.at(static_cast<std::size_t>(reason));
    return reset;
}

ResetFlow TaggedRouter::makeEndedReset(const FlowPacket &packet, const TrackedUpstream &upstream, TimePoint now) const
{
    const auto flow = flows_.find(FlowId { packet.caller, packet.entry });
    const bool isTracked = flow != flows_.end();
    return { .reason = TaggedRefusal::EndedUpstream,
             .upstream = upstream.status.upstream.id,
             .sinceProgress = now - upstream.health.lastProgressAt,
             .waiting = isTracked ? now - flow->second.lastNewDataAt : Duration::zero(),
             .sinceUnlisted = now - upstream.status.vanishedAt,
             .openedHere = isTracked && flow->second.openedHere };
}

ResetFlow TaggedRouter::makeSilentReset(const TrackedUpstream &upstream, TimePoint now)
{
    const PassiveHealth &health = upstream.health;
    return { .reason = TaggedRefusal::SilentUpstream,
             .upstream = upstream.status.upstream.id,
             .sinceProgress = now - health.lastProgressAt,
             .waiting = health.waitingSince != TimePoint {} ? now - health.waitingSince : Duration::zero(),
             .sinceCheck = now - health.checkRequestedAt,
             .sinceUnanswered = now - health.lastUnansweredAt,
             .unanswered = health.consecutiveUnanswered };
}

UpstreamId
TaggedRouter::mismatchedTag(const FlowPacket &packet, const DirectoryEntry &entry, const TrackedUpstream &upstream)
{
    const auto tagged = findTagged(packet.tag, entry);
    const auto flow = flows_.find(FlowId { packet.caller, packet.entry });
    if (!tagged || tagged.get() == &upstream || flow == flows_.end() || flow->second.tagMismatchReported) {
        return {};
    }
    flow->second.tagMismatchReported = true;
    ++counters_.tagMismatches;
    return tagged->status.upstream.id;
}

std::optional<TaggedRefusal> TaggedRouter::resetReason(const FlowPacket &packet,
                                                       const DirectoryEntry &entry,
                                                       const TrackedUpstream &upstream,
                                                       TimePoint now) const
{
    if (packet.dataBytes == 0) {
        return std::nullopt;
    }
    if (mayHaveEnded(upstream, now) && hasOverdueRequest(packet, upstream, now)) {
        return TaggedRefusal::EndedUpstream;
    }
    if (entry.idempotent && isConfirmedSilent(upstream, now)) {
        return TaggedRefusal::SilentUpstream;
    }
    return std::nullopt;
}

// An upstream that doesn't reach the directory is unlisted too, but goes on serving its flows. Flows that pause show
// nothing of that, so that their next request is needed to find out. Flows that moved to another VM seem to wait here
// though they are served there, so that only a packet of the flow counts.
bool TaggedRouter::hasOverdueRequest(const FlowPacket &packet, const TrackedUpstream &upstream, TimePoint now) const
{
    const auto found = flows_.find(FlowId { packet.caller, packet.entry });
    return found != flows_.end() && found->second.busy && continues(found->second, packet)
        && now - found->second.lastNewDataAt >= upstream.health.answerTimeout;
}

bool TaggedRouter::mayHaveEnded(const TrackedUpstream &upstream, TimePoint now) const
{
    const TimePoint noProgressSince = std::max(upstream.status.vanishedAt, upstream.health.lastProgressAt);
    const bool isUnlisted =
        upstream.status.listing == Listing::Gone && now - noProgressSince >= settings_.unlistedTimeout;
    return isUnlisted || hasLostAddress(upstream);
}

bool TaggedRouter::isConfirmedSilent(const TrackedUpstream &upstream, TimePoint now) const
{
    if (!seemsSilent(upstream.health, settings_.health, now)) {
        return false;
    }
    return isSilenceConfirmed(observed(upstream), observedUpstreams(), settings_.health, settings_.silence, now);
}

std::vector<ObservedUpstream> TaggedRouter::observedUpstreams() const
{
    std::vector<ObservedUpstream> all;
    all.reserve(upstreams_.size());
    for (const auto &[id, upstream] : upstreams_) {
        all.push_back(observed(*upstream));
    }
    return all;
}

ObservedUpstream TaggedRouter::observed(const TrackedUpstream &upstream) const
{
    const Upstream &record = upstream.status.upstream;
    const auto since = servicesObservedSince_.find(record.service);
    return { .service = record.service,
             .zone = record.zone,
             .health = &upstream.health,
             .serviceObservedSince = since != servicesObservedSince_.end() ? since->second : TimePoint {} };
}

void TaggedRouter::discardFlow(const FlowPacket &packet)
{
    const auto flow = flows_.find(FlowId { packet.caller, packet.entry });
    if (flow != flows_.end()) {
        unassignUpstream(flow->second);
        flows_.erase(flow);
    }
}

std::vector<UpstreamCheck> TaggedRouter::takeChecks()
{
    return std::exchange(checks_, {});
}

void TaggedRouter::recordCheckResult(const UpstreamCheck &check, bool answered, TimePoint now)
{
    const auto found = upstreams_.find(check.upstream);
    if (found == upstreams_.end() || found->second->status.upstream.incarnation != check.incarnation) {
        return;
    }
    const TrackedUpstream &upstream = *found->second;
    boragelug::recordCheckResult(found->second->health, answered, earlyChecks_, now);
    if (!answered
        && isSilenceShared(
            observed(upstream), observedUpstreams(), view_->selfZone, settings_.health, settings_.silence, now)) {
        speeds_.recordSilence(upstream.tag, now);
    }
}

std::vector<SilentFlow> TaggedRouter::takeSilentFlows(TimePoint now)
{
    std::vector<SilentFlow> silent;
    std::set<const TrackedUpstream *> confirmed;
    for (const auto &[id, upstream] : upstreams_) {
        if (isConfirmedSilent(*upstream, now)) {
            confirmed.insert(upstream.get());
        }
    }
    if (confirmed.empty()) {
        return silent;
    }
    for (auto it = flows_.begin(); it != flows_.end();) {
        const auto &[caller, address] = it->first;
        Flow &flow = it->second;
        const DirectoryEntry *entry = flow.phase == FlowPhase::Open ? findEntry(address) : nullptr;
        if (entry == nullptr || !entry->idempotent || !confirmed.contains(flow.upstream.get())) {
            ++it;
            continue;
        }
        FlowPacket head;
        head.caller = caller;
        head.entry = address;
        head.ack = true;
        head.acknowledged = flow.acknowledged;
        silent.push_back({ .head = head, .reset = makeSilentReset(*flow.upstream, now) });
        ++counters_.resets.at(static_cast<std::size_t>(TaggedRefusal::SilentUpstream));
        unassignUpstream(flow);
        flows_.erase(it++);
    }
    return silent;
}

std::vector<EjectionChange> TaggedRouter::tick(TimePoint now)
{
    std::vector<EjectionChange> changes;
    checkOpenings(now);
    if (now < nextSweep_ || !view_) {
        return changes;
    }
    nextSweep_ = now + sweepInterval;
    for (auto it = flows_.begin(); it != flows_.end();) {
        Flow &flow = it->second;
        checkStalledRequest(it->first.second, flow, now);
        const Duration limit = flow.phase == FlowPhase::Open ? view_->flowIdleTimeout : settings_.endedFlowRetention;
        if (now - flow.lastPacket >= limit) {
            unassignUpstream(flow);
            flows_.erase(it++);
        } else {
            ++it;
        }
    }
    for (const auto &[key, upstream] : upstreams_) {
        const bool ejected = isEjected(upstream->health, now);
        if (ejected != upstream->reportedEjected) {
            upstream->reportedEjected = ejected;
            changes.push_back({ .upstream = upstream->status.upstream.id,
                                .ejected = ejected,
                                .consecutiveUnanswered = upstream->health.consecutiveUnanswered,
                                .sinceProgress = now - upstream->health.lastProgressAt });
        }
    }
    return changes;
}

void TaggedRouter::checkStalledRequest(const Endpoint &address, Flow &flow, TimePoint now)
{
    const Duration timeout = std::max(flow.objective, settings_.stalledRequestTimeout);
    if (!flow.busy || flow.phase != FlowPhase::Open || now - flow.requestStartedAt < timeout) {
        return;
    }
    const DirectoryEntry *entry = findEntry(address);
    if (entry != nullptr && entry->idempotent
        && beginCheckIfDue(flow.upstream->health, CheckCause::StalledRequest, earlyChecks_, settings_.health, now)) {
        requestCheck(*flow.upstream);
    }
}

std::vector<UpstreamUsage> TaggedRouter::usage() const
{
    std::vector<UpstreamUsage> all;
    for (const auto &[key, upstream] : upstreams_) {
        if (upstream->openFlows > 0 || upstream->reportedEjected) {
            all.push_back({ .upstream = upstream->status.upstream.id,
                            .incarnation = upstream->status.upstream.incarnation,
                            .openFlows = upstream->openFlows,
                            .busyFlows = upstream->busyFlows,
                            .ejected = upstream->reportedEjected });
        }
    }
    return all;
}

} // namespace boragelug
