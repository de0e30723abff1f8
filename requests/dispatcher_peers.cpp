#include "requests/dispatcher_state.h"
#include "requests/upstream_choice.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace boragelug
{

namespace
{

/// Lease requests of one VM to others: ten per second at about 100 bytes take a quarter of the control budget.
constexpr double leaseRequestsPerSecond = 10.0;
constexpr double leaseRequestBurst = 8.0;
constexpr std::size_t maxPendingRequests = 4;
constexpr std::uint32_t maxSlotsPerRequest = 2;
/// Lease requests that wait for a slot to become free, and for how long.
constexpr std::size_t maxWaitingLeases = 8;
constexpr auto longestLeaseWait = std::chrono::milliseconds(500);
constexpr auto firstBorrowPause = std::chrono::milliseconds(20);
constexpr auto longestBorrowPause = std::chrono::seconds(1);
/// Weight of the newest interval in the demand of an entry.
constexpr double demandWeight = 0.5;
/// Items of one report: 24 bytes each in a datagram of 1,200 bytes.
constexpr std::size_t maxReportItems = 40;
/// Share of draws among VMs that own more than the fair share; the others find slots that are idle by chance.
constexpr double surplusShare = 0.7;
/// Tries to find a host with a lender before giving up until the next pump.
constexpr int borrowTries = 4;

/// Active hosts of a service: the run of the sorted list.
std::pair<std::size_t, std::size_t> hostRange(const View &view, ServiceId service)
{
    const auto key = [](const UpstreamStatus &status) { return status.upstream.service; };
    const auto first = std::ranges::lower_bound(view.upstreams, service, {}, key);
    const auto last = std::ranges::upper_bound(view.upstreams, service, {}, key);
    return { static_cast<std::size_t>(first - view.upstreams.begin()),
             static_cast<std::size_t>(last - view.upstreams.begin()) };
}

bool borrowWaitsOver(DispatcherState &s, ServiceState &service, TimePoint now)
{
    if (s.view->inDoubt || s.suspended || now < service.nextBorrow) {
        return false;
    }
    if (!s.leaseBudget) {
        s.leaseBudget.emplace(leaseRequestsPerSecond, leaseRequestBurst, now);
    }
    return s.slots.pendingRequests(now) < maxPendingRequests;
}

/// Whether a host in another zone is worth asking for.
bool maySpillNow(const DispatcherState &s, ServiceId id, TimePoint now)
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

/// A usable host and the VM to ask for a slot of it; nothing if this draw found none.
std::optional<std::pair<const Upstream *, VmId>>
drawLender(DispatcherState &s, ServiceId id, const std::vector<SlotVm> &vms, bool spill, TimePoint now)
{
    // VMs of the zone that own more than the fair share keep what exceeds it for those that own less.
    const auto &surplus = s.slots.surplusSlots(id);
    const UpstreamStatus *status = nullptr;
    VmId owner = s.self;
    const bool below = s.slots.ownedSlots(id, s.self) < s.services.at(id).fairShareOfSlots;
    if (below && !surplus.empty() && s.random.chance(surplusShare)) {
        const auto &[upstream, vm] = surplus[s.random.below(surplus.size())];
        status = findUpstream(s, id, upstream);
        owner = vm;
    } else if (const auto [first, last] = hostRange(*s.view, id); first != last) {
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

/// Slots to ask for: as many as requests wait, or one if this VM is busy with less than its fair share.
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

void noteBorrowResult(ServiceState &service, bool granted, TimePoint now)
{
    const Duration doubled = std::clamp<Duration>(2 * service.borrowBackoff, firstBorrowPause, longestBorrowPause);
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
    noteBorrowResult(service->second, granted->count > 0, now);
    s.counters.leasesBorrowed += granted->count;
    if (service->second.queue.size() > 0) {
        dispatchQueued(s, granted->service, now, out);
    }
}

/// Slots of a service that may be lent now to @p to. What this VM owns beyond its fair share is kept for VMs of the
/// zone that own less than theirs: the fabric spreads requests evenly, but hashing doesn't spread slots so. Others may
/// get slots only while no request waits here, and not those in recent use or the last three quarters of the fair
/// share.
std::uint32_t lendable(const DispatcherState &s, ServiceId id, VmId to, TimePoint now)
{
    const auto service = s.services.find(id);
    if (!s.view || s.view->inDoubt || s.suspended || s.drainUntil || service == s.services.end()) {
        return 0;
    }
    const std::uint32_t fair = service->second.fairShareOfSlots;
    const std::uint32_t theirs = s.slots.ownedSlots(id, to);
    const bool needy = theirs > 0 && theirs < fair;
    // Borrowed slots don't count: lending own ones on their strength would leave this VM without any when they end.
    const std::uint32_t own = s.slots.ownNotLent(id, now);
    const std::uint32_t given = fair + s.slots.lentBelowFairShare(id, fair, now);
    const std::uint32_t owned = s.slots.ownedSlots(id, s.self);
    const std::uint32_t reserved = std::min(own, owned - std::min(owned, given));
    const std::uint32_t forNeedy = needy ? std::min(reserved, fair - theirs) : 0;
    if (service->second.queue.size() > 0) {
        return forNeedy;
    }
    const auto used = static_cast<std::uint32_t>(std::ceil(recentPeakUse(service->second, now)));
    const std::uint32_t kept = std::max(used + 1, (3 * fair + 3) / 4) + reserved;
    return forNeedy + own - std::min(own, kept);
}

/// A loan is extended while no request waits here. Otherwise only loans to VMs that own less than their fair share,
/// and only while all of those together leave this VM its own.
bool mayRenew(const DispatcherState &s, UpstreamId upstream, VmId to, TimePoint now)
{
    const auto id = s.slots.findService(upstream);
    const auto service = id ? s.services.find(*id) : s.services.end();
    if (!s.view || s.view->inDoubt || s.suspended || s.drainUntil || service == s.services.end()) {
        return false;
    }
    const std::uint32_t fair = service->second.fairShareOfSlots;
    const std::uint32_t theirs = s.slots.ownedSlots(*id, to);
    const bool needy = theirs > 0 && theirs < fair;
    const bool keepsFair = fair + s.slots.lentBelowFairShare(*id, fair, now) <= s.slots.ownedSlots(*id, s.self);
    return service->second.queue.size() == 0 || (needy && keepsFair);
}

void replyToLease(
    DispatcherState &s, VmId from, const SlotLease &lease, std::uint32_t most, TimePoint now, RequestActions &out)
{
    const SlotLeaseReply reply = s.slots.lend(from, lease, most, mayRenew(s, lease.upstream, from, now), now);
    s.counters.leasesGranted += reply.granted;
    out.emplace_back(OutgoingMessage { from, reply });
}

void handleLease(DispatcherState &s, VmId from, const SlotLease &lease, TimePoint now, RequestActions &out)
{
    const auto service = s.slots.findService(lease.upstream);
    const std::uint32_t most = service ? lendable(s, *service, from, now) : 0;
    const bool freeNow = s.slots.available(lease.upstream, now, now) > 0;
    const bool waits = most > 0 && !freeNow && !s.slots.isRenewal(from, lease, now);
    if (waits && s.waitingLeases.size() < maxWaitingLeases) {
        s.waitingLeases.push_back({ from, lease, *service, now + longestLeaseWait });
        return;
    }
    replyToLease(s, from, lease, most, now, out);
}

} // namespace

double recentPeakUse(const ServiceState &service, TimePoint now)
{
    const double age = std::chrono::duration<double>(now - service.peakAt).count();
    return std::max(static_cast<double>(service.inUse), service.peakUse * std::exp2(-std::max(0.0, age)));
}

namespace
{

/// Extends leases that are still needed.
void renewLeases(DispatcherState &s, ServiceId id, TimePoint now, RequestActions &out)
{
    const ServiceState &service = s.services.at(id);
    const std::uint32_t usable = s.slots.usable(id, now);
    const bool needed = service.queue.size() > 0 || recentPeakUse(service, now) + 1.0 >= static_cast<double>(usable);
    if (!needed || s.suspended || s.view->inDoubt) {
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
    if (count == 0 || service.slotsPerHost == 0 || !borrowWaitsOver(s, service, now)) {
        return;
    }
    const std::vector<SlotVm> vms = slotVms(*s.view);
    const bool spill = vms.size() > 1 && maySpillNow(s, id, now);
    for (int i = 0; i < borrowTries; ++i) {
        const auto lender = drawLender(s, id, vms, spill, now);
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
        service.nextBorrow = now + firstBorrowPause;
        return;
    }
}

void serveWaitingLeases(DispatcherState &s, ServiceId service, TimePoint now, RequestActions &out)
{
    for (std::size_t i = 0; i < s.waitingLeases.size();) {
        const WaitingLease waiting = s.waitingLeases[i];
        const std::uint32_t most = waiting.service == service ? lendable(s, service, waiting.from, now) : 0;
        if (most == 0 || s.slots.available(waiting.lease.upstream, now, now) == 0) {
            ++i;
            continue;
        }
        s.waitingLeases.erase(s.waitingLeases.begin() + static_cast<std::ptrdiff_t>(i));
        replyToLease(s, waiting.from, waiting.lease, most, now, out);
    }
}

void expireWaitingLeases(DispatcherState &s, TimePoint now, RequestActions &out)
{
    std::erase_if(s.waitingLeases, [&](const WaitingLease &waiting) {
        if (waiting.until <= now) {
            replyToLease(s, waiting.from, waiting.lease, 0, now, out);
        }
        return waiting.until <= now;
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
    // The busiest entries gain most from shares of others; the order also makes the report independent of hashing.
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
