#include "soak/soak_simulation.h"

#include "core/hash.h"
#include "platform/standins/store_records.h"

#include <algorithm>
#include <csignal>
#include <fstream>

namespace boragelug::soak
{
namespace
{

using namespace std::chrono_literals;

constexpr Port packetPort { 8172 };
constexpr std::uint16_t adminPort = 8167;
constexpr std::uint16_t relayPort = 8166;
constexpr std::uint16_t storePort = 8169;
constexpr std::uint16_t upstreamPort = 8080;
constexpr std::uint16_t entryPort = 443;
// Third octet of the addresses of each group.
constexpr std::uint8_t vmGroup = 10;
constexpr std::uint8_t callerGroup = 20;
constexpr std::uint8_t storeGroup = 30;
constexpr std::size_t firstStoreOfVms = 10; // Last octet of the store's address for the first VM.
constexpr std::uint8_t upstreamGroup = 40;
constexpr std::uint8_t entryGroup = 50;
// As on the platform: two readiness checks a second, out of rotation after two consecutive failures, delayed restart.
constexpr Duration readinessCheckInterval = 500ms;
constexpr unsigned failedChecksToLeaveRotation = 2;
constexpr Duration restartDelay = 200ms;
constexpr Duration settleTime = 3s; // Without faults: before the first one, and while the recovery is measured.
constexpr double longPauseChance = 0.1;
constexpr double frequentLongPauseChance = 0.4;
constexpr std::size_t itemsPerPage = 10;
constexpr std::size_t overloadFlowFactor = 5; // Flows of a caller during an overload, in relation to other times.
constexpr Duration finalOutage = 1s; // From the kill of all VMs at the end until their restart.

double longPauseChanceOf(FaultMix mix)
{
    switch (mix) {
    case FaultMix::Unplanned:
        return 0;
    case FaultMix::Reachability:
    case FaultMix::Paths:
        return frequentLongPauseChance;
    default:
        return longPauseChance;
    }
}

} // namespace

SoakSimulation::SoakSimulation(Plan plan, std::uint8_t network)
    : plan_(std::move(plan))
    , network_(network)
    , packetRandom_(plan_.seed)
    , invariants_(now())
    , start_(now())
    , fabric_(runtime_.context(), makeEndpoint(storeGroup, 2, 0))
    , faults_(planFaults(plan_.seed, plan_.length, plan_.mix))
{
    store_ = std::make_unique<StoreStandin>(
        runtime_.context(), toTcpEndpoint(makeEndpoint(storeGroup, 1, storePort)), plan_.seed);
    store_->setPageSize(plan_.mix == FaultMix::Records ? itemsPerPage : 0);
    entries_ = { { .address = entryEndpoint(1), .service = "ledger", .removedAt = {} },
                 { .address = entryEndpoint(2), .service = "inspection", .removedAt = {} } };
    for (std::size_t i = 0; i < plan_.upstreams; ++i) {
        addUpstream(i % 3 == 2 ? "inspection" : "ledger", upstreamEndpoint(i + 1));
    }
    writeCatalogue();
    for (std::size_t i = 0; i < plan_.vms; ++i) {
        Vm vm;
        vm.process = std::make_unique<VmProcess>(plan_.program, plan_.folder, "vm-" + std::to_string(i + 1));
        vm.packet = makeEndpoint(vmGroup, i + 1, packetPort.value);
        vm.admin = makeEndpoint(vmGroup, i + 1, adminPort);
        vm.relay = makeEndpoint(vmGroup, i + 1, relayPort);
        vm.store = makeEndpoint(storeGroup, firstStoreOfVms + i, storePort);
        store_->addEndpoint(toTcpEndpoint(vm.store));
        writeSettings(vm);
        vm.process->start(now());
        vms_.push_back(std::move(vm));
    }
    for (std::size_t i = 0; i < plan_.callers; ++i) {
        const Endpoint address = makeEndpoint(callerGroup, i + 1, packetPort.value);
        callerSockets_.push_back(std::make_unique<UdpSocket>(runtime_.context(), address));
        callers_.emplace_back(address.address,
                              combineHash(plan_.seed, i),
                              longPauseChanceOf(plan_.mix),
                              invariants_,
                              [this, i](std::vector<std::byte> packet) { sendThroughFabric(i, std::move(packet)); });
        callerSockets_.back()->start([this, i](const Endpoint &, std::span<const std::byte> bytes) {
            if (const auto packet = decode(bytes)) {
                callers_[i].receive(*packet, now());
            }
        });
    }
}

SoakSimulation::~SoakSimulation() = default;

Endpoint SoakSimulation::makeEndpoint(std::uint8_t group, std::size_t number, std::uint16_t port) const
{
    const auto network = static_cast<std::uint32_t>(network_) << 16U;
    const auto thirdOctet = static_cast<std::uint32_t>(group) << 8U;
    return { .address = Ipv4Address { 0x7f000000U | network | thirdOctet | static_cast<std::uint32_t>(number) },
             .port = Port { port } };
}

Endpoint SoakSimulation::upstreamEndpoint(std::size_t number) const
{
    return makeEndpoint(upstreamGroup, number, upstreamPort);
}

Endpoint SoakSimulation::entryEndpoint(std::size_t number) const
{
    return makeEndpoint(entryGroup, number, entryPort);
}

void SoakSimulation::writeSettings(const Vm &vm) const
{
    // The first two VMs are the relays, which pass on directory changes to the others.
    std::ofstream(vm.process->settingsPath())
        << "vm: " << vm.process->name() << "\nzone: kgd-north\nendpoints:\n  packet: " << toString(vm.packet)
        << "\n  admin: " << toString(vm.admin) << "\n  relay: " << toString(vm.relay)
        << "\ndirectory: " << toString(vm.store) << "\nrelays: [" << toString(makeEndpoint(vmGroup, 1, relayPort))
        << ", " << toString(makeEndpoint(vmGroup, 2, relayPort)) << "]\nlog_level: debug\n";
}

void SoakSimulation::addUpstream(const std::string &service, const Endpoint &address)
{
    const SimulatedUpstream &upstream = startUpstream(nextUpstreamId_++, service, address);
    store_->set(hostKey(UpstreamId { upstream.id() }), hostValue(makeRecord(upstream, service)));
}

SimulatedUpstream *SoakSimulation::findUpstream(std::uint64_t id)
{
    const auto found =
        std::find_if(upstreams_.begin(), upstreams_.end(), [&](const auto &known) { return known->id() == id; });
    return found != upstreams_.end() ? found->get() : nullptr;
}

void SoakSimulation::sendToCaller(std::uint64_t upstream, const Endpoint &caller, std::vector<std::byte> bytes)
{
    const auto mute = muteUntil_.find(upstream);
    if (mute != muteUntil_.end() && now() < mute->second) {
        return;
    }
    const Endpoint to { .address = caller.address, .port = packetPort };
    const Duration delay = answerDelay(upstream);
    if (delay == Duration {}) {
        fabric_.send(to, bytes);
        return;
    }
    runAfter(delay, [this, to, bytes = std::move(bytes)] { fabric_.send(to, bytes); });
}

SimulatedUpstream &SoakSimulation::startUpstream(std::uint64_t id, const std::string &service, const Endpoint &address)
{
    const SimulatedUpstream::Environment environment {
        .now = [this] { return now(); },
        .sendToCaller = [this, id](const Endpoint &caller,
                                   std::vector<std::byte> bytes) { sendToCaller(id, caller, std::move(bytes)); },
        .findEntry = [this](const Endpoint &entry) -> std::pair<std::string, std::optional<TimePoint>> {
            for (const Entry &known : entries_) {
                if (known.address == entry) {
                    return { known.service, known.removedAt };
                }
            }
            return {};
        },
        .zoneEvacuatedAt = [this, id] { return zoneEvacuatedAt(id); },
        .vmNumber = [](const Endpoint &vm) { return vm.address.value & 0xffU; },
        .isLost =
            [this, id](std::size_t vm) {
                const auto pair = cutPairs_.find({ vm, id });
                return now() < vms_.at(vm - 1).cutFromUpstreamsUntil
                    || (pair != cutPairs_.end() && now() < pair->second) || isDroppedByOverload(id);
            },
    };
    const bool mislabeled = plan_.sabotage == Sabotage::Service && id == 1;
    upstreams_.push_back(std::make_unique<SimulatedUpstream>(runtime_.context(),
                                                             id,
                                                             Incarnation { nextIncarnation_++ },
                                                             mislabeled ? "inspection" : service,
                                                             address,
                                                             environment,
                                                             invariants_));
    return *upstreams_.back();
}

UpstreamRecord SoakSimulation::makeRecord(const SimulatedUpstream &upstream, const std::string &service) const
{
    UpstreamRecord record;
    record.id = UpstreamId { upstream.id() };
    record.incarnation = upstream.incarnation();
    record.service = service;
    record.zone = zoneOf(upstream.id());
    record.address = upstream.address();
    record.slots = 3;
    record.state = upstream.isDraining() ? UpstreamState::Draining : UpstreamState::Active;
    return record;
}

void SoakSimulation::drainUpstream(SimulatedUpstream &upstream)
{
    upstream.setDraining(now());
    if (plan_.sabotage != Sabotage::Withhold) {
        store_->set(hostKey(UpstreamId { upstream.id() }), hostValue(makeRecord(upstream, upstream.service())));
    }
}

void SoakSimulation::writeCatalogue()
{
    catalogueVersion_ += 1 + catalogueVersion_ % 4;
    CatalogueRecord catalogue;
    catalogue.version = CatalogueVersion { catalogueVersion_ };
    for (const Entry &entry : entries_) {
        if (!entry.removedAt) {
            catalogue.entries.push_back({ .name = EntryName { toString(entry.address) },
                                          .address = entry.address,
                                          .services = { { .service = entry.service, .weight = 1 } },
                                          .idempotent = entry.service == "ledger" });
        }
    }
    constexpr std::uint64_t firstWithheldVersion = 5;
    if (plan_.sabotage != Sabotage::Withhold || catalogueVersion_ < firstWithheldVersion) {
        store_->set(catalogueKey(), catalogueValue(catalogue));
    }
}

std::optional<std::size_t> SoakSimulation::chooseVm(std::span<const std::byte> packet) const
{
    // Rendezvous hashing over the VMs in rotation, or over all VMs if fewer than half are in rotation.
    const auto ready =
        static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [](const Vm &vm) { return vm.inRotation; }));
    std::optional<std::size_t> best;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        const std::uint64_t rank = hashBytes(packet.subspan(10, 12), i + 1); // Ports and addresses.
        if ((vms_[i].inRotation || ready * 2 < vms_.size()) && (!best || rank > bestRank)) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

void SoakSimulation::sendThroughFabric(std::size_t caller, std::vector<std::byte> packet)
{
    ++packetCount_;
    if (plan_.sabotage == Sabotage::Bytes && packetCount_ % 100 == 0) {
        packet.back() ^= std::byte { 1 };
    }
    if (plan_.sabotage == Sabotage::Reset && packetCount_ % 100 == 0) {
        auto forged = *decode(packet);
        std::swap(forged.from, forged.to);
        forged.reset = true;
        forged.sequence = forged.acknowledged;
        forged.sum = 0;
        runAfter(Duration {}, [this, caller, forged] { callers_[caller].receive(forged, now()); });
        return;
    }
    const auto vm = chooseVm(packet);
    if (!vm || now() < vms_[*vm].cutFromCallersUntil || packetRandom_.below(1000) < lossPerMille_
        || (plan_.sabotage == Sabotage::Deaf && vms_[*vm].restarted)) {
        return;
    }
    // Each packet gets its own random delay, so that packets are reordered; some are duplicated.
    const Duration delay = maxPacketDelay_ * static_cast<std::int64_t>(packetRandom_.below(100)) / 100;
    const bool duplicate = packetRandom_.below(1000) < lossPerMille_;
    if (delay == Duration {} && !duplicate) {
        fabric_.send(vms_[*vm].packet, packet);
        return;
    }
    runAfter(delay, [this, to = vms_[*vm].packet, packet, duplicate] {
        fabric_.send(to, packet);
        if (duplicate) {
            fabric_.send(to, packet);
        }
    });
}

void SoakSimulation::runAfter(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(runtime_.context(), delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
        if (!error) {
            action();
        }
    });
}

void SoakSimulation::recordFault(const std::string &what)
{
    const auto seconds = std::chrono::duration<double>(now() - start_).count();
    report_.faults.push_back(std::to_string(seconds).substr(0, 6) + " s " + what);
}

void SoakSimulation::checkReadiness()
{
    if (now() < nextReadinessCheck_) {
        return;
    }
    nextReadinessCheck_ = now() + readinessCheckInterval;
    for (Vm &vm : vms_) {
        if (vm.readinessCheckPending) {
            continue;
        }
        vm.readinessCheckPending = true;
        PlatformHttpRequest request;
        request.target = "/readyz";
        HttpCallLimits limits;
        limits.timeout = limits.connectTimeout = limits.stallTimeout = 400ms;
        HttpCall::start(runtime_.context(), vm.admin, request, limits, [&vm](const HttpCall::Result &result) {
            vm.readinessCheckPending = false;
            const bool ready = result && result->status == 200;
            vm.failedChecks = ready ? 0 : vm.failedChecks + 1;
            vm.inRotation = ready || (vm.inRotation && vm.failedChecks < failedChecksToLeaveRotation);
        });
    }
}

void SoakSimulation::superviseVms()
{
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        Vm &vm = vms_[i];
        const bool wasRunning = vm.process->isRunning();
        if (wasRunning && !vm.process->poll()) {
            invariants_.recordVmDisturbance(i + 1, now());
            if (!vm.stoppingSince && vm.process->exitStatus() != -SIGKILL) {
                invariants_.report("exit",
                                   vm.process->name() + " exited unexpectedly with status "
                                       + std::to_string(vm.process->exitStatus()),
                                   now());
            }
            vm.stoppingSince.reset();
            vm.resumeAt.reset();
            vm.startAt = std::max(vm.startAt.value_or(TimePoint {}), now() + restartDelay);
        }
        if (vm.stoppingSince && now() - *vm.stoppingSince > bounds_.stop) {
            invariants_.report("stop", vm.process->name() + " did not exit in time after SIGTERM", now());
            vm.process->signal(SIGKILL);
        }
        if (vm.startAt && now() >= *vm.startAt && !vm.process->isRunning()) {
            vm.startAt.reset();
            vm.restarted = true;
            invariants_.recordVmDisturbance(i + 1, now());
            vm.process->start(now());
        }
        if (vm.resumeAt && now() >= *vm.resumeAt) {
            vm.resumeAt.reset();
            vm.process->signal(SIGCONT);
            invariants_.recordVmDisturbance(i + 1, now());
        }
        if (vm.resumeAt || vm.stoppingSince) {
            invariants_.recordVmDisturbance(i + 1, now());
        }
        if (const auto used = vm.process->resources()) {
            report_.peakMemoryKib = std::max(report_.peakMemoryKib, used->first);
            report_.peakDescriptors = std::max(report_.peakDescriptors, used->second);
        }
    }
    if (report_.peakMemoryKib > bounds_.maxMemoryKib || report_.peakDescriptors > bounds_.maxDescriptors) {
        invariants_.report("resources", "a VM process exceeded the memory or descriptor limit", now());
    }
}

void SoakSimulation::tick()
{
    if (store_->fault() != StoreFault::None) {
        invariants_.recordStoreDisturbance(now());
    }
    superviseVms();
    checkReadiness();
    injectFaults();
    for (const auto &upstream : upstreams_) {
        upstream->tick();
    }
    std::vector<Endpoint> addresses;
    for (const Entry &entry : entries_) {
        addresses.push_back(entry.address); // Removed ones too: callers keep opening flows to them.
    }
    const std::size_t flows = plan_.flowsPerCaller * (overloads_.empty() ? 1 : overloadFlowFactor);
    for (SimulatedCaller &simulatedCaller : callers_) {
        simulatedCaller.tick(flows, addresses, now());
    }
}

CallerCounts SoakSimulation::takeCounts()
{
    CallerCounts total;
    for (SimulatedCaller &simulatedCaller : callers_) {
        const CallerCounts counts = simulatedCaller.takeCounts();
        total.requests += counts.requests;
        total.served += counts.served;
    }
    report_.requests += total.requests;
    report_.served += total.served;
    return total;
}

void SoakSimulation::runFor(Duration length)
{
    const TimePoint end = now() + length;
    while (now() < end) {
        runtime_.context().restart();
        runtime_.context().run_for(10ms);
        tick();
    }
}

Report SoakSimulation::run()
{
    runFor(settleTime);
    faultsSince_ = now();
    runFor(plan_.length);
    faultsSince_.reset();
    recordFault("kill all VMs");
    for (Vm &vm : vms_) {
        vm.startAt = now() + finalOutage;
        vm.process->signal(SIGKILL);
    }
    runFor(finalOutage + bounds_.recovery / 2);
    takeCounts(); // Resets the counts, so that the next ones are those of the measurement.
    runFor(settleTime);
    const CallerCounts recovered = takeCounts();
    const double fraction =
        recovered.requests == 0 ? 0 : static_cast<double>(recovered.served) / static_cast<double>(recovered.requests);
    report_.recoveredFraction = std::min(fraction, 1.0);
    if (report_.recoveredFraction < bounds_.minRecoveredFraction) {
        invariants_.report("recovery", "less than a quarter of the requests was served after the restart", now());
    }
    report_.violations = invariants_.violations();
    return report_;
}

} // namespace boragelug::soak
