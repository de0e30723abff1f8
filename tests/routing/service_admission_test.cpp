#include "routing/service_admission.h"

#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr Duration objective = 250ms;

class ServiceAdmissionTest : public ::testing::Test
{
protected:
    /// Lets one request take @p time.
    void answer(ServiceAdmission &admission, Duration time)
    {
        const auto ticket = admission.begin(objective, now);
        now += time;
        admission.finish(ticket, now);
    }

    TimePoint now { 100s };
};

// Guards against a queue at the hosts that makes all answers late: slow answers shrink the limit.
TEST_F(ServiceAdmissionTest, ShrinksWhileAnswersAreLate)
{
    ServiceAdmission admission(AdmissionSettings {}, 16);
    for (int i = 0; i < 400; ++i) {
        answer(admission, 300ms);
    }
    EXPECT_EQ(admission.limit(), AdmissionSettings {}.minLimit);
}

// Guards against a limit that stays low after the crowd has gone.
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

// Guards calm days: a limit that isn't used doesn't grow without end, so that it is of use when a crowd comes.
TEST_F(ServiceAdmissionTest, GrowsOnlyWhenUsed)
{
    ServiceAdmission admission(AdmissionSettings {}, 16);
    for (int i = 0; i < 1000; ++i) {
        answer(admission, 60ms);
    }
    EXPECT_EQ(admission.limit(), 16);
}

// Guards against silent hosts that hold the room of a VM: requests without an answer stop counting.
TEST_F(ServiceAdmissionTest, ForgetsRequestsWithoutAnswer)
{
    ServiceAdmission admission(AdmissionSettings {}, 2);
    admission.begin(objective, now);
    admission.begin(objective, now);
    EXPECT_FALSE(admission.isBelowLimit(false, now));
    now += 375ms;
    EXPECT_TRUE(admission.isBelowLimit(false, now));
}

// Guards requests that can be answered in time from those that can't, also of other VMs.
TEST_F(ServiceAdmissionTest, KeepsRoomForRequestsInTime)
{
    ServiceAdmission admission(AdmissionSettings {}, 4);
    for (int i = 0; i < 3; ++i) {
        EXPECT_TRUE(admission.isBelowLimit(true, now));
        admission.begin(objective, now);
    }
    EXPECT_FALSE(admission.isBelowLimit(true, now));
    EXPECT_TRUE(admission.isBelowLimit(false, now));
}

// Guards entries without an objective: nothing can be learned from their answers.
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
