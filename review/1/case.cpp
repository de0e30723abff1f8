// A host starts again under its id while it is in use. Flows that open at its new lifetime before the machines have
// read its new entry pause, and are reset by the system at their next request, though the host holds them.
#include "../standins/deployment.h"

namespace
{

using namespace review;

/// As on the small deployments.
constexpr unsigned hostCount = 14;
constexpr double downTime = 0.1;
/// From the start of the host until its entry is in the store.
constexpr double registerDelay = 0.3;
constexpr double pause = 6;

int run(const std::string &recordPath)
{
    Deployment world(recordPath);
    Loop &loop = world.loop;
    world.writeConfig("ledger");
    for (unsigned i = 1; i <= hostCount; ++i) {
        world.addHost("7f3a91c2" + std::to_string(10 + i), "ledger", world.fleet.ip(40, i), world.fleet.ports().host);
    }
    Host &host = *world.hosts.front();
    world.startMachines(4, 3);

    // Ordinary load: short flows with one request.
    const double start = loop.now();
    world.openFlows("load", 0.1, start + 14, [&](const auto &flow) {
        world.consumer.request(flow);
        loop.after(0.5, [&world, flow] { world.consumer.finish(flow); });
    });
    loop.runUntil(start + 2);

    if (!withoutTrouble()) {
        world.record.line("host %s crashes", host.entry().id.c_str());
        host.stop();
        loop.runUntil(loop.now() + downTime);
        host.start();
        world.record.line("host %s starts again under its id", host.entry().id.c_str());
        loop.after(registerDelay, [&] {
            host.entry().coldLeftMs = 2000;
            world.registerHost(host);
            world.record.line("host %s has registered, born %llu",
                              host.entry().id.c_str(),
                              static_cast<unsigned long long>(host.entry().born));
        });
        for (int beat = 1; beat <= 2; ++beat) {
            loop.after(registerDelay + 1.2 * beat, [&world, &host, beat] {
                host.entry().coldLeftMs = beat == 1 ? 800 : 0;
                world.registerHost(host);
            });
        }
    }

    // Long flows: a request, a pause below idle_timeout_ms, and another request.
    std::vector<std::shared_ptr<ConsumerFlow>> paused;
    world.openFlows("long", 0.005, loop.now() + registerDelay, [&](const auto &flow) {
        world.consumer.request(flow);
        loop.after(pause, [&, flow] {
            if (world.holder(*flow) == &host) {
                paused.push_back(flow);
            }
            world.consumer.request(flow);
        });
    });
    loop.runUntil(loop.now() + pause + 3);

    std::size_t reset = 0;
    std::size_t unsafeReset = 0;
    for (const auto &flow : paused) {
        const bool held = world.holder(*flow) == &host;
        const bool calm = flow->resetAt - host.startedAt() > 4;
        if (flow->resetBySystem && held && calm) {
            ++reset;
            unsafeReset += flow->entry == world.unsafeRoute() ? 1 : 0;
            world.record.line("FLOW broken: %s was open at host %s since %.3f s, the host has run since %.3f s and "
                              "still holds it; the system reset it at %.3f s, and its request was never answered",
                              flow->name.c_str(),
                              host.entry().id.c_str(),
                              flow->openedAt,
                              host.startedAt(),
                              flow->resetAt);
        }
    }
    return verdict(world,
                   !paused.empty(),
                   reset > 0,
                   std::to_string(paused.size()) + " flows open at the host after a pause, " + std::to_string(reset)
                       + " of them reset by the system at their next request (" + std::to_string(unsafeReset)
                       + " of an unsafe route)");
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
