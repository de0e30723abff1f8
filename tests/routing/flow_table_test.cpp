#include "core/random.h"
#include "routing/flow_table.h"

#include <gtest/gtest.h>

#include <unordered_map>

namespace boragelug
{
namespace
{

// Guards lookups after evictions and removals, with std::unordered_map as reference.
TEST(FlowTable, AgreesWithMap)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Random random(seed);
        FlowTable table(64, seed);
        std::unordered_map<std::uint64_t, FlowTable::Slot> expected;
        for (FlowTick now = 1; now < 20'000; ++now) {
            const FlowKey key { random.below(200) };
            const FlowTable::Slot slot = table.find(key);
            ASSERT_EQ(slot != FlowTable::none, expected.contains(key.value));
            FlowTable::Change change;
            if (slot == FlowTable::none) {
                change = table.insert(key, random.chance(0.5) ? FlowState::Established : FlowState::HalfOpen, now);
                expected[key.value] = change.slot;
            } else if (random.chance(0.3)) {
                table.erase(slot);
                expected.erase(key.value);
            } else {
                ASSERT_EQ(slot, expected[key.value]);
                table.touch(slot, now);
                change = table.setState(slot, random.chance(0.5) ? FlowState::Established : FlowState::Ended, now);
            }
            if (change.evicted) {
                ASSERT_EQ(expected.erase(change.evicted->key.value), 1U);
            }
            ASSERT_EQ(table.size(), expected.size());
            ASSERT_LE(table.establishedSize(), table.maxEstablished());
            ASSERT_LE(table.size() - table.establishedSize(), table.maxTransient());
        }
    }
}

// Guards the memory bound of 64 bytes per flow, at the default capacity of 400,000 flows and at the capacity from which
// the index has twice the size.
TEST(FlowTable, TakesAtMost64BytesPerFlow)
{
    for (const std::size_t capacity : { 400'000U, 262'145U, 1'000'000U }) {
        EXPECT_LE(FlowTable(capacity, 1).memoryBytes(), capacity * 64);
    }
}

// Guards the order of eviction: transient flows first, then established flows that have exceeded the idle time.
TEST(FlowTable, EvictsTransientThenOldestIdle)
{
    FlowTable table(16, 1);
    FlowTick now = 100'000;
    for (std::uint64_t key = 0; key < table.maxEstablished(); ++key) {
        EXPECT_FALSE(table.insert({ key }, FlowState::Established, now + static_cast<FlowTick>(key)).evicted);
    }
    table.insert({ 100 }, FlowState::HalfOpen, now);
    EXPECT_EQ(table.insert({ 101 }, FlowState::HalfOpen, now).evicted->key, FlowKey { 100 });
    const FlowTable::Slot slot = table.find({ 101 });
    EXPECT_FALSE(table.setState(slot, FlowState::Established, now).evicted);
    EXPECT_EQ(table.at(slot).state, FlowState::HalfOpen);
    now += FlowTable::idleBeforeEviction;
    table.touch(table.find({ 0 }), now);
    now += 1;
    EXPECT_EQ(table.setState(slot, FlowState::Established, now).evicted->key, FlowKey { 1 });
    EXPECT_EQ(table.at(slot).state, FlowState::Established);
}

} // namespace
} // namespace boragelug
