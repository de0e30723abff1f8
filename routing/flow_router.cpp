#include "routing/flow_router.h"

#include "routing/flow_router_impl.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace boragelug
{
namespace
{

/// Capacity of each queue of records for peers; a tick can't send more, so further records would arrive too late.
constexpr std::size_t maxPending = 256;

} // namespace

FlowRouter::Impl::Impl(const FlowRouterSettings &settings)
    : table_(settings.maxFlows, settings.seed)
{
    repairs_.reserve(maxPending);
    hints_.reserve(maxPending);
}

void FlowRouter::Impl::applyView(std::shared_ptr<const View> view, TimePoint now)
{
    assert(view);
    view_ = std::move(view);
    addresses_.applyView(view_->catalogue);
    upstreams_.applyView(view_->upstreams);
    applyHosts(now);
    applyMembers(now);
}

void FlowRouter::Impl::applyMembers(TimePoint now)
{
    absl::flat_hash_map<std::uint16_t, const std::string *> regions;
    for (const Zone &zone : view_->catalogue.zones) {
        regions.emplace(zone.id.value, &zone.region);
    }
    const auto ownRegion = regions.find(view_->selfZone.value);
    const auto isInOwnRegion = [&](ZoneId zone) {
        const auto found = regions.find(zone.value);
        return found == regions.end() || ownRegion == regions.end() || *found->second == *ownRegion->second;
    };
    const auto formerPeers = std::exchange(peers_, {});
    absl::flat_hash_map<std::uint16_t, bool> zoneHasLiveVm { { view_->selfZone.value, true } };
    std::vector<OwnerCandidate> candidates;
    bool isLeaving = false;
    for (const Member &member : view_->members) {
        const Vm &vm = member.vm;
        if (vm.id == self()) {
            isLeaving = vm.state == VmState::Leaving;
            continue;
        }
        if (!isInOwnRegion(vm.zone)) {
            continue;
        }
        peers_.emplace(vm.id, Peer { vm.zone, vm.packetEndpoint, member.health });
        zoneHasLiveVm[vm.zone.value] |= member.health == MemberHealth::Alive;
        if (member.health != MemberHealth::Dead && vm.state == VmState::Live) {
            candidates.push_back({ vm.id, vm.zone });
        }
    }
    zoneUnreachable_ = std::ranges::any_of(zoneHasLiveVm, [](const auto &zone) { return !zone.second; });
    if (!isLeaving || candidates.empty()) {
        const OwnerCandidate ownCandidate { self(), view_->selfZone };
        candidates.insert(std::ranges::upper_bound(candidates, ownCandidate.id, {}, &OwnerCandidate::id), ownCandidate);
    }
    const auto formerOwners = owners_.currentPointer();
    owners_.apply(std::move(candidates), self(), now);
    if (owners_.currentPointer() == formerOwners && peers_ == formerPeers) {
        return;
    }
    actsAsPrimary_.resize(OwnerTable::bucketCount);
    for (std::uint32_t bucket = 0; bucket < OwnerTable::bucketCount; ++bucket) {
        actsAsPrimary_[bucket] = actingPrimary(bucket) == self();
    }
    if (!handedOverOwners_) {
        handedOverOwners_ = owners_.currentPointer();
    }
    handoverCursor_ = 0;
}

void FlowRouter::Impl::applyHosts(TimePoint now)
{
    absl::flat_hash_map<std::uint32_t, const Service *> services;
    for (const Service &service : view_->catalogue.services) {
        services.emplace(service.id.value, &service);
    }
    hosts_.clear();
    hostSlots_.clear();
    std::uint32_t slotEnd = 0;
    absl::flat_hash_map<std::uint32_t, std::pair<std::uint32_t, std::uint32_t>> ranges;
    for (const UpstreamStatus &status : view_->upstreams) {
        const Upstream &upstream = status.upstream;
        const auto slot = upstreams_.resolve({ upstream.id, upstream.incarnation }, upstream.service);
        const auto service = services.find(upstream.service.value);
        PlacementHost host;
        host.id = upstream.id;
        host.zone = upstream.zone;
        host.state = upstream.state;
        host.usable = status.usable;
        host.capacity = service == services.end() ? 0 : service->second->connectionsPerHost;
        host.ownFlows = upstreams_.at(slot).primaryFlows;
        host.workPerFlow = upstreams_.at(slot).workPerFlow;
        host.workPerFlowAsOf = upstreams_.at(slot).workPerFlowAsOf;
        host.activeSince = status.activeSince;
        if (status.load.incarnation == upstream.incarnation) {
            host.report = status.load;
        }
        auto &range = ranges.try_emplace(upstream.service.value, hosts_.size(), 0).first->second;
        ++range.second;
        hosts_.push_back(host);
        hostSlots_.push_back(slot);
        slotEnd = std::max(slotEnd, slot + 1);
    }
    for (const auto &[service, range] : ranges) {
        updateWorkPerFlow(std::span(hosts_).subspan(range.first, range.second), now);
    }
    hostOfUpstream_.assign(slotEnd, -1);
    for (std::size_t i = 0; i < hostSlots_.size(); ++i) {
        upstreams_.at(hostSlots_[i]).workPerFlow = hosts_[i].workPerFlow;
        upstreams_.at(hostSlots_[i]).workPerFlowAsOf = hosts_[i].workPerFlowAsOf;
        hostOfUpstream_[hostSlots_[i]] = static_cast<std::int32_t>(i);
    }
    for (RoutedAddress &address : addresses_.all()) {
        const auto range = ranges.find(address.service.value);
        address.firstHost = range == ranges.end() ? 0 : range->second.first;
        address.hostCount = range == ranges.end() ? 0 : range->second.second;
    }
}

RoutingGauges FlowRouter::Impl::gauges() const
{
    RoutingGauges gauges;
    gauges.flows = table_.size();
    gauges.establishedFlows = table_.establishedSize();
    gauges.primaryFlows = primaryFlows_;
    gauges.tableBytes = table_.memoryBytes();
    if (handedOverOwners_ != owners_.currentPointer()) {
        gauges.handoverProgress = static_cast<double>(handoverCursor_) / static_cast<double>(table_.capacity());
    }
    return gauges;
}

bool FlowRouter::Impl::reachable(VmId vm) const
{
    if (vm == self()) {
        return true;
    }
    const auto found = peers_.find(vm);
    return found != peers_.end() && found->second.health == MemberHealth::Alive;
}

VmId FlowRouter::Impl::actingPrimary(std::uint32_t bucket) const
{
    const OwnerTable &owners = owners_.current();
    if (const VmId primary = owners.primary(bucket); reachable(primary)) {
        return primary;
    }
    if (const VmId secondary = owners.secondary(bucket); secondary.value != 0 && reachable(secondary)) {
        return secondary;
    }
    const VmId third = owners.third(bucket);
    return third.value != 0 && reachable(third) ? third : self();
}

VmId FlowRouter::Impl::previousPrimary(std::uint32_t bucket, TimePoint now)
{
    const OwnerTable *previous = owners_.previous(now);
    return previous == nullptr ? VmId {} : previous->primary(bucket);
}

ZoneId FlowRouter::Impl::zoneOf(VmId vm) const
{
    const auto found = peers_.find(vm);
    return vm == self() || found == peers_.end() ? view_->selfZone : found->second.zone;
}

FlowRouter::FlowRouter(const FlowRouterSettings &settings)
    : impl_(std::make_unique<Impl>(settings))
{ }

FlowRouter::~FlowRouter() = default;
FlowRouter::FlowRouter(FlowRouter &&) noexcept = default;
FlowRouter &FlowRouter::operator=(FlowRouter &&) noexcept = default;

void FlowRouter::applyView(std::shared_ptr<const View> view, TimePoint now)
{
    impl_->applyView(std::move(view), now);
}

void FlowRouter::setEntryShare(const Endpoint &entry, const EntryShare &share, TimePoint now)
{
    impl_->addresses_.setShare(entry, share, now);
}

RoutingDecision FlowRouter::route(const PacketAttributes &attributes, TimePoint now)
{
    return impl_->route(attributes, now);
}

void FlowRouter::receive(const FlowEntries &entries, VmId from, TimePoint now)
{
    impl_->receive(entries, from, now);
}

std::vector<OutgoingMessage> FlowRouter::tick(TimePoint now, std::size_t byteBudget)
{
    return impl_->tick(now, byteBudget);
}

std::size_t FlowRouter::handoverRemaining() const
{
    return impl_->handoverRemaining();
}

std::uint32_t FlowRouter::primaryFlowsOn(UpstreamId upstream) const
{
    return impl_->upstreams_.primaryFlowsOn(upstream);
}

const RoutingCounters &FlowRouter::counters() const
{
    return impl_->counters_;
}

RoutingGauges FlowRouter::gauges() const
{
    return impl_->gauges();
}

} // namespace boragelug
