#include "routing/flow_router_impl.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <array>

namespace boragelug
{
namespace
{

/// How long a copy may be used without the primary; the primary holds a reused key at least as long.
constexpr FlowTick copyLease = toTicks(std::chrono::seconds(30));
/// copyLease and the time that a hint may travel.
constexpr FlowTick keyQuarantine = toTicks(std::chrono::seconds(35));
/// How often the primary refreshes the other owners with a packet of the flow.
constexpr FlowTick refreshInterval = toTicks(std::chrono::seconds(60));
/// A primary of this long has seen every flow that isn't idle, so it places unknown UDP flows without asking.
constexpr FlowTick settledAfter = toTicks(std::chrono::seconds(300));
constexpr std::uint8_t redirectsBeforeHint = 16;
/// Lookups, the way back to the primary, and all VMs of a replication list; more is a loop.
constexpr std::uint8_t maxRedirects = 20;

bool contains(std::span<const VmId> vms, VmId vm)
{
    return std::ranges::find(vms, vm) != vms.end();
}

} // namespace

RoutingDecision FlowRouter::Impl::route(const PacketFacts &facts, TimePoint now)
{
    if (!view_) {
        return refuse(RefuseReason::NoView);
    }
    const std::uint32_t bucket = OwnerTable::bucketOf(facts.key);
    table_.prefetch(facts.key);
    owners_.prefetch(bucket);
    const AddressBook::Slot address = addresses_.find(facts.entry);
    if (address == AddressBook::none) {
        return refuse(RefuseReason::UnknownEntry);
    }
    Packet packet { facts, {}, now, toTicks(now.time_since_epoch()), bucket, address, addresses_.at(address) };
    packet.option.origin = self();
    if (facts.redirected) {
        packet.option = facts.option;
        if (packet.option.vmCount > RedirectOption::maxVms || packet.option.hops > maxRedirects
            || packet.option.origin.value == 0) {
            return refuse(RefuseReason::BadOption);
        }
        if (packet.option.phase == RedirectPhase::Replicate) {
            return record(packet);
        }
    }
    return facts.starts == FlowStart::Yes ? routeStart(packet) : routeLater(packet);
}

RoutingDecision FlowRouter::Impl::routeStart(Packet &packet)
{
    RedirectOption &option = packet.option;
    const VmId primary = actingPrimary(packet.bucket);
    const bool decides = primary == self() || contains(option.list(), primary)
        || option.hops >= RedirectOption::maxLookups || option.has(RedirectAsk);
    if (!decides) {
        return redirectLookup(packet, primary, 0);
    }
    if (const Slot slot = table_.find(packet.facts.key); slot != FlowTable::none) {
        if (auto decision = startOnKnown(packet, slot)) {
            return *decision;
        }
    }
    if (option.has(RedirectAsk) && option.vmCount > 0) {
        const VmId asker = option.list().back();
        if (asker != self() && reachable(asker)) {
            return redirectLookup(packet, asker, RedirectNotFound);
        }
    }
    const VmId previous = previousPrimary(packet.bucket, packet.now);
    if (!option.has(RedirectNotFound) && option.hops < RedirectOption::maxLookups && previous.value != 0
        && previous != self() && reachable(previous) && !contains(option.list(), previous)) {
        return redirectLookup(packet, previous, RedirectAsk);
    }
    return place(packet);
}

/// Decides on a SYN for a known key; nothing if the key may be placed as a new flow.
std::optional<RoutingDecision> FlowRouter::Impl::startOnKnown(Packet &packet, Slot slot)
{
    FlowEntry &entry = table_.at(slot);
    const RegisteredUpstream &upstream = upstreams_.at(entry.upstream);
    const bool lately = packet.tick < entry.lastSeen + keyQuarantine;
    const bool sameService = upstream.service == packet.entry.service;
    if (!sameService && entry.state == FlowState::Established && lately) {
        return refuse(RefuseReason::ServiceMismatch);
    }
    const bool takesNew =
        sameService && upstream.standing == UpstreamStanding::Listed && upstream.state == UpstreamState::Active;
    if (!takesNew) {
        // Copies of the last flow may be in use until their lease ends, so the key can't go elsewhere yet.
        const bool lives =
            upstream.standing == UpstreamStanding::Listed || upstream.standing == UpstreamStanding::Unknown;
        if (sameService && lives && lately && entry.state != FlowState::HalfOpen) {
            return refuse(RefuseReason::FlowInUse);
        }
        erase(slot);
        return std::nullopt;
    }
    // The same upstream again: right for a repeated SYN, and for a reused port it keeps copies valid.
    if (entry.state == FlowState::Ended) {
        setState(slot, FlowState::HalfOpen, packet.tick);
    }
    table_.touch(slot, packet.tick);
    if (isActingPrimary(packet.bucket)) {
        entry.address = packet.address;
        count(entry);
    }
    const VmId asker = packet.option.vmCount > 0 ? packet.option.list().back() : VmId {};
    return replicate(packet, slot, 0, packet.option.has(RedirectAsk) ? asker : VmId {});
}

RoutingDecision FlowRouter::Impl::routeLater(Packet &packet)
{
    if (const Slot slot = table_.find(packet.facts.key); slot != FlowTable::none) {
        if (auto decision = sendKnown(packet, slot)) {
            return *decision;
        }
    }
    if (packet.facts.starts == FlowStart::Unknown) {
        const bool settled =
            isActingPrimary(packet.bucket) && packet.tick >= owners_.primarySince(packet.bucket) + settledAfter;
        if (settled || packet.option.has(RedirectNotFound)) {
            return packet.option.choice ? exhausted(packet) : place(packet);
        }
    }
    return lookUpFurther(packet);
}

std::optional<RoutingDecision> FlowRouter::Impl::sendKnown(Packet &packet, Slot slot)
{
    const RegisteredUpstream &upstream = upstreams_.at(table_.at(slot).upstream);
    if (upstream.service != packet.entry.service) {
        return refuse(RefuseReason::ServiceMismatch);
    }
    if (upstream.standing == UpstreamStanding::Gone || upstream.standing == UpstreamStanding::Replaced) {
        return refuseOrForget(packet, slot);
    }
    if (upstream.standing == UpstreamStanding::Unknown) {
        return sendUnlisted(packet, slot);
    }
    table_.touch(slot, packet.tick);
    if (packet.facts.starts == FlowStart::Unknown) {
        table_.at(slot).datagram = true;
    }
    return isActingPrimary(packet.bucket) ? sendAsPrimary(packet, slot) : sendFromCopy(packet, slot);
}

/// The upstream is gone: its TCP flows are, too, while UDP flows may start again elsewhere.
std::optional<RoutingDecision> FlowRouter::Impl::refuseOrForget(Packet &packet, Slot slot)
{
    const FlowEntry &entry = table_.at(slot);
    const bool gone = upstreams_.at(entry.upstream).standing == UpstreamStanding::Gone;
    // Copies don't count, so that a broken flow is counted once in the fleet.
    if (entry.counted && entry.state == FlowState::Established) {
        ++counters_.broken;
        setState(slot, FlowState::Ended, packet.tick);
    }
    if (packet.facts.starts == FlowStart::Unknown) {
        erase(slot);
        return std::nullopt;
    }
    return refuse(gone ? RefuseReason::UpstreamGone : RefuseReason::UpstreamReplaced);
}

/// The upstream isn't in this VM's view yet: another owner may know its address.
RoutingDecision FlowRouter::Impl::sendUnlisted(Packet &packet, Slot slot)
{
    const FlowEntry &entry = table_.at(slot);
    if (isActingPrimary(packet.bucket)) {
        return replicate(packet, slot, 0, {});
    }
    packet.option.choice = upstreams_.at(entry.upstream).choice;
    const VmId next = packet.option.hops < RedirectOption::maxLookups ? nextLookup(packet) : VmId {};
    return next.value == 0 ? refuse(RefuseReason::UpstreamUnknown) : redirectLookup(packet, next, 0);
}

RoutingDecision FlowRouter::Impl::sendAsPrimary(Packet &packet, Slot slot)
{
    FlowEntry &entry = table_.at(slot);
    entry.address = entry.counted ? entry.address : packet.address;
    bool refresh =
        entry.confirmedAt <= owners_.changedAt(packet.bucket) || packet.tick >= entry.confirmedAt + refreshInterval;
    if (packet.facts.ends && entry.state != FlowState::Ended) {
        setState(slot, FlowState::Ended, packet.tick);
        refresh = true;
    } else if (entry.state == FlowState::HalfOpen) {
        setState(slot, FlowState::Established, packet.tick);
        refresh = true;
    }
    if (entry.state != FlowState::Ended) {
        count(entry);
    }
    if (packet.option.vmCount > 0) {
        noteRedirect(packet, entry);
    }
    return refresh ? replicate(packet, slot, 0, {}) : send(upstreams_.at(entry.upstream), false, false);
}

RoutingDecision FlowRouter::Impl::sendFromCopy(Packet &packet, Slot slot)
{
    FlowEntry &entry = table_.at(slot);
    const RedirectOption &option = packet.option;
    if (option.vmCount > 0) {
        // Found by a lookup: the VM that was asked first is the primary in some view and lacks the entry.
        const VmId first = option.vms[0] == option.origin && option.vmCount > 1 ? option.vms[1] : option.vms[0];
        return replicate(packet, slot, 0, first);
    }
    const bool confirm =
        packet.facts.ends || entry.state == FlowState::HalfOpen || packet.tick >= entry.confirmedAt + copyLease;
    const VmId primary = actingPrimary(packet.bucket);
    if (!confirm) {
        return send(upstreams_.at(entry.upstream), false, false);
    }
    entry.confirmedAt = packet.tick;
    packet.option.choice = upstreams_.at(entry.upstream).choice;
    if (packet.facts.ends) {
        setState(slot, FlowState::Ended, packet.tick);
    }
    return redirectLookup(packet, primary, 0);
}

RoutingDecision FlowRouter::Impl::lookUpFurther(Packet &packet)
{
    const VmId next = packet.option.hops < RedirectOption::maxLookups ? nextLookup(packet) : VmId {};
    return next.value == 0 ? exhausted(packet) : redirectLookup(packet, next, 0);
}

/// No VM that could know the flow does.
RoutingDecision FlowRouter::Impl::exhausted(Packet &packet)
{
    if (packet.option.choice) {
        // A copy that is still in use somewhere beats a guess.
        packet.option.vmCount = 0;
        packet.option.phase = RedirectPhase::Replicate;
        const auto upstream = upstreams_.resolve(packet.option.choice, packet.entry.service);
        if (upstreams_.at(upstream).standing != UpstreamStanding::Listed) {
            return refuse(RefuseReason::UpstreamUnknown);
        }
        if (upstreams_.at(upstream).service != packet.entry.service) {
            return refuse(RefuseReason::ServiceMismatch);
        }
        const Slot slot = recordChoice(packet, table_.find(packet.facts.key), upstream);
        return replicate(packet, slot, 0, {});
    }
    if (packet.facts.starts == FlowStart::No) {
        return guess(packet);
    }
    const VmId primary = actingPrimary(packet.bucket);
    if (primary == self() || packet.option.has(RedirectNotFound)) {
        return place(packet);
    }
    return redirectLookup(packet, primary, RedirectNotFound);
}

RoutingDecision FlowRouter::Impl::guess(const Packet &packet)
{
    // Owners behind a partition may know the flow; a wrong guess would make the upstream reset it.
    if (view_->unconfirmed || zoneUnreachable_) {
        return refuse(RefuseReason::InDoubt);
    }
    if (packet.entry.moved) {
        return refuse(RefuseReason::EntryMoved);
    }
    const std::size_t first = packet.entry.firstHost;
    std::optional<std::size_t> best;
    for (std::size_t i = first; i < first + packet.entry.hostCount; ++i) {
        const std::uint64_t key = packet.facts.key.value;
        if (!best || rendezvousScore(key, hosts_[i].id.value) > rendezvousScore(key, hosts_[*best].id.value)) {
            best = i;
        }
    }
    if (!best) {
        return refuse(RefuseReason::NoUpstream);
    }
    return send(upstreams_.at(hostSlots_[*best]), true, false);
}

/// The next VM on the lookup chain that hasn't had the packet; id 0 at its end.
VmId FlowRouter::Impl::nextLookup(const Packet &packet)
{
    const OwnerTable &owners = owners_.current();
    const auto fits = [&](VmId vm) {
        return vm.value != 0 && vm != self() && reachable(vm) && !contains(packet.option.list(), vm);
    };
    const ZoneId near = zoneOf(packet.option.origin);
    const std::array<VmId, 4> firsts { owners.primary(packet.bucket),
                                       previousPrimary(packet.bucket, packet.now),
                                       owners.secondary(packet.bucket),
                                       owners.zoneOwner(packet.bucket, near) };
    for (const VmId vm : firsts) {
        if (fits(vm)) {
            return vm;
        }
    }
    for (const ZoneId zone : owners.zones()) {
        if (const VmId vm = owners.zoneOwner(packet.bucket, zone); fits(vm)) {
            return vm;
        }
    }
    return {};
}

/// Queues a hint for a VM that keeps redirecting this flow, or a repair for one that holds another choice.
void FlowRouter::Impl::noteRedirect(const Packet &packet, FlowEntry &entry)
{
    const VmId origin = packet.option.origin;
    if (origin == self()) {
        return;
    }
    const UpstreamChoice &own = upstreams_.at(entry.upstream).choice;
    if (packet.option.choice && packet.option.choice != own) {
        if (repairs_.size() < repairs_.capacity()) {
            repairs_.push_back({ origin, entry.key, false });
        }
        return;
    }
    const auto tag = static_cast<std::uint8_t>(rendezvousScore(origin.value, 0));
    if (entry.redirector != tag) {
        if (entry.redirects > 0) {
            --entry.redirects;
            return;
        }
        entry.redirector = tag;
    }
    if (entry.redirects < redirectsBeforeHint - 1) {
        ++entry.redirects;
        return;
    }
    if (entry.state != FlowState::Established) {
        return;
    }
    entry.redirects = 0;
    if (hints_.size() < hints_.capacity()) {
        hints_.push_back({ origin, entry.key, true });
    }
}

} // namespace boragelug
