// Another writer puts an incomplete entry under the key of a host that runs; the host's next heartbeat puts its own
// entry back. The machines go on taking the host for ended: they reset its flows after a pause, and send it no new
// ones.
#include "../standins/deployment.h"

namespace
{

using namespace review;

constexpr double heartbeat = 1.2;
constexpr double pause = 6;

/// A host's entry without "version", "cold_left_ms", "sequence" and "born".
std::string incompleteValue(const HostEntry &entry)
{
    return R"({"service":")" + entry.service + R"(","address":")" + text(entry.address) + R"(","zone":")" + entry.zone
        + R"(","concurrency":3,"state":"ready"})";
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

    // Long flows: a request, a pause below idle_timeout_ms, and another request.
    std::vector<std::shared_ptr<ConsumerFlow>> paused;
    world.openFlows("long", 0.05, loop.now() + 2, [&](const auto &flow) {
        world.consumer.request(flow);
        loop.after(2.5 + pause, [&, flow] {
            if (world.holder(*flow) == &host && !flow->ended) {
                paused.push_back(flow);
            }
            world.consumer.request(flow);
        });
    });
    loop.runUntil(loop.now() + 2.5);
    const std::uint64_t openedBefore = host.flowsOpened();
    if (!withoutTrouble()) {
        world.store.put(hostKey(host.entry()), incompleteValue(host.entry()));
        world.record.line(
            "another writer puts %s: %s", hostKey(host.entry()).c_str(), incompleteValue(host.entry()).c_str());
    }
    const double written = loop.now();
    loop.runUntil(written + heartbeat);
    ++host.entry().sequence;
    world.registerHost(host);
    world.record.line("host %s puts its own entry: %s", host.entry().id.c_str(), hostValue(host.entry()).c_str());

    // New flows, from 3 s after the entry is back.
    loop.runUntil(loop.now() + 3);
    std::size_t fresh = 0;
    world.openFlows("late", 0.1, written + 12, [&](const auto &flow) {
        ++fresh;
        world.consumer.request(flow);
        loop.after(0.5, [&world, flow] { world.consumer.finish(flow); });
    });
    loop.runUntil(written + 13);

    std::size_t reset = 0;
    std::size_t unsafeReset = 0;
    for (const auto &flow : paused) {
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
                   !paused.empty(),
                   reset > 0,
                   std::to_string(paused.size()) + " flows were open at the host after a pause, "
                       + std::to_string(reset) + " of them reset by the system (" + std::to_string(unsafeReset)
                       + " of an unsafe route); of " + std::to_string(fresh) + " later flows the host got "
                       + std::to_string(host.flowsOpened() - openedBefore));
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
