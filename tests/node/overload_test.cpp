#include "overload_simulation.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <utility>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr double acceptedLoss = 0.05;

class OverloadTest : public ::testing::TestWithParam<std::uint64_t>
{
protected:
    /// Plays @p settings with and without admission.
    static std::pair<OverloadSimulation, OverloadSimulation> play(OverloadSettings settings)
    {
        settings.seed = GetParam();
        OverloadSimulation limited(settings);
        settings.admission.enabled = false;
        OverloadSimulation unlimited(settings);
        limited.run();
        unlimited.run();
        return { std::move(limited), std::move(unlimited) };
    }
};

// Pattern: all VMs lose power at once and come back. Callers of the outage and new ones arrive together; queues at the
// hosts, first come first served, make answers late for much longer than the outage lasted.
TEST_P(OverloadTest, AnswersNewCallersInTimeAfterAnOutageOfAllVms)
{
    OverloadSettings settings;
    settings.requestsPerSecond = 200;
    settings.outage = 1400ms;
    const auto [limited, unlimited] = play(settings);
    const Duration back = settings.outageAt + settings.outage;
    const double with = limited.answeredRatio(back, back + 2s, settings.objective);
    const double without = unlimited.answeredRatio(back, back + 2s, settings.objective);
    EXPECT_GT(with, 2 * without);
    // Callers of the outage are late already; a few of them may have to give up for the others.
    EXPECT_GT(limited.answeredRatio(0s, settings.length, settings.timeout),
              unlimited.answeredRatio(0s, settings.length, settings.timeout) - acceptedLoss);
}

// Pattern: hosts fall silent while the directory is away, and those that are left can't serve everybody. Without a
// limit all requests wait in full queues and are late.
TEST_P(OverloadTest, AnswersMostInTimeWhenHostsAreMissing)
{
    OverloadSettings settings;
    settings.requestsPerSecond = 155;
    settings.lostHosts = 2;
    const auto [limited, unlimited] = play(settings);
    const double with = limited.answeredRatio(4s, 8s, settings.objective);
    const double without = unlimited.answeredRatio(4s, 8s, settings.objective);
    EXPECT_GT(with, without);
    EXPECT_GT(limited.answeredRatio(0s, settings.length, settings.timeout),
              unlimited.answeredRatio(0s, settings.length, settings.timeout) - acceptedLoss);
}

// Pattern: a calm day. A limit must not make anybody wait.
TEST_P(OverloadTest, LeavesACalmDayAlone)
{
    const auto [limited, unlimited] = play({});
    EXPECT_EQ(limited.answeredRatio(0s, 8s, 250ms), unlimited.answeredRatio(0s, 8s, 250ms));
}

INSTANTIATE_TEST_SUITE_P(Seeds, OverloadTest, ::testing::Values(1, 2, 3, 4, 5));

} // namespace
} // namespace boragelug
