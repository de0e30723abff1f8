#include "crowd_world.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <utility>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr double acceptedLoss = 0.05;

class CrowdTest : public ::testing::TestWithParam<std::uint64_t>
{
protected:
    /// Plays @p settings with and without admission.
    static std::pair<CrowdWorld, CrowdWorld> play(CrowdSettings settings)
    {
        settings.seed = GetParam();
        CrowdWorld limited(settings);
        settings.admission.enabled = false;
        CrowdWorld unlimited(settings);
        limited.run();
        unlimited.run();
        return { std::move(limited), std::move(unlimited) };
    }
};

// Pattern: all VMs lose power at once and come back. Callers of the outage and new ones arrive together; queues at the
// hosts, first come first served, make answers late for much longer than the outage lasted.
TEST_P(CrowdTest, AnswersNewCallersInTimeAfterAnOutageOfAllVms)
{
    CrowdSettings settings;
    settings.requestsPerSecond = 200;
    settings.outage = 1400ms;
    const auto [limited, unlimited] = play(settings);
    const Duration back = settings.outageAt + settings.outage;
    const double with = limited.answeredShare(back, back + 2s, settings.objective);
    const double without = unlimited.answeredShare(back, back + 2s, settings.objective);
    EXPECT_GT(with, 2 * without);
    // Callers of the outage are late already; a few of them may have to give up for the others.
    EXPECT_GT(limited.answeredShare(0s, settings.length, settings.timeout),
              unlimited.answeredShare(0s, settings.length, settings.timeout) - acceptedLoss);
}

// Pattern: hosts fall silent while the directory is away, and those that are left can't serve everybody. Without a
// limit all requests wait in full queues and are late.
TEST_P(CrowdTest, AnswersMostInTimeWhenHostsAreMissing)
{
    CrowdSettings settings;
    settings.requestsPerSecond = 155;
    settings.lostHosts = 2;
    const auto [limited, unlimited] = play(settings);
    const double with = limited.answeredShare(4s, 8s, settings.objective);
    const double without = unlimited.answeredShare(4s, 8s, settings.objective);
    EXPECT_GT(with, without);
    EXPECT_GT(limited.answeredShare(0s, settings.length, settings.timeout),
              unlimited.answeredShare(0s, settings.length, settings.timeout) - acceptedLoss);
}

// Pattern: a calm day. A limit must not make anybody wait.
TEST_P(CrowdTest, LeavesACalmDayAlone)
{
    const auto [limited, unlimited] = play({});
    EXPECT_EQ(limited.answeredShare(0s, 8s, 250ms), unlimited.answeredShare(0s, 8s, 250ms));
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrowdTest, ::testing::Values(1, 2, 3, 4, 5));

} // namespace
} // namespace boragelug
