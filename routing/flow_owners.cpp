#include "routing/flow_router_impl.h"

#include <algorithm>

namespace boragelug
{
namespace
{

RefuseReason reasonOf(PlacementFailure failure)
{
    switch (failure) {
    case PlacementFailure::NoUpstream:
        return RefuseReason::NoUpstream;
    case PlacementFailure::NoCapacity:
        return RefuseReason::NoCapacity;
    case PlacementFailure::ViewUnconfirmed:
        break;
    }
    return RefuseReason::ViewUnconfirmed;
}

} // namespace

RoutingDecision FlowRouter::Impl::place(Packet &packet)
{
    RoutedAddress &address = addresses_.at(packet.address);
    if (address.share.openFlows != 0 && address.openFlows >= address.share.openFlows) {
        return refuse(RefuseReason::FlowLimit);
    }
    if (address.share.newFlowsPerSecond > 0 && !address.newFlows.take(1, packet.now)) {
        return refuse(RefuseReason::RateLimit);
    }
    PlacementRequest request;
    request.key = packet.attributes.key;
    request.localZone = zoneOf(packet.option.origin);
    request.prefer = address.prefer;
    request.allowSpill = address.allowSpill;
    request.viewUnconfirmed = view_->unconfirmed;
    if (request.viewUnconfirmed) {
        request.localZone = view_->selfZone;
    }
    request.slowStart = address.slowStart;
    request.placingVms = owners_.current().candidates().size();
    request.now = packet.now;
    const auto hosts = std::span(hosts_).subspan(address.firstHost, address.hostCount);
    const auto placement = placeFlow(hosts, request);
    if (!placement) {
        return refuse(reasonOf(placement.lastReason()));
    }
    ++counters_.placed;
    counters_.spilled += placement->spilled ? 1 : 0;
    if (const Slot old = table_.find(packet.attributes.key); old != FlowTable::none) {
        erase(old);
    }
    const UpstreamRegistry::Slot upstream = hostSlots_[address.firstHost + placement->host];
    const Slot slot = insert(packet.attributes.key, upstream, FlowState::HalfOpen, packet.tick);
    FlowEntry &entry = table_.at(slot);
    entry.address = packet.address;
    entry.datagram = packet.attributes.flowStart == FlowStart::Unknown;
    count(entry);
    return replicate(packet, slot, RedirectPlaced, previousPrimary(packet.bucket, packet.now));
}

/// Sends the packet to the upstream through the VMs that have to record the flow, including @p querier if it isn't 0.
RoutingDecision FlowRouter::Impl::replicate(const Packet &packet, Slot slot, std::uint8_t flags, VmId querier)
{
    FlowEntry &entry = table_.at(slot);
    const RegisteredUpstream &upstream = upstreams_.at(entry.upstream);
    entry.confirmedAt = packet.tick;
    RedirectOption option;
    option.phase = RedirectPhase::Replicate;
    option.flags = flags;
    option.hops = packet.option.hops;
    option.origin = self();
    option.choice = upstream.choice;
    if (querier.value != 0 && querier != self()) {
        option.vms[option.vmCount++] = querier;
    }
    addOwners(packet, upstream, option);
    ++counters_.replicated;
    return forwardToNext(packet, option, slot);
}

void FlowRouter::Impl::addOwners(const Packet &packet, const RegisteredUpstream &upstream, RedirectOption &option)
{
    const OwnerTable &owners = owners_.current();
    const auto add = [&](VmId vm) {
        const auto list = option.list();
        if (vm.value == 0 || vm == self() || option.vmCount >= RedirectOption::maxVms
            || std::ranges::find(list, vm) != list.end()) {
            return;
        }
        option.vms[option.vmCount++] = vm;
    };
    VmId third = owners.zoneOwner(packet.bucket, upstream.zone);
    if (third.value == 0) {
        // The upstream's zone has no VM besides primary and secondary, so the third-ranked VM of all zones holds the
        // copy instead. Lookups query it too.
        third = owners.third(packet.bucket);
    }
    add(owners.primary(packet.bucket));
    if (packet.entry.prefer == Preference::FlowContinuity || third.value == 0) {
        add(owners.secondary(packet.bucket));
    }
    add(third);
}

/// Records the choice that the packet carries and forwards the packet.
RoutingDecision FlowRouter::Impl::handleReplication(Packet &packet)
{
    if (!packet.option.choice) {
        return refuse(RefuseReason::BadOption);
    }
    const UpstreamRegistry::Slot upstream = upstreams_.resolve(packet.option.choice, packet.entry.service);
    const RegisteredUpstream &registered = upstreams_.at(upstream);
    if (registered.service != packet.entry.service) {
        return refuse(RefuseReason::ServiceMismatch);
    }
    if (registered.presence == UpstreamPresence::Removed) {
        return refuse(RefuseReason::UpstreamRemoved);
    }
    if (registered.presence == UpstreamPresence::Replaced) {
        return refuse(RefuseReason::UpstreamReplaced);
    }
    RedirectOption option = packet.option;
    Slot slot = table_.find(packet.attributes.key);
    if (!option.has(RedirectReturned) || slot == FlowTable::none) {
        slot = recordChoice(packet, slot, upstream);
    }
    option.choice = upstreams_.at(table_.at(slot).upstream).choice;
    const auto list = option.list();
    const auto ownPosition = std::ranges::find(list, self());
    const auto visitedCount = ownPosition == list.end() ? 0 : static_cast<std::uint8_t>(ownPosition - list.begin() + 1);
    std::shift_left(option.vms.begin(), option.vms.begin() + option.vmCount, visitedCount);
    option.vmCount = static_cast<std::uint8_t>(option.vmCount - visitedCount);
    return forwardToNext(packet, option, slot);
}

FlowRouter::Impl::Slot FlowRouter::Impl::recordChoice(Packet &packet, Slot slot, UpstreamRegistry::Slot upstream)
{
    const bool placed = packet.option.has(RedirectPlaced);
    const bool opensFlow = placed || packet.attributes.flowStart == FlowStart::Yes;
    const FlowState state = packet.attributes.endsFlow ? FlowState::Ended
        : opensFlow                                    ? FlowState::HalfOpen
                                                       : FlowState::Established;
    const bool isPrimary = isActingPrimary(packet.bucket);
    if (slot == FlowTable::none) {
        slot = insert(packet.attributes.key, upstream, state, packet.tick);
    } else {
        FlowEntry &entry = table_.at(slot);
        const bool keepsUpstream = isPrimary && !placed && entry.state == FlowState::Established
            && upstreams_.at(entry.upstream).presence == UpstreamPresence::Listed;
        if (!keepsUpstream && entry.upstream != upstream) {
            setUpstream(entry, upstream);
            setState(slot, state, packet.tick);
        } else if (!opensFlow || entry.state == FlowState::Ended) {
            setState(slot, state, packet.tick);
        }
        table_.touch(slot, packet.tick);
    }
    FlowEntry &entry = table_.at(slot);
    entry.confirmedAt = packet.tick;
    entry.datagram = packet.attributes.flowStart == FlowStart::Unknown;
    if (isPrimary && entry.state != FlowState::Ended) {
        entry.address = entry.counted ? entry.address : packet.address;
        count(entry);
    }
    return slot;
}

/// Forwards the packet to the next reachable VM in the list, or to the upstream if there is none. If this VM's view
/// doesn't list the upstream, returns the packet to the VM that chose it.
RoutingDecision FlowRouter::Impl::forwardToNext(const Packet &packet, RedirectOption option, Slot slot)
{
    const bool placed = option.origin == self() && option.has(RedirectPlaced);
    while (option.vmCount > 0 && (option.vms[0] == self() || !reachable(option.vms[0]))) {
        std::shift_left(option.vms.begin(), option.vms.begin() + option.vmCount, 1);
        --option.vmCount;
    }
    VmId target = option.vmCount > 0 ? option.vms[0] : VmId {};
    const RegisteredUpstream &upstream = upstreams_.at(table_.at(slot).upstream);
    if (target.value == 0) {
        if (upstream.presence == UpstreamPresence::Listed) {
            return send(upstream, false, placed);
        }
        if (option.has(RedirectReturned) || option.origin == self() || !reachable(option.origin)) {
            return refuse(RefuseReason::UpstreamUnknown);
        }
        option.flags |= RedirectReturned;
        target = option.origin;
    }
    std::fill(option.vms.begin() + option.vmCount, option.vms.end(), VmId {});
    option.hops = static_cast<std::uint8_t>(packet.option.hops + 1);
    ++counters_.redirected;
    return RedirectToVm { target, peers_.at(target).packetEndpoint, option, placed };
}

RoutingDecision FlowRouter::Impl::redirectLookup(const Packet &packet, VmId target, std::uint8_t flags)
{
    RedirectOption option = packet.option;
    option.phase = RedirectPhase::Lookup;
    option.flags = flags;
    ++option.hops;
    if (option.vmCount < RedirectOption::maxVms) {
        option.vms[option.vmCount++] = self();
    }
    ++counters_.redirected;
    return RedirectToVm { target, peers_.at(target).packetEndpoint, option, false };
}

RoutingDecision FlowRouter::Impl::send(const RegisteredUpstream &upstream, bool hashFallback, bool placed)
{
    ++counters_.sent;
    counters_.hashFallbacks += hashFallback ? 1 : 0;
    return SendToUpstream { upstream.choice.upstream, upstream.tunnelEndpoint, upstream.service, hashFallback, placed };
}

RoutingDecision FlowRouter::Impl::refuse(RefuseReason reason)
{
    ++counters_.refused[static_cast<std::size_t>(reason)];
    return RefusePacket { reason };
}

FlowRouter::Impl::Slot
FlowRouter::Impl::insert(FlowKey key, UpstreamRegistry::Slot upstream, FlowState state, FlowTick tick)
{
    const FlowTable::Change change = table_.insert(key, state, tick);
    handleEviction(change.evicted);
    FlowEntry &entry = table_.at(change.slot);
    entry.upstream = upstream;
    entry.confirmedAt = tick;
    ++upstreams_.at(upstream).references;
    return change.slot;
}

void FlowRouter::Impl::setState(Slot slot, FlowState state, FlowTick tick)
{
    handleEviction(table_.setState(slot, state, tick).evicted);
    if (state == FlowState::Ended) {
        uncount(table_.at(slot));
    }
}

void FlowRouter::Impl::setUpstream(FlowEntry &entry, UpstreamRegistry::Slot upstream)
{
    releaseUpstream(entry);
    entry.counted = false;
    entry.upstream = upstream;
    ++upstreams_.at(upstream).references;
}

void FlowRouter::Impl::erase(Slot slot)
{
    releaseUpstream(table_.at(slot));
    table_.erase(slot);
}

void FlowRouter::Impl::releaseUpstream(const FlowEntry &entry)
{
    FlowEntry copy = entry;
    uncount(copy);
    --upstreams_.at(entry.upstream).references;
}

void FlowRouter::Impl::handleEviction(const std::optional<FlowEntry> &entry)
{
    if (!entry) {
        return;
    }
    ++(entry->state == FlowState::Established ? counters_.evictedEstablished : counters_.evictedTransient);
    releaseUpstream(*entry);
}

void FlowRouter::Impl::count(FlowEntry &entry)
{
    if (entry.counted) {
        return;
    }
    entry.counted = true;
    ++primaryFlows_;
    adjustFlows(entry.upstream, 1);
    if (entry.address != AddressTable::none) {
        ++addresses_.at(entry.address).openFlows;
    }
}

void FlowRouter::Impl::uncount(FlowEntry &entry)
{
    if (!entry.counted) {
        return;
    }
    entry.counted = false;
    --primaryFlows_;
    adjustFlows(entry.upstream, -1);
    if (entry.address != AddressTable::none) {
        --addresses_.at(entry.address).openFlows;
    }
}

void FlowRouter::Impl::adjustFlows(std::uint32_t upstream, int difference)
{
    RegisteredUpstream &registered = upstreams_.at(upstream);
    registered.primaryFlows = static_cast<std::uint32_t>(static_cast<int>(registered.primaryFlows) + difference);
    if (upstream < hostOfUpstream_.size() && hostOfUpstream_[upstream] >= 0) {
        hosts_[static_cast<std::size_t>(hostOfUpstream_[upstream])].ownFlows = registered.primaryFlows;
    }
}

} // namespace boragelug
