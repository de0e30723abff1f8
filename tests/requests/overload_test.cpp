#include "bench/request_world.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragelug
{

namespace
{

using std::chrono::seconds;

struct Deployment
{
    const char *name;
    std::uint32_t vms;
    std::uint32_t zones;
    std::uint32_t slotsPerHost;
    Duration zoneLatency;
};

constexpr std::array deployments { Deployment { "14 x 3", 8, 3, 3, std::chrono::microseconds(500) },
                                   Deployment { "14 x 2", 8, 4, 2, std::chrono::microseconds(1400) } };

WorldConfig loadedConfig(const Deployment &deployment, double load, std::uint64_t seed)
{
    WorldConfig config;
    config.seed = seed;
    config.vms = deployment.vms;
    config.zones = deployment.zones;
    config.hosts = 14;
    config.slotsPerHost = deployment.slotsPerHost;
    config.zoneLatency = deployment.zoneLatency;
    config.serviceTime = milliseconds(50);
    config.timeout = milliseconds(1000);
    config.loadTime = seconds(20);
    config.critical = 0.3;
    config.important = 0.3;
    config.copies = 1;
    config.requestsPerSecond = load * 14.0 * deployment.slotsPerHost / 0.05;
    config.dispatcher.leaseTime = std::chrono::milliseconds(5000);
    return config;
}

double usefulCapacityFraction(const WorldConfig &config, const WorldResult &result)
{
    // Requests that arrive at the end of the load may run for up to one timeout longer, so the capacity in that time
    // counts too.
    const double time = std::chrono::duration<double>(config.loadTime + config.timeout).count();
    const double slotTime = 14.0 * config.slotsPerHost * time;
    return std::chrono::duration<double>(result.usefulTime).count() / slotTime;
}

double inTime(const WorldResult &result, Importance importance)
{
    const auto index = static_cast<std::size_t>(importance);
    return static_cast<double>(result.inTimeByClass.at(index)) / static_cast<double>(result.sentByClass.at(index));
}

double percentile(std::vector<Duration> values, double fraction)
{
    std::ranges::sort(values);
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    return values.empty() ? 0.0 : std::chrono::duration<double, std::milli>(values[index]).count();
}

class Overload : public testing::TestWithParam<std::uint64_t>
{ };

INSTANTIATE_TEST_SUITE_P(Seeds, Overload, testing::Values(1, 2, 3));

// Guards against an overload in which the critical class starves, or the hosts' capacity is used for requests that end
// after their deadline.
TEST_P(Overload, TwiceTheCapacityKeepsCriticalRequestsAndThroughput)
{
    for (const Deployment &deployment : deployments) {
        const std::uint64_t seed = GetParam();
        const WorldConfig config = loadedConfig(deployment, 2.0, seed);
        const WorldResult result = runWorld(config);
        WorldConfig naive = config;
        naive.naive = true;
        const WorldResult baseline = runWorld(naive);
        printf("%s seed %lu: critical in time %.4f, ordinary %.4f, useful %.3f, excess %u, borrowed %lu; "
               "naive: critical %.4f, useful %.3f, excess %u\n",
               deployment.name,
               seed,
               inTime(result, Importance::Critical),
               inTime(result, Importance::Ordinary),
               usefulCapacityFraction(config, result),
               result.worstExcess,
               result.borrowed,
               inTime(baseline, Importance::Critical),
               usefulCapacityFraction(config, baseline),
               baseline.worstExcess);
        EXPECT_GE(inTime(result, Importance::Critical), 0.99);
        EXPECT_GE(usefulCapacityFraction(config, result), 0.90);
        EXPECT_GT(inTime(result, Importance::Ordinary), 0.0);
        EXPECT_EQ(result.worstExcess, 0U);
        EXPECT_EQ(result.violations(), 0U);
        EXPECT_LT(inTime(baseline, Importance::Critical), 0.99);
    }
}

// Guards against a flood of one owner's ordinary requests that delays or displaces another owner's ordinary requests.
TEST_P(Overload, FloodOfOneOwnerDoesNotAffectTheOther)
{
    const std::uint64_t seed = GetParam();
    // Before the flood, each owner of ordinary requests is within its fair share.
    const WorldConfig calm = loadedConfig(deployments[0], 0.4, seed);
    WorldConfig flooded = calm;
    flooded.floodPerSecond = 3.0 * 14.0 * 3.0 / 0.05;
    const WorldResult before = runWorld(calm);
    const WorldResult after = runWorld(flooded);
    const double quietBefore = percentile(before.quietLatencies, 0.95);
    const double quietAfter = percentile(after.quietLatencies, 0.95);
    printf("seed %lu: 95th percentile %.1f ms before, %.1f ms under flood; refused %lu before, %lu of %lu after\n",
           seed,
           quietBefore,
           quietAfter,
           before.quietRefused,
           after.quietRefused,
           after.quietRefused + after.quietLatencies.size());
    // On a saturated host every request waits for a slot to be released, which takes at most two service times.
    EXPECT_LE(quietAfter, quietBefore + 100.0);
    EXPECT_LE(static_cast<double>(after.quietRefused), 0.01 * static_cast<double>(after.quietLatencies.size()));
}

} // namespace

} // namespace boragelug
