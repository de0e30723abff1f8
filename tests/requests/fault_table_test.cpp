#include "bench/request_world.h"

#include <gtest/gtest.h>

namespace boragelug
{

namespace
{

WorldConfig faultConfig(std::uint64_t seed, std::vector<Fault> faults, bool naive)
{
    WorldConfig config;
    config.seed = seed;
    config.naive = naive;
    config.faults = std::move(faults);
    config.dispatcher.leaseTime = std::chrono::seconds(1);
    config.dispatcher.leaseMargin = milliseconds(100);
    return config;
}

struct TableResult
{
    WorldResult sum;
    std::uint64_t runs = 0;
    std::string firstViolation;
};

void add(TableResult &table, const WorldConfig &config)
{
    const WorldResult run = runWorld(config);
    ++table.runs;
    table.sum.requests += run.requests;
    table.sum.answered += run.answered;
    table.sum.refused += run.refused;
    table.sum.unknown += run.unknown;
    table.sum.declaredByCaller += run.declaredByCaller;
    table.sum.executedTwice += run.executedTwice;
    table.sum.refusedButExecuted += run.refusedButExecuted;
    table.sum.wrongAnswers += run.wrongAnswers;
    table.sum.withoutOutcome += run.withoutOutcome;
    table.sum.contradictions += run.contradictions;
    if (run.violations() > 0 && table.firstViolation.empty()) {
        table.firstViolation = "seed " + std::to_string(config.seed);
        for (const Fault &fault : config.faults) {
            table.firstViolation += ", " + faultName(fault);
        }
    }
}

std::vector<Fault> singleFaults()
{
    std::vector<Fault> faults;
    for (const FaultKind kind : allFaults) {
        for (const Step step : allSteps) {
            faults.push_back({ kind, step });
        }
    }
    return faults;
}

void print(const char *title, const TableResult &table)
{
    const WorldResult &sum = table.sum;
    printf("%s: %lu runs, %lu requests: %lu answered, %lu refused, %lu unknown (%lu by the caller); executed twice "
           "%lu, refused but executed %lu, wrong %lu, without outcome %lu, contradictory %lu; first: %s\n",
           title,
           table.runs,
           sum.requests,
           sum.answered,
           sum.refused,
           sum.unknown,
           sum.declaredByCaller,
           sum.executedTwice,
           sum.refusedButExecuted,
           sum.wrongAnswers,
           sum.withoutOutcome,
           sum.contradictions,
           table.firstViolation.c_str());
}

void expectGuarantees(const TableResult &table)
{
    EXPECT_EQ(table.sum.executedTwice, 0U) << table.firstViolation;
    EXPECT_EQ(table.sum.refusedButExecuted, 0U) << table.firstViolation;
    EXPECT_EQ(table.sum.wrongAnswers, 0U) << table.firstViolation;
    EXPECT_EQ(table.sum.withoutOutcome, 0U) << table.firstViolation;
    EXPECT_EQ(table.sum.contradictions, 0U) << table.firstViolation;
}

TableResult runSingles(bool naive)
{
    TableResult table;
    for (const Fault &fault : singleFaults()) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            add(table, faultConfig(seed, { fault }, naive));
        }
    }
    return table;
}

TableResult runPairs(FaultKind kind)
{
    TableResult table;
    const std::uint64_t firstSeed = 1 + static_cast<std::uint64_t>(kind) * 1000;
    for (const Step step : allSteps) {
        for (const Fault &second : singleFaults()) {
            add(table, faultConfig(firstSeed + table.runs, { Fault { kind, step }, second }, false));
        }
    }
    return table;
}

// Guards against guarantees that hold only because no request is answered: without faults, 99 % must be answered.
TEST(FaultTable, WithoutFaultsAlmostAllAreAnswered)
{
    TableResult table;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        add(table, faultConfig(seed, {}, false));
    }
    print("no fault", table);
    expectGuarantees(table);
    EXPECT_GE(table.sum.answered * 100, table.sum.requests * 99);
}

// Guards against double execution, `refused` for executed requests, wrong answers and missing outcomes under each
// single fault at each step.
TEST(FaultTable, SingleFaultsKeepAllGuarantees)
{
    const TableResult table = runSingles(false);
    print("single faults", table);
    expectGuarantees(table);
    EXPECT_GE(table.sum.answered * 100, table.sum.requests * 70);
}

class FaultPairs : public testing::TestWithParam<FaultKind>
{ };

// Guards against the same failures under every pair of faults, the second after the first. There is one test per kind
// of first fault, so that each ends within the time limit under the sanitizers.
TEST_P(FaultPairs, KeepAllGuarantees)
{
    const TableResult table = runPairs(GetParam());
    print("pairs of faults", table);
    expectGuarantees(table);
    // With delays of up to 700 ms in each direction, less than half of the answers arrive within the timeout of 500 ms.
    const std::uint64_t minAnsweredPercent = GetParam() == FaultKind::Delay ? 40 : 70;
    EXPECT_GE(table.sum.answered * 100, table.sum.requests * minAnsweredPercent);
}

INSTANTIATE_TEST_SUITE_P(AllKinds, FaultPairs, testing::ValuesIn(allFaults));

// Guards against simulated faults that are too mild to reveal errors: under the same faults, round robin with retries
// must violate the guarantees.
TEST(FaultTable, NaiveBaselineViolatesTheGuarantees)
{
    const TableResult table = runSingles(true);
    print("naive, single faults", table);
    EXPECT_GT(table.sum.executedTwice, 0U);
    EXPECT_GT(table.sum.refusedButExecuted, 0U);
    EXPECT_GT(table.sum.wrongAnswers, 0U);
    EXPECT_GT(table.sum.contradictions, 0U);
}

} // namespace

} // namespace boragelug
