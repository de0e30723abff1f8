#include "start_simulation.h"

#include <gtest/gtest.h>

#include <iostream>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

class FleetStartTest : public ::testing::TestWithParam<std::uint64_t>
{
protected:
    StartSimulation run(StartSettings settings, Duration length = 10s) const
    {
        settings.seed = GetParam();
        StartSimulation simulation(settings);
        simulation.run(length);
        return simulation;
    }

    static double milliseconds(const std::optional<Duration> &duration)
    {
        return duration ? std::chrono::duration<double, std::milli>(*duration).count() : -1;
    }
};

// All VMs of a large fleet get power together, the relays last. If each lists the directory, none is ready before all
// of them nearly are: their listings share its bandwidth. With relays, the VMs must be ready in half of that time.
TEST_P(FleetStartTest, IsReadySoonWhenAllVmsStartTogether)
{
    StartSettings alone;
    alone.relays = 0;
    const StartSimulation naive = run(alone);
    const StartSimulation fleet = run({});
    ASSERT_TRUE(naive.readyAfter(0.95) && fleet.readyAfter(0.95) && fleet.readyAfter(1));
    std::cout << "95 % ready after " << milliseconds(fleet.readyAfter(0.95)) << " ms, each for itself "
              << milliseconds(naive.readyAfter(0.95)) << " ms; bytes " << fleet.directoryBytes() / 1e6 << " and "
              << naive.directoryBytes() / 1e6 << " MB\n";
    EXPECT_LT(*fleet.readyAfter(0.95), *naive.readyAfter(0.95) / 2);
    EXPECT_LT(fleet.directoryBytes(), naive.directoryBytes());
}

// The time and the bytes of a start must not grow with the number of VMs: at four times the size, listings by each VM
// would need four times both.
TEST_P(FleetStartTest, GrowsLittleWithTheFleet)
{
    StartSettings large;
    large.vms = 1200;
    const StartSimulation small = run({});
    const StartSimulation grown = run(large);
    ASSERT_TRUE(small.readyAfter(0.95) && grown.readyAfter(0.95));
    std::cout << "95 % of 300 and 1,200 VMs ready after " << milliseconds(small.readyAfter(0.95)) << " and "
              << milliseconds(grown.readyAfter(0.95)) << " ms; bytes " << small.directoryBytes() / 1e6 << " and "
              << grown.directoryBytes() / 1e6 << " MB\n";
    EXPECT_LT(*grown.readyAfter(0.95), *small.readyAfter(0.95) * 3 / 2);
    EXPECT_LT(grown.directoryBytes(), small.directoryBytes() * 1.5);
}

// The load of a VM must not grow with the fleet: no VM sends the records to more than its share of followers.
TEST_P(FleetStartTest, BoundsWhatAVmSends)
{
    const StartSettings settings;
    const StartSimulation fleet = run(settings);
    EXPECT_LE(fleet.maxSentBytes(), settings.recordsBytes * static_cast<double>(RelaySettings {}.maxFollowers));
}

// In a small fleet each VM can list the directory without waiting for relays that start later.
TEST_P(FleetStartTest, DelaysNoVmOfASmallFleet)
{
    StartSettings settings;
    settings.vms = 8;
    settings.listingBytes = 100'000;
    settings.relayDelay = Duration::zero();
    StartSettings alone = settings;
    alone.relays = 0;
    const StartSimulation fleet = run(settings);
    const StartSimulation naive = run(alone);
    ASSERT_TRUE(fleet.readyAfter(1) && naive.readyAfter(1));
    EXPECT_LE(*fleet.readyAfter(1), *naive.readyAfter(1) + RelayStartSettings {}.connectTimeout + 10ms);
}

// The directory is away, and one relay has kept running: all VMs must get its records.
TEST_P(FleetStartTest, StartsFromARunningRelayWhileTheDirectoryIsAway)
{
    StartSettings settings;
    settings.rejectedFraction = 1;
    settings.runningRelays = 1;
    const StartSimulation fleet = run(settings);
    ASSERT_TRUE(fleet.readyAfter(1));
    EXPECT_LT(*fleet.readyAfter(1), 2s);
}

// The directory turns away a third of the VMs, perhaps a relay among them: they must start from the others.
TEST_P(FleetStartTest, StartsWhileTheDirectoryTurnsSomeVmsAway)
{
    StartSettings settings;
    settings.rejectedFraction = 0.35;
    const StartSimulation fleet = run(settings);
    ASSERT_TRUE(fleet.readyAfter(1));
    EXPECT_LT(*fleet.readyAfter(0.95), 2s);
}

// The directory is slow to answer: the start takes longer by little more than that, and the number of calls is bounded.
TEST_P(FleetStartTest, StartsWhileTheDirectoryIsSlow)
{
    StartSettings settings;
    settings.directoryLatency = 400ms;
    const StartSimulation fleet = run(settings);
    ASSERT_TRUE(fleet.readyAfter(0.95));
    EXPECT_LT(*fleet.readyAfter(0.95), 2s);
    EXPECT_LT(fleet.directoryCalls(), 4 * settings.vms);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetStartTest, ::testing::Values(1, 2, 3));

} // namespace
} // namespace boragelug
