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
        addUpstream(service, upstreamEndpoint(100 + nextUpstreamId_ % 100));
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
    }
}

void SoakSimulation::injectFaults()
{
    while (faultsSince_ && nextFault_ < faults_.size() && now() - *faultsSince_ >= faults_[nextFault_].at) {
        inject(faults_[nextFault_++]);
    }
}

} // namespace boragelug::soak
