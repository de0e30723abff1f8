#include "routing/tagged_placement.h"
#include "routing/upstream_speeds.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <limits>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr ServiceId ledger { 1 };
const Endpoint board { .address = { 100 }, .port = { 443 } };
constexpr FlowTag fast { 1 };
constexpr FlowTag slow { 4 };

class UpstreamSpeedsTest : public ::testing::Test
{
protected:
    UpstreamSpeedsTest() { know(speeds); }

    static SpeedSettings enabled()
    {
        SpeedSettings settings;
        settings.enabled = true;
        return settings;
    }

    static void know(UpstreamSpeeds &known, std::uint32_t upstreams = 4)
    {
        std::vector<std::pair<FlowTag, ServiceId>> tags;
        for (std::uint32_t i = 1; i <= upstreams; ++i) {
            tags.emplace_back(FlowTag { i }, ledger);
        }
        known.setUpstreams(tags);
    }

    /// Rounds of one answer of each upstream, 50 ms apart; the last one takes @p ratio times as long as the others.
    void answer(int rounds, double ratio)
    {
        for (int round = 0; round < rounds; ++round) {
            now += 50ms;
            for (std::uint32_t i = 1; i <= 4; ++i) {
                const Duration latency = i == 4 ? std::chrono::duration_cast<Duration>(100ms * ratio) : Duration(100ms);
                speeds.recordAnswer(FlowTag { i }, board, latency, now);
            }
        }
    }

    UpstreamSpeeds speeds { enabled() };
    TimePoint now { 100s };
};

// A silent upstream gives no answers: callers of each VM would have to find out for themselves.
TEST_F(UpstreamSpeedsTest, CountsASilentUpstreamAsSlowHereAndAtTheRelay)
{
    answer(20, 1);
    speeds.takeObservations(now);
    speeds.recordSilence(slow, now);
    UpstreamSpeeds relay(enabled());
    know(relay);
    std::vector<SpeedObservation> usual;
    for (std::uint32_t i = 1; i <= 4; ++i) {
        usual.push_back({ .upstream = FlowTag { i }, .answers = 4, .latencySum = 4 });
    }
    relay.addObservations(usual, now);
    relay.addObservations(speeds.takeObservations(now), now);
    now += 100ms;
    EXPECT_GT(speeds.slowness(slow, now), 2);
    EXPECT_GT(relay.slowness(slow, now), 2);
    EXPECT_EQ(relay.slowness(fast, now), 1);
    EXPECT_EQ(speeds.expectedSlowness(slow, now), 1) << "callers of open flows must learn of the silence as early";
    now += 10s;
    answer(1, 1);
    EXPECT_EQ(speeds.slowness(slow, now), 1) << "nothing is known any more";
}

// Guards against a slow upstream that goes unnoticed, and one that stays avoided after it has become faster.
TEST_F(UpstreamSpeedsTest, FollowsAnUpstreamDownAndUp)
{
    answer(20, 1);
    EXPECT_EQ(speeds.slowness(slow, now), 1);
    answer(20, 5);
    EXPECT_GT(speeds.slowness(slow, now), 2);
    EXPECT_EQ(speeds.slowness(fast, now), 1);
    answer(80, 1);
    EXPECT_EQ(speeds.slowness(slow, now), 1);
}

// Guards against an avoided upstream that is never tried again: without answers it counts as usual after a while.
TEST_F(UpstreamSpeedsTest, ForgetsWithoutAnswers)
{
    answer(40, 5);
    EXPECT_GT(speeds.slowness(slow, now), 2);
    now += 10s;
    EXPECT_EQ(speeds.slowness(slow, now), 1);
}

// Guards against judging an upstream by one answer: the work of requests has a tail of seven times.
TEST_F(UpstreamSpeedsTest, OneLateAnswerProvesLittle)
{
    answer(40, 1);
    speeds.recordAnswer(slow, board, 300ms, now);
    EXPECT_EQ(speeds.slowness(slow, now + 100ms), 1);
}

// Guards entries with more work per request: their upstreams aren't slow.
TEST_F(UpstreamSpeedsTest, ComparesEachEntryWithItself)
{
    const Endpoint heavy { .address = { 101 }, .port = { 443 } };
    for (int round = 0; round < 40; ++round) {
        now += 50ms;
        for (std::uint32_t i = 1; i <= 4; ++i) {
            speeds.recordAnswer(FlowTag { i }, i == 4 ? heavy : board, i == 4 ? 900ms : 100ms, now);
        }
    }
    EXPECT_EQ(speeds.slowness(slow, now), 1);
}

// Guards VMs from wrong or absurd reports: impossible ones are ignored, and the largest is forgotten within seconds.
TEST_F(UpstreamSpeedsTest, SurvivesAbsurdReports)
{
    answer(40, 1);
    constexpr double nan = std::numeric_limits<double>::quiet_NaN();
    constexpr double infinite = std::numeric_limits<double>::infinity();
    const std::vector<SpeedObservation> impossible = {
        { slow, 1, nan },           { slow, 1, infinite }, { slow, 1, -1 },
        { slow, 1, 1e9 },           { slow, 0, 8 },        { slow, 4'000'000'000, 8e9 },
        { FlowTag { 99 }, 50, 400 }
    };
    speeds.addObservations(impossible, now);
    now += 100ms;
    EXPECT_EQ(speeds.slowness(slow, now), 1);
    speeds.setSlowUpstreams(std::vector<SlowUpstream> { { slow, nan }, { slow, -5 }, { FlowTag { 99 }, 5 } }, now);
    EXPECT_TRUE(speeds.slowUpstreams(now).empty());
    now += SpeedSettings {}.listRetention;
    answer(40, 1);
    speeds.addObservations(std::vector<SpeedObservation> { { slow, 100'000, 800'000 } }, now);
    EXPECT_GT(speeds.slowness(slow, now + 100ms), 2);
    answer(160, 1);
    EXPECT_EQ(speeds.slowness(slow, now), 1);
}

// Guards a restarted upstream from what was observed of its earlier incarnation, which has another tag.
TEST_F(UpstreamSpeedsTest, AnEarlierIncarnationSaysNothing)
{
    answer(40, 5);
    std::vector<std::pair<FlowTag, ServiceId>> tags = { { FlowTag { 1 }, ledger }, { FlowTag { 5 }, ledger } };
    speeds.setUpstreams(tags);
    now += 100ms;
    speeds.addObservations(std::vector<SpeedObservation> { { slow, 50, 400 } }, now);
    EXPECT_TRUE(speeds.slowUpstreams(now).empty());
    EXPECT_EQ(speeds.slowness(FlowTag { 5 }, now), 1);
}

// Guards a VM whose relay was lost: it must not use an old list, nor tell its next relay what was long ago.
TEST_F(UpstreamSpeedsTest, FallsBackWithoutARelay)
{
    speeds.setSlowUpstreams(std::vector<SlowUpstream> { { fast, 5 } }, now);
    EXPECT_EQ(speeds.slowness(fast, now), 5);
    answer(20, 5);
    EXPECT_EQ(speeds.slowness(slow, now), 1) << "the list decides while it is fresh";
    now += SpeedSettings {}.listRetention;
    answer(20, 5);
    EXPECT_EQ(speeds.slowness(fast, now), 1);
    EXPECT_GT(speeds.slowness(slow, now), 2);
    now += 1min;
    EXPECT_TRUE(speeds.takeObservations(now).empty());
}

// Guards the relay from unbounded reports, and upstreams with few answers from never being reported.
TEST_F(UpstreamSpeedsTest, ReportsAllInTurn)
{
    constexpr std::uint32_t upstreams = 500;
    know(speeds, upstreams);
    for (std::uint32_t i = 1; i <= upstreams; ++i) {
        speeds.addObservations(std::vector<SpeedObservation> { { FlowTag { i }, i, static_cast<double>(i) } }, now);
    }
    EXPECT_EQ(speeds.takeObservations(now).size(), 200U);
    EXPECT_EQ(speeds.takeObservations(now).size(), 200U);
    const auto last = speeds.takeObservations(now);
    EXPECT_EQ(last.size(), 100U);
    EXPECT_TRUE(std::any_of(last.begin(), last.end(), [](const auto &one) { return one.upstream == FlowTag { 1 }; }));
    EXPECT_TRUE(speeds.takeObservations(now).empty());
}

// Guards the log from a line for each change of an upstream that flaps, and from slow upstreams that are never
// reported.
TEST_F(UpstreamSpeedsTest, ReportsChangesAtALimitedRate)
{
    std::vector<SlowUpstream> list = { { FlowTag { 1 }, 3 }, { FlowTag { 2 }, 1.7 }, { slow, 5 } };
    speeds.setSlowUpstreams(list, now);
    EXPECT_EQ(speeds.slowCount(now), 3U);
    EXPECT_TRUE(speeds.takeChange(now));
    EXPECT_FALSE(speeds.takeChange(now));
    now += SpeedSettings {}.changeInterval;
    EXPECT_TRUE(speeds.takeChange(now));
    now += SpeedSettings {}.changeInterval;
    EXPECT_FALSE(speeds.takeChange(now)) << "1.7 is too little to report";
    list.pop_back();
    speeds.setSlowUpstreams(list, now);
    EXPECT_EQ(speeds.takeChange(now), (SlowUpstream { slow, 1 }));
}

// Guards operators from an unbounded status, and lists from rounding that makes an upstream look slower.
TEST_F(UpstreamSpeedsTest, ShowsTheSlowest)
{
    speeds.setSlowUpstreams(std::vector<SlowUpstream> { { fast, 1.7 }, { slow, 4.9 } }, now);
    EXPECT_EQ(speeds.slowest(1, now), (std::vector<SlowUpstream> { { slow, 4.9 } }));
    EXPECT_EQ(speeds.slowest(9, now).size(), 2U);
    EXPECT_EQ(speeds.slowUpstreams(now), (std::vector<SlowUpstream> { { slow, 4.75 }, { fast, 1.5 } }));
    now += SpeedSettings {}.listRetention;
    EXPECT_TRUE(speeds.slowest(9, now).empty());
}

// Guards new flows from an ejected upstream, or one at its limit, while a slow one is healthy.
TEST(SlowPlacement, PrefersSlowUpstreamsToEjectedOnes)
{
    Random random(1);
    std::vector<PlacementCandidate> candidates(2);
    candidates[1].slowness = 20;
    candidates[0].ejected = true;
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(placeFlow(candidates, {}, random), 1U);
    }
    candidates[0].ejected = false;
    candidates[0].zoneAtLimit = true;
    EXPECT_EQ(placeFlow(candidates, {}, random), 1U);
}

// If all upstreams of a zone turn slow, its callers must be served by the other zones, and still show when they
// recover.
TEST(SlowPlacement, LeavesAZoneThatIsSlowAsAWhole)
{
    std::vector<PlacementCandidate> candidates(16);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        candidates[i].slots = 2;
        candidates[i].local = i < 5;
        candidates[i].slowness = candidates[i].local ? 5 : 1;
    }
    Random random(1);
    int slowPlacements = 0;
    constexpr int placements = 10'000;
    for (int i = 0; i < placements; ++i) {
        slowPlacements += *placeFlow(candidates, {}, random) < 5 ? 1 : 0;
    }
    EXPECT_LT(slowPlacements, placements * 0.03);
    EXPECT_GT(slowPlacements, placements * 0.003);
}

// Guards a service of which all upstreams are slow, or which has one only: they still get all flows.
TEST(SlowPlacement, PlacesWhenAllAreSlow)
{
    Random random(1);
    std::vector<PlacementCandidate> candidates(1);
    candidates[0].slowness = 20;
    for (int i = 0; i < 50; ++i) {
        EXPECT_EQ(placeFlow(candidates, {}, random), 0U);
    }
}

} // namespace
} // namespace boragelug
