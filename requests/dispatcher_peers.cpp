#include "requests/dispatcher_state.h"
#include "requests/upstream_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragelug
{

namespace
{

/// Rate limit of one VM's lease requests: ten per second of about 100 bytes each take a quarter of the control budget.
constexpr double leaseRequestsPerSecond = 10.0;
constexpr double leaseRequestBurst = 8.0;
constexpr std::size_t maxPendingRequests = 4;
constexpr std::uint32_t maxSlotsPerRequest = 2;
/// Maximum number of lease requests of peers that wait for a free slot, and their timeout.
constexpr std::size_t maxWaitingLeases = 8;
constexpr auto leaseWaitTimeout = std::chrono::milliseconds(500);
constexpr auto initialBorrowBackoff = std::chrono::milliseconds(20);
constexpr auto maxBorrowBackoff = std::chrono::seconds(1);
/// Weight of the newest interval in the smoothed demand of an entry.
constexpr double demandWeight = 0.5;
/// Maximum number of items of one report, at 24 bytes each in a datagram of 1,200 bytes.
constexpr std::size_t maxReportItems = 40;
/// Probability of asking a VM that owns more than its fair share. Otherwise, the owner of a random slot is asked,
/// because that slot may be idle.
constexpr double surplusProbability = 0.7;
/// Maximum number of random choices of a lender in one call of borrowSlots.
constexpr int maxLenderChoices = 4;

/// Index range of a service's upstreams in the view, which is sorted by service.
std::pair<std::size_t, std::size_t> upstreamRange(const View &view, ServiceId service)
{
    const auto key = [](const UpstreamStatus &status) { return status.upstream.service; };
    const auto first = std::ranges::lower_bound(view.upstreams, service, {}, key);
    const auto last = std::ranges::upper_bound(view.upstreams, service, {}, key);
    return { static_cast<std::size_t>(first - view.upstreams.begin()),
             static_cast<std::size_t>(last - view.upstreams.begin()) };
}

bool mayBorrow(DispatcherState &s, ServiceState &service, TimePoint now)
{
    if (s.view->unconfirmed || s.suspended || now < service.nextBorrow) {
        return false;
    }
    if (!s.leaseBudget) {
        s.leaseBudget.emplace(leaseRequestsPerSecond, leaseRequestBurst, now);
    }
    return s.slots.pendingRequests(now) < maxPendingRequests;
}

/// Whether slots in other zones may be requested: spilling is allowed and the expected wait is long enough.
bool maySpill(const DispatcherState &s, ServiceId id, TimePoint now)
{
    const bool allowed = std::ranges::any_of(
        s.entries, [&](const auto &item) { return item.second.service == id && item.second.allowSpill; });
    if (!allowed) {
        return false;
    }
    const ServiceRate rate = serviceRate(s, id, now);
    const auto queued = static_cast<double>(s.services.at(id).queue.size());
    const double wait =
        std::chrono::duration<double>(rate.meanAttemptTime).count() * queued / static_cast<double>(rate.slots);
    return isSpillWorthwhile(wait, std::chrono::duration<double>(s.config.spillLatency).count());
}

/// Randomly chooses a usable upstream and the VM to ask for a slot of it; std::nullopt if the choice is not usable.
std::optional<std::pair<const Upstream *, VmId>>
chooseLender(DispatcherState &s, ServiceId id, const std::vector<SlotVm> &vms, bool spill, TimePoint now)
{
    // VMs of the zone that own more than the fair share reserve the excess for those that own less.
    const auto &surplus = s.slots.surplusSlots(id);
    const UpstreamStatus *status = nullptr;
    VmId owner = s.self;
    const bool selfBelowFairShare = s.slots.ownedSlots(id, s.self) < s.services.at(id).fairShareOfSlots;
    if (selfBelowFairShare && !surplus.empty() && s.random.chance(surplusProbability)) {
        const auto &[upstream, vm] = surplus[s.random.below(surplus.size())];
        status = findUpstream(s, id, upstream);
        owner = vm;
    } else if (const auto [first, last] = upstreamRange(*s.view, id); first != last) {
        status = &s.view->upstreams[first + s.random.below(last - first)];
        const auto slot = static_cast<std::uint32_t>(s.random.below(s.services.at(id).slotsPerHost));
        owner = slotOwner(vms, status->upstream.id, status->upstream.zone, slot);
    }
    if (status == nullptr || owner == s.self || status->upstream.state != UpstreamState::Active) {
        return std::nullopt;
    }
    const bool local = status->upstream.zone == s.view->selfZone;
    const bool allowed = (local || spill) && s.health.use(*status, now) == UpstreamUse::Full;
    return allowed ? std::optional(std::pair(&status->upstream, owner)) : std::nullopt;
}

/// Number of slots to request: up to the number of queued requests, or one if all usable slots are in use and are fewer
/// than the fair share.
std::uint32_t slotsWanted(const DispatcherState &s, ServiceId id, TimePoint now)
{
    const ServiceState &service = s.services.at(id);
    const auto queued = static_cast<std::uint32_t>(service.queue.size());
    if (queued > 0) {
        return std::min({ queued, maxSlotsPerRequest, service.slotsPerHost });
    }
    const std::uint32_t usable = s.slots.usable(id, now);
    const bool busy = recentPeakUse(service, now) >= static_cast<double>(usable);
    return busy && usable < service.fairShareOfSlots ? 1 : 0;
}

void updateBorrowBackoff(ServiceState &service, bool granted, TimePoint now)
{
    const Duration doubled = std::clamp<Duration>(2 * service.borrowBackoff, initialBorrowBackoff, maxBorrowBackoff);
    service.borrowBackoff = granted ? Duration {} : doubled;
    service.nextBorrow = now + service.borrowBackoff;
}

void handleLeaseReply(DispatcherState &s, VmId from, const SlotLeaseReply &reply, TimePoint now, RequestActions &out)
{
    const auto granted = s.slots.handleReply(from, reply, now);
    if (!granted) {
        return;
    }
    const auto service = s.services.find(granted->service);
    if (service == s.services.end()) {
        return;
    }
    updateBorrowBackoff(service->second, granted->count > 0, now);
    s.counters.leasesBorrowed += granted->count;
    if (service->second.queue.size() > 0) {
        dispatchQueued(s, granted->service, now, out);
    }
}

/// Number of slots of a service that may be lent to @p to at @p now. Slots that this VM owns beyond its fair share are
/// reserved for VMs of the zone that own less than theirs, because the fabric distributes requests evenly but
/// hashing does not distribute slots evenly. Further slots may be lent to any VM, but only while no request is queued
/// here. Besides the reserved slots, this VM then keeps the larger of its recent peak use plus one and three quarters
/// of its fair share.
std::uint32_t lendableSlots(const DispatcherState &s, ServiceId id, VmId to, TimePoint now)
{
    const auto service = s.services.find(id);
    if (!s.view || s.view->unconfirmed || s.suspended || s.drainDeadline || service == s.services.end()) {
        return 0;
    }
    const std::uint32_t fairShare = service->second.fairShareOfSlots;
    const std::uint32_t ownedByPeer = s.slots.ownedSlots(id, to);
    const bool belowFairShare = ownedByPeer > 0 && ownedByPeer < fairShare;
    // Borrowed slots don't count: a VM that lent its own slots in return would have none when its leases expire.
    const std::uint32_t notLent = s.slots.ownNotLent(id, now);
    const std::uint32_t committed = fairShare + s.slots.lentBelowFairShare(id, fairShare, now);
    const std::uint32_t ownedBySelf = s.slots.ownedSlots(id, s.self);
    const std::uint32_t reserved = std::min(notLent, ownedBySelf - std::min(ownedBySelf, committed));
    const std::uint32_t reservedForPeer = belowFairShare ? std::min(reserved, fairShare - ownedByPeer) : 0;
    if (service->second.queue.size() > 0) {
        return reservedForPeer;
    }
    const auto used = static_cast<std::uint32_t>(std::ceil(recentPeakUse(service->second, now)));
    const std::uint32_t unavailable = std::max(used + 1, (3 * fairShare + 3) / 4) + reserved;
    return reservedForPeer + notLent - std::min(notLent, unavailable);
}

/// Whether a loan to @p to may be extended. While no request is queued here, any loan may be. Otherwise, only loans to
/// VMs that own less than their fair share, and only if this VM owns at least its fair share plus all such loans.
bool mayRenew(const DispatcherState &s, UpstreamId upstream, VmId to, TimePoint now)
{
    const auto id = s.slots.findService(upstream);
    const auto service = id ? s.services.find(*id) : s.services.end();
    if (!s.view || s.view->unconfirmed || s.suspended || s.drainDeadline || service == s.services.end()) {
        return false;
    }
    const std::uint32_t fairShare = service->second.fairShareOfSlots;
    const std::uint32_t ownedByPeer = s.slots.ownedSlots(*id, to);
    const bool belowFairShare = ownedByPeer > 0 && ownedByPeer < fairShare;
    const bool keepsFairShare =
        fairShare + s.slots.lentBelowFairShare(*id, fairShare, now) <= s.slots.ownedSlots(*id, s.self);
    return service->second.queue.size() == 0 || (belowFairShare && keepsFairShare);
}

void replyToLease(
    DispatcherState &s, VmId from, const SlotLease &lease, std::uint32_t maxCount, TimePoint now, RequestActions &out)
{
    const SlotLeaseReply reply = s.slots.lend(from, lease, maxCount, mayRenew(s, lease.upstream, from, now), now);
    s.counters.leasesGranted += reply.granted;
    out.emplace_back(OutgoingMessage { from, reply });
}

void handleLease(DispatcherState &s, VmId from, const SlotLease &lease, TimePoint now, RequestActions &out)
{
    const auto service = s.slots.findService(lease.upstream);
    const std::uint32_t maxCount = service ? lendableSlots(s, *service, from, now) : 0;
    const bool freeNow = s.slots.available(lease.upstream, now, now) > 0;
    const bool shouldWait = maxCount > 0 && !freeNow && !s.slots.isRenewal(from, lease, now);
    if (shouldWait && s.waitingLeases.size() < maxWaitingLeases) {
        s.waitingLeases.push_back({ from, lease, *service, now + leaseWaitTimeout });
        return;
    }
    replyToLease(s, from, lease, maxCount, now, out);
}

} // namespace

double recentPeakUse(const ServiceState &service, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - service.peakAt).count();
    return std::max(static_cast<double>(service.inUse), service.peakUse * std::exp2(-std::max(0.0, age)));
}

namespace
{

/// Requests the renewal of leases if they are still needed.
void renewLeases(DispatcherState &s, ServiceId id, TimePoint now, RequestActions &out)
{
    const ServiceState &service = s.services.at(id);
    const std::uint32_t usable = s.slots.usable(id, now);
    const bool needed = service.queue.size() > 0 || recentPeakUse(service, now) + 1.0 >= static_cast<double>(usable);
    if (!needed || s.suspended || s.view->unconfirmed) {
        return;
    }
    for (OutgoingMessage &message : s.slots.renew(id, now)) {
        out.emplace_back(std::move(message));
    }
}

} // namespace

void borrowSlots(DispatcherState &s, ServiceId id, TimePoint now, RequestActions &out)
{
    renewLeases(s, id, now, out);
    ServiceState &service = s.services.at(id);
    const std::uint32_t count = slotsWanted(s, id, now);
    if (count == 0 || service.slotsPerHost == 0 || !mayBorrow(s, service, now)) {
        return;
    }
    const std::vector<SlotVm> vms = slotVms(*s.view);
    const bool spill = vms.size() > 1 && maySpill(s, id, now);
    for (int i = 0; i < maxLenderChoices; ++i) {
        const auto lender = chooseLender(s, id, vms, spill, now);
        if (!lender) {
            continue;
        }
        if (!s.leaseBudget->take(1.0, now)) {
            return;
        }
        const auto [upstream, owner] = *lender;
        // The lower byte counts renewals; the other bits name the lease.
        const std::uint64_t nonce = (s.random.next() | 256U) & ~std::uint64_t { 255 };
        out.emplace_back(OutgoingMessage { owner, s.slots.borrow(nonce, owner, *upstream, count, now) });
        service.nextBorrow = now + initialBorrowBackoff;
        return;
    }
}

void serveWaitingLeases(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out)
{
    for (std::size_t i = 0; i < s.waitingLeases.size();) {
        const WaitingLease waiting = s.waitingLeases[i];
        const std::uint32_t maxCount = waiting.service == service ? lendableSlots(s, service, waiting.from, now) : 0;
        if (maxCount == 0 || s.slots.available(waiting.lease.upstream, now, now) == 0) {
            ++i;
            continue;
        }
        s.waitingLeases.erase(s.waitingLeases.begin() + static_cast<std::ptrdiff_t>(i));
        replyToLease(s, waiting.from, waiting.lease, maxCount, now, out);
    }
}

void expireWaitingLeases(DispatcherState &s, TimePoint now, RequestActions &out)
{
    std::erase_if(s.waitingLeases, [&](const WaitingLease &waiting) {
        if (waiting.expiresAt <= now) {
            replyToLease(s, waiting.from, waiting.lease, 0, now, out);
        }
        return waiting.expiresAt <= now;
    });
}

void handlePeerMessage(DispatcherState &s, VmId from, const PeerMessage &message, TimePoint now, RequestActions &out)
{
    if (const auto *lease = std::get_if<SlotLease>(&message)) {
        handleLease(s, from, *lease, now, out);
    } else if (const auto *reply = std::get_if<SlotLeaseReply>(&message)) {
        handleLeaseReply(s, from, *reply, now, out);
    } else if (const auto *report = std::get_if<DemandReport>(&message); report != nullptr && s.shares) {
        s.shares->handleReport(from, *report, now);
    }
}

void reportDemand(DispatcherState &s, TimePoint now, RequestActions &out)
{
    if (!s.shares || now < s.nextDemand) {
        return;
    }
    const bool first = s.nextDemand == TimePoint {};
    s.nextDemand = now + s.config.demandInterval;
    DemandReport report;
    const double seconds = std::chrono::duration<double>(s.config.demandInterval).count();
    for (auto &[address, entry] : s.entries) {
        if (entry.limits.requestsPerSecond == 0) {
            continue;
        }
        const double rate = static_cast<double>(entry.arrivals) / seconds;
        entry.demand = first ? 0.0 : entry.demand + demandWeight * (rate - entry.demand);
        entry.arrivals = 0;
        report.items.push_back({ entry.nameHash, entry.demand, 0.0 });
    }
    // If there are too many entries, those with the highest demand are reported, which gain most from the shares of
    // other VMs. Sorting also makes the report independent of the hash map's order.
    std::ranges::sort(report.items, [](const auto &a, const auto &b) {
        return std::pair(-a.requestsPerSecond, a.entryHash) < std::pair(-b.requestsPerSecond, b.entryHash);
    });
    report.items.resize(std::min(report.items.size(), maxReportItems));
    if (report.items.empty()) {
        return;
    }
    for (OutgoingMessage &message : s.shares->reportDemand(report, now)) {
        out.emplace_back(std::move(message));
    }
}

} // namespace boragelug
