#include "views/relay_start.h"

#include "directory_records.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

Endpoint vmAt(std::uint32_t address)
{
    return { .address = { address }, .port = { 80 } };
}

class RelayStartTest : public ::testing::Test
{
protected:
    RelayStartTest()
        : start({ vmAt(1), vmAt(2), vmAt(3) }, {}, random)
    { }

    RelayStart::Result answer(decltype(DirectoryAnswer::result) result)
    {
        const auto call = start.nextCall(now);
        EXPECT_TRUE(call);
        return call ? start.handleAnswer({ .callId = call->id, .result = std::move(result) }, now)
                    : RelayStart::Result {};
    }

    void fail(std::uint64_t callId)
    {
        start.handleAnswer({ .callId = callId, .result = DirectoryFailure { DirectoryError::Unreachable, "refused" } },
                           now);
    }

    RelayStart::Result fail() { return answer(DirectoryFailure { DirectoryError::Unreachable, "refused" }); }

    Random random { 1 };
    RelayStart start;
    TimePoint now { 100s };
};

// Guards the start of a fleet whose relays get power last: all of them are asked again and again, with short pauses.
TEST_F(RelayStartTest, AsksAllRelaysInTurnUntilOneAnswers)
{
    std::set<Endpoint> asked;
    for (int i = 0; i < 3; ++i) {
        asked.insert(fail().relay);
    }
    EXPECT_EQ(asked.size(), 3U);
    EXPECT_FALSE(start.nextCall(now)) << "a pause after each turn";
    now += RelayStartSettings {}.retryInterval;
    const auto call = start.nextCall(now);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->after, DirectoryRevision {});
    EXPECT_LE(call->connectTimeout, 100ms) << "a VM without power must not hold up the others";
}

// Guards the load of relays when a whole fleet starts: VMs begin with different ones.
TEST(RelayStart, SharesTheLoadOfAStartBetweenRelays)
{
    std::map<Endpoint, int> first;
    for (std::uint64_t seed = 0; seed < 300; ++seed) {
        Random random(seed);
        RelayStart start({ vmAt(1), vmAt(2), vmAt(3) }, {}, random);
        ++first[start.nextCall(TimePoint { 100s })->relay];
    }
    ASSERT_EQ(first.size(), 3U);
    for (const auto &[relay, vms] : first) {
        EXPECT_GT(vms, 70);
    }
}

// Guards a VM beyond a relay's limit of followers, and against VMs that refer to each other for ever.
TEST_F(RelayStartTest, FollowsReferralsUpToALimit)
{
    DirectoryChanges elsewhere;
    for (std::uint32_t i = 0; i < RelayStartSettings {}.maxHops; ++i) {
        elsewhere.elsewhere = vmAt(10 + i);
        EXPECT_TRUE(answer(elsewhere).failure.empty());
        const auto call = start.nextCall(now);
        ASSERT_TRUE(call);
        EXPECT_EQ(call->relay, vmAt(10 + i));
        start.handleAnswer({ .callId = call->id, .result = elsewhere }, now);
        ++i;
    }
    EXPECT_FALSE(answer(elsewhere).failure.empty());
    EXPECT_LE(start.nextCall(now)->relay, vmAt(3)) << "back to the list";
}

// Guards the VMs that wait for a relay which got power later than the others: it takes the records of a VM that
// announces itself, even while it waits for another relay.
TEST_F(RelayStartTest, AsksAVmThatAnnouncesItself)
{
    const auto waiting = start.nextCall(now);
    ASSERT_TRUE(waiting);
    start.handleAnnouncement(vmAt(50), now);
    const auto call = start.nextCall(now);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->relay, vmAt(50));
    EXPECT_NE(call->id, waiting->id);
    const DirectoryFailure late { DirectoryError::TimedOut, "late" };
    EXPECT_TRUE(start.handleAnswer({ .callId = waiting->id, .result = late }, now).failure.empty());
    start.handleAnnouncement(vmAt(51), now);
    EXPECT_FALSE(start.nextCall(now)) << "one is enough";
    fail(call->id);
    EXPECT_LE(start.nextCall(now)->relay, vmAt(3)) << "back to the list";
}

// Guards the same VMs: one that read the directory itself must tell every relay, also those that get power later, and
// must not try for ever.
TEST_F(RelayStartTest, AnnouncesRecordsToAllRelays)
{
    fail();
    start.announce(DirectoryRevision { 9 }, now);
    std::set<Endpoint> reached;
    while (const auto call = start.nextCall(now)) {
        EXPECT_EQ(call->after, DirectoryRevision { 9 });
        EXPECT_TRUE(reached.insert(call->relay).second) << "told twice";
        start.handleAnswer({ .callId = call->id, .result = DirectoryChanges {} }, now);
    }
    EXPECT_EQ(reached.size(), 3U);
    EXPECT_TRUE(start.isStopped());
}

TEST_F(RelayStartTest, EndsAnnouncementsThatReachNobody)
{
    start.announce(DirectoryRevision { 9 }, now);
    const TimePoint end = now + RelayStartSettings {}.announceTime;
    int calls = 0;
    for (; now <= end + 100ms; now += 10ms) {
        if (const auto call = start.nextCall(now)) {
            ++calls;
            fail(call->id);
        }
    }
    EXPECT_GT(calls, 50);
    EXPECT_TRUE(start.isStopped());
}

// Guards a VM that got its records from a relay: it makes no more calls.
TEST_F(RelayStartTest, StopsWhenTheVmIsComplete)
{
    const auto result = answer(DirectoryChanges { .items = { host(1, 2) }, .asOf = { 2 } });
    ASSERT_TRUE(result.records);
    EXPECT_EQ(result.records->items.size(), 1U);
    start.stop();
    now += 10s;
    EXPECT_FALSE(start.nextCall(now));
    EXPECT_FALSE(start.nextCallAt());
}

} // namespace
} // namespace boragelug
