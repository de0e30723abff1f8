#include "core/flow_sampler.h"

#include <gtest/gtest.h>

#include <map>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

// Guards the budget of the log under a flood: 100,000 decisions a second must not become 100,000 lines.
TEST(FlowSampler, HoldsItsBudgetAtAHundredThousandDecisionsASecond)
{
    FlowSampler sampler(20);
    std::uint64_t admitted = 0;
    constexpr int seconds = 10;
    for (std::uint64_t i = 0; i < seconds * 100'000ULL; ++i) {
        admitted += sampler.admit(i, TimePoint { 100s + i * 10us }) ? 1 : 0;
    }
    EXPECT_LE(admitted, seconds * 40U);
    EXPECT_GE(admitted, seconds * 10U);
    EXPECT_EQ(admitted + sampler.takeLeftOut(), seconds * 100'000U);
}

// Guards time lines with holes: in one second, all lines of a flow are kept or none.
TEST(FlowSampler, KeepsAllLinesOfAFlowOrNone)
{
    FlowSampler sampler(50);
    TimePoint now { 100s };
    for (std::uint64_t i = 0; i < 1000; ++i) {
        sampler.admit(i, now);
    }
    now += 1s;
    std::map<std::uint64_t, int> lines;
    for (int round = 0; round < 3; ++round) {
        for (std::uint64_t flow = 0; flow < 300; ++flow) {
            lines[flow] += sampler.admit(flow, now + round * 1ms) ? 1 : 0;
        }
    }
    int kept = 0;
    for (const auto &[flow, count] : lines) {
        EXPECT_TRUE(count == 0 || count == 3) << "flow " << flow;
        kept += count == 3 ? 1 : 0;
    }
    EXPECT_GT(kept, 0);
}

// Guards quiet times: below the budget nothing is left out, also not after a flood.
TEST(FlowSampler, KeepsEverythingBelowTheBudget)
{
    FlowSampler sampler(20);
    for (std::uint64_t i = 0; i < 100'000; ++i) {
        sampler.admit(i, TimePoint { 100s });
    }
    for (std::uint64_t i = 0; i < 10; ++i) {
        EXPECT_TRUE(sampler.admit(i, TimePoint { 103s }));
    }
}

} // namespace
} // namespace boragelug
