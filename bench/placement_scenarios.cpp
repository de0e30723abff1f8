#include "bench/baselines.h"
#include "core/hash.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <string>
#include <vector>

namespace
{

using namespace boragelug;
using std::chrono::seconds;

struct Way
{
    const char *name;
    std::unique_ptr<FleetRouter> (*factory)(std::uint64_t, std::size_t);
    Preference prefer = Preference::FlowContinuity;
};

constexpr std::array ways { Way { "1 hash modulo", makeModuloRouter },
                            Way { "2 rendezvous", makeRendezvousRouter },
                            Way { "3 local table", makeTableRouter },
                            Way { "4 tracking (JET)", makeTrackingRouter },
                            Way { "5 FlowRouter, continuity", makeFlowRouter },
                            Way { "5 FlowRouter, even load", makeFlowRouter, Preference::EvenLoad } };

FleetSettings settingsFor(const Way &way)
{
    FleetSettings settings;
    settings.seed = 42;
    settings.prefer = way.prefer;
    settings.udpFraction = 0;
    return settings;
}

struct ChurnResult
{
    std::size_t broken = 0;
    std::uint64_t opened = 0;
    std::uint64_t misdelivered = 0;
    std::uint64_t foreign = 0;
    double hops = 0;
    double controlRate = 0;
    double shareLate = 0;
};

/// One drain and one replacement a minute with a cold start and a reused address, views up to 10 s apart.
ChurnResult runChurn(const Way &way, double newFlowsPerVm, double lifetime, std::uint32_t connections)
{
    FleetSettings settings = settingsFor(way);
    settings.newFlowsPerSecond = newFlowsPerVm * 8;
    settings.meanLifetimeSeconds = lifetime;
    settings.connectionsPerHost = connections;
    settings.maxFlows = 400'000;
    settings.packetIntervalSeconds = 2;
    Fleet fleet(settings, way.factory);
    fleet.run(seconds(10));
    fleet.drainHost(1);
    fleet.leaveVm(3);
    fleet.joinVm(2);
    fleet.publish();
    fleet.run(seconds(20));
    fleet.startHost({ 1 }, 1);
    // A host of the second service.
    fleet.reuseAddress(16, { 1 });
    fleet.publish();
    fleet.run(seconds(30));
    const FleetResults &results = fleet.results();
    return { results.broken.size(),
             results.opened,
             results.misdelivered,
             results.foreignDropped,
             static_cast<double>(results.redirects) / static_cast<double>(results.delivered),
             static_cast<double>(results.controlBytes) / 60 / 8 };
}

struct Balance
{
    double worst = 0;
    double sum = 0;
    int samples = 0;

    double mean() const { return samples == 0 ? 0 : sum / samples; }
};

void sample(Fleet &fleet, Balance &balance, bool byWork)
{
    double highest = 0;
    double total = 0;
    int count = 0;
    for (const FleetHost &host : fleet.hosts()) {
        if (host.upstream.service.value == 1 && host.alive && host.upstream.state == UpstreamState::Active) {
            const double load = byWork ? host.work : static_cast<double>(host.openFlows);
            highest = std::max(highest, load);
            total += load;
            ++count;
        }
    }
    const double ratio = highest / (total / count);
    balance.worst = std::max(balance.worst, ratio);
    balance.sum += ratio;
    ++balance.samples;
}

enum class Load { Steady, Change, Lying, Old, Heavy };

double reportedLoad(const FleetHost &host)
{
    return host.work / 2000;
}

void addReports(Fleet &fleet, Load load, std::vector<std::vector<double>> &history)
{
    fleet.report = [&fleet, load, &history](const FleetHost &host, TimePoint now) {
        LoadReport report { host.upstream.id, host.upstream.incarnation, reportedLoad(host), true, now };
        const auto index = static_cast<std::size_t>(&host - fleet.hosts().data());
        if (load == Load::Lying) {
            // One host reports no load, one reports half and one twice of what it has.
            constexpr std::array lies { 0.0, 0.5, 2.0 };
            report.load *= index < lies.size() ? lies[index] : 1;
        } else if (load == Load::Old && history.size() > 100) {
            report.load = history[history.size() - 100][index];
            report.reportedAt = now - seconds(5);
        }
        return report;
    };
}

/// 14 hosts at 70 % of 2,000 connections; samples once a second for a minute.
Balance runBalance(const Way &way, Load load)
{
    constexpr double openFlows = 14 * 2000 * 0.7;
    FleetSettings settings = settingsFor(way);
    settings.maxFlows = 100'000;
    settings.meanLifetimeSeconds = 60;
    settings.packetIntervalSeconds = 10;
    // A tenth of the flows goes to the second service.
    settings.newFlowsPerSecond = openFlows / 10 / 0.9;
    Fleet fleet(settings, way.factory);
    std::vector<std::vector<double>> history;
    addReports(fleet, load, history);
    if (load == Load::Heavy) {
        fleet.weight = [](Random &random) { return random.below(100) == 0 ? 50.0 : 1.0; };
    }
    fleet.everyStep = [&history](Fleet &f) {
        history.emplace_back();
        for (const FleetHost &host : f.hosts()) {
            history.back().push_back(reportedLoad(host));
        }
    };
    fleet.run(seconds(11));
    fleet.settings.newFlowsPerSecond = openFlows / settings.meanLifetimeSeconds / 0.9;
    fleet.run(seconds(load == Load::Change ? 20 : 90));
    if (load == Load::Change) {
        fleet.drainHost(1);
        fleet.startHost({ 1 }, 2);
        fleet.publish();
    }
    Balance balance;
    for (int second = 0; second < 60; ++second) {
        fleet.run(seconds(1));
        sample(fleet, balance, load == Load::Heavy);
    }
    return balance;
}

struct Cost
{
    double medianNs = 0;
    double p99Ns = 0;
    double bytesPerFlow = 0;
};

double nowNs()
{
    return static_cast<double>(std::chrono::steady_clock::now().time_since_epoch().count());
}

/// Decisions on packets of known flows in random order, on one VM that knows no others.
Cost measureCost(const Way &way)
{
    constexpr std::size_t flows = 400'000;
    FleetSettings settings = settingsFor(way);
    settings.vmsPerZone = { 1 };
    settings.hostsPerZone = { 14 };
    settings.connectionsPerHost = 100'000;
    settings.maxFlows = flows + flows / 8;
    Fleet fleet(settings, way.factory);
    FleetRouter &router = fleet.router(0);
    PacketAttributes attributes;
    attributes.entry = fleet.catalogue().entries[0].address;
    for (std::size_t i = 0; i < flows; ++i) {
        attributes.key = { mix64(i) };
        attributes.flowStart = FlowStart::Yes;
        router.route(attributes, fleet.now());
        attributes.flowStart = FlowStart::No;
        router.route(attributes, fleet.now());
    }
    Random random(1);
    std::vector<double> samples;
    std::vector<double> overhead;
    for (int i = 0; i < 300'000; ++i) {
        attributes.key = { mix64(random.below(flows)) };
        const double start = nowNs();
        const RoutingDecision decision = router.route(attributes, fleet.now());
        const double end = nowNs();
        samples.push_back(end - start);
        overhead.push_back(nowNs() - end);
        if (std::holds_alternative<RefusePacket>(decision)) {
            std::printf("unexpected refusal\n");
        }
    }
    std::ranges::sort(samples);
    std::ranges::sort(overhead);
    const double clock = overhead[overhead.size() / 2];
    return { samples[samples.size() / 2] - clock,
             samples[samples.size() * 99 / 100] - clock,
             static_cast<double>(router.tableBytes()) / static_cast<double>(settings.maxFlows) };
}

std::string text(const char *format, double value)
{
    std::array<char, 64> buffer {};
    std::snprintf(buffer.data(), buffer.size(), format, value);
    return buffer.data();
}

void printRow(const Way &way)
{
    const ChurnResult churn = runChurn(way, 40, 60, 2000);
    const ChurnResult busy = runChurn(way, 2000, 4, 20'000);
    std::printf("| %s | %zu of %" PRIu64 " | %zu of %" PRIu64 " | %" PRIu64 " | %" PRIu64 " |",
                way.name,
                churn.broken,
                churn.opened,
                busy.broken,
                busy.opened,
                churn.misdelivered + busy.misdelivered,
                churn.foreign + busy.foreign);
    for (const Load load : { Load::Steady, Load::Change, Load::Lying, Load::Old, Load::Heavy }) {
        const Balance balance = runBalance(way, load);
        std::printf(" %s (%s) |", text("%.3f", balance.mean()).c_str(), text("%.3f", balance.worst).c_str());
    }
    const Cost cost = measureCost(way);
    std::printf(" %.0f | %.0f | %.2f | %.2f | %.0f / %.0f | %.1f |\n",
                churn.controlRate,
                busy.controlRate,
                churn.hops,
                busy.hops,
                cost.medianNs,
                cost.p99Ns,
                cost.bytesPerFlow);
    std::fflush(stdout);
}

} // namespace

int main()
{
    std::printf(
        "| way | broken, 40 new flows/s per VM | broken, 2,000 new flows/s per VM | misdelivered | dropped by VNI "
        "| max/mean steady | drain + cold start | lying reports | 5 s old reports | heavy flows, by work "
        "| control B/s per VM, 40/s | control B/s per VM, 2,000/s | extra hops, 40/s | extra hops, 2,000/s "
        "| ns/decision median / p99 | bytes/flow |\n");
    std::printf("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const Way &way : ways) {
        printRow(way);
    }
    return 0;
}
