#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "routing/huge_page_allocator.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace boragelug
{

/// Time in units of 10 ms; 32 bits overflow after 497 days of uptime.
using FlowTick = std::uint32_t;

/// @p duration in ticks, rounded down.
constexpr FlowTick toTicks(Duration duration)
{
    return static_cast<FlowTick>(duration / std::chrono::milliseconds(10));
}

/// State of a flow. Half-open and ended flows are called transient; their number is bounded separately.
enum class FlowState : std::uint8_t { HalfOpen, Established, Ended };

/// One flow; 32 bytes, so that it never spans two cache lines.
struct alignas(32) FlowEntry
{
    FlowKey key;
    /// Slot of the upstream in the UpstreamRegistry.
    std::uint32_t upstream = 0;
    FlowTick lastSeen = 0;
    /// At the primary: when the entry was last sent to the other owners. Elsewhere: when a packet of the
    /// flow last passed through the primary.
    FlowTick confirmedAt = 0;
    std::uint32_t previous = 0;
    std::uint32_t next = 0;
    /// Slot in the AddressTable of the catalogue entry that the flow uses, or 0xffff while unknown.
    std::uint16_t address = 0xffff;
    /// 8-bit hash of the VM that redirected most of the recent packets.
    std::uint8_t redirector = 0;
    /// Number of packets that the redirector redirected, less those of other VMs since; at most 15.
    std::uint8_t redirects : 4 = 0;
    FlowState state : 2 = FlowState::HalfOpen;
    /// Whether the flow is included in this VM's counts of flows as primary.
    bool counted : 1 = false;
    /// Whether the flow is UDP, so that its end can't be detected from packets.
    bool datagram : 1 = false;
};

/**
 * Bounded hash table of flows: open addressing over indices into a pool, with two lists ordered by last activity.
 *
 * Half-open and ended flows occupy at most a quarter of the pool and are evicted first, least recently active first.
 * Established flows occupy at most 15/16. They are evicted only for other established flows, and only after they have
 * been idle for @c idleBeforeEviction. The constructor allocates all memory. Not synchronized: one thread at a time.
 */
class FlowTable
{
public:
    using Slot = std::uint32_t;
    static constexpr Slot none = 0xffffffff;
    /// Longer than the interval at which the primary refreshes the copies of the other owners, so that active flows
    /// are never evicted.
    static constexpr FlowTick idleBeforeEviction = toTicks(std::chrono::seconds(120));

    /// Precondition: capacity is in [16, 2^24). @p seed makes hash collisions hard to provoke from outside.
    FlowTable(std::size_t capacity, std::uint64_t seed);

    /// Slot of @p key, or @c none.
    Slot find(FlowKey key) const;

    /// Prefetches the memory that find() reads first.
    void prefetch(FlowKey key) const { __builtin_prefetch(&index_[hashOf(key) & mask_]); }

    /// Result of an operation that may evict another flow.
    struct Change
    {
        Slot slot = none;
        std::optional<FlowEntry> evicted;
    };

    /// Adds a flow; a flow with state established is added as half-open if the limit of established flows is reached
    /// and none of them may be evicted.
    /// Precondition: @p key isn't in the table.
    Change insert(FlowKey key, FlowState state, FlowTick now);

    /// Changes the state. A change to established is ignored while the limit of established flows is reached and none
    /// of them may be evicted.
    Change setState(Slot slot, FlowState state, FlowTick now);

    /// Records activity, at a resolution of one second, which avoids most writes to the lists.
    void touch(Slot slot, FlowTick now);

    void erase(Slot slot);

    FlowEntry &at(Slot slot) { return pool_[slot]; }
    const FlowEntry &at(Slot slot) const { return pool_[slot]; }
    /// Whether @p slot holds a flow. Precondition: slot < capacity().
    bool used(Slot slot) const { return pool_[slot].previous != freeMark; }

    std::size_t capacity() const { return pool_.size(); }
    std::size_t size() const { return transient_.size + established_.size; }
    std::size_t establishedSize() const { return established_.size; }
    std::size_t maxTransient() const { return maxTransient_; }
    std::size_t maxEstablished() const { return maxEstablished_; }
    std::size_t memoryBytes() const;

private:
    struct AgeList
    {
        Slot oldest = none;
        Slot newest = none;
        std::size_t size = 0;
    };

    /// Marks a free pool slot in FlowEntry::previous.
    static constexpr Slot freeMark = 0xfffffffe;

    AgeList &listOf(FlowState state) { return state == FlowState::Established ? established_ : transient_; }
    std::uint64_t hashOf(FlowKey key) const;
    void append(AgeList &list, Slot slot);
    void unlink(AgeList &list, Slot slot);
    void addToIndex(Slot slot);
    void removeFromIndex(Slot slot);
    std::optional<FlowEntry> evict(AgeList &list);
    std::optional<FlowEntry> makeRoomForTransient();
    bool canEstablish(FlowTick now) const;

    std::vector<FlowEntry, HugePageAllocator<FlowEntry>> pool_;
    /// Each cell holds eight bits of the hash and, in 24 bits, the pool slot plus 1; 0 is an empty cell.
    std::vector<std::uint32_t, HugePageAllocator<std::uint32_t>> index_;
    std::uint64_t mask_;
    std::uint64_t seed_;
    AgeList transient_;
    AgeList established_;
    Slot free_ = 0;
    std::size_t maxTransient_;
    std::size_t maxEstablished_;
};

static_assert(sizeof(FlowEntry) == 32);

} // namespace boragelug
