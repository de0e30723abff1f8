// Case 7: another writer's entry without "sequence" stands under an id of its own, with the address of a host that
// runs.
#include "deployment.h"

using namespace review;

namespace
{

constexpr std::size_t ledgerHosts = 6;
constexpr std::size_t slots = 3;
/// The mean and the longest work of a lot-confirm in the site file.
constexpr Milliseconds usualWork { 72 };
constexpr Milliseconds longestWork { 430 };
constexpr int flows = 72;

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
        deployment.addHost("ledger", zones[i % 2], usualWork, callbacks, false, slots);
    }
    deployment.routes() = { { deployment.address(5, 1, 443), "ledger", "unsafe" } };
    deployment.writeConfig(7);
    for (std::size_t i = 0; i < 6; ++i) {
        deployment.addVm(zones[i % 2]);
        deployment.addConsumer(zones[i % 2]);
    }
    Host &host = *deployment.hosts()[0];
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
        loop.at(start + Milliseconds(3000 + 60 * i), [&deployment, route, i] {
            deployment.consumer(static_cast<std::size_t>(i)).request(route, "first-" + std::to_string(i), true);
        });
    }
    const std::string key = "servers/i-00c0ffee01";
    const Time foreign = start + Milliseconds(9000);
    if (options.trouble) {
        loop.at(foreign, [&] {
            deployment.store().set(key, host.entryWithoutSequence("ledger", "ready") + '}');
            record.line("another writer writes " + key + ": the address of host " + host.key() + ", no sequence");
        });
        // Nobody writes it again, so that it is removed after three heartbeat intervals.
        loop.at(foreign + Milliseconds(3600), [&] { deployment.store().remove(key); });
    }
    std::size_t further = 0;
    loop.at(foreign + Milliseconds(2500), [&] {
        host.setWork(longestWork);
        for (std::size_t i = 0; i < deployment.consumers(); ++i) {
            for (const FlowEnds &ends : deployment.consumer(i).idleFlows()) {
                if (host.holds(ends)) {
                    deployment.consumer(i).requestAgain(ends.consumer.port, "further-" + std::to_string(further++));
                }
            }
        }
    });
    loop.runUntil(start + Milliseconds(15'000));
    const bool clean = deployment.stop();
    const Consumer::Counts counts = deployment.counts();
    printf("%d flows, %zu further requests at one host; %llu answered, %llu without an answer; %d open flows reset\n",
           flows,
           further,
           static_cast<unsigned long long>(counts.served),
           static_cast<unsigned long long>(counts.unanswered),
           resets);
    if (!clean || further < slots * 2) {
        return couldNotRun;
    }
    return resets > 0 ? broken : held;
}
