#include "soak/world.h"

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
constexpr std::uint16_t hostPort = 8080;
// Third numbers of the addresses of each group.
constexpr std::uint8_t vmGroup = 10;
constexpr std::uint8_t callerGroup = 20;
constexpr std::uint8_t storeGroup = 30;
constexpr std::uint8_t hostGroup = 40;
// Times of the platform: two checks a second, out of rotation after two misses, restart after a short delay.
constexpr Duration probeInterval = 500ms;
constexpr unsigned missesToLeave = 2;
constexpr Duration restartDelay = 200ms;
constexpr Duration drainServe = 4s;
constexpr Duration settle = 3s;
constexpr Duration finalOutage = 1s;

} // namespace

World::World(Plan plan, std::uint8_t network)
    : plan_(std::move(plan))
    , network_(network)
    , random_(plan_.seed)
    , promises_(now())
    , start_(now())
    , fabric_(runtime_.context(), at(storeGroup, 2, 0))
{
    store_ =
        std::make_unique<StoreStandin>(runtime_.context(), toTcpEndpoint(at(storeGroup, 1, storePort)), plan_.seed);
    entries_ = { { .address = at(50, 1, 443), .service = "ledger", .removed = {} },
                 { .address = at(50, 2, 443), .service = "inspection", .removed = {} } };
    for (std::size_t i = 0; i < plan_.hosts; ++i) {
        addHost(i % 3 == 2 ? "inspection" : "ledger", at(hostGroup, i + 1, hostPort));
    }
    writeCatalogue();
    for (std::size_t i = 0; i < plan_.vms; ++i) {
        Vm vm;
        vm.process = std::make_unique<VmProcess>(plan_.program, plan_.folder, "vm-" + std::to_string(i + 1));
        vm.packet = at(vmGroup, i + 1, packetPort.value);
        vm.admin = at(vmGroup, i + 1, adminPort);
        vm.relay = at(vmGroup, i + 1, relayPort);
        writeSettings(vm);
        vm.process->start(now());
        vms_.push_back(std::move(vm));
    }
    for (std::size_t i = 0; i < plan_.callers; ++i) {
        const Endpoint address = at(callerGroup, i + 1, packetPort.value);
        callerSockets_.push_back(std::make_unique<UdpSocket>(runtime_.context(), address));
        callers_.emplace_back(address.address,
                              combineHash(plan_.seed, i),
                              promises_,
                              [this, i](std::vector<std::byte> packet) { toFabric(i, std::move(packet)); });
        callerSockets_.back()->start([this, i](const Endpoint &, std::span<const std::byte> bytes) {
            if (const auto packet = decode(bytes)) {
                callers_[i].receive(*packet, now());
            }
        });
    }
}

World::~World() = default;

Endpoint World::at(std::uint8_t group, std::size_t number, std::uint16_t port) const
{
    const auto network = static_cast<std::uint32_t>(network_) << 16U;
    const auto third = static_cast<std::uint32_t>(group) << 8U;
    return { .address = Ipv4Address { 0x7f000000U | network | third | static_cast<std::uint32_t>(number) },
             .port = Port { port } };
}

void World::writeSettings(const Vm &vm) const
{
    // The first two VMs read the directory for the others.
    std::ofstream(vm.process->settingsPath())
        << "vm: " << vm.process->name() << "\nzone: kgd-north\nendpoints:\n  packet: " << toString(vm.packet)
        << "\n  admin: " << toString(vm.admin) << "\n  relay: " << toString(vm.relay)
        << "\ndirectory: " << toString(at(storeGroup, 1, storePort)) << "\nrelays: ["
        << toString(at(vmGroup, 1, relayPort)) << ", " << toString(at(vmGroup, 2, relayPort))
        << "]\nlog_level: debug\n";
}

void World::addHost(const std::string &service, const Endpoint &address)
{
    const Host::World around {
        .now = [this] { return now(); },
        .toCaller =
            [this](const Endpoint &caller, std::vector<std::byte> bytes) {
                fabric_.send({ .address = caller.address, .port = packetPort }, bytes);
            },
        .entry = [this](const Endpoint &entry) -> std::pair<std::string, std::optional<TimePoint>> {
            for (const Entry &known : entries_) {
                if (known.address == entry) {
                    return { known.service, known.removed };
                }
            }
            return {};
        },
        .vm = [](const Endpoint &vm) { return vm.address.value & 0xffU; },
    };
    const bool lies = plan_.sabotage == Sabotage::Service && nextHost_ == 1;
    hosts_.push_back(std::make_unique<Host>(
        runtime_.context(), nextHost_++, lies ? "inspection" : service, address, around, promises_));
    store_->set(hostKey(UpstreamId { hosts_.back()->id() }), hostValue(record(*hosts_.back(), service)));
}

UpstreamRecord World::record(const Host &host, const std::string &service) const
{
    UpstreamRecord record;
    record.id = UpstreamId { host.id() };
    record.incarnation = Incarnation { host.id() };
    record.service = service;
    record.zone = "kgd-north";
    record.address = host.address();
    record.slots = 3;
    record.state = host.isDraining() ? UpstreamState::Draining : UpstreamState::Active;
    return record;
}

void World::drainHost(Host &host)
{
    host.setDraining(now());
    if (plan_.sabotage != Sabotage::Withhold) {
        store_->set(hostKey(UpstreamId { host.id() }), hostValue(record(host, host.service())));
    }
}

void World::writeCatalogue()
{
    version_ += 1 + random_.below(4);
    CatalogueRecord catalogue;
    catalogue.version = CatalogueVersion { version_ };
    for (const Entry &entry : entries_) {
        if (!entry.removed) {
            catalogue.entries.push_back({ .name = EntryName { toString(entry.address) },
                                          .address = entry.address,
                                          .services = { { .service = entry.service, .weight = 1 } },
                                          .idempotent = entry.service == "ledger" });
        }
    }
    constexpr std::uint64_t firstWithheld = 5;
    if (plan_.sabotage != Sabotage::Withhold || version_ < firstWithheld) {
        store_->set(catalogueKey(), catalogueValue(catalogue));
    }
}

std::optional<std::size_t> World::chooseVm(std::span<const std::byte> packet) const
{
    // Rendezvous hashing over the VMs in rotation; over all of them when fewer than half are.
    const auto ready =
        static_cast<std::size_t>(std::count_if(vms_.begin(), vms_.end(), [](const Vm &vm) { return vm.inRotation; }));
    std::optional<std::size_t> best;
    std::uint64_t bestRank = 0;
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        const std::uint64_t rank = hashBytes(packet.subspan(10, 12), i + 1);
        if ((vms_[i].inRotation || ready * 2 < vms_.size()) && (!best || rank > bestRank)) {
            best = i;
            bestRank = rank;
        }
    }
    return best;
}

void World::toFabric(std::size_t caller, std::vector<std::byte> packet)
{
    ++packets_;
    if (plan_.sabotage == Sabotage::Bytes && packets_ % 100 == 0) {
        packet.back() ^= std::byte { 1 };
    }
    if (plan_.sabotage == Sabotage::Reset && packets_ % 100 == 0) {
        auto forged = *decode(packet);
        std::swap(forged.from, forged.to);
        forged.reset = true;
        forged.sum = 0;
        later(Duration {}, [this, caller, forged] { callers_[caller].receive(forged, now()); });
        return;
    }
    const auto vm = chooseVm(packet);
    if (!vm || random_.below(1000) < lossPerMille_ || (plan_.sabotage == Sabotage::Deaf && vms_[*vm].restarted)) {
        return;
    }
    // Each packet has its own delay, so that they overtake each other; some arrive twice.
    const Duration delay = delay_ * static_cast<std::int64_t>(random_.below(100)) / 100;
    const bool twice = random_.below(1000) < lossPerMille_;
    if (delay == Duration {} && !twice) {
        fabric_.send(vms_[*vm].packet, packet);
        return;
    }
    later(delay, [this, to = vms_[*vm].packet, packet, twice] {
        fabric_.send(to, packet);
        if (twice) {
            fabric_.send(to, packet);
        }
    });
}

void World::later(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<asio::steady_timer>(runtime_.context(), delay);
    timer->async_wait([timer, action = std::move(action)](const asio::error_code &error) {
        if (!error) {
            action();
        }
    });
}

void World::note(const std::string &what)
{
    const auto seconds = std::chrono::duration<double>(now() - start_).count();
    report_.faults.push_back(std::to_string(seconds).substr(0, 6) + " s " + what);
}

void World::checkReadiness()
{
    if (now() < nextProbe_) {
        return;
    }
    nextProbe_ = now() + probeInterval;
    for (Vm &vm : vms_) {
        if (vm.probing) {
            continue;
        }
        vm.probing = true;
        PlatformHttpRequest request;
        request.target = "/readyz";
        HttpCallLimits limits;
        limits.timeout = limits.connectTimeout = limits.stallTimeout = 400ms;
        HttpCall::start(runtime_.context(), vm.admin, request, limits, [&vm](const HttpCall::Result &result) {
            vm.probing = false;
            const bool ready = result && result->status == 200;
            vm.misses = ready ? 0 : vm.misses + 1;
            vm.inRotation = ready || (vm.inRotation && vm.misses < missesToLeave);
        });
    }
}

void World::superviseVms()
{
    for (std::size_t i = 0; i < vms_.size(); ++i) {
        Vm &vm = vms_[i];
        const bool wasRunning = vm.process->isRunning();
        if (wasRunning && !vm.process->poll()) {
            promises_.disturbVm(i + 1, now());
            if (!vm.stoppingSince && vm.process->exitStatus() != -SIGKILL) {
                promises_.report("exit",
                                 vm.process->name() + " ended by itself, status "
                                     + std::to_string(vm.process->exitStatus()),
                                 now());
            }
            vm.stoppingSince.reset();
            vm.resumeAt.reset();
            vm.startAt = std::max(vm.startAt.value_or(TimePoint {}), now() + restartDelay);
        }
        if (vm.stoppingSince && now() - *vm.stoppingSince > bounds_.stop) {
            promises_.report("stop", vm.process->name() + " did not end in time", now());
            vm.process->signal(SIGKILL);
        }
        if (vm.startAt && now() >= *vm.startAt && !vm.process->isRunning()) {
            vm.startAt.reset();
            vm.restarted = true;
            promises_.disturbVm(i + 1, now());
            vm.process->start(now());
        }
        if (vm.resumeAt && now() >= *vm.resumeAt) {
            vm.resumeAt.reset();
            vm.process->signal(SIGCONT);
            promises_.disturbVm(i + 1, now());
        }
        if (vm.resumeAt || vm.stoppingSince) {
            promises_.disturbVm(i + 1, now());
        }
        if (const auto used = vm.process->resources()) {
            report_.mostMemoryKib = std::max(report_.mostMemoryKib, used->first);
            report_.mostDescriptors = std::max(report_.mostDescriptors, used->second);
        }
    }
    if (report_.mostMemoryKib > bounds_.memoryKib || report_.mostDescriptors > bounds_.descriptors) {
        promises_.report("resources", "a process uses more memory or descriptors than allowed", now());
    }
}

void World::hurtVm()
{
    Vm &vm = vms_[random_.below(vms_.size())];
    const std::uint64_t kind = random_.below(5);
    if (!vm.process->isRunning() || vm.resumeAt || vm.stoppingSince) {
        return;
    }
    if (kind == 0) {
        note("kill " + vm.process->name());
        vm.process->signal(SIGKILL);
    } else if (kind == 1) {
        vm.resumeAt = now() + std::chrono::milliseconds(300 + random_.below(3000));
        note("pause " + vm.process->name());
        vm.process->signal(SIGSTOP);
    } else if (kind == 2) {
        note("reload " + vm.process->name());
        vm.process->signal(SIGHUP);
    } else {
        note("stop " + vm.process->name());
        vm.stoppingSince = now();
        vm.process->signal(SIGTERM);
    }
}

void World::hurtHosts()
{
    if (hosts_.size() < 4) {
        return;
    }
    auto victim = std::next(hosts_.begin(), static_cast<long>(random_.below(hosts_.size())));
    Host &host = **victim;
    const Endpoint address = host.address();
    const std::string key = hostKey(UpstreamId { host.id() });
    const std::string service = host.service();
    if (random_.chance(0.5)) {
        if (host.isDraining()) {
            return;
        }
        note("drain host " + std::to_string(host.id()));
        drainHost(host);
        later(drainServe, [this, id = host.id(), key] {
            std::erase_if(hosts_, [&](const auto &known) { return known->id() == id; });
            store_->remove(key);
        });
        // The replacement takes an address of its own.
        addHost(service, at(hostGroup, 100 + nextHost_ % 100, hostPort));
        return;
    }
    note("crash host " + std::to_string(host.id()));
    hosts_.erase(victim);
    later(2s, [this, key] { store_->remove(key); });
    // The address goes to a host of the other service.
    later(2500ms, [this, service, address] {
        const bool taken =
            std::any_of(hosts_.begin(), hosts_.end(), [&](const auto &known) { return known->address() == address; });
        if (!taken) {
            addHost(service == "ledger" ? "inspection" : "ledger", address);
        }
    });
}

void World::hurtStore()
{
    promises_.disturbStore(now());
    if (random_.chance(0.25)) {
        note("store forgets its history");
        store_->compact();
        return;
    }
    if (store_->fault() != StoreFault::None) {
        return;
    }
    const auto fault = static_cast<StoreFault>(1 + random_.below(5));
    const auto length = std::chrono::milliseconds(500 + random_.below(4000));
    note("store fault " + std::to_string(static_cast<int>(fault)) + " for " + std::to_string(length.count()) + " ms");
    store_->setFault(fault);
    later(length, [this] {
        store_->setFault(StoreFault::None);
        promises_.disturbStore(now());
    });
}

void World::changeCatalogue()
{
    const bool remove = entries_.size() > 4 && random_.chance(0.5);
    if (remove) {
        Entry &entry = entries_[2 + random_.below(entries_.size() - 2)];
        entry.removed = entry.removed.value_or(now());
    } else {
        entries_.push_back({ .address = at(50, entries_.size() + 1, 443),
                             .service = random_.chance(0.5) ? "ledger" : "inspection",
                             .removed = {} });
    }
    note(remove ? "remove an entry" : "add an entry");
    writeCatalogue();
}

void World::hurtNetwork()
{
    if (lossPerMille_ != 0) {
        return;
    }
    lossPerMille_ = static_cast<std::uint32_t>(random_.below(80));
    delay_ = std::chrono::milliseconds(random_.below(60));
    note("network loses, doubles and delays");
    later(std::chrono::milliseconds(500 + random_.below(2000)), [this] {
        lossPerMille_ = 0;
        delay_ = {};
    });
}

void World::injectFault()
{
    if (!faultsEnabled_ || now() < nextFault_) {
        return;
    }
    nextFault_ = now() + std::chrono::milliseconds(random_.below(900));
    switch (random_.below(6)) {
    case 0:
    case 1:
        hurtVm();
        break;
    case 2:
        hurtHosts();
        break;
    case 3:
        hurtStore();
        break;
    case 4:
        changeCatalogue();
        break;
    default:
        hurtNetwork();
    }
}

void World::tick()
{
    if (store_->fault() != StoreFault::None) {
        promises_.disturbStore(now());
    }
    superviseVms();
    checkReadiness();
    injectFault();
    std::vector<Endpoint> addresses;
    for (const Entry &entry : entries_) {
        // Callers go on asking for removed entries.
        addresses.push_back(entry.address);
    }
    for (CallerFleet &fleet : callers_) {
        fleet.tick(plan_.flowsPerCaller, addresses, now());
    }
}

CallerCounts World::takeCounts()
{
    CallerCounts total;
    for (CallerFleet &fleet : callers_) {
        const CallerCounts counts = fleet.takeCounts();
        total.asked += counts.asked;
        total.served += counts.served;
    }
    report_.asked += total.asked;
    report_.served += total.served;
    return total;
}

void World::runFor(Duration length)
{
    const TimePoint end = now() + length;
    while (now() < end) {
        runtime_.context().restart();
        runtime_.context().run_for(10ms);
        tick();
    }
}

Report World::run()
{
    runFor(settle);
    faultsEnabled_ = true;
    runFor(plan_.length);
    faultsEnabled_ = false;
    note("kill all VMs");
    for (Vm &vm : vms_) {
        vm.startAt = now() + finalOutage;
        vm.process->signal(SIGKILL);
    }
    runFor(finalOutage + bounds_.recovery / 2);
    takeCounts();
    runFor(settle);
    const CallerCounts recovered = takeCounts();
    report_.recoveredShare =
        recovered.asked == 0 ? 0 : static_cast<double>(recovered.served) / static_cast<double>(recovered.asked);
    if (report_.recoveredShare < bounds_.recoveredShare) {
        promises_.report("recovery", "less than a quarter of the requests is served after the final fault", now());
    }
    report_.violations = promises_.violations();
    return report_;
}

} // namespace boragelug::soak
