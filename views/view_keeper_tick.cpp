#include "views/view_keeper_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragelug
{

namespace
{

constexpr Duration gossipPeriod = std::chrono::seconds(1);
constexpr Duration confirmationRequestPeriod = std::chrono::milliseconds(500);
constexpr Duration readerReportPeriod = std::chrono::seconds(1);
constexpr Duration loadPublishPeriod = std::chrono::seconds(1);
constexpr Duration memberPublishPeriod = std::chrono::milliseconds(250);
// Ranking all upstreams of a zone over all its VMs takes about 10 ms at the largest fleet size.
constexpr Duration pollUpdatePeriod = std::chrono::seconds(2);
// Added to the timeout of a long poll before its answer counts as overdue.
constexpr Duration watchGrace = std::chrono::seconds(5);
// A reader may receive a version from peers shortly before its own long poll returns it. It reports itself as unhealthy
// only if the difference lasts longer.
constexpr Duration sourceStaleGrace = std::chrono::seconds(3);
constexpr std::size_t announcementPeers = 3;
constexpr std::size_t announcementParts = 4;
constexpr std::size_t digestParts = 8;
constexpr std::size_t readerReportParts = 2;
constexpr std::size_t bucketsPerDigest = 4;
// One gossip round in four goes to a VM of another zone.
constexpr std::size_t otherZoneGossipEvery = 4;
constexpr double otherZoneAnnouncementChance = 0.125;
// Extends the ready timeout while catalogue parts are still arriving.
constexpr Duration::rep maxReadyTimeoutFactor = 3;
constexpr std::size_t maxUpstreamEvents = 16;

} // namespace

ViewActions ViewKeeper::State::tick(TimePoint now, Random &random)
{
    handleSuspension(now);
    suspensionDetector_.tick(now);
    ViewActions actions;
    std::vector<OutgoingMessage> out;
    if (std::exchange(leaveRequested_, false)) {
        std::vector<OutgoingMessage> announcements;
        membership_.leave(random, announcements);
        queueBuckets(std::move(announcements));
    }
    // Probes still queued from the last tick exceeded the budget. Checked before this tick queues its own messages.
    const bool congested = budget_.isWaiting(ControlPriority::Probes);
    membership_.tick(now, random, store_.version(), congested, out);
    dissemination_.tick(now, random, out);
    queue(std::move(out));
    updateReaderRole(now);
    callPlatform(now, random, actions);
    gossip(now, random);
    sendReaderReports(now);
    updateReadiness(now);
    updateUnconfirmed(now);
    publishIfChanged(now);
    updatePolledUpstreams(now);

    actions.messages = budget_.drain(now);
    counters_.messagesSent += actions.messages.size();
    counters_.bytesSent = budget_.sentBytes();
    counters_.messagesDropped = budget_.dropped();
    for (ViewEvent &event : membership_.takeEvents()) {
        events_.push_back(std::move(event));
    }
    actions.events = std::exchange(events_, {});
    return actions;
}

void ViewKeeper::State::updateReaderRole(TimePoint now)
{
    if (confirmedIndex_ >= store_.version().value && !staleIndexServed_) {
        sourceStaleSince_.reset();
    } else if (!sourceStaleSince_) {
        sourceStaleSince_ = now;
    }
    if (candidatesGeneration_ != membership_.table().generation()) {
        candidatesGeneration_ = membership_.table().generation();
        readers_.setCandidates(membership_.zoneVms(), now);
    }
    const bool reader = readers_.isReader(now);
    if (reader == reader_) {
        return;
    }
    reader_ = reader;
    readerSince_ = now;
    addEvent(reader ? EventNumber::ReaderRoleTaken : EventNumber::ReaderRoleLeft, 0, {});
}

std::vector<ZoneId> ViewKeeper::State::missingLists() const
{
    const ZoneId own = settings_.self.zone;
    std::vector<ZoneId> missing;
    if (membership_.listVersion(own) == 0) {
        missing.push_back(own);
    }
    const std::vector<Zone> &zones = store_.catalogue().zones;
    const auto ownZone = std::find_if(zones.begin(), zones.end(), [own](const Zone &zone) { return zone.id == own; });
    if (ownZone == zones.end()) {
        return missing;
    }
    for (const Zone &zone : zones) {
        if (zone.id != own && zone.region == ownZone->region && membership_.listVersion(zone.id) == 0) {
            missing.push_back(zone.id);
        }
    }
    return missing;
}

void ViewKeeper::State::callPlatform(TimePoint now, Random &random, ViewActions &actions)
{
    PlatformNeeds needs;
    needs.watch = reader_;
    needs.poll = !versionConfirmed_;
    needs.knownIndex = store_.version().value;
    if (const std::optional<RejectedCatalogue> &rejected = store_.lastRejected()) {
        needs.knownIndex = std::max(needs.knownIndex, rejected->version.value);
    }
    if (staging_.isFromIndex()) {
        needs.knownIndex = std::max(needs.knownIndex, staging_.goalVersion().value);
        needs.parts = staging_.neededParts(PlatformWatcher::maxFetches);
    }
    needs.lists = missingLists();
    needs.ownZone = settings_.self.zone;
    needs.knownList = membership_.listVersion(needs.ownZone);
    actions.platformCalls = watcher_.tick(needs, now, random);
    counters_.platformCalls += actions.platformCalls.size();
    counters_.platformFailures = watcher_.failures();
}

bool ViewKeeper::State::isHealthyReader(TimePoint now) const
{
    if (!reader_) {
        // A stand-by counts as healthy until it is a reader itself.
        return true;
    }
    const TimePoint lastSuccessAt = std::max(readerSince_, watcher_.lastSuccessAt().value_or(readerSince_));
    const bool overdue = now - lastSuccessAt > settings_.watchWait + watchGrace;
    const bool stale = sourceStaleSince_ && now - *sourceStaleSince_ > sourceStaleGrace;
    return !overdue && !stale && !watcher_.isFailing();
}

void ViewKeeper::State::sendDigest(VmId to, std::size_t parts, TimePoint now, Random *random)
{
    ViewDigest digest = dissemination_.digest(parts);
    if (readers_.isInGroup()) {
        digest.parts.push_back({ readerReportPart, isHealthyReader(now) ? 1U : 0U, 0 });
    }
    if (platformLastSeenAt_ && now >= *platformLastSeenAt_) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *platformLastSeenAt_).count();
        digest.parts.push_back({ platformAgePart, static_cast<std::uint64_t>(age), 0 });
    }
    if (random != nullptr) {
        for (const std::size_t bucket : membership_.table().bucketsToCompare(*random, bucketsPerDigest)) {
            const auto part = static_cast<std::uint16_t>(firstMemberPart + bucket);
            digest.parts.push_back({ part, 0, membership_.table().bucketHash(bucket) });
        }
    }
    queue(OutgoingMessage { to, std::move(digest) });
}

void ViewKeeper::State::gossip(TimePoint now, Random &random)
{
    if (!versionConfirmed_ && now >= nextConfirmationRequest_) {
        nextConfirmationRequest_ = now + confirmationRequestPeriod;
        std::vector<VmId> peers = membership_.randomPeers(ViewConfirmation::neededPeers, true, random);
        const std::vector<VmId> others = membership_.randomPeers(1, false, random);
        peers.insert(peers.end(), others.begin(), others.end());
        for (const VmId peer : peers) {
            // The probe carries this VM's address, so that the peer can answer. The answer contains the peer's version.
            queue(OutgoingMessage { peer, Probe { 0, {}, { membership_.table().selfUpdate() } } });
            sendDigest(peer, 0, now, nullptr);
        }
    }
    if (std::exchange(announcementDue_, false)) {
        for (const VmId peer : membership_.randomPeers(announcementPeers, true, random)) {
            sendDigest(peer, announcementParts, now, nullptr);
        }
        if (reader_ || random.chance(otherZoneAnnouncementChance)) {
            for (const VmId peer : membership_.randomPeers(1, false, random)) {
                sendDigest(peer, announcementParts, now, nullptr);
            }
        }
    }
    if (now < nextGossip_) {
        return;
    }
    const auto jitter = Duration(static_cast<Duration::rep>(random.below(gossipPeriod.count() / 5)));
    nextGossip_ = now + gossipPeriod - gossipPeriod / 10 + jitter;
    const bool ownZone = ++gossipRound_ % otherZoneGossipEvery != 0;
    std::vector<VmId> peers = membership_.randomPeers(1, ownZone, random);
    if (peers.empty()) {
        peers = membership_.randomPeers(1, !ownZone, random);
    }
    for (const VmId peer : peers) {
        sendDigest(peer, digestParts, now, &random);
    }
    LoadDigest load = load_.digest(now);
    if (!load.items.empty()) {
        for (const VmId peer : membership_.randomPeers(1, true, random)) {
            queue(OutgoingMessage { peer, load });
        }
    }
}

void ViewKeeper::State::sendReaderReports(TimePoint now)
{
    if (now < nextReaderReport_ || !readers_.isInGroup()) {
        return;
    }
    nextReaderReport_ = now + readerReportPeriod;
    const std::vector<VmId> &group = readers_.group();
    const auto self = std::find(group.begin(), group.end(), settings_.self.id);
    // Only lower-ranked VMs use this VM's report.
    for (auto it = std::next(self); it != group.end(); ++it) {
        sendDigest(*it, readerReportParts, now, nullptr);
    }
}

std::size_t ViewKeeper::State::peerCount() const
{
    std::size_t count = 0;
    for (const auto &[id, record] : membership_.table().records()) {
        count += !record.removed && record.member.health != MemberHealth::Dead ? 1U : 0U;
    }
    return count;
}

void ViewKeeper::State::updateReadiness(TimePoint now)
{
    if (!versionConfirmed_) {
        const CatalogueVersion highestVersion = dissemination_.highestPeerVersion();
        const bool current = store_.version().value > 0 && !store_.isAdoptable(highestVersion);
        const bool listsKnown = missingLists().empty() || watcher_.isFailing();
        versionConfirmed_ = current && listsKnown && confirmation_.isComplete(peerCount());
    }
    if (ready_) {
        return;
    }
    const Duration waited = now - confirmation_.startedAt();
    const bool progressing = staging_.hasGoal() && now - staging_.lastProgress() < settings_.readyTimeout / 4;
    const Duration limit = settings_.readyTimeout * (progressing ? maxReadyTimeoutFactor : 1);
    if (versionConfirmed_ || waited >= limit) {
        ready_ = true;
        addEvent(EventNumber::ProcessReady,
                 store_.version().value,
                 { { "version", std::to_string(store_.version().value) },
                   { "confirmed", versionConfirmed_ ? "yes" : "no" } });
    }
}

std::string ViewKeeper::State::unconfirmedReasons(TimePoint now) const
{
    std::string reasons;
    const auto add = [&reasons](bool holds, const char *reason) {
        if (holds) {
            reasons += reasons.empty() ? "" : ", ";
            reasons += reason;
        }
    };
    const Duration platformLimit = 2 * settings_.watchWait + watchGrace;
    add(!versionConfirmed_, "version not compared with peers");
    add(membership_.isIsolated(now), "no message from any peer");
    add(membership_.isPartitionedFromOtherZones(), "no response from other zones");
    add(!platformLastSeenAt_ || now - *platformLastSeenAt_ > platformLimit,
        "no response from the configuration service");
    return reasons;
}

void ViewKeeper::State::updateUnconfirmed(TimePoint now)
{
    const std::string reasons = unconfirmedReasons(now);
    const bool unconfirmed = !reasons.empty();
    if (unconfirmed == unconfirmed_) {
        return;
    }
    unconfirmed_ = unconfirmed;
    viewChanged_ = true;
    if (unconfirmed) {
        addEvent(EventNumber::ViewInDoubt, store_.version().value, { { "reason", reasons } });
    } else {
        addEvent(EventNumber::ViewCertain, store_.version().value, {});
    }
}

void ViewKeeper::State::publishIfChanged(TimePoint now)
{
    const std::uint64_t members = membership_.table().generation();
    const bool membersDue = members != publishedMembers_ && now >= nextMemberPublish_;
    const bool loadDue = loadChanged_ && now >= nextLoadPublish_;
    if (!viewChanged_ && !membersDue && !loadDue) {
        return;
    }
    const std::shared_ptr<const View> before = view_;
    view_ = buildView(*before, store_, membership_.table().members(), load_, unconfirmed_, now);
    if (before->catalogue.version != view_->catalogue.version) {
        for (ViewEvent &event : upstreamEvents(*before, *view_, maxUpstreamEvents)) {
            events_.push_back(std::move(event));
        }
    }
    viewChanged_ = false;
    loadChanged_ = false;
    publishedMembers_ = members;
    nextMemberPublish_ = now + memberPublishPeriod;
    nextLoadPublish_ = now + loadPublishPeriod;
}

void ViewKeeper::State::updatePolledUpstreams(TimePoint now)
{
    const std::vector<VmId> &zoneVms = membership_.zoneVms();
    if (now < nextPollUpdate_ || (!upstreamsChanged_ && polledForVms_ == zoneVms)) {
        return;
    }
    nextPollUpdate_ = now + pollUpdatePeriod;
    upstreamsChanged_ = false;
    polledForVms_ = zoneVms;
    std::vector<const Upstream *> upstreams;
    for (const UpstreamStatus &status : view_->upstreams) {
        if (status.upstream.zone == settings_.self.zone) {
            upstreams.push_back(&status.upstream);
        }
    }
    load_.setUpstreams(upstreams);
    polledUpstreams_ = upstreamsToPoll(upstreams, zoneVms, settings_.self.id);
}

} // namespace boragelug
