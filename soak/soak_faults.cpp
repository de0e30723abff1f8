#include "platform/standins/store_records.h"
#include "soak/soak_simulation.h"

#include <algorithm>
#include <csignal>
#include <iterator>

namespace boragelug::soak
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration drainDuration = 4s;
/// Time after which the accept queue of an overloaded upstream fills, has room again, or stays as it is.
constexpr Duration acceptQueueInterval = 300ms;

/// The value of a host's record in which the field with its start time is missing.
std::string hostValueWithoutStartTime(const UpstreamRecord &record)
{
    std::string value = hostValue(record);
    const std::string field = "\"born\":" + std::to_string(record.incarnation.value) + ",";
    value.erase(value.find(field), field.size());
    return value;
}

} // namespace

void SoakSimulation::injectVmFault(Random &random)
{
    Vm &vm = vms_[random.below(vms_.size())];
    const std::uint64_t kind = random.below(5);
    if (!vm.process->isRunning() || vm.resumeAt || vm.stoppingSince) {
        return;
    }
    if (kind == 0) {
        recordFault("kill " + vm.process->name());
        vm.process->signal(SIGKILL);
    } else if (kind == 1) {
        vm.resumeAt = now() + std::chrono::milliseconds(300 + random.below(3000));
        recordFault("pause " + vm.process->name());
        vm.process->signal(SIGSTOP);
    } else if (kind == 2) {
        recordFault("reload " + vm.process->name());
        vm.process->signal(SIGHUP);
    } else {
        recordFault("stop " + vm.process->name());
        vm.stoppingSince = now();
        vm.process->signal(SIGTERM);
    }
}

void SoakSimulation::injectUpstreamFault(Random &random)
{
    if (upstreams_.size() < 4) {
        return;
    }
    auto chosen = std::next(upstreams_.begin(), static_cast<long>(random.below(upstreams_.size())));
    SimulatedUpstream &upstream = **chosen;
    const Endpoint address = upstream.address();
    const std::string key = hostKey(UpstreamId { upstream.id() });
    const std::string service = upstream.service();
    if (random.chance(0.5)) {
        if (upstream.isDraining()) {
            return;
        }
        recordFault("drain upstream " + std::to_string(upstream.id()));
        drainUpstream(upstream);
        runAfter(drainDuration, [this, id = upstream.id(), key] {
            std::erase_if(upstreams_, [&](const auto &known) { return known->id() == id; });
            store_->remove(key);
        });
        // The replacement has an address of its own, because the draining upstream still uses the old one.
        addUpstream(service, upstreamEndpoint(plan_.upstreams + 90 + nextUpstreamId_ % 100));
        return;
    }
    recordFault("crash upstream " + std::to_string(upstream.id()));
    upstreams_.erase(chosen);
    runAfter(2s, [this, key] { store_->remove(key); });
    // An upstream of the other service reuses the address of the crashed one, unless that is taken.
    runAfter(2500ms, [this, service, address] {
        const bool taken = std::any_of(
            upstreams_.begin(), upstreams_.end(), [&](const auto &other) { return other->address() == address; });
        if (!taken) {
            addUpstream(service == "ledger" ? "inspection" : "ledger", address);
        }
    });
}

void SoakSimulation::injectStoreFault(Random &random)
{
    invariants_.recordStoreDisturbance(now());
    if (random.chance(0.25)) {
        recordFault("store compacts its history");
        store_->compact();
        return;
    }
    if (store_->fault() != StoreFault::None) {
        return;
    }
    const auto fault = static_cast<StoreFault>(1 + random.below(5));
    const auto outage = std::chrono::milliseconds(500 + random.below(4000));
    recordFault("store fault " + std::to_string(static_cast<int>(fault)) + " for " + std::to_string(outage.count())
                + " ms");
    store_->setFault(fault);
    runAfter(outage, [this] {
        store_->setFault(StoreFault::None);
        invariants_.recordStoreDisturbance(now());
    });
}

void SoakSimulation::changeCatalogue(Random &random)
{
    const bool remove = entries_.size() > 4 && random.chance(0.5);
    if (remove) {
        Entry &entry = entries_[2 + random.below(entries_.size() - 2)]; // The first two always stay.
        entry.removedAt = entry.removedAt.value_or(now());
    } else {
        entries_.push_back({ .address = entryEndpoint(entries_.size() + 1),
                             .service = random.chance(0.5) ? "ledger" : "inspection",
                             .removedAt = {} });
    }
    recordFault(remove ? "remove an entry" : "add an entry");
    writeCatalogue();
}

void SoakSimulation::injectNetworkFault(Random &random)
{
    if (lossPerMille_ != 0) {
        return;
    }
    lossPerMille_ = static_cast<std::uint32_t>(random.below(80));
    maxPacketDelay_ = std::chrono::milliseconds(random.below(60));
    recordFault("network drops, duplicates and delays packets");
    runAfter(std::chrono::milliseconds(500 + random.below(2000)), [this] {
        lossPerMille_ = 0;
        maxPacketDelay_ = {};
    });
}

void SoakSimulation::injectPartition(Random &random)
{
    const std::size_t chosen = random.below(vms_.size());
    const bool fromCallers = random.chance(0.5);
    const auto length = std::chrono::milliseconds(500 + random.below(3000));
    Vm &vm = vms_[chosen];
    (fromCallers ? vm.cutFromCallersUntil : vm.cutFromUpstreamsUntil) = now() + length;
    recordFault("cut " + vm.process->name() + " off from " + (fromCallers ? "callers" : "upstreams") + " for "
                + std::to_string(length.count()) + " ms");
    invariants_.recordVmDisturbance(chosen + 1, now() + length);
}

void SoakSimulation::injectPlannedVmFault(Random &random)
{
    // Up to a third of the VMs is stopped at once, as in a rolling restart of a large fleet.
    const std::size_t wanted = 1 + random.below(std::max<std::size_t>(1, vms_.size() / 3));
    const bool reload = random.chance(0.25);
    std::size_t affected = 0;
    for (std::size_t i = 0; i < wanted; ++i) {
        Vm &vm = vms_[random.below(vms_.size())];
        // SIGHUP ends a process that hasn't reached main() yet.
        if (!vm.process->isRunning() || vm.stoppingSince || (reload && !vm.inRotation)) {
            continue;
        }
        ++affected;
        if (reload) {
            vm.process->signal(SIGHUP);
        } else {
            vm.stoppingSince = now();
            vm.process->signal(SIGTERM);
        }
    }
    recordFault((reload ? "reload " : "stop ") + std::to_string(affected) + " VMs");
}

void SoakSimulation::injectLifetimeFault(Random &random)
{
    SimulatedUpstream &upstream = **std::next(upstreams_.begin(), static_cast<long>(random.below(upstreams_.size())));
    const std::uint64_t id = upstream.id();
    if (upstream.isDraining()) {
        return;
    }
    const UpstreamRecord current = makeRecord(upstream, upstream.service());
    const auto restore = [this, id] {
        if (const SimulatedUpstream *known = findUpstream(id)) {
            store_->set(hostKey(UpstreamId { id }), hostValue(makeRecord(*known, known->service())));
        }
    };
    const auto beat = std::chrono::milliseconds(200 + random.below(1200));
    const std::uint64_t kind = random.below(6);
    if (kind <= 1) {
        restartUpstream(id, random);
    } else if (kind == 2) {
        recordFault("write the record of upstream " + std::to_string(id) + " without its start time");
        store_->set(hostKey(UpstreamId { id }), hostValueWithoutStartTime(current));
        runAfter(beat, restore);
    } else if (kind == 3) {
        recordFault("write an earlier record of upstream " + std::to_string(id));
        UpstreamRecord earlier = current;
        earlier.incarnation =
            Incarnation { current.incarnation.value - std::min<std::uint64_t>(1, current.incarnation.value) };
        store_->set(hostKey(UpstreamId { id }), hostValue(earlier));
        runAfter(beat, restore);
    } else if (kind == 4) {
        recordFault("store compacts its history");
        invariants_.recordStoreDisturbance(now());
        store_->compact();
    } else {
        const std::uint64_t foreignId = nextUpstreamId_++;
        recordFault("write a record of an unknown service at the address of upstream " + std::to_string(id));
        UpstreamRecord foreign = current;
        foreign.id = UpstreamId { foreignId };
        foreign.incarnation = Incarnation { nextIncarnation_++ };
        foreign.service = "unknown";
        store_->set(hostKey(foreign.id), hostValue(foreign));
        runAfter(beat, [this, key = hostKey(foreign.id)] { store_->remove(key); });
    }
}

// The upstream registers some time after it serves, with its next heartbeat.
void SoakSimulation::restartUpstream(std::uint64_t id, Random &random)
{
    SimulatedUpstream *upstream = findUpstream(id);
    const std::string service = upstream->service();
    const Endpoint address = upstream->address();
    const auto downTime = std::chrono::milliseconds(50 + random.below(1500));
    const auto registerDelay = std::chrono::milliseconds(random.below(1200));
    recordFault("restart upstream " + std::to_string(id) + " under its id");
    std::erase_if(upstreams_, [&](const auto &known) { return known->id() == id; });
    runAfter(downTime, [this, id, service, address, registerDelay] {
        const bool taken = std::any_of(
            upstreams_.begin(), upstreams_.end(), [&](const auto &other) { return other->address() == address; });
        if (taken) {
            store_->remove(hostKey(UpstreamId { id }));
            return;
        }
        startUpstream(id, service, address);
        invariants_.recordUpstreamDisturbance(id, now());
        runAfter(registerDelay, [this, id] {
            if (const SimulatedUpstream *known = findUpstream(id)) {
                store_->set(hostKey(UpstreamId { id }), hostValue(makeRecord(*known, known->service())));
            }
        });
    });
}

void SoakSimulation::injectLateAnswers(Random &random)
{
    const Duration delay = std::chrono::milliseconds(150 + random.below(700));
    const Duration length = std::chrono::milliseconds(300 + random.below(1500));
    const std::size_t wanted = 1 + random.below(upstreams_.size());
    for (const auto &upstream : upstreams_) {
        if (random.below(upstreams_.size()) < wanted) {
            lateAnswers_[upstream->id()] = { now() + length, delay };
        }
    }
    recordFault("upstreams answer "
                + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(delay).count()) + " ms late");
}

void SoakSimulation::loseRecord(std::uint64_t id, Duration length)
{
    store_->remove(hostKey(UpstreamId { id }));
    runAfter(length, [this, id] {
        if (const SimulatedUpstream *known = findUpstream(id)) {
            store_->set(hostKey(UpstreamId { id }), hostValue(makeRecord(*known, known->service())));
        }
    });
}

void SoakSimulation::writeRecordAtAddress(const SimulatedUpstream &upstream, Duration length, bool later)
{
    UpstreamRecord record = makeRecord(upstream, upstream.service());
    record.id = UpstreamId { nextUpstreamId_++ };
    record.incarnation = Incarnation { later ? nextIncarnation_++ : 0 };
    store_->set(hostKey(record.id), hostValue(record));
    runAfter(length, [this, key = hostKey(record.id)] { store_->remove(key); });
}

void SoakSimulation::cutOffFromStore(std::size_t vm, Duration length)
{
    const auto endpoint = toTcpEndpoint(vms_[vm].store);
    store_->setCutOff(endpoint, true);
    invariants_.recordVmDisturbance(vm + 1, now() + length);
    runAfter(length, [this, endpoint] { store_->setCutOff(endpoint, false); });
}

// The upstream serves its flows all the time, so that none of these faults excuses a reset.
void SoakSimulation::injectReachabilityFault(Random &random)
{
    SimulatedUpstream &upstream = **std::next(upstreams_.begin(), static_cast<long>(random.below(upstreams_.size())));
    const std::uint64_t id = upstream.id();
    const std::string name = "upstream " + std::to_string(id);
    const auto length = std::chrono::milliseconds(3000 + random.below(7000));
    const std::uint64_t kind = random.below(4);
    if (upstream.isDraining()) {
        return;
    }
    if (kind == 0) {
        recordFault(name + " loses its record for " + std::to_string(length.count()) + " ms");
        loseRecord(id, length);
    } else if (kind == 1) {
        recordFault(name + " ignores connections for " + std::to_string(length.count()) + " ms");
        upstream.setIgnoresConnections(true);
        runAfter(length, [this, id] {
            if (SimulatedUpstream *known = findUpstream(id)) {
                known->setIgnoresConnections(false);
            }
        });
    } else if (kind == 2) {
        recordFault("upstreams can't reach the store for " + std::to_string(length.count()) + " ms");
        for (const auto &known : upstreams_) {
            if (!known->isDraining() && random.chance(0.3)) {
                loseRecord(known->id(), length);
            }
        }
    } else {
        recordFault("write a record at the address of " + name);
        writeRecordAtAddress(upstream, length / 3, random.chance(0.5));
    }
}

// The upstream keeps its flows, and its checks are answered. Packets that are lost on its own links excuse a reset, a
// VM that doesn't reach the store doesn't.
void SoakSimulation::injectPathFault(Random &random)
{
    SimulatedUpstream &upstream = **std::next(upstreams_.begin(), static_cast<long>(random.below(upstreams_.size())));
    const std::uint64_t id = upstream.id();
    const std::string name = "upstream " + std::to_string(id);
    const std::size_t vm = random.below(vms_.size());
    const auto length = std::chrono::milliseconds(3000 + random.below(7000));
    const std::string duration = " for " + std::to_string(length.count()) + " ms";
    const std::uint64_t kind = random.below(3);
    if (kind == 0) {
        recordFault("packets of " + name + " to callers are lost" + duration);
        muteUntil_[id] = now() + length;
        invariants_.recordUpstreamDisturbance(id, now() + length);
    } else if (kind == 1) {
        recordFault("packets of " + vms_[vm].process->name() + " to " + name + " are lost" + duration);
        cutPairs_[{ vm + 1, id }] = now() + length;
        invariants_.recordUpstreamDisturbance(id, now() + length);
    } else {
        recordFault("cut " + vms_[vm].process->name() + " off from the store" + duration);
        cutOffFromStore(vm, length);
    }
}

bool SoakSimulation::isDroppedByOverload(std::uint64_t upstream)
{
    const auto found = overloads_.find(upstream);
    return found != overloads_.end() && packetRandom_.chance(found->second.packetDropChance);
}

// The upstreams keep all flows and serve what reaches them, so that nothing here excuses a reset.
void SoakSimulation::injectOverload(Random &random)
{
    if (!overloads_.empty()) {
        return;
    }
    const auto length = std::chrono::milliseconds(2000 + random.below(4000));
    const double share = 0.3 + 0.1 * static_cast<double>(random.below(6));
    for (const auto &upstream : upstreams_) {
        if (random.chance(share)) {
            overloads_[upstream->id()] = { .packetDropChance = 0.2 + 0.1 * static_cast<double>(random.below(5)),
                                           .connectionDropChance = 0.3 + 0.1 * static_cast<double>(random.below(6)) };
            lateAnswers_[upstream->id()] = { now() + length, std::chrono::milliseconds(300 + random.below(600)) };
        }
    }
    if (overloads_.empty()) {
        return;
    }
    recordFault(std::to_string(overloads_.size()) + " upstreams are overloaded for " + std::to_string(length.count())
                + " ms");
    changeAcceptQueues(now() + length, Random(random.next()));
}

void SoakSimulation::changeAcceptQueues(TimePoint end, Random random)
{
    const bool ended = now() >= end;
    for (const auto &[id, overload] : overloads_) {
        const bool ignores = random.chance(overload.connectionDropChance) && !ended;
        if (SimulatedUpstream *upstream = findUpstream(id)) {
            upstream->setIgnoresConnections(ignores);
        }
    }
    if (ended) {
        overloads_.clear();
        return;
    }
    runAfter(acceptQueueInterval, [this, end, random] { changeAcceptQueues(end, random); });
}

void SoakSimulation::inject(const PlannedFault &fault)
{
    Random random(fault.seed);
    switch (fault.target) {
    case FaultTarget::Vm:
        injectVmFault(random);
        return;
    case FaultTarget::Upstream:
        injectUpstreamFault(random);
        return;
    case FaultTarget::Store:
        injectStoreFault(random);
        return;
    case FaultTarget::Catalogue:
        changeCatalogue(random);
        return;
    case FaultTarget::Network:
        injectNetworkFault(random);
        return;
    case FaultTarget::Partition:
        injectPartition(random);
        return;
    case FaultTarget::PlannedVm:
        injectPlannedVmFault(random);
        return;
    case FaultTarget::Lifetime:
        injectLifetimeFault(random);
        return;
    case FaultTarget::Answers:
        injectLateAnswers(random);
        return;
    case FaultTarget::Reachability:
        injectReachabilityFault(random);
        return;
    case FaultTarget::Path:
        injectPathFault(random);
        return;
    case FaultTarget::Overload:
        injectOverload(random);
        return;
    case FaultTarget::Evacuation:
        injectEvacuation(random);
        return;
    case FaultTarget::Slowness:
        injectSlowness(random);
        return;
    }
}

void SoakSimulation::injectFaults()
{
    while (faultsSince_ && nextFault_ < faults_.size() && now() - *faultsSince_ >= faults_[nextFault_].at) {
        inject(faults_[nextFault_++]);
    }
}

} // namespace boragelug::soak
