// Case 6: another writer's entry without "sequence" stands under the id of an inspection host and names the service
// ledger.
#include "deployment.h"

using namespace review;

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Deployment deployment(options);
    Record &record = deployment.record();
    int wrong = 0;
    const auto onRun = [&](const Host &host, const std::string &id, const Address &route) {
        const std::string &service = host.settings().service;
        for (const Route &known : deployment.routes()) {
            if (known.address == route) {
                const bool allowed = known.service == service;
                wrong += allowed ? 0 : 1;
                record.line("host " + host.key() + " of " + service + " runs request " + id + " for route "
                            + text(route)
                            + (allowed ? "" : ", which only ever went to " + known.service + ": ROUTE is broken"));
            }
        }
    };
    deployment.routes() = { { deployment.address(5, 1, 443), "ledger", "unsafe" },
                            { deployment.address(5, 2, 443), "inspection", "upload" } };
    const std::vector<std::string> zones { "kgd-north", "kgd-south" };
    for (std::size_t i = 0; i < 6; ++i) {
        deployment.addHost("ledger", zones[i % 2], Milliseconds(30), { .onRun = onRun, .onOpening = {} });
    }
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.addHost("inspection", zones[i % 2], Milliseconds(5), { .onRun = onRun, .onOpening = {} });
    }
    deployment.writeConfig(7);
    for (std::size_t i = 0; i < 4; ++i) {
        deployment.addVm(zones[i % 2]);
        deployment.addConsumer(zones[i % 2]);
    }
    if (!deployment.start()) {
        return couldNotRun;
    }
    Loop &loop = deployment.loop();
    const Time start = loop.now();
    for (int i = 0; i < 1000; ++i) {
        loop.at(start + Milliseconds(10 * i), [&deployment, i] {
            const Route &route = deployment.routes()[i % 4 == 3 ? 1 : 0];
            deployment.consumer(static_cast<std::size_t>(i) * 7 / 3).request(route.address, "q" + std::to_string(i));
        });
    }
    const Host &victim = *deployment.hosts()[6];
    if (options.trouble) {
        loop.at(start + Milliseconds(5000), [&] {
            deployment.afterBeat(victim, [&] {
                deployment.store().set(victim.key(), victim.entryWithoutSequence("ledger", "ready") + '}');
                record.line("another writer writes " + victim.key() + ": service ledger, no sequence");
            });
        });
    }
    loop.runUntil(start + Milliseconds(13'000));
    const bool clean = deployment.stop();
    const Consumer::Counts counts = deployment.counts();
    printf("%llu requests, %llu answered, %llu reset, %llu without an answer; %d run by a wrong service\n",
           static_cast<unsigned long long>(counts.sent),
           static_cast<unsigned long long>(counts.served),
           static_cast<unsigned long long>(counts.reset),
           static_cast<unsigned long long>(counts.unanswered),
           wrong);
    if (!clean || counts.served < counts.sent * 9 / 10) {
        return couldNotRun;
    }
    return wrong > 0 ? broken : held;
}
