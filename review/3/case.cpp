// The store drops its history while a relay has not yet read the latest changes. The relay lists again, in two pages,
// and answers its followers after the first: they never learn what is on the second, here that a host drains.
#include "../standins/deployment.h"

#include <algorithm>
#include <array>

namespace
{

using namespace review;

/// As on the large deployment: 480 + 120 hosts.
constexpr unsigned idleHosts = 586;
constexpr unsigned hostCount = 14;
constexpr double drainTime = 3;
constexpr double contact = 4;
/// How long the host goes on after its entry says that it drains.
constexpr double lingering = 14;

/// Hosts of a service that gets no traffic; they sort before those of "ledger".
void addIdleHosts(Deployment &world)
{
    for (unsigned i = 0; i < idleHosts; ++i) {
        std::array<char, 16> id {};
        std::snprintf(id.data(), id.size(), "1a00000%03x", i);
        world.addHost(
            id.data(), "inspection", world.fleet.ip(40 + i / 200, 1 + i % 200), world.fleet.ports().metrics, false);
    }
}

int run(const std::string &recordPath)
{
    Deployment world(recordPath);
    Loop &loop = world.loop;
    world.writeConfig("ledger");
    addIdleHosts(world);
    for (unsigned i = 1; i <= hostCount; ++i) {
        std::array<char, 16> id {};
        std::snprintf(id.data(), id.size(), "f03a91c2%02x", i);
        world.addHost(id.data(), "ledger", world.fleet.ip(60, i), world.fleet.ports().host);
    }
    Host &old = *world.hosts.back();
    world.startMachines(5, 3);

    std::vector<std::shared_ptr<ConsumerFlow>> flows;
    const double end = loop.now() + 2 + lingering;
    world.openFlows("flow", 0.04, end, [&](const auto &flow) {
        world.consumer.request(flow);
        loop.after(0.5, [&world, flow] { world.consumer.finish(flow); });
    });
    loop.runUntil(loop.now() + 2);

    // A release: the new host starts first, then the old one drains.
    Host &fresh = world.addHost("f03a91c2a0", "ledger", world.fleet.ip(60, 100), world.fleet.ports().host);
    fresh.entry().coldLeftMs = 2000;
    for (int beat = 1; beat <= 2; ++beat) {
        loop.after(1.2 * beat, [&world, &fresh, beat] {
            fresh.entry().coldLeftMs = beat == 1 ? 800 : 0;
            world.registerHost(fresh);
        });
    }
    loop.runUntil(loop.now() + 0.06);
    old.entry().state = "draining";
    world.registerHost(old);
    const double acknowledged = loop.now();
    world.record.line("host %s reports that it drains, acknowledged", old.entry().id.c_str());
    loop.runUntil(loop.now() + 0.06);
    const double dropped = loop.now();
    if (!withoutTrouble()) {
        world.store.dropHistory();
    }

    std::size_t late = 0;
    std::map<std::string, std::size_t> byMachine;
    const double bound = std::max(acknowledged + drainTime, dropped + contact);
    old.onSyn = [&](const Packet &syn) {
        const auto flow = world.consumer.flows().find(syn.from.port);
        // A machine may have taken a packet that it queued before it was in touch again.
        if (flow != world.consumer.flows().end() && flow->second->sentAt > bound) {
            ++late;
            ++byMachine[flow->second->lastMachine];
            world.record.line("DRAIN broken: %s opens at host %s through %s, %.3f s after the acknowledgement",
                              flow->second->name.c_str(),
                              old.entry().id.c_str(),
                              flow->second->lastMachine.c_str(),
                              loop.now() - acknowledged);
        }
    };
    loop.runUntil(acknowledged + lingering);
    std::string machines;
    for (const auto &[name, count] : byMachine) {
        machines += " " + name + " " + std::to_string(count);
    }
    return verdict(world,
                   true,
                   late > 0,
                   std::to_string(late)
                       + " flows reached the draining host later than drain_ms after the acknowledgement"
                       + (machines.empty() ? "" : ", through" + machines));
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
