// The settings change: grace_s becomes a fraction, 5.5. When the processes are started again, as after a kill of all of
// them, none starts, and nothing is served any more.
#include "../standins/deployment.h"

namespace
{

using namespace review;

constexpr double downTime = 1.1;
constexpr double recovery = 12;

int run(const std::string &recordPath)
{
    Deployment world(recordPath);
    Loop &loop = world.loop;
    world.writeConfig("ledger");
    for (unsigned i = 1; i <= 4; ++i) {
        world.addHost("7f3a91c20" + std::to_string(i), "ledger", world.fleet.ip(40, i), world.fleet.ports().host);
    }
    world.startMachines(4, 3);

    const auto load = [&](double length) {
        std::vector<std::shared_ptr<ConsumerFlow>> served;
        const std::size_t before = world.consumer.flows().size();
        world.openFlows("load", 0.1, loop.now() + length, [&](const auto &flow) {
            served.push_back(flow);
            world.consumer.request(flow);
        });
        loop.runUntil(loop.now() + length + 3);
        std::size_t answers = 0;
        for (const auto &flow : served) {
            answers += flow->answers;
            world.consumer.finish(flow);
        }
        const std::size_t sent = world.consumer.flows().size() - before;
        world.record.line("%zu of %zu requests were served", answers, sent);
        return std::pair(answers, sent);
    };
    const auto [servedBefore, sentBefore] = load(5);
    if (!withoutTrouble()) {
        world.fleet.changeGrace("5.5");
    }
    loop.runUntil(loop.now() + 2);
    world.fleet.killAll(downTime);
    // A second more, as the machines are back some milliseconds later.
    loop.runUntil(loop.now() + downTime + recovery + 1);
    const auto [servedAfter, sentAfter] = load(5);
    return verdict(world,
                   servedBefore * 4 >= sentBefore,
                   servedAfter * 4 < sentAfter && servedBefore * 4 >= sentBefore,
                   std::to_string(servedBefore) + " of " + std::to_string(sentBefore) + " requests served before, "
                       + std::to_string(servedAfter) + " of " + std::to_string(sentAfter)
                       + " later than recovery_s after the machines were back; " + std::to_string(world.fleet.ends())
                       + " processes ended by themselves");
}

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, run);
}
