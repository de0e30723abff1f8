#include "tests/routing/fleet.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragelug
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration stepLength = milliseconds(50);
/// A flow whose packets have failed for longer counts as broken.
constexpr Duration stallTimeout = seconds(20);
constexpr int maxHops = 24;

Duration toDuration(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

Duration exponential(Random &random, double mean)
{
    return toDuration(-mean * std::log(1 - random.unit()));
}

} // namespace

Fleet::Fleet(const FleetSettings &fleetSettings, RouterFactory factory)
    : settings(fleetSettings)
    , random_(fleetSettings.seed)
    , factory_(std::move(factory))
    , now_(seconds(1000))
{
    catalogue_.services = { { ServiceId { 1 }, "ledger", 3, settings.connectionsPerHost, settings.slowStart },
                            { ServiceId { 2 }, "inspection", 3, settings.connectionsPerHost, settings.slowStart } };
    for (std::uint32_t service = 1; service <= 2; ++service) {
        Entry entry;
        entry.name = { "entry" + std::to_string(service) };
        entry.service = { service };
        entry.address = { { 0x0a000000 + service }, { 80 } };
        entry.prefer = settings.prefer;
        entry.allowSpill = settings.allowSpill;
        catalogue_.entries.push_back(entry);
    }
    const auto zones = static_cast<std::uint16_t>(settings.vmsPerZone.size());
    for (std::uint16_t zone = 1; zone <= zones; ++zone) {
        catalogue_.zones.push_back({ { zone }, "zone" + std::to_string(zone), "region" });
        for (int i = 0; i < settings.hostsPerZone[zone - 1U]; ++i) {
            startHost({ 1 }, zone);
        }
        startHost({ 2 }, zone);
    }
    // Hosts that exist from the start have completed slow start.
    now_ += seconds(100);
    for (std::uint16_t zone = 1; zone <= zones; ++zone) {
        for (int i = 0; i < settings.vmsPerZone[zone - 1U]; ++i) {
            joinVm(zone);
        }
    }
    publish();
    for (VmSlot &vm : vms_) {
        vm.pendingSnapshots.clear();
        vm.snapshot = snapshots_.size() - 1;
        for (const FleetHost &host : hosts_) {
            vm.activeSince[{ host.upstream.id.value }] = now_ - seconds(100);
        }
        refreshView(vm);
    }
    now_ += seconds(20);
}

VmId Fleet::joinVm(std::uint16_t zone)
{
    VmSlot slot;
    slot.vm.id = { mix64(++idNumber_ + settings.seed * 1000) };
    slot.vm.incarnation = { 1 };
    slot.vm.zone = { zone };
    slot.vm.packetEndpoint = { { static_cast<std::uint32_t>(0x0b000000 + idNumber_) }, { 6081 } };
    slot.router = factory_(settings.seed + idNumber_, settings.maxFlows);
    vms_.push_back(std::move(slot));
    return vms_.back().vm.id;
}

void Fleet::leaveVm(std::size_t index)
{
    vms_[index].vm.state = VmState::Leaving;
    vms_[index].exitsAt = now_ + seconds(30);
}

void Fleet::killVm(std::size_t index)
{
    vms_[index].alive = false;
    for (VmSlot &vm : vms_) {
        vm.failureDetectedAt[vms_[index].vm.id] = now_ + milliseconds(700 + random_.below(600));
    }
}

std::size_t Fleet::startHost(ServiceId service, std::uint16_t zone)
{
    FleetHost host;
    host.upstream.id = { ++idNumber_ };
    host.upstream.incarnation = { 1 };
    host.upstream.service = service;
    host.upstream.zone = { zone };
    host.upstream.tunnelEndpoint = { { static_cast<std::uint32_t>(0x0c000000 + idNumber_) }, { 6081 } };
    hosts_.push_back(host);
    hostByEndpoint_[host.upstream.tunnelEndpoint] = hosts_.size() - 1;
    return hosts_.size() - 1;
}

void Fleet::drainHost(std::size_t index)
{
    hosts_[index].upstream.state = UpstreamState::Draining;
}

void Fleet::reuseAddress(std::size_t index, ServiceId service)
{
    hosts_[index].alive = false;
    const Endpoint address = hosts_[index].upstream.tunnelEndpoint;
    const std::size_t next = startHost(service, hosts_[index].upstream.zone.value);
    hostByEndpoint_.erase(hosts_[next].upstream.tunnelEndpoint);
    hosts_[next].upstream.tunnelEndpoint = address;
    hostByEndpoint_[address] = next;
}

void Fleet::partitionZone(std::uint16_t zone)
{
    partitionedZone_ = zone;
    for (VmSlot &vm : vms_) {
        for (const VmSlot &other : vms_) {
            if (!connected(vm, other)) {
                vm.failureDetectedAt[other.vm.id] = now_ + milliseconds(700 + random_.below(600));
            }
        }
    }
}

void Fleet::pauseVm(std::size_t index, Duration duration)
{
    vms_[index].pausedUntil = now_ + duration;
    vms_[index].wasPaused = true;
    for (VmSlot &vm : vms_) {
        vm.failureDetectedAt[vms_[index].vm.id] = now_ + milliseconds(700 + random_.below(600));
    }
}

void Fleet::publish()
{
    ++catalogue_.version.value;
    Snapshot snapshot { now_, catalogue_, {}, {} };
    for (const VmSlot &vm : vms_) {
        if (vm.alive && now_ < vm.exitsAt) {
            snapshot.vms.push_back(vm.vm);
        }
    }
    std::ranges::sort(snapshot.vms, {}, &Vm::id);
    for (const FleetHost &host : hosts_) {
        if (host.alive) {
            snapshot.upstreams.push_back(host.upstream);
        }
    }
    std::ranges::sort(snapshot.upstreams, {}, [](const Upstream &u) { return std::pair(u.service, u.id); });
    snapshots_.push_back(std::move(snapshot));
    for (VmSlot &vm : vms_) {
        if (vm.generation == 0) {
            vm.snapshot = snapshots_.size() - 1;
            refreshView(vm);
            continue;
        }
        const TimePoint last = vm.pendingSnapshots.empty() ? now_ : vm.pendingSnapshots.back().first;
        const TimePoint at = now_ + toDuration(random_.unit() * std::chrono::duration<double>(settings.maxLag).count());
        vm.pendingSnapshots.emplace_back(std::max(last, at), snapshots_.size() - 1);
    }
}

void Fleet::run(Duration duration)
{
    const TimePoint end = now_ + duration;
    while (now_ < end) {
        step();
    }
}

void Fleet::step()
{
    now_ += stepLength;
    ++steps_;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        VmSlot &vm = vms_[i];
        if (!vm.alive || now_ >= vm.exitsAt || now_ < vm.pausedUntil) {
            continue;
        }
        applyPending(vm);
        if (steps_ % 2 == 0) {
            for (const OutgoingMessage &message : vm.router->tick(now_, settings.bytesPerSecond / 10)) {
                const auto &entries = std::get<FlowEntries>(message.message);
                results_.controlBytes += 80 + 40 * entries.records.size();
                const int to = indexOf(message.to);
                if (to >= 0 && connected(vm, vms_[static_cast<std::size_t>(to)])) {
                    vms_[static_cast<std::size_t>(to)].router->receive(entries, vm.vm.id, now_);
                }
            }
        }
    }
    dueFlows_ += settings.newFlowsPerSecond * std::chrono::duration<double>(stepLength).count();
    for (; dueFlows_ >= 1; dueFlows_ -= 1) {
        openFlow();
    }
    for (FleetFlow &flow : flows_) {
        if (now_ >= flow.nextPacket) {
            advanceFlow(flow);
        }
    }
    std::erase_if(flows_, [](const FleetFlow &flow) { return flow.number == 0; });
    if (everyStep) {
        everyStep(*this);
    }
}

void Fleet::applyPending(VmSlot &vm)
{
    if (std::exchange(vm.wasPaused, false)) {
        vm.needsRefresh = true;
        for (VmSlot &other : vms_) {
            other.failureDetectedAt.erase(vm.vm.id);
            other.needsRefresh = true;
        }
    }
    bool changed = std::exchange(vm.needsRefresh, false) || (report && steps_ % 20 == 0);
    while (!vm.pendingSnapshots.empty() && vm.pendingSnapshots.front().first <= now_) {
        vm.snapshot = vm.pendingSnapshots.front().second;
        vm.appliedAt = now_;
        vm.pendingSnapshots.erase(vm.pendingSnapshots.begin());
        changed = true;
    }
    for (const auto &[id, at] : vm.failureDetectedAt) {
        changed = changed || (at <= now_ && at > now_ - 2 * stepLength);
    }
    if (changed) {
        refreshView(vm);
    }
}

void Fleet::refreshView(VmSlot &vm)
{
    const Snapshot &snapshot = snapshots_[vm.snapshot];
    auto view = std::make_shared<View>();
    view->self = vm.vm.id;
    view->selfIncarnation = vm.vm.incarnation;
    view->selfZone = vm.vm.zone;
    view->generation = ++vm.generation;
    view->publishedAt = now_;
    view->unconfirmed = now_ < vm.pausedUntil + seconds(2) && vm.pausedUntil > TimePoint {};
    view->catalogue = snapshot.catalogue;
    for (const Vm &member : snapshot.vms) {
        const auto detected = vm.failureDetectedAt.find(member.id);
        const bool dead = detected != vm.failureDetectedAt.end() && detected->second <= now_;
        view->members.push_back({ member, dead ? MemberHealth::Dead : MemberHealth::Alive, snapshot.at });
    }
    for (const Upstream &upstream : snapshot.upstreams) {
        UpstreamStatus status;
        status.upstream = upstream;
        status.activeSince = vm.activeSince.try_emplace({ upstream.id.value }, now_).first->second;
        if (report) {
            const auto host = std::ranges::find(hosts_, upstream.id, [](const FleetHost &h) { return h.upstream.id; });
            status.load = report(*host, now_);
        }
        view->upstreams.push_back(status);
    }
    vm.router->applyView(std::move(view), now_);
}

void Fleet::openFlow()
{
    FleetFlow flow;
    flow.number = ++flowNumber_;
    const Entry &entry = catalogue_.entries[random_.below(10) == 0 ? 1 : 0];
    flow.entry = entry.address;
    flow.service = entry.service;
    flow.udp = random_.chance(settings.udpFraction);
    flow.weight = weight ? weight(random_) : 1;
    flow.openedAt = now_;
    flow.closesAt = now_ + exponential(random_, settings.meanLifetimeSeconds);
    flow.nextPacket = now_;
    ++results_.opened;
    flows_.push_back(flow);
}

void Fleet::advanceFlow(FleetFlow &flow)
{
    const bool first = flow.host < 0;
    const FlowStart flowStart = flow.udp ? FlowStart::Unknown : (first ? FlowStart::Yes : FlowStart::No);
    const bool endsFlow = !first && !flow.udp && now_ >= flow.closesAt;
    const bool delivered = sendPacket(flow, flowStart, endsFlow);
    if (flow.number == 0) {
        return;
    }
    if (endsFlow || (flow.udp && now_ >= flow.closesAt)) {
        closeFlow(flow);
    } else if (!delivered) {
        flow.nextPacket = now_ + seconds(1);
    } else if (!std::exchange(flow.established, !first)) {
        flow.nextPacket = now_ + milliseconds(1);
    } else {
        // One flow in ten is mostly idle, with a mean interval 15 times as long.
        const double mean = settings.packetIntervalSeconds * (flow.number % 10 == 0 ? 15 : 1);
        flow.nextPacket = std::min(now_ + exponential(random_, mean), std::max(flow.closesAt, now_ + stepLength));
    }
}

void Fleet::closeFlow(FleetFlow &flow)
{
    if (flow.host >= 0) {
        FleetHost &host = hosts_[static_cast<std::size_t>(flow.host)];
        --host.openFlows;
        host.work -= flow.weight;
    }
    flow.number = 0;
}

bool Fleet::sendPacket(FleetFlow &flow, FlowStart flowStart, bool endsFlow, int vm)
{
    if (flow.host >= 0 && !hosts_[static_cast<std::size_t>(flow.host)].alive) {
        closeFlow(flow);
        return false;
    }
    if (vm < 0) {
        // During a partition, a caller reaches only the VMs on the same side as its upstream.
        const int zone = flow.host < 0 ? -1 : hosts_[static_cast<std::size_t>(flow.host)].upstream.zone.value;
        do {
            vm = pickVm();
        } while (partitionedZone_ >= 0 && zone >= 0
                 && (vms_[static_cast<std::size_t>(vm)].vm.zone.value == partitionedZone_)
                     != (zone == partitionedZone_));
    }
    if (forwardPacket(flow, flowStart, endsFlow, vm) == DeliveryResult::Delivered) {
        flow.failingSince = TimePoint::max();
        return true;
    }
    flow.failingSince = std::min(flow.failingSince, now_);
    if (flow.number != 0 && flow.host >= 0 && now_ > flow.failingSince + stallTimeout) {
        breakFlow(flow, true);
    }
    return false;
}

int Fleet::pickVm()
{
    for (;;) {
        const auto index = random_.below(vms_.size());
        const VmSlot &vm = vms_[index];
        const bool detectedDead =
            !vm.alive && vm.failureDetectedAt.contains(vm.vm.id) && vm.failureDetectedAt.at(vm.vm.id) < now_;
        if (!detectedDead && now_ + seconds(25) < vm.exitsAt && vm.generation > 0) {
            return static_cast<int>(index);
        }
    }
}

int Fleet::indexOf(VmId id) const
{
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (vms_[i].vm.id == id) {
            return static_cast<int>(i);
        }
    }
    return -1;
}

bool Fleet::connected(const VmSlot &from, const VmSlot &to) const
{
    return to.alive && now_ < to.exitsAt && now_ >= to.pausedUntil
        && (partitionedZone_ < 0 || (from.vm.zone.value == partitionedZone_) == (to.vm.zone.value == partitionedZone_));
}

ServiceId Fleet::serviceAt(const VmSlot &vm, const Endpoint &entry) const
{
    for (const Entry &known : snapshots_[vm.snapshot].catalogue.entries) {
        if (known.address == entry) {
            return known.service;
        }
    }
    return {};
}

Fleet::DeliveryResult Fleet::forwardPacket(FleetFlow &flow, FlowStart flowStart, bool endsFlow, int vm)
{
    PacketAttributes attributes;
    attributes.entry = flow.entry;
    attributes.flowStart = flowStart;
    attributes.endsFlow = endsFlow;
    attributes.size = 100;
    VmSlot *at = &vms_[static_cast<std::size_t>(vm)];
    if (!connected(*at, *at)) {
        ++results_.lost;
        return DeliveryResult::Failed;
    }
    for (int hops = 0; hops < maxHops; ++hops) {
        attributes.key = { combineHash(serviceAt(*at, flow.entry).value * 2 + (flow.udp ? 1 : 0), flow.number) };
        const RoutingDecision decision = at->router->route(attributes, now_);
        if (const auto *send = std::get_if<SendToUpstream>(&decision)) {
            if (send->placed) {
                checkPlacement(*at, send->upstream);
            }
            return deliverToHost(flow, *send, *at, flowStart);
        }
        if (std::holds_alternative<RefusePacket>(decision)) {
            ++results_.refused;
            return DeliveryResult::Failed;
        }
        const auto &redirect = std::get<RedirectToVm>(decision);
        if (redirect.placed) {
            checkPlacement(*at, redirect.option.choice.upstream);
        }
        ++results_.redirects;
        attributes.redirected = true;
        attributes.option = redirect.option;
        const int to = indexOf(redirect.vm);
        if (to < 0 || !connected(*at, vms_[static_cast<std::size_t>(to)])) {
            ++results_.lost;
            return DeliveryResult::Failed;
        }
        at = &vms_[static_cast<std::size_t>(to)];
    }
    ++results_.loops;
    return DeliveryResult::Failed;
}

Fleet::DeliveryResult
Fleet::deliverToHost(FleetFlow &flow, const SendToUpstream &send, const VmSlot &from, FlowStart flowStart)
{
    results_.hashFallbacks += send.hashFallback ? 1 : 0;
    const auto found = hostByEndpoint_.find(send.tunnelEndpoint);
    if (found == hostByEndpoint_.end() || !hosts_[found->second].alive) {
        ++results_.lost;
        return DeliveryResult::Failed;
    }
    FleetHost &host = hosts_[found->second];
    if (partitionedZone_ >= 0
        && (host.upstream.zone.value == partitionedZone_) != (from.vm.zone.value == partitionedZone_)) {
        ++results_.lost;
        return DeliveryResult::Failed;
    }
    if (host.upstream.service != send.vni) {
        ++results_.foreignDropped;
        return DeliveryResult::Failed;
    }
    if (host.upstream.service != flow.service) {
        ++results_.misdelivered;
    }
    ++results_.delivered;
    if (flow.host < 0) {
        flow.host = static_cast<int>(found->second);
        ++host.openFlows;
        host.work += flow.weight;
        return DeliveryResult::Delivered;
    }
    if (flow.host != static_cast<int>(found->second) && flowStart != FlowStart::Yes) {
        breakFlow(flow, false);
        return DeliveryResult::Failed;
    }
    return DeliveryResult::Delivered;
}

void Fleet::checkPlacement(const VmSlot &vm, UpstreamId upstream)
{
    for (const Upstream &known : snapshots_[vm.snapshot].upstreams) {
        if (known.id == upstream && known.state != UpstreamState::Active && now_ > vm.appliedAt + seconds(3)) {
            ++results_.placedOnLeaving;
        }
    }
}

void Fleet::breakFlow(FleetFlow &flow, bool stalled)
{
    results_.broken.push_back({ flow.openedAt, now_, flow.number, stalled });
    closeFlow(flow);
}

} // namespace boragelug
