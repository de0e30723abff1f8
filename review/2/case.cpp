// Another writer puts an entry of a service that isn't named in the desired state, at the address of a host that runs.
// The machines take the host for ended: they reset its flows.
#include "../standins/deployment.h"

namespace
{

using namespace review;

/// Time between two requests on a flow.
constexpr double requestInterval = 0.5;

void repeatRequests(Deployment &world, const std::shared_ptr<ConsumerFlow> &flow, double end)
{
    if (world.loop.now() >= end || flow->ended) {
        return;
    }
    world.consumer.request(flow);
    world.loop.after(requestInterval, [&world, flow, end] { repeatRequests(world, flow, end); });
}

int run(const std::string &recordPath)
{
    Deployment world(recordPath);
    Loop &loop = world.loop;
    world.writeConfig("ledger");
    for (unsigned i = 1; i <= 4; ++i) {
        world.addHost("7f3a91c20" + std::to_string(i), "ledger", world.fleet.ip(40, i), world.fleet.ports().host);
    }
    Host &host = *world.hosts.front();
    world.startMachines(4, 3);

    const double end = loop.now() + 12;
    std::vector<std::shared_ptr<ConsumerFlow>> flows;
    world.openFlows("flow", 0.1, loop.now() + 4, [&](const auto &flow) {
        flows.push_back(flow);
        repeatRequests(world, flow, end);
    });
    loop.runUntil(loop.now() + 5);
    std::vector<std::shared_ptr<ConsumerFlow>> atHost;
    for (const auto &flow : flows) {
        if (world.holder(*flow) == &host && !flow->ended) {
            atHost.push_back(flow);
        }
    }
    const std::uint64_t openedBefore = host.flowsOpened();

    if (!withoutTrouble()) {
        HostEntry other = host.entry();
        other.id = "e4d2c0b801";
        other.service = "disk-watch";
        other.born = unixMilliseconds();
        world.store.put(hostKey(other), hostValue(other));
        world.record.line("another writer puts %s: %s", hostKey(other).c_str(), hostValue(other).c_str());
    }
    // New flows after the entry.
    loop.runUntil(loop.now() + 1);
    world.openFlows("late", 0.1, loop.now() + 4, [&](const auto &flow) { repeatRequests(world, flow, end); });
    loop.runUntil(end + 0.5);

    std::size_t reset = 0;
    std::size_t unsafeReset = 0;
    for (const auto &flow : atHost) {
        if (flow->resetBySystem && world.holder(*flow) == &host) {
            ++reset;
            unsafeReset += flow->entry == world.unsafeRoute() ? 1 : 0;
            world.record.line("FLOW broken: %s was open at host %s, which has run since %.3f s and still holds it; the "
                              "system reset it at %.3f s",
                              flow->name.c_str(),
                              host.entry().id.c_str(),
                              host.startedAt(),
                              flow->resetAt);
        }
    }
    return verdict(world,
                   !atHost.empty(),
                   reset > 0,
                   std::to_string(atHost.size()) + " flows were open at the host, " + std::to_string(reset)
                       + " of them reset by the system (" + std::to_string(unsafeReset)
                       + " of an unsafe route); new flows at the host afterwards: "
                       + std::to_string(host.flowsOpened() - openedBefore));
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
