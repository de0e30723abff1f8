// Case 9: many users come at once at one host, which is full for as long as its first requests take.
#include "deployment.h"

using namespace review;

namespace
{

constexpr std::size_t ledgerHosts = 6;
/// Slots and queue of a ledger host, and the mean and the longest work of a price-feed, in the site file.
constexpr std::size_t slots = 2;
constexpr std::size_t queue = 8;
constexpr Milliseconds usualWork { 55 };
constexpr Milliseconds longestWork { 330 };
constexpr int flows = 150;
/// Requests that come at once, enough to fill the host again when its earlier requests end.
constexpr std::size_t burst = 16;
constexpr Milliseconds secondPart { 60 };

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Deployment deployment(options);
    Record &record = deployment.record();
    Loop &loop = deployment.loop();
    int resets = 0;
    Host::Callbacks callbacks;
    callbacks.onRun = [&](const Host &host, const std::string &id, const Address &) {
        record.line("host " + host.key() + " runs request " + id);
    };
    const std::vector<std::string> zones { "kgd-north", "kgd-south" };
    for (std::size_t i = 0; i < ledgerHosts; ++i) {
        deployment.addHost("ledger", zones[i % 2], usualWork, callbacks, false, slots, queue);
    }
    deployment.routes() = { { deployment.address(5, 1, 443), "ledger", "safe" } };
    deployment.writeConfig(7);
    for (std::size_t i = 0; i < 6; ++i) {
        deployment.addVm(zones[i % 2]);
        deployment.addConsumer(zones[i % 2]);
    }
    for (std::size_t i = 0; i < deployment.consumers(); ++i) {
        deployment.consumer(i).onSystemReset = [&](const FlowEnds &ends, const std::string &id) {
            for (const auto &each : deployment.hosts()) {
                if (each->holds(ends)) {
                    ++resets;
                    record.line("the system reset the flow of request " + id + ", which is open at host " + each->key()
                                + ": FLOW is broken");
                }
            }
        };
    }
    if (!deployment.start()) {
        return couldNotRun;
    }
    const Time start = loop.now();
    const Address route = deployment.routes()[0].address;
    for (int i = 0; i < flows; ++i) {
        loop.at(start + Milliseconds(3000 + 40 * i), [&deployment, route, i] {
            deployment.consumer(static_cast<std::size_t>(i)).request(route, "first-" + std::to_string(i), true);
        });
    }
    // The usual load, on flows of their own.
    for (int i = 0; i < 1500; ++i) {
        loop.at(start + Milliseconds(3000 + 8 * i), [&deployment, route, i] {
            deployment.consumer(static_cast<std::size_t>(i)).request(route, "usual-" + std::to_string(i));
        });
    }
    Host &host = *deployment.hosts()[0];
    std::size_t further = 0;
    loop.at(start + Milliseconds(10'000), [&] {
        host.setWork(longestWork);
        for (std::size_t i = 0; i < deployment.consumers(); ++i) {
            Consumer &consumer = deployment.consumer(i);
            for (const FlowEnds &ends : consumer.idleFlows()) {
                if (host.holds(ends) && further < burst) {
                    const std::string id = "further-" + std::to_string(further);
                    const Milliseconds atOnce = further < slots + queue ? Milliseconds(0) : secondPart;
                    const Milliseconds delay = options.trouble ? atOnce : Milliseconds(300 * further);
                    ++further;
                    loop.after(delay, [&consumer, port = ends.consumer.port, id] { consumer.requestAgain(port, id); });
                }
            }
        }
    });
    loop.at(start + Milliseconds(15'500), [&] { host.setWork(usualWork); });
    loop.runUntil(start + Milliseconds(19'000));
    const bool clean = deployment.stop();
    const Consumer::Counts counts = deployment.counts();
    printf("%d flows, %zu further requests at one host; %llu of %llu requests answered; %d open flows reset\n",
           flows,
           further,
           static_cast<unsigned long long>(counts.served),
           static_cast<unsigned long long>(counts.sent),
           resets);
    if (!clean || further < burst) {
        return couldNotRun;
    }
    return resets > 0 ? broken : held;
}
