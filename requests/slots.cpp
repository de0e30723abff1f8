#include "requests/slots.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace boragelug
{

namespace
{

/// Number of low bits of a nonce that count the renewals of a lease. The upper bits name the lease.
constexpr unsigned renewalBits = 8;
constexpr std::uint64_t lastRenewal = (1U << renewalBits) - 1;

std::uint64_t leaseName(std::uint64_t nonce)
{
    return nonce >> renewalBits;
}

/// Timeout of a lease request.
constexpr auto requestTimeout = std::chrono::seconds(1);

} // namespace

void SlotTable::applyView(const View &view, TimePoint now)
{
    std::vector<SlotVm> vms = slotVms(view);
    const auto sameVm = [](const SlotVm &a, const SlotVm &b) { return a.id == b.id && a.zone == b.zone; };
    const bool changed = viewCount_ == 0 || !std::ranges::equal(vms, vms_, sameVm);
    const bool isOnlyVm = vms.size() == 1;
    const TimePoint takeoverTime = isOnlyVm ? now : now + leaseTime_ + margin_;
    self_ = view.self;
    ++viewCount_;
    if (changed) {
        movedSlotsUsableFrom_ = takeoverTime;
        zones_.clear();
    }
    if (suspended_) {
        delayOwnSlots(takeoverTime);
        suspended_ = false;
    }
    std::swap(vms_, vms);
    for (const UpstreamStatus &status : view.upstreams) {
        updateHost(view, status, vms, takeoverTime, now);
    }
    absl::erase_if(hosts_, [&](const auto &item) { return item.second.lastSeenInView != viewCount_; });
    indexHosts();
}

void SlotTable::delayOwnSlots(TimePoint usableFrom)
{
    for (auto &[id, host] : hosts_) {
        for (OwnedSlot &slot : host.slots) {
            slot.usableFrom = std::max(slot.usableFrom, usableFrom);
        }
    }
    movedSlotsUsableFrom_ = std::max(movedSlotsUsableFrom_, usableFrom);
}

const SlotTable::ZoneVms &SlotTable::zoneVms(const View &view, ZoneId zone, const std::vector<SlotVm> &previousVms)
{
    const auto found = zones_.find(zone);
    if (found != zones_.end()) {
        return found->second;
    }
    ZoneVms result;
    const bool sameRegion = regionOf(view.catalogue, zone) == regionOf(view.catalogue, view.selfZone);
    if (sameRegion || zone == view.selfZone) {
        result.current = slotCandidates(vms_, zone);
        const std::vector<VmId> previous = slotCandidates(previousVms, zone);
        std::ranges::set_difference(result.current, previous, std::back_inserter(result.added));
    }
    result.includesSelf = std::ranges::binary_search(result.current, view.self);
    return zones_.emplace(zone, std::move(result)).first->second;
}

void SlotTable::updateHost(const View &view,
                           const UpstreamStatus &status,
                           const std::vector<SlotVm> &previousVms,
                           TimePoint takeoverTime,
                           TimePoint now)
{
    const Upstream &upstream = status.upstream;
    const ZoneVms &zone = zoneVms(view, upstream.zone, previousVms);
    const auto existing = hosts_.find(upstream.id);
    if (!zone.includesSelf && existing == hosts_.end()) {
        return;
    }
    const auto service = std::ranges::find(view.catalogue.services, upstream.service, &Service::id);
    const std::uint32_t count =
        service == view.catalogue.services.end() || !zone.includesSelf ? 0 : service->slotsPerHost;
    const Duration slowStart = service == view.catalogue.services.end() ? Duration {} : service->slowStart;
    Host &host = hosts_[upstream.id];
    if (host.incarnation != upstream.incarnation || host.service != upstream.service) {
        // A restarted host has no attempts in progress, and leases are valid for one incarnation only.
        host.ownInUse = 0;
        host.lent.clear();
        host.borrowed.clear();
    }
    host.incarnation = upstream.incarnation;
    host.service = upstream.service;
    host.lastSeenInView = viewCount_;
    const std::size_t knownSlots = host.slots.size();
    host.slots.resize(count);
    for (std::uint32_t i = 0; i < count; ++i) {
        const TimePoint usableFrom = i >= knownSlots ? std::max(now, movedSlotsUsableFrom_) : takeoverTime;
        updateSlot(host.slots[i], zone, upstream.id, i, usableFrom);
        // During slow start the slots of a host become usable one by one. All VMs compute the same order without
        // exchanging messages.
        host.slots[i].coldUntil = status.activeSince + slowStart * i / count;
    }
}

void SlotTable::updateSlot(
    OwnedSlot &slot, const ZoneVms &zone, UpstreamId upstream, std::uint32_t index, TimePoint usableFrom) const
{
    const VmId before = slot.owner;
    const bool ownerStays = slot.score != 0 && std::ranges::binary_search(zone.current, slot.owner);
    if (!ownerStays) {
        slot.score = 0;
    }
    for (const VmId vm : ownerStays ? zone.added : zone.current) {
        const std::uint64_t score = slotScore(vm, upstream, index);
        if (score >= slot.score) {
            slot.score = score;
            slot.owner = vm;
        }
    }
    if (slot.owner == self_ && before != self_) {
        slot.usableFrom = usableFrom;
    }
}

void SlotTable::indexHosts()
{
    byService_.clear();
    for (const auto &[id, host] : hosts_) {
        const bool owns = std::ranges::find(host.slots, self_, &OwnedSlot::owner) != host.slots.end();
        if (owns || !host.borrowed.empty()) {
            byService_[host.service].push_back(id);
        }
    }
    for (auto &[service, hosts] : byService_) {
        std::ranges::sort(hosts);
    }
    indexSurplus();
}

void SlotTable::indexSurplus()
{
    ownerCounts_.clear();
    absl::flat_hash_map<ServiceId, std::size_t> totals;
    for (const auto &[id, host] : hosts_) {
        for (const OwnedSlot &slot : host.slots) {
            ++ownerCounts_[host.service][slot.owner];
            ++totals[host.service];
        }
    }
    surplus_.clear();
    for (const auto &[id, host] : hosts_) {
        const auto &owners = ownerCounts_[host.service];
        for (const OwnedSlot &slot : host.slots) {
            const bool above = owners.at(slot.owner) * owners.size() > totals[host.service];
            if (slot.owner != self_ && above) {
                surplus_[host.service].push_back({ id, slot.owner });
            }
        }
    }
    for (auto &[service, slots] : surplus_) {
        std::ranges::sort(slots, {}, [](const SlotOwnership &slot) { return std::pair(slot.upstream, slot.owner); });
    }
}

std::uint32_t SlotTable::ownedSlots(ServiceId service, VmId vm) const
{
    const auto counts = ownerCounts_.find(service);
    if (counts == ownerCounts_.end()) {
        return 0;
    }
    const auto count = counts->second.find(vm);
    return count == counts->second.end() ? 0 : count->second;
}

std::uint32_t SlotTable::lentBelowFairShare(ServiceId service, std::uint32_t fairShare, TimePoint now) const
{
    std::uint32_t count = 0;
    for (const UpstreamId id : upstreamsWithSlots(service)) {
        for (const Loan &loan : hosts_.at(id).lent) {
            const std::uint32_t ownedByBorrower = ownedSlots(service, loan.to);
            count += loan.expiresAt > now && ownedByBorrower > 0 && ownedByBorrower < fairShare ? loan.count : 0;
        }
    }
    return count;
}

const std::vector<SlotTable::SlotOwnership> &SlotTable::surplusSlots(ServiceId service) const
{
    static const std::vector<SlotOwnership> none;
    const auto found = surplus_.find(service);
    return found == surplus_.end() ? none : found->second;
}

std::uint32_t SlotTable::ownUsable(const Host &host, TimePoint now) const
{
    if (suspended_ || now >= retireAt_) {
        return 0;
    }
    const auto usable = [&](const OwnedSlot &slot) {
        return slot.owner == self_ && slot.usableFrom <= now && slot.coldUntil <= now;
    };
    return static_cast<std::uint32_t>(std::ranges::count_if(host.slots, usable));
}

std::uint32_t SlotTable::ownFree(const Host &host, TimePoint now) const
{
    std::uint32_t taken = host.ownInUse;
    for (const Loan &loan : host.lent) {
        taken += loan.expiresAt > now ? loan.count : 0;
    }
    const std::uint32_t usable = ownUsable(host, now);
    return usable > taken ? usable - taken : 0;
}

std::uint32_t SlotTable::available(UpstreamId upstream, TimePoint deadline, TimePoint now) const
{
    const auto found = hosts_.find(upstream);
    if (found == hosts_.end()) {
        return 0;
    }
    std::uint32_t free = ownFree(found->second, now);
    for (const Lease &lease : found->second.borrowed) {
        // Leases that expire before the deadline don't count, so that no attempt outlives the lease of its slot.
        free += lease.expiresAt >= deadline && lease.expiresAt > now ? lease.count - lease.inUse : 0;
    }
    return free;
}

std::optional<AcquiredSlot> SlotTable::acquire(UpstreamId upstream, TimePoint deadline, TimePoint now)
{
    const auto found = hosts_.find(upstream);
    if (found == hosts_.end()) {
        return std::nullopt;
    }
    Host &host = found->second;
    if (ownFree(host, now) > 0) {
        ++host.ownInUse;
        return AcquiredSlot { upstream, host.incarnation, 0 };
    }
    for (Lease &lease : host.borrowed) {
        if (lease.expiresAt >= deadline && lease.expiresAt > now && lease.inUse < lease.count) {
            ++lease.inUse;
            return AcquiredSlot { upstream, host.incarnation, leaseName(lease.nonce) };
        }
    }
    return std::nullopt;
}

void SlotTable::release(const AcquiredSlot &slot)
{
    const auto found = hosts_.find(slot.upstream);
    if (found == hosts_.end() || found->second.incarnation != slot.incarnation) {
        return;
    }
    Host &host = found->second;
    if (slot.lease == 0) {
        host.ownInUse -= host.ownInUse > 0 ? 1 : 0;
        return;
    }
    const auto name = [](const Lease &lease) { return leaseName(lease.nonce); };
    const auto lease = std::ranges::find(host.borrowed, slot.lease, name);
    if (lease != host.borrowed.end() && lease->inUse > 0) {
        --lease->inUse;
    }
}

const std::vector<UpstreamId> &SlotTable::upstreamsWithSlots(ServiceId service) const
{
    static const std::vector<UpstreamId> none;
    const auto found = byService_.find(service);
    return found == byService_.end() ? none : found->second;
}

bool SlotTable::isRenewal(VmId from, const SlotLease &request, TimePoint now) const
{
    const auto found = hosts_.find(request.upstream);
    if (found == hosts_.end() || found->second.incarnation != request.upstreamIncarnation) {
        return false;
    }
    return std::ranges::any_of(found->second.lent, [&](const Loan &loan) {
        return loan.to == from && loan.name == leaseName(request.nonce) && loan.expiresAt > now;
    });
}

SlotLeaseReply
SlotTable::lend(VmId from, const SlotLease &request, std::uint32_t maxCount, bool mayRenew, TimePoint now)
{
    SlotLeaseReply reply { request.nonce, request.upstream, 0, leaseTime_ };
    const auto found = hosts_.find(request.upstream);
    const bool known = found != hosts_.end() && found->second.incarnation == request.upstreamIncarnation;
    if (!known || from == self_) {
        return reply;
    }
    Host &host = found->second;
    std::erase_if(host.lent, [&](const Loan &loan) { return loan.expiresAt <= now; });
    const std::uint64_t name = leaseName(request.nonce);
    const auto loan =
        std::ranges::find_if(host.lent, [&](const Loan &item) { return item.to == from && item.name == name; });
    const TimePoint expiresAt = now + leaseTime_ + margin_;
    if (loan != host.lent.end()) {
        std::uint32_t lent = 0;
        for (const Loan &item : host.lent) {
            lent += item.count;
        }
        // If other VMs took over slots of the host, this VM must not extend loans beyond the slots that it still owns.
        if (mayRenew && lent <= ownUsable(host, now)) {
            loan->expiresAt = expiresAt;
            reply.granted = loan->count;
        }
        return reply;
    }
    reply.granted = std::min({ request.count, maxCount, ownFree(host, now) });
    if (reply.granted > 0) {
        host.lent.push_back({ from, name, reply.granted, expiresAt });
    }
    return reply;
}

std::optional<ServiceId> SlotTable::findService(UpstreamId upstream) const
{
    const auto found = hosts_.find(upstream);
    return found == hosts_.end() ? std::nullopt : std::optional(found->second.service);
}

SlotLease
SlotTable::borrow(std::uint64_t nonce, VmId owner, const Upstream &upstream, std::uint32_t count, TimePoint now)
{
    assert(leaseName(nonce) != 0 && (nonce & lastRenewal) == 0);
    pendingRequests_.push_back({ nonce, owner, upstream.id, upstream.incarnation, upstream.service, now });
    return { nonce, upstream.id, upstream.incarnation, count };
}

std::vector<OutgoingMessage> SlotTable::renew(ServiceId service, TimePoint now)
{
    std::vector<OutgoingMessage> messages;
    for (const UpstreamId id : upstreamsWithSlots(service)) {
        Host &host = hosts_.at(id);
        for (Lease &lease : host.borrowed) {
            const bool due =
                lease.expiresAt > now && lease.expiresAt - now < leaseTime_ / 2 && lease.nextRenewal <= now;
            if (!due || (lease.nonce & lastRenewal) == lastRenewal) {
                continue;
            }
            // Each renewal request has its own nonce, because a lease runs from the time when its request was sent: a
            // reply to an earlier request, if matched to a later one, would extend the lease too far.
            ++lease.nonce;
            lease.nextRenewal = now + leaseTime_ / 8;
            pendingRequests_.push_back({ lease.nonce, lease.lender, id, host.incarnation, service, now });
            messages.push_back({ lease.lender, SlotLease { lease.nonce, id, host.incarnation, lease.count } });
        }
    }
    return messages;
}

std::optional<SlotGrant> SlotTable::handleReply(VmId from, const SlotLeaseReply &reply, TimePoint now)
{
    const auto request = std::ranges::find(pendingRequests_, reply.nonce, &PendingRequest::nonce);
    if (request == pendingRequests_.end() || request->owner != from || request->upstream != reply.upstream) {
        return std::nullopt;
    }
    const PendingRequest pending = *request;
    pendingRequests_.erase(request);
    const TimePoint expiresAt = pending.sentAt + std::min(reply.validFor, leaseTime_);
    if (reply.granted == 0 || expiresAt <= now) {
        return SlotGrant { pending.service, 0 };
    }
    Host &host = hosts_[pending.upstream];
    if (host.lastSeenInView == 0) {
        host.incarnation = pending.incarnation;
        host.service = pending.service;
        host.lastSeenInView = viewCount_;
    }
    if (host.incarnation != pending.incarnation) {
        return SlotGrant { pending.service, 0 };
    }
    const auto sameName = [&](const Lease &lease) { return leaseName(lease.nonce) == leaseName(reply.nonce); };
    const auto renewed = std::ranges::find_if(host.borrowed, sameName);
    if (renewed != host.borrowed.end()) {
        renewed->expiresAt = std::max(renewed->expiresAt, expiresAt);
        return SlotGrant { pending.service, reply.granted };
    }
    host.borrowed.push_back({ from, reply.nonce, {}, reply.granted, 0, expiresAt });
    std::vector<UpstreamId> &hosts = byService_[host.service];
    if (std::ranges::find(hosts, pending.upstream) == hosts.end()) {
        hosts.push_back(pending.upstream);
        std::ranges::sort(hosts);
    }
    return SlotGrant { pending.service, reply.granted };
}

std::size_t SlotTable::pendingRequests(TimePoint now)
{
    std::erase_if(pendingRequests_,
                  [&](const PendingRequest &request) { return now - request.sentAt > requestTimeout; });
    return pendingRequests_.size();
}

void SlotTable::notifySuspension()
{
    suspended_ = true;
    pendingRequests_.clear();
    for (auto &[id, host] : hosts_) {
        host.borrowed.clear();
    }
}

std::uint32_t SlotTable::inUse(UpstreamId upstream) const
{
    const auto found = hosts_.find(upstream);
    if (found == hosts_.end()) {
        return 0;
    }
    std::uint32_t used = found->second.ownInUse;
    for (const Lease &lease : found->second.borrowed) {
        used += lease.inUse;
    }
    return used;
}

std::uint32_t SlotTable::usable(ServiceId service, TimePoint now) const
{
    std::uint32_t count = 0;
    for (const UpstreamId id : upstreamsWithSlots(service)) {
        const Host &host = hosts_.at(id);
        count += host.ownInUse + ownFree(host, now);
        for (const Lease &lease : host.borrowed) {
            count += lease.expiresAt > now ? lease.count : 0;
        }
    }
    return count;
}

std::uint32_t SlotTable::ownNotLent(ServiceId service, TimePoint now) const
{
    std::uint32_t count = 0;
    for (const UpstreamId id : upstreamsWithSlots(service)) {
        const Host &host = hosts_.at(id);
        count += host.ownInUse + ownFree(host, now);
    }
    return count;
}

void SlotTable::expire(TimePoint now)
{
    for (auto &[id, host] : hosts_) {
        std::erase_if(host.borrowed, [&](const Lease &lease) { return lease.expiresAt <= now; });
        std::erase_if(host.lent, [&](const Loan &loan) { return loan.expiresAt <= now; });
    }
}

} // namespace boragelug
