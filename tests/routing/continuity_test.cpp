#include "tests/routing/fleet.h"

#include <gtest/gtest.h>

#include <array>

namespace boragelug
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A planned change to a fleet. The occurrence is 0 for the first change of a run and 1 for the second, so that the
/// same change made twice affects different VMs or hosts.
struct PlannedChange
{
    const char *name;
    void (*apply)(Fleet &, std::size_t occurrence);
};

const std::array plannedChanges {
    PlannedChange {
        "VM joins",
        [](Fleet &fleet, std::size_t occurrence) { fleet.joinVm(static_cast<std::uint16_t>(1 + occurrence)); } },
    PlannedChange { "VM leaves", [](Fleet &fleet, std::size_t occurrence) { fleet.leaveVm(2 + occurrence * 3); } },
    PlannedChange { "VM is replaced",
                    [](Fleet &fleet, std::size_t occurrence) {
                        fleet.leaveVm(3 + occurrence * 3);
                        fleet.joinVm(2);
                    } },
    PlannedChange { "upstream drains",
                    [](Fleet &fleet, std::size_t occurrence) { fleet.drainHost(1 + occurrence * 6); } },
    PlannedChange { "upstream starts cold",
                    [](Fleet &fleet, std::size_t /*occurrence*/) { fleet.startHost({ 1 }, 2); } },
    PlannedChange { "catalogue changes",
                    [](Fleet &fleet, std::size_t occurrence) {
                        Entry entry = fleet.catalogue().entries[occurrence];
                        entry.address.address.value += 100;
                        fleet.catalogue().entries.push_back(entry);
                        fleet.catalogue().entries[1].prefer = Preference::EvenLoad;
                        fleet.catalogue().services[occurrence].connectionsPerHost = 2500;
                    } },
};

FleetResults runChanges(std::size_t first, std::size_t second, std::uint64_t seed, const RouterFactory &factory)
{
    FleetSettings settings;
    settings.seed = seed;
    settings.prefer = seed % 2 == 0 ? Preference::EvenLoad : Preference::FlowContinuity;
    Fleet fleet(settings, factory);
    fleet.run(seconds(20));
    plannedChanges[first].apply(fleet, 0);
    plannedChanges[second].apply(fleet, 1);
    fleet.publish();
    fleet.run(seconds(60));
    return fleet.results();
}

class PlannedChangesTest : public testing::TestWithParam<std::size_t>
{ };

// Guards against flows broken by planned changes, up to two at once, which the VMs receive up to 10 s apart (design
// G1).
TEST_P(PlannedChangesTest, BreakNoFlow)
{
    const std::size_t first = GetParam();
    for (std::size_t second = first; second < plannedChanges.size(); ++second) {
        const std::uint64_t seed = 100 + first * 10 + second;
        SCOPED_TRACE(testing::Message() << plannedChanges[first].name << ", " << plannedChanges[second].name
                                        << ", seed " << seed);
        const FleetResults results = runChanges(first, second, seed, makeFlowRouter);
        EXPECT_EQ(results.broken.size(), 0U);
        EXPECT_EQ(results.misdelivered, 0U);
        EXPECT_EQ(results.loops, 0U);
        EXPECT_EQ(results.placedOnLeaving, 0U);
        EXPECT_GT(results.opened, 1000U);
    }
}

INSTANTIATE_TEST_SUITE_P(All, PlannedChangesTest, testing::Range(std::size_t { 0 }, plannedChanges.size()));

// Verifies that the test above detects broken flows: the stateless baseline must break some.
TEST(PlannedChanges, BreakFlowsOfNaiveBaseline)
{
    EXPECT_GT(runChanges(3, 3, 133, makeModuloRouter).broken.size(), 100U);
    EXPECT_GT(runChanges(4, 4, 144, makeModuloRouter).broken.size(), 100U);
}

std::size_t brokenOlderThan(const FleetResults &results, TimePoint time)
{
    std::size_t count = 0;
    for (const BrokenFlow &flow : results.broken) {
        count += flow.openedAt <= time ? 1 : 0;
    }
    return count;
}

// Guards against flows broken by the failure of a VM, also while an upstream drains and the views differ (design G1).
TEST(VmFailure, BreaksNoFlowOlderThanOneSecond)
{
    std::size_t younger = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        for (const auto &factory : { makeFlowRouter, makeModuloRouter }) {
            FleetSettings settings;
            settings.seed = seed;
            settings.newFlowsPerSecond = 50;
            settings.prefer = seed % 2 == 0 ? Preference::EvenLoad : Preference::FlowContinuity;
            Fleet fleet(settings, factory);
            fleet.run(seconds(20));
            if (seed > 2) {
                fleet.drainHost(seed % 14);
                fleet.publish();
                fleet.run(seconds(4));
            }
            const TimePoint failedAt = fleet.now();
            fleet.killVm(seed % 8);
            fleet.run(seconds(5));
            fleet.publish();
            fleet.run(seconds(60));
            if (factory == makeFlowRouter) {
                EXPECT_EQ(brokenOlderThan(fleet.results(), failedAt - seconds(1)), 0U);
                EXPECT_EQ(fleet.results().placedOnLeaving, 0U);
                EXPECT_EQ(fleet.results().loops, 0U);
                younger += fleet.results().broken.size();
            } else if (seed > 2) {
                EXPECT_GT(fleet.results().broken.size(), 50U);
            }
        }
    }
    std::printf("one VM failure, 8 runs: %zu flows younger than 1 s broken\n", younger);
}

/// Open and broken flows of a run in which two VMs fail within a second during a drain.
std::pair<std::size_t, std::size_t> runTwoFailures(std::uint64_t seed, const RouterFactory &factory)
{
    FleetSettings settings;
    settings.seed = seed;
    settings.newFlowsPerSecond = 50;
    Fleet fleet(settings, factory);
    fleet.run(seconds(30));
    fleet.drainHost(seed);
    fleet.publish();
    fleet.run(seconds(3));
    const std::size_t open = fleet.flows().size();
    fleet.killVm(seed % 8);
    fleet.run(milliseconds(900));
    fleet.killVm((seed + 3) % 8);
    fleet.run(seconds(60));
    return { open, fleet.results().broken.size() };
}

// Guards the third copy of flow entries: two VM failures within a second during a drain must break less than 0.1 % of
// the open flows.
TEST(TwoVmFailures, BreakFewFlows)
{
    std::size_t open = 0;
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto [openFlows, brokenFlows] = runTwoFailures(seed, makeFlowRouter);
        open += openFlows;
        broken += brokenFlows;
    }
    std::printf("two VM failures: %zu of %zu open flows broken\n", broken, open);
    EXPECT_LT(static_cast<double>(broken), 0.001 * static_cast<double>(open));
    EXPECT_GT(runTwoFailures(1, makeModuloRouter).second, 100U);
}

// Guards flows whose upstream is in a partitioned zone: VMs within the zone must still deliver their packets.
TEST(ZoneCutOff, LocalFlowsContinue)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        FleetSettings settings;
        settings.seed = seed;
        settings.prefer = seed % 2 == 0 ? Preference::EvenLoad : Preference::FlowContinuity;
        Fleet fleet(settings, makeFlowRouter);
        fleet.run(seconds(30));
        fleet.settings.newFlowsPerSecond = 0;
        fleet.run(seconds(2));
        fleet.partitionZone(1);
        fleet.run(seconds(3));
        std::size_t checked = 0;
        for (FleetFlow &flow : fleet.flows()) {
            if (flow.host >= 0 && fleet.hosts()[static_cast<std::size_t>(flow.host)].upstream.zone.value == 1) {
                // The first three VMs are those of the zone.
                const int vm = static_cast<int>(flow.number % 3);
                EXPECT_TRUE(fleet.sendPacket(flow, flow.udp ? FlowStart::Unknown : FlowStart::No, false, vm));
                ++checked;
            }
        }
        EXPECT_GT(checked, 100U);
        EXPECT_EQ(fleet.results().broken.size(), 0U);
    }
}

} // namespace
} // namespace boragelug
