#include "routing/flow_router_impl.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <array>

namespace boragelug
{
namespace
{

/// How long a VM may use its copy of a flow entry without confirmation by the primary. For at least as long after the
/// last packet of a flow, the primary doesn't place its key on another upstream.
constexpr FlowTick copyLease = toTicks(std::chrono::seconds(30));
/// How long after the last packet of a flow its key isn't placed on another upstream: copyLease plus the time that a
/// hint may take to arrive.
constexpr FlowTick keyQuarantine = toTicks(std::chrono::seconds(35));
/// Interval after which the primary uses the next packet of a flow to replicate its entry to the other owners again.
constexpr FlowTick refreshInterval = toTicks(std::chrono::seconds(60));
/// A VM that has been primary for this long has received packets of every flow that isn't idle, so it places unknown
/// UDP flows without querying other VMs.
constexpr FlowTick primarySettlingTime = toTicks(std::chrono::seconds(300));
constexpr std::uint8_t redirectsBeforeHint = 16;
/// Covers the lookups, the return to the primary and all VMs of a replication list; a packet with more redirects is in
/// a loop.
constexpr std::uint8_t maxRedirects = 20;

bool contains(std::span<const VmId> vms, VmId vm)
{
    return std::ranges::find(vms, vm) != vms.end();
}

} // namespace

RoutingDecision FlowRouter::Impl::route(const PacketAttributes &attributes, TimePoint now)
{
    if (!view_) {
        return refuse(RefuseReason::NoView);
    }
    const std::uint32_t bucket = OwnerTable::bucketOf(attributes.key);
    table_.prefetch(attributes.key);
    owners_.prefetch(bucket);
    const AddressTable::Slot address = addresses_.find(attributes.entry);
    if (address == AddressTable::none) {
        return refuse(RefuseReason::UnknownEntry);
    }
    Packet packet { attributes, {}, now, toTicks(now.time_since_epoch()), bucket, address, addresses_.at(address) };
    packet.option.origin = self();
    if (attributes.redirected) {
        packet.option = attributes.option;
        if (packet.option.vmCount > RedirectOption::maxVms || packet.option.hops > maxRedirects
            || packet.option.origin.value == 0) {
            return refuse(RefuseReason::BadOption);
        }
        if (packet.option.phase == RedirectPhase::Replicate) {
            return handleReplication(packet);
        }
    }
    return attributes.flowStart == FlowStart::Yes ? routeSyn(packet) : routeNonSyn(packet);
}

/// Redirects a SYN to the acting primary, which queries the previous primary, if any, before it places the flow.
RoutingDecision FlowRouter::Impl::routeSyn(Packet &packet)
{
    RedirectOption &option = packet.option;
    const VmId primary = actingPrimary(packet.bucket);
    const bool decidesHere = primary == self() || contains(option.list(), primary)
        || option.hops >= RedirectOption::maxLookups || option.has(RedirectQuery);
    if (!decidesHere) {
        return redirectLookup(packet, primary, 0);
    }
    if (const Slot slot = table_.find(packet.attributes.key); slot != FlowTable::none) {
        if (auto decision = routeSynOfKnownFlow(packet, slot)) {
            return *decision;
        }
    }
    if (option.has(RedirectQuery) && option.vmCount > 0) {
        const VmId querier = option.list().back();
        if (querier != self() && reachable(querier)) {
            return redirectLookup(packet, querier, RedirectNotFound);
        }
    }
    const VmId previous = previousPrimary(packet.bucket, packet.now);
    if (!option.has(RedirectNotFound) && option.hops < RedirectOption::maxLookups && previous.value != 0
        && previous != self() && reachable(previous) && !contains(option.list(), previous)) {
        return redirectLookup(packet, previous, RedirectQuery);
    }
    return place(packet);
}

/// Decides on a SYN whose key is in the table; std::nullopt if the key may be placed as a new flow.
std::optional<RoutingDecision> FlowRouter::Impl::routeSynOfKnownFlow(Packet &packet, Slot slot)
{
    FlowEntry &entry = table_.at(slot);
    const RegisteredUpstream &upstream = upstreams_.at(entry.upstream);
    const bool recentlyActive = packet.tick < entry.lastSeen + keyQuarantine;
    const bool sameService = upstream.service == packet.entry.service;
    if (!sameService && entry.state == FlowState::Established && recentlyActive) {
        return refuse(RefuseReason::ServiceMismatch);
    }
    const bool acceptsNewFlows =
        sameService && upstream.presence == UpstreamPresence::Listed && upstream.state == UpstreamState::Active;
    if (!acceptsNewFlows) {
        // Copies of the previous flow may be used until their lease expires, so the key can't be placed on another
        // upstream yet.
        const bool upstreamMayRun =
            upstream.presence == UpstreamPresence::Listed || upstream.presence == UpstreamPresence::NotYetListed;
        if (sameService && upstreamMayRun && recentlyActive && entry.state != FlowState::HalfOpen) {
            return refuse(RefuseReason::FlowInUse);
        }
        erase(slot);
        return std::nullopt;
    }
    // The upstream is kept: a retransmitted SYN must go to the same one, and if the port is reused, the copies of the
    // previous flow stay valid.
    if (entry.state == FlowState::Ended) {
        setState(slot, FlowState::HalfOpen, packet.tick);
    }
    table_.touch(slot, packet.tick);
    if (isActingPrimary(packet.bucket)) {
        entry.address = packet.address;
        count(entry);
    }
    const VmId querier = packet.option.vmCount > 0 ? packet.option.list().back() : VmId {};
    return replicate(packet, slot, 0, packet.option.has(RedirectQuery) ? querier : VmId {});
}

RoutingDecision FlowRouter::Impl::routeNonSyn(Packet &packet)
{
    if (const Slot slot = table_.find(packet.attributes.key); slot != FlowTable::none) {
        if (auto decision = routeKnownFlow(packet, slot)) {
            return *decision;
        }
    }
    if (packet.attributes.flowStart == FlowStart::Unknown) {
        const bool primarySettled =
            isActingPrimary(packet.bucket) && packet.tick >= owners_.primarySince(packet.bucket) + primarySettlingTime;
        if (primarySettled || packet.option.has(RedirectNotFound)) {
            return packet.option.choice ? handleExhaustedLookup(packet) : place(packet);
        }
    }
    return continueLookup(packet);
}

/// Decides on a packet other than a SYN whose key is in the table; std::nullopt if the entry has been erased.
std::optional<RoutingDecision> FlowRouter::Impl::routeKnownFlow(Packet &packet, Slot slot)
{
    const RegisteredUpstream &upstream = upstreams_.at(table_.at(slot).upstream);
    if (upstream.service != packet.entry.service) {
        return refuse(RefuseReason::ServiceMismatch);
    }
    if (upstream.presence == UpstreamPresence::Removed || upstream.presence == UpstreamPresence::Replaced) {
        return refuseOrErase(packet, slot);
    }
    if (upstream.presence == UpstreamPresence::NotYetListed) {
        return routeToNotYetListedUpstream(packet, slot);
    }
    table_.touch(slot, packet.tick);
    if (packet.attributes.flowStart == FlowStart::Unknown) {
        table_.at(slot).datagram = true;
    }
    return isActingPrimary(packet.bucket) ? sendAsPrimary(packet, slot) : sendFromCopy(packet, slot);
}

/// Handles a flow whose upstream was removed or replaced: refuses packets of a TCP flow; erases a UDP flow and returns
/// std::nullopt, so that it can be placed again.
std::optional<RoutingDecision> FlowRouter::Impl::refuseOrErase(Packet &packet, Slot slot)
{
    const FlowEntry &entry = table_.at(slot);
    const bool removed = upstreams_.at(entry.upstream).presence == UpstreamPresence::Removed;
    // Only the primary counts a broken flow, so that it is counted once in the fleet.
    if (entry.counted && entry.state == FlowState::Established) {
        ++counters_.broken;
        setState(slot, FlowState::Ended, packet.tick);
    }
    if (packet.attributes.flowStart == FlowStart::Unknown) {
        erase(slot);
        return std::nullopt;
    }
    return refuse(removed ? RefuseReason::UpstreamRemoved : RefuseReason::UpstreamReplaced);
}

/// Forwards a packet whose upstream isn't in this VM's view yet to another owner, whose view may list it.
RoutingDecision FlowRouter::Impl::routeToNotYetListedUpstream(Packet &packet, Slot slot)
{
    const FlowEntry &entry = table_.at(slot);
    if (isActingPrimary(packet.bucket)) {
        return replicate(packet, slot, 0, {});
    }
    packet.option.choice = upstreams_.at(entry.upstream).choice;
    const VmId next = packet.option.hops < RedirectOption::maxLookups ? nextLookupTarget(packet) : VmId {};
    return next.value == 0 ? refuse(RefuseReason::UpstreamUnknown) : redirectLookup(packet, next, 0);
}

RoutingDecision FlowRouter::Impl::sendAsPrimary(Packet &packet, Slot slot)
{
    FlowEntry &entry = table_.at(slot);
    entry.address = entry.counted ? entry.address : packet.address;
    bool needsRefresh =
        entry.confirmedAt <= owners_.changedAt(packet.bucket) || packet.tick >= entry.confirmedAt + refreshInterval;
    if (packet.attributes.endsFlow && entry.state != FlowState::Ended) {
        setState(slot, FlowState::Ended, packet.tick);
        needsRefresh = true;
    } else if (entry.state == FlowState::HalfOpen) {
        setState(slot, FlowState::Established, packet.tick);
        needsRefresh = true;
    }
    if (entry.state != FlowState::Ended) {
        count(entry);
    }
    if (packet.option.vmCount > 0) {
        recordRedirect(packet, entry);
    }
    return needsRefresh ? replicate(packet, slot, 0, {}) : send(upstreams_.at(entry.upstream), false, false);
}

RoutingDecision FlowRouter::Impl::sendFromCopy(Packet &packet, Slot slot)
{
    FlowEntry &entry = table_.at(slot);
    const RedirectOption &option = packet.option;
    if (option.vmCount > 0) {
        // A lookup found this copy. The first VM that it queried is the primary in some view and has no entry, so the
        // choice is replicated to that VM too.
        const VmId firstQueried = option.vms[0] == option.origin && option.vmCount > 1 ? option.vms[1] : option.vms[0];
        return replicate(packet, slot, 0, firstQueried);
    }
    const bool needsConfirmation = packet.attributes.endsFlow || entry.state == FlowState::HalfOpen
        || packet.tick >= entry.confirmedAt + copyLease;
    const VmId primary = actingPrimary(packet.bucket);
    if (!needsConfirmation) {
        return send(upstreams_.at(entry.upstream), false, false);
    }
    entry.confirmedAt = packet.tick;
    packet.option.choice = upstreams_.at(entry.upstream).choice;
    if (packet.attributes.endsFlow) {
        setState(slot, FlowState::Ended, packet.tick);
    }
    return redirectLookup(packet, primary, 0);
}

RoutingDecision FlowRouter::Impl::continueLookup(Packet &packet)
{
    const VmId next = packet.option.hops < RedirectOption::maxLookups ? nextLookupTarget(packet) : VmId {};
    return next.value == 0 ? handleExhaustedLookup(packet) : redirectLookup(packet, next, 0);
}

/// Handles a packet of a flow for which no other VM on the lookup chain has an entry.
RoutingDecision FlowRouter::Impl::handleExhaustedLookup(Packet &packet)
{
    if (packet.option.choice) {
        // The packet carries the choice of a copy that is still in use, which is more reliable than the hash fallback.
        packet.option.vmCount = 0;
        packet.option.phase = RedirectPhase::Replicate;
        const auto upstream = upstreams_.resolve(packet.option.choice, packet.entry.service);
        if (upstreams_.at(upstream).presence != UpstreamPresence::Listed) {
            return refuse(RefuseReason::UpstreamUnknown);
        }
        if (upstreams_.at(upstream).service != packet.entry.service) {
            return refuse(RefuseReason::ServiceMismatch);
        }
        const Slot slot = recordChoice(packet, table_.find(packet.attributes.key), upstream);
        return replicate(packet, slot, 0, {});
    }
    if (packet.attributes.flowStart == FlowStart::No) {
        return sendByHash(packet);
    }
    const VmId primary = actingPrimary(packet.bucket);
    if (primary == self() || packet.option.has(RedirectNotFound)) {
        return place(packet);
    }
    return redirectLookup(packet, primary, RedirectNotFound);
}

RoutingDecision FlowRouter::Impl::sendByHash(const Packet &packet)
{
    // Owners on the other side of a partition may have an entry for the flow; a wrong upstream would reset the flow.
    if (view_->unconfirmed || zoneUnreachable_) {
        return refuse(RefuseReason::ViewUnconfirmed);
    }
    if (packet.entry.serviceChanged) {
        return refuse(RefuseReason::EntryServiceChanged);
    }
    const std::size_t first = packet.entry.firstHost;
    std::optional<std::size_t> best;
    for (std::size_t i = first; i < first + packet.entry.hostCount; ++i) {
        const std::uint64_t key = packet.attributes.key.value;
        if (!best || rendezvousScore(key, hosts_[i].id.value) > rendezvousScore(key, hosts_[*best].id.value)) {
            best = i;
        }
    }
    if (!best) {
        return refuse(RefuseReason::NoUpstream);
    }
    return send(upstreams_.at(hostSlots_[*best]), true, false);
}

/// The next VM on the lookup chain that the packet hasn't visited; id 0 if there is none.
VmId FlowRouter::Impl::nextLookupTarget(const Packet &packet)
{
    const OwnerTable &owners = owners_.current();
    const auto isEligible = [&](VmId vm) {
        return vm.value != 0 && vm != self() && reachable(vm) && !contains(packet.option.list(), vm);
    };
    const ZoneId originZone = zoneOf(packet.option.origin);
    const std::array<VmId, 4> preferred { owners.primary(packet.bucket),
                                          previousPrimary(packet.bucket, packet.now),
                                          owners.secondary(packet.bucket),
                                          owners.zoneOwner(packet.bucket, originZone) };
    for (const VmId vm : preferred) {
        if (isEligible(vm)) {
            return vm;
        }
    }
    for (const ZoneId zone : owners.zones()) {
        if (const VmId vm = owners.zoneOwner(packet.bucket, zone); isEligible(vm)) {
            return vm;
        }
    }
    return {};
}

/// Queues a hint for a VM that redirects this flow repeatedly, or a repair for a VM whose copy has another choice.
void FlowRouter::Impl::recordRedirect(const Packet &packet, FlowEntry &entry)
{
    const VmId origin = packet.option.origin;
    if (origin == self()) {
        return;
    }
    const UpstreamChoice &ownChoice = upstreams_.at(entry.upstream).choice;
    if (packet.option.choice && packet.option.choice != ownChoice) {
        if (repairs_.size() < repairs_.capacity()) {
            repairs_.push_back({ origin, entry.key, false });
        }
        return;
    }
    const auto originTag = static_cast<std::uint8_t>(rendezvousScore(origin.value, 0));
    if (entry.redirector != originTag) {
        if (entry.redirects > 0) {
            --entry.redirects;
            return;
        }
        entry.redirector = originTag;
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
