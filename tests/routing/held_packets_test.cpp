#include "routing/held_packets.h"

#include "tagged_fixture.h"

#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace tagged;

// Callers retransmit while a VM starts. Only the first copy is held, with the time of its arrival.
TEST(HeldPacketsTest, HoldsOneCopyOfEachPacket)
{
    HeldPackets held(10);
    const TimePoint now { 100s };
    FlowPacket opening = syn(1, 1);
    EXPECT_TRUE(held.add(opening, {}, now));
    opening.synCopies = 1;
    EXPECT_TRUE(held.add(opening, {}, now + 200ms));
    const FlowPacket request = data(syn(1, 2), FlowTag { 5 }, 0, 1);
    EXPECT_TRUE(held.add(request, {}, now + 300ms));
    EXPECT_TRUE(held.add(request, {}, now + 500ms));
    const auto packets = held.takeAll();
    ASSERT_EQ(packets.size(), 2U);
    EXPECT_EQ(packets[0].packet.head.synCopies, 0U);
    EXPECT_EQ(packets[0].arrivedAt, now);
    EXPECT_EQ(packets[1].arrivedAt, now + 300ms);
    EXPECT_TRUE(held.empty());
}

// The SYN of a new flow must not be taken for a copy of an earlier SYN from the same port.
TEST(HeldPacketsTest, TellsFlowsOnTheSamePortApart)
{
    HeldPackets held(10);
    const TimePoint now { 100s };
    const FlowPacket earlier = syn(1, 1);
    FlowPacket later = earlier;
    later.sequence += 1000;
    EXPECT_TRUE(held.add(earlier, {}, now));
    EXPECT_TRUE(held.add(later, {}, now + 100ms));
    const auto packets = held.takeAll();
    ASSERT_EQ(packets.size(), 2U);
    EXPECT_EQ(packets[1].packet.head, later);
}

// The memory of a VM that starts is bounded; a packet that was taken may be held again.
TEST(HeldPacketsTest, IsBounded)
{
    HeldPackets held(2);
    const TimePoint now { 100s };
    EXPECT_TRUE(held.add(syn(1, 1), {}, now));
    EXPECT_TRUE(held.add(syn(1, 2), {}, now));
    EXPECT_FALSE(held.add(syn(1, 3), {}, now));
    held.takeAll();
    EXPECT_TRUE(held.add(syn(1, 1), {}, now));
}

} // namespace
} // namespace boragelug
