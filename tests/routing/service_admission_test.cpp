#include "routing/service_admission.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration objective = 250ms;

class ServiceAdmissionTest : public ::testing::Test
{
protected:
    /// Runs one request whose answer takes @p time.
    void answer(ServiceAdmission &admission, Duration time)
    {
        const auto ticket = admission.begin(objective, now);
        now += time;
        admission.finish(ticket, now);
    }

    TimePoint now { 100s };
};

// Slow answers must shrink the limit: queues at the upstreams would make all answers late.
TEST_F(ServiceAdmissionTest, ShrinksWhileAnswersAreLate)
{
    ServiceAdmission admission(AdmissionSettings {}, 16);
    for (int i = 0; i < 400; ++i) {
        answer(admission, 300ms);
    }
    EXPECT_EQ(admission.limit(), AdmissionSettings {}.minLimit);
}

// In an overload of a quick service, queues at its upstreams must shrink the limit long before answers are late.
TEST_F(ServiceAdmissionTest, ShrinksWhenAQuickServiceQueues)
{
    ServiceAdmission admission(AdmissionSettings {}, 16);
    for (int i = 0; i < 100; ++i) {
        answer(admission, 20ms);
    }
    EXPECT_EQ(admission.limit(), 16);
    for (int i = 0; i < 100; ++i) {
        answer(admission, 140ms);
    }
    EXPECT_LT(admission.limit(), 4);
}

// A service that has become slower for good must not stay limited: the lowest mean has to follow.
TEST_F(ServiceAdmissionTest, ForgetsTheLowestMean)
{
    ServiceAdmission admission(AdmissionSettings {}, 2);
    for (int i = 0; i < 100; ++i) {
        answer(admission, 20ms);
    }
    for (const TimePoint end = now + 120s; now < end;) {
        std::vector<ServiceAdmission::Ticket> tickets;
        while (admission.isBelowLimit(false, now) && tickets.size() < 64) {
            tickets.push_back(admission.begin(objective, now));
        }
        now += 130ms;
        for (const auto ticket : tickets) {
            admission.finish(ticket, now);
        }
    }
    EXPECT_GT(admission.limit(), 16);
}

// The limit must not stay low after an overload has ended.
TEST_F(ServiceAdmissionTest, GrowsAgainWhenAnswersAreQuick)
{
    ServiceAdmission admission(AdmissionSettings {}, 2);
    for (int round = 0; round < 40; ++round) {
        std::vector<ServiceAdmission::Ticket> tickets;
        while (admission.isBelowLimit(false, now)) {
            tickets.push_back(admission.begin(objective, now));
        }
        now += 60ms;
        for (const auto ticket : tickets) {
            admission.finish(ticket, now);
        }
    }
    EXPECT_GT(admission.limit(), 16);
}

// In an overload, callers of a VM whose limit is low must not wait for long while another VM's limit stays high. Two
// VMs share upstreams whose latency grows with the requests in progress.
TEST_F(ServiceAdmissionTest, LimitsOfVmsWithEqualLoadApproachEachOther)
{
    ServiceAdmission low(AdmissionSettings {}, 10);
    ServiceAdmission high(AdmissionSettings {}, 40);
    for (int round = 0; round < 400; ++round) {
        std::vector<std::pair<ServiceAdmission *, ServiceAdmission::Ticket>> requests;
        for (ServiceAdmission *vm : { &low, &high }) {
            while (vm->isBelowLimit(false, now)) {
                requests.emplace_back(vm, vm->begin(objective, now));
            }
        }
        now += 1ms * requests.size();
        for (const auto &[vm, ticket] : requests) {
            vm->finish(ticket, now);
        }
    }
    EXPECT_LT(high.limit(), 1.5 * low.limit());
}

// The lowest mean must be close to the usual latency, not to that of a few quick answers: a limit that shrinks at
// normal load makes callers wait while upstreams are idle.
TEST_F(ServiceAdmissionTest, LowestMeanIsCloseToTheUsualLatency)
{
    ServiceAdmission admission(AdmissionSettings {}, 8);
    for (int i = 0; i < 500; ++i) {
        answer(admission, i % 20 < 10 ? 50ms : 150ms);
    }
    EXPECT_GT(*admission.lowestMean(now), 0.8 * (100.0 / 250));
}

// A limit that isn't used must not grow without bound, because it would have no effect when an overload begins.
TEST_F(ServiceAdmissionTest, GrowsOnlyWhenUsed)
{
    ServiceAdmission admission(AdmissionSettings {}, 16);
    for (int i = 0; i < 1000; ++i) {
        answer(admission, 60ms);
    }
    EXPECT_EQ(admission.limit(), 16);
}

// Requests at silent upstreams must not use up the limit: those without an answer stop counting.
TEST_F(ServiceAdmissionTest, EvictsRequestsWithoutAnswer)
{
    ServiceAdmission admission(AdmissionSettings {}, 2);
    admission.begin(objective, now);
    admission.begin(objective, now);
    EXPECT_FALSE(admission.isBelowLimit(false, now));
    now += 375ms;
    EXPECT_TRUE(admission.isBelowLimit(false, now));
}

// Late requests must not use up the part of the limit that is reserved for those that can be answered in time, also of
// other VMs.
TEST_F(ServiceAdmissionTest, ReservesPartOfTheLimitForRequestsInTime)
{
    ServiceAdmission admission(AdmissionSettings {}, 4);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(admission.isBelowLimit(true, now));
        admission.begin(objective, now);
    }
    EXPECT_FALSE(admission.isBelowLimit(true, now));
    EXPECT_TRUE(admission.isBelowLimit(false, now));
}

// Answers of entries without a latency objective must not change the limit.
TEST_F(ServiceAdmissionTest, IgnoresAnswersWithoutObjective)
{
    ServiceAdmission admission(AdmissionSettings {}, 4);
    const auto ticket = admission.begin(Duration {}, now);
    admission.finish(ticket, now + 10s);
    EXPECT_EQ(admission.limit(), 4);
    EXPECT_EQ(admission.inProgress(), 0U);
}

} // namespace
} // namespace boragelug
