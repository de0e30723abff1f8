// Case 8: hosts are released one after the other, and another writer's bytes, which can't be read, stand under the id
// of each one that drains until its next heartbeat.
#include "deployment.h"

using namespace review;

namespace
{

constexpr Milliseconds drainBound { 3000 };
constexpr std::size_t ledgerHosts = 14;
/// Half of the hosts are released, and then the other half.
constexpr std::size_t releasedAtOnce = 7;
constexpr Milliseconds firstGap { 970 };
constexpr Milliseconds secondGap { 930 };
constexpr Milliseconds secondRelease { 12000 };
/// A VM that others asked for records at their start counts them as its followers for 10 s.
constexpr Milliseconds settling { 14000 };
/// At most value_bytes (1,048,576).
constexpr std::size_t foreignBytes = 1'000'000;

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    Deployment deployment(options);
    Record &record = deployment.record();
    Loop &loop = deployment.loop();
    std::map<const Host *, Time> drainingSince;
    int late = 0;
    double latest = 0;
    Host::Callbacks callbacks;
    callbacks.onOpening = [&](const Host &host, const Address &vm, const Packet &packet) {
        const auto draining = drainingSince.find(&host);
        if (draining == drainingSince.end()) {
            return;
        }
        const double seconds = std::chrono::duration<double>(loop.now() - draining->second).count();
        latest = std::max(latest, seconds);
        const bool isLate = loop.now() - draining->second > drainBound;
        late += isLate ? 1 : 0;
        record.line("a flow from " + text(packet.source) + " opens at host " + host.key() + ", through " + ipText(vm)
                    + ", " + std::to_string(seconds) + " s after the store's ack that the host drains"
                    + (isLate ? ": DRAIN is broken" : ""));
    };
    callbacks.onRun = [&](const Host &host, const std::string &id, const Address &) {
        record.line("host " + host.key() + " runs request " + id);
    };
    const std::vector<std::string> zones { "kgd-north", "kgd-south", "temirtau" };
    for (std::size_t i = 0; i < ledgerHosts; ++i) {
        deployment.addHost("ledger", zones[i % zones.size()], Milliseconds(30), callbacks);
    }
    deployment.routes() = { { deployment.address(5, 1, 443), "ledger", "unsafe" } };
    deployment.writeConfig(7);
    deployment.store().setReplicaLag(Milliseconds(1000));
    for (std::size_t i = 0; i < 6; ++i) {
        deployment.addVm(zones[i % zones.size()]);
        deployment.addConsumer(zones[i % zones.size()]);
    }
    if (!deployment.start()) {
        return couldNotRun;
    }
    const Time start = loop.now();
    constexpr int requests = 10500;
    for (int i = 0; i < requests; ++i) {
        loop.at(start + Milliseconds(4 * i), [&deployment, i] {
            deployment.consumer(static_cast<std::size_t>(i))
                .request(deployment.routes()[0].address, "q" + std::to_string(i));
        });
    }
    const std::string garbage(foreignBytes, '\xff');
    for (std::size_t i = 0; i < 2 * releasedAtOnce; ++i) {
        const Time step =
            start + settling + (i < releasedAtOnce ? firstGap * i : secondRelease + secondGap * (i - releasedAtOnce));
        // The new host starts first.
        loop.at(step,
                [&, i] { deployment.addHost("ledger", zones[i % zones.size()], Milliseconds(30), callbacks, true); });
        loop.at(step + Milliseconds(300), [&, i] {
            Host &host = *deployment.hosts()[i];
            deployment.setState(host, "draining");
            drainingSince[&host] = loop.now();
            if (options.trouble) {
                deployment.afterBeat(host, [&] {
                    deployment.store().set(host.key(), garbage);
                    record.line("another writer writes " + std::to_string(foreignBytes) + " unreadable bytes to "
                                + host.key());
                });
            }
        });
        // It serves for drain_ms and a little longer.
        loop.at(step + Milliseconds(300 + 8000), [&, i] { deployment.endHost(*deployment.hosts()[i]); });
    }
    loop.runUntil(start + Milliseconds(43'000));
    const bool clean = deployment.stop();
    const Consumer::Counts counts = deployment.counts();
    printf("%llu requests, %llu answered, %llu reset, %llu without an answer; latest opening %.3f s after an ack, %d "
           "later "
           "than drain_ms\n",
           static_cast<unsigned long long>(counts.sent),
           static_cast<unsigned long long>(counts.served),
           static_cast<unsigned long long>(counts.reset),
           static_cast<unsigned long long>(counts.unanswered),
           latest,
           late);
    if (!clean || counts.served < counts.sent * 9 / 10) {
        return couldNotRun;
    }
    return late > 0 ? broken : held;
}
