#include "routing/waiting_requests.h"

#include "tagged_fixture.h"

#include <gtest/gtest.h>

#include <array>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace tagged;

class WaitingRequestsTest : public ::testing::Test
{
protected:
    WaitingRequestsTest()
        : waiting(WaitingSettings {})
    { }

    /// Queues a request of the flow from @p port, sent @p age ago, with a latency objective of 250 ms.
    void add(std::uint16_t port, Duration age = 0ms, std::uint32_t priority = 2)
    {
        const WaitingRequestAttributes attributes { .service = ledger,
                                                    .sentAt = now - age,
                                                    .lateAt = now - age + 150ms,
                                                    .expiresAt = now - age + 1200ms,
                                                    .priority = priority };
        waiting.add(attributes, syn(1, port), {}, now);
    }

    std::uint16_t next(bool includeLate = true)
    {
        const auto request = waiting.takeNext(ledger, includeLate, now);
        return request ? request->packets.front().head.caller.port.value : 0;
    }

    WaitingRequests waiting;
    TimePoint now { 100s };
};

// In an overload, first in, first out would answer all callers late.
TEST_F(WaitingRequestsTest, TakesTheNewestThatIsInTime)
{
    add(1, 100ms);
    add(2, 0ms);
    add(3, 50ms);
    EXPECT_EQ(next(), 2);
    EXPECT_EQ(next(), 3);
    EXPECT_EQ(next(), 1);
    EXPECT_EQ(next(), 0);
}

// Important requests must not wait behind less important ones.
TEST_F(WaitingRequestsTest, TakesImportantRequestsFirst)
{
    add(1, 0ms, 2);
    add(2, 100ms, 1);
    EXPECT_EQ(next(), 2);
}

// Among late requests, the oldest goes first: its caller is the next to time out.
TEST_F(WaitingRequestsTest, TakesLateRequestsLastAndInOrder)
{
    add(1, 300ms);
    add(2, 600ms);
    add(3, 0ms);
    EXPECT_EQ(next(), 3);
    EXPECT_EQ(next(false), 0);
    EXPECT_EQ(next(), 2);
    EXPECT_EQ(next(), 1);
}

// Packets of a queued request must be dequeued together and in order, and copies only once.
TEST_F(WaitingRequestsTest, QueuesFurtherPacketsOnce)
{
    const FlowPacket opening = syn(1, 1);
    const FlowPacket first = data(opening, FlowTag { 7 }, 0, 1);
    const FlowPacket second = data(opening, FlowTag { 7 }, 100, 1);
    const std::array<std::byte, 2> bytes { std::byte { 1 }, std::byte { 2 } };
    waiting.add({ .service = ledger, .sentAt = now, .lateAt = now + 1s, .expiresAt = now + 2s }, first, bytes, now);
    EXPECT_TRUE(waiting.contains(second));
    waiting.append(second, bytes);
    waiting.append(first, bytes);
    const auto request = waiting.takeNext(ledger, true, now);
    ASSERT_TRUE(request);
    ASSERT_EQ(request->packets.size(), 2U);
    EXPECT_EQ(request->packets[1].head, second);
    EXPECT_EQ(request->packets[1].bytes.size(), 2U);
    EXPECT_FALSE(waiting.contains(second));
}

// Requests whose callers are about to time out must leave the queue, so that it stays bounded.
TEST_F(WaitingRequestsTest, DequeuesExpiredRequests)
{
    add(1, 600ms);
    add(2);
    now += 600ms;
    const auto expired = waiting.takeExpired(now);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired.front().packets.front().head.caller.port.value, 1);
    EXPECT_EQ(waiting.size(), 1U);
}

// The SYN of a new flow must not be queued behind the request of an earlier flow on the same port, whose caller no
// longer waits for it. Other flows must stay.
TEST_F(WaitingRequestsTest, DropsTheRequestOfAnEarlierFlowOnTheSamePort)
{
    add(1);
    add(2);
    FlowPacket later = syn(1, 1);
    later.sequence += 0x40000000;
    EXPECT_FALSE(waiting.contains(later));
    waiting.append(later, {});
    waiting.dropEarlierFlow(later);
    EXPECT_EQ(waiting.size(), 1U);
    EXPECT_TRUE(waiting.contains(syn(1, 2)));
}

// A copy of a queued SYN, and data of a flow whose SYN or request is queued, belong to the queued request; data of
// another flow on the same port doesn't.
TEST_F(WaitingRequestsTest, TellsFlowsOnTheSamePortApart)
{
    add(1);
    EXPECT_TRUE(waiting.contains(synCopy(syn(1, 1), 1)));
    waiting.dropEarlierFlow(synCopy(syn(1, 1), 1));
    EXPECT_TRUE(waiting.contains(data(syn(1, 1), FlowTag { 7 }, 0, 0x70000000)));
    FlowPacket earlier = syn(1, 1);
    earlier.sequence += 0x40000000;
    const FlowPacket request = data(earlier, FlowTag { 7 }, 0, 1);
    EXPECT_FALSE(waiting.contains(request));
    waiting.drop(request);
    EXPECT_EQ(next(), 1);
    waiting.add({ .service = ledger, .sentAt = now, .lateAt = now + 1s, .expiresAt = now + 2s }, request, {}, now);
    waiting.dropEarlierFlow(synCopy(earlier, 2));
    EXPECT_TRUE(waiting.contains(data(earlier, FlowTag { 7 }, 100, 1)));
    EXPECT_FALSE(waiting.contains(data(earlier, FlowTag { 7 }, 100, 0x40000000)));
}

// A flow that its caller resets must leave the queue.
TEST_F(WaitingRequestsTest, DropsAFlow)
{
    add(1);
    waiting.drop(syn(1, 1));
    EXPECT_TRUE(waiting.empty());
}

} // namespace
} // namespace boragelug
