#include "views/membership.h"

#include "core/hash.h"
#include "views/message_size.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <utility>

namespace boragelug
{

namespace
{

// Limit of updates piggybacked on a message. At about 50 bytes each, 3 updates at most double the size of a probe. With
// 6, a burst of updates used up the send budget, which delayed probes and made live VMs suspect.
constexpr std::size_t maxPiggyback = 3;
// Limit of queued updates. Updates dropped in a mass failure are repaired by the comparison of buckets.
constexpr std::size_t maxQueuedUpdates = 256;
constexpr std::size_t indirectProbes = 3;
// Up to this number of peers, all are probed equally often. In larger fleets most probes stay within the zone, because
// most failures are detected there first.
constexpr std::size_t uniformProbeLimit = 64;
constexpr std::size_t otherZoneProbeEvery = 8;
// One probe in ten goes to a dead VM, to detect that a partition has healed.
constexpr std::size_t deadPeerProbeEvery = 10;
// Minimum time between indirect probes; each causes about 1.5 KB of traffic over all VMs involved.
constexpr Duration indirectPeriod = std::chrono::milliseconds(500);
constexpr std::size_t maxLocalHealthScore = 8;
// From this local health score on, a VM does not declare others suspect.
constexpr std::size_t unreliableScore = 4;
constexpr std::size_t maxRequestedProbes = 64;
// Four times the expected rate. Limits the part of the budget used by answers to probes, however many peers send.
constexpr double acksPerSecond = 8;
// With a lower limit, one lost probe to another zone that has just failed would already count as a partition.
constexpr std::size_t partitionAfterFailures = 4;
constexpr Duration isolatedAfter = std::chrono::seconds(5);
constexpr Duration lateTickThreshold = std::chrono::milliseconds(600);
constexpr Duration requestedProbeTimeout = std::chrono::seconds(2);
constexpr Duration expiryPeriod = std::chrono::seconds(10);
constexpr std::size_t leaveAnnouncements = 4;

template<class T>
void shuffle(std::vector<T> &items, Random &random)
{
    for (std::size_t i = items.size(); i > 1; --i) {
        std::swap(items[i - 1], items[random.below(i)]);
    }
}

} // namespace

Membership::Membership(Vm self, const std::vector<Vm> &seedPeers, TimePoint now)
    : table_(self, now)
    , ackRateLimit_(acksPerSecond, 2 * acksPerSecond, now)
    , lastTick_(now)
    , nextProbe_(now)
    , nextExpiry_(now + expiryPeriod)
    , lastContactAt_(now)
    // Nonces differ between VMs and process runs, so that answers to a previous run are not matched to probes of this
    // one.
    , lastNonce_(combineHash(self.id.value, self.incarnation.value))
{
    for (const Vm &vm : seedPeers) {
        table_.apply({ vm, MemberHealth::Alive, 0 }, now);
    }
    rebuildPeerLists();
}

void Membership::rebuildPeerLists()
{
    if (peersGeneration_ == table_.generation()) {
        return;
    }
    peersGeneration_ = table_.generation();
    zoneVms_.clear();
    zonePeers_.clear();
    otherPeers_.clear();
    deadPeers_.clear();
    hasOtherZoneMembers_ = false;
    const Vm &self = table_.self();
    if (self.state == VmState::Live) {
        zoneVms_.push_back(self.id);
    }
    for (const auto &[id, record] : table_.records()) {
        const bool ownZone = record.member.vm.zone == self.zone;
        hasOtherZoneMembers_ = hasOtherZoneMembers_ || (!record.removed && !ownZone);
        if (record.removed) {
            continue;
        }
        if (record.member.health == MemberHealth::Dead) {
            deadPeers_.push_back(id);
            continue;
        }
        (ownZone ? zonePeers_ : otherPeers_).push_back(id);
        if (ownZone && record.member.health == MemberHealth::Alive && record.member.vm.state == VmState::Live) {
            zoneVms_.push_back(id);
        }
    }
    std::sort(zoneVms_.begin(), zoneVms_.end());
}

void Membership::queueUpdate(VmId vm)
{
    const std::size_t fleet = table_.records().size() + 1;
    const std::size_t sends = 2 * static_cast<std::size_t>(std::bit_width(fleet));
    std::erase_if(queuedUpdates_, [vm](const QueuedUpdate &queued) { return queued.vm == vm; });
    queuedUpdates_.push_front({ vm, sends });
    if (queuedUpdates_.size() > maxQueuedUpdates) {
        queuedUpdates_.pop_back();
    }
}

void Membership::applyUpdates(const std::vector<MemberUpdate> &updates, TimePoint now)
{
    for (const MemberUpdate &update : updates) {
        if (table_.apply(update, now)) {
            queueUpdate(update.vm.id);
        }
    }
    if (table_.takeRefutations() > 0) {
        raiseLocalHealthScore();
    }
    rebuildPeerLists();
}

std::vector<MemberUpdate> Membership::piggyback(std::optional<VmId> to)
{
    std::vector<MemberUpdate> updates;
    const MemberRecord *receiver = to ? table_.find(*to) : nullptr;
    if (receiver != nullptr && (receiver->removed || receiver->member.health != MemberHealth::Alive)) {
        // Sends a suspect or dead VM its own state, so that it can refute it.
        updates.push_back(MemberTable::updateOf(*receiver));
    }
    if (receiver != nullptr && receiver->lastContactAt <= receiver->member.knownSince) {
        // No message has arrived from the receiver yet. It may not have this VM in its table, and then can't answer.
        updates.push_back(table_.selfUpdate());
    }
    const std::size_t count = std::min(queuedUpdates_.size(), maxPiggyback);
    for (std::size_t i = 0; i < count; ++i) {
        QueuedUpdate queued = queuedUpdates_.front();
        queuedUpdates_.pop_front();
        const MemberRecord *record = table_.find(queued.vm);
        if (queued.vm == table_.self().id) {
            updates.push_back(table_.selfUpdate());
        } else if (record != nullptr) {
            updates.push_back(MemberTable::updateOf(*record));
        }
        if (--queued.sendsLeft > 0) {
            queuedUpdates_.push_back(queued);
        }
    }
    return updates;
}

void Membership::tick(
    TimePoint now, Random &random, CatalogueVersion version, bool congested, std::vector<OutgoingMessage> &out)
{
    if (now - lastTick_ > lateTickThreshold) {
        raiseLocalHealthScore();
    }
    if (congested) {
        for (auto &[nonce, pending] : pendingProbes_) {
            pending.sentAt += now - lastTick_;
        }
    }
    lastTick_ = now;
    rebuildPeerLists();
    checkPendingProbes(now, random, out);
    expireSuspicions(now);
    if (now >= nextProbe_ && !congested) {
        // Jitter prevents VMs from sending their probes at the same time.
        const auto jitter = Duration(static_cast<Duration::rep>(random.below(probePeriod.count() / 5)));
        nextProbe_ = now + probePeriod - probePeriod / 10 + jitter;
        startProbe(now, random, version, out);
    }
    if (now >= nextExpiry_) {
        nextExpiry_ = now + expiryPeriod;
        table_.expire(now);
    }
    rebuildPeerLists();
}

std::optional<VmId> Membership::nextTarget(Random &random)
{
    ++probeCount_;
    if (!deadPeers_.empty() && (probeCount_ % deadPeerProbeEvery == 0 || zonePeers_.size() + otherPeers_.size() == 0)) {
        return deadPeers_[random.below(deadPeers_.size())];
    }
    const bool uniform = zonePeers_.size() + otherPeers_.size() <= uniformProbeLimit;
    if (!uniform && !otherPeers_.empty() && probeCount_ % otherZoneProbeEvery == 0) {
        return otherPeers_[random.below(otherPeers_.size())];
    }
    while (!rotation_.empty()) {
        const VmId next = rotation_.back();
        rotation_.pop_back();
        const MemberRecord *record = table_.find(next);
        if (record != nullptr && !record->removed && record->member.health != MemberHealth::Dead) {
            return next;
        }
    }
    rotation_ = zonePeers_;
    if (uniform) {
        rotation_.insert(rotation_.end(), otherPeers_.begin(), otherPeers_.end());
    }
    shuffle(rotation_, random);
    if (rotation_.empty()) {
        return std::nullopt;
    }
    const VmId next = rotation_.back();
    rotation_.pop_back();
    return next;
}

void Membership::startProbe(TimePoint now, Random &random, CatalogueVersion version, std::vector<OutgoingMessage> &out)
{
    const std::optional<VmId> target = nextTarget(random);
    if (!target) {
        return;
    }
    const std::uint64_t nonce = ++lastNonce_;
    pendingProbes_[nonce] = { *target, now, false };
    out.push_back({ *target, Probe { nonce, version, piggyback(target) } });
}

void Membership::checkPendingProbes(TimePoint now, Random &random, std::vector<OutgoingMessage> &out)
{
    const Duration timeout = probeTimeout * static_cast<Duration::rep>(1 + localHealthScore_);
    for (auto it = pendingProbes_.begin(); it != pendingProbes_.end();) {
        PendingProbe &pending = it->second;
        const Duration waited = now - pending.sentAt;
        if (!pending.indirect && waited >= timeout && now >= nextIndirect_) {
            pending.indirect = true;
            nextIndirect_ = now + indirectPeriod;
            sendProbeRequests(it->first, pending.target, random, out);
        }
        // One timeout for the direct probe and two for the indirect one: the round trip to the helper and the helper's
        // own probe.
        if (waited >= 3 * timeout) {
            const PendingProbe failed = pending;
            it = pendingProbes_.erase(it);
            handleFailedProbe(failed, now);
        } else {
            ++it;
        }
    }
    std::erase_if(requestedProbes_,
                  [now](const auto &requested) { return now - requested.second.sentAt > requestedProbeTimeout; });
}

void Membership::sendProbeRequests(std::uint64_t nonce,
                                   VmId target,
                                   Random &random,
                                   std::vector<OutgoingMessage> &out) const
{
    std::vector<VmId> helpers = zonePeers_;
    helpers.insert(helpers.end(), otherPeers_.begin(), otherPeers_.end());
    std::erase(helpers, target);
    for (std::size_t i = 0; i < indirectProbes && !helpers.empty(); ++i) {
        const std::size_t chosen = random.below(helpers.size());
        out.push_back({ helpers[chosen], ProbeRequest { nonce, target } });
        helpers[chosen] = helpers.back();
        helpers.pop_back();
    }
}

void Membership::handleFailedProbe(const PendingProbe &pending, TimePoint now)
{
    const MemberRecord *record = table_.find(pending.target);
    if (record == nullptr) {
        return;
    }
    if (record->member.vm.zone != table_.self().zone) {
        ++otherZoneFailures_;
    }
    if (record->member.health != MemberHealth::Alive) {
        return;
    }
    raiseLocalHealthScore();
    if (localHealthScore_ >= unreliableScore) {
        return;
    }
    if (table_.setHealth(pending.target, MemberHealth::Suspect, now)) {
        queueUpdate(pending.target);
    }
}

Duration Membership::suspicionTimeout() const
{
    // Long enough for the suspicion to reach the suspect VM and for its refutation to come back by gossip.
    const std::size_t fleet = table_.records().size() + 1;
    const auto rounds = static_cast<Duration::rep>(std::max<std::size_t>(3, std::bit_width(fleet)));
    return std::chrono::seconds(1) * rounds * static_cast<Duration::rep>(1 + localHealthScore_ / 2);
}

void Membership::expireSuspicions(TimePoint now)
{
    const Duration limit = suspicionTimeout();
    std::vector<VmId> dead;
    for (const auto &[id, record] : table_.records()) {
        const bool contacted = record.lastContactAt > record.healthSince;
        if (!record.removed && record.member.health == MemberHealth::Suspect && !contacted
            && now - record.healthSince > limit) {
            dead.push_back(id);
        }
    }
    for (const VmId id : dead) {
        table_.setHealth(id, MemberHealth::Dead, now);
        queueUpdate(id);
    }
}

void Membership::raiseLocalHealthScore()
{
    localHealthScore_ = std::min(localHealthScore_ + 1, maxLocalHealthScore);
}

void Membership::handleContact(VmId from, TimePoint now, std::vector<OutgoingMessage> &out)
{
    lastContactAt_ = now;
    const MemberRecord *record = table_.find(from);
    if (record == nullptr) {
        return;
    }
    if (record->member.vm.zone != table_.self().zone) {
        otherZoneFailures_ = 0;
    }
    table_.recordContact(from, now);
    if (table_.shouldSendSuspicion(from, now)) {
        // A ProbeAck needs no answer. Otherwise a VM suspected by many peers would use up its budget for answers, and
        // so stay suspect.
        out.push_back({ from, ProbeAck { 0, table_.self().id, {}, { MemberTable::updateOf(*record) } } });
    }
}

void Membership::handle(
    const Probe &probe, VmId from, TimePoint now, CatalogueVersion version, std::vector<OutgoingMessage> &out)
{
    applyUpdates(probe.updates, now);
    if (!ackRateLimit_.take(1, now)) {
        return;
    }
    out.push_back({ from, ProbeAck { probe.nonce, table_.self().id, version, piggyback(from) } });
}

void Membership::handle(const ProbeAck &ack, VmId from, TimePoint now, std::vector<OutgoingMessage> &out)
{
    applyUpdates(ack.updates, now);
    if (const auto requested = requestedProbes_.find(ack.nonce);
        requested != requestedProbes_.end() && ack.subject == from) {
        const RequestedProbe probe = requested->second;
        requestedProbes_.erase(requested);
        out.push_back({ probe.requester, ProbeAck { probe.nonce, from, ack.catalogueVersion, {} } });
    }
    const auto it = pendingProbes_.find(ack.nonce);
    if (it == pendingProbes_.end() || it->second.target != ack.subject) {
        return;
    }
    pendingProbes_.erase(it);
    localHealthScore_ -= localHealthScore_ > 0 ? 1 : 0;
    const MemberRecord *record = table_.find(ack.subject);
    if (record != nullptr && record->member.vm.zone != table_.self().zone) {
        otherZoneFailures_ = 0;
    }
    table_.recordContact(ack.subject, now);
}

void Membership::handle(const ProbeRequest &request, VmId from, TimePoint now, std::vector<OutgoingMessage> &out)
{
    if (requestedProbes_.size() >= maxRequestedProbes || table_.find(request.target) == nullptr) {
        return;
    }
    const std::uint64_t nonce = ++lastNonce_;
    out.push_back({ request.target, Probe { nonce, {}, {} } });
    requestedProbes_[nonce] = { from, request.nonce, now };
}

bool Membership::handleList(const VmList &list, TimePoint now)
{
    VmList &previous = lists_[list.zone];
    if (list.version <= previous.version) {
        return false;
    }
    for (const MemberUpdate &update : table_.applyList(list, previous, now)) {
        queueUpdate(update.vm.id);
    }
    previous = list;
    rebuildPeerLists();
    return true;
}

std::uint64_t Membership::listVersion(ZoneId zone) const
{
    const auto it = lists_.find(zone);
    return it == lists_.end() ? 0 : it->second.version;
}

void Membership::leave(Random &random, std::vector<OutgoingMessage> &out)
{
    table_.leave();
    queueUpdate(table_.self().id);
    rebuildPeerLists();
    for (const bool ownZone : { true, false }) {
        for (const VmId peer : randomPeers(leaveAnnouncements, ownZone, random)) {
            out.push_back({ peer, Probe { ++lastNonce_, {}, { table_.selfUpdate() } } });
        }
    }
}

void Membership::resumeAfterSuspension(TimePoint now)
{
    pendingProbes_.clear();
    requestedProbes_.clear();
    lastTick_ = now;
    lastContactAt_ = now;
    otherZoneFailures_ = 0;
    localHealthScore_ = maxLocalHealthScore;
    std::vector<VmId> suspects;
    for (const auto &[id, record] : table_.records()) {
        if (!record.removed && record.member.health == MemberHealth::Suspect) {
            suspects.push_back(id);
        }
    }
    for (const VmId id : suspects) {
        table_.setHealth(id, MemberHealth::Alive, now);
    }
    rebuildPeerLists();
}

std::vector<VmId> Membership::randomPeers(std::size_t count, bool ownZone, Random &random) const
{
    std::vector<VmId> chosen;
    const std::vector<VmId> &peers = ownZone ? zonePeers_ : otherPeers_;
    if (peers.size() <= count) {
        return peers;
    }
    while (chosen.size() < count) {
        const VmId peer = peers[random.below(peers.size())];
        if (std::find(chosen.begin(), chosen.end(), peer) == chosen.end()) {
            chosen.push_back(peer);
        }
    }
    return chosen;
}

void Membership::sendBucket(std::size_t bucket, VmId to, std::vector<OutgoingMessage> &out) const
{
    ProbeAck chunk { 0, table_.self().id, {}, {} };
    for (const MemberUpdate &update : table_.bucketUpdates(bucket)) {
        chunk.updates.push_back(update);
        if (wireSize(PeerMessage(chunk)) > maxDatagramBytes) {
            chunk.updates.pop_back();
            out.push_back({ to, chunk });
            chunk.updates = { update };
        }
    }
    if (!chunk.updates.empty()) {
        out.push_back({ to, std::move(chunk) });
    }
}

bool Membership::isPartitionedFromOtherZones() const
{
    return hasOtherZoneMembers_ && otherZoneFailures_ >= partitionAfterFailures;
}

bool Membership::isIsolated(TimePoint now) const
{
    const bool anyPeer = !zonePeers_.empty() || !otherPeers_.empty() || !deadPeers_.empty();
    return anyPeer && now - lastContactAt_ > isolatedAfter;
}

} // namespace boragelug
