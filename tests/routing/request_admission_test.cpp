#include "routing/request_admission.h"

#include <gtest/gtest.h>

#include <array>
#include <utility>
#include <vector>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr ServiceId service { 1 };
constexpr ZoneId home { 1 };
constexpr ZoneId away { 2 };

class RequestAdmissionTest : public ::testing::Test
{
protected:
    RequestAdmissionTest()
        : admission(AdmissionSettings {})
    { }

    void answer(ZoneId zone, Duration latency, int count)
    {
        for (int i = 0; i < count; ++i) {
            const auto ticket = admission.begin(service, zone, 250ms, now);
            now += latency;
            admission.finish(ticket, 1, now);
        }
    }

    void fill(ZoneId zone)
    {
        while (admission.room(service, now).allows(zone, false)) {
            admission.begin(service, zone, 250ms, now);
        }
    }

    RequestAdmission admission;
    TimePoint now { 100s };
};

// Guards callers of a zone whose upstreams are full: their requests go to a zone that has room.
TEST_F(RequestAdmissionTest, LeavesRoomInOtherZones)
{
    admission.setSlots(std::array { ZoneSlots { service, home, 4 }, ZoneSlots { service, away, 4 } });
    fill(home);
    const ServiceRoom room = admission.room(service, now);
    EXPECT_FALSE(room.allows(home, false));
    EXPECT_TRUE(room.allows(away, false));
    EXPECT_TRUE(room.allows(ZoneId {}, false));
    fill(away);
    EXPECT_FALSE(admission.room(service, now).allows(ZoneId {}, false));
}

// In an overload, a VM sends its first requests to other zones. Their limits must shrink as those of its own zone,
// where it knows the latency without load.
TEST_F(RequestAdmissionTest, ComparesLatencyWithTheLowestOfAnyZone)
{
    admission.setSlots(std::array { ZoneSlots { service, home, 8 }, ZoneSlots { service, away, 8 } });
    for (int i = 0; i < 100; ++i) {
        const auto ticket = admission.begin(service, home, 250ms, now);
        now += 45ms;
        admission.finish(ticket, 1, now);
    }
    for (int i = 0; i < 100; ++i) {
        const auto ticket = admission.begin(service, away, 250ms, now);
        now += 140ms;
        admission.finish(ticket, 1, now);
    }
    const std::size_t before = admission.totals(service).inProgress;
    fill(away);
    EXPECT_EQ(admission.totals(service).inProgress - before, 2U) << "the lowest limit";
}

// Guards callers against being rejected because of a zone that was slow before it was evacuated, until the VM restarts.
TEST_F(RequestAdmissionTest, TotalsOmitZonesWithoutUpstreams)
{
    admission.setSlots(std::array { ZoneSlots { service, home, 8 }, ZoneSlots { service, away, 8 } });
    answer(home, 50ms, 100);
    answer(away, 500ms, 100);
    admission.setSlots(std::array { ZoneSlots { service, home, 8 } });
    EXPECT_NEAR(admission.totals(service).meanLatencyRatio, 0.2, 0.01);
    EXPECT_EQ(admission.totals(service).limit, 8);
    EXPECT_EQ(admission.limits(), (std::vector { std::pair(service, 8.0) }));
}

// Guards callers against being rejected as if all zones were as slow as one that serves few of the requests.
TEST_F(RequestAdmissionTest, TotalsGiveThePaceOfAllZonesTogether)
{
    admission.setSlots(std::array { ZoneSlots { service, home, 18 }, ZoneSlots { service, away, 2 } });
    answer(home, 50ms, 100);
    EXPECT_NEAR(admission.totals(service).meanLatencyRatio, 0.2, 0.01) << "nothing is known of the other zone";
    answer(away, 500ms, 100);
    const auto totals = admission.totals(service);
    EXPECT_NEAR(totals.limit / totals.meanLatencyRatio, 18 / 0.2 + 2 / 2.0, 1);
}

// Guards a service that became slower for good: a zone that got no requests since must not hold the limits down.
TEST_F(RequestAdmissionTest, ForgetsTheLowestMeanOfAZoneWithoutAnswers)
{
    admission.setSlots(std::array { ZoneSlots { service, home, 8 }, ZoneSlots { service, away, 8 } });
    answer(away, 45ms, 100);
    answer(home, 45ms, 100);
    for (const TimePoint end = now + 180s; now < end;) {
        std::vector<RequestAdmission::Ticket> tickets;
        while (admission.room(service, now).allows(home, false) && tickets.size() < 64) {
            tickets.push_back(admission.begin(service, home, 250ms, now));
        }
        now += 138ms;
        for (const auto &ticket : tickets) {
            admission.finish(ticket, 1, now);
        }
    }
    EXPECT_GT(admission.totals(service).limit, 8 + 16);
}

// Guards a zone whose evacuation was withdrawn: requests of its open flows were counted while it had no slots.
TEST_F(RequestAdmissionTest, RaisesTheLimitOfAZoneThatGetsSlots)
{
    admission.setSlots(std::array { ZoneSlots { service, away, 4 } });
    admission.begin(service, home, 250ms, now);
    admission.setSlots(std::array { ZoneSlots { service, home, 60 }, ZoneSlots { service, away, 4 } });
    fill(home);
    EXPECT_EQ(admission.totals(service).inProgress, 60U);
}

} // namespace
} // namespace boragelug
