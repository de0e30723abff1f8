#include "routing/flow_table.h"

#include "core/hash.h"

#include <algorithm>
#include <bit>
#include <cassert>

namespace boragelug
{
namespace
{

constexpr std::uint32_t slotMask = 0xffffff;
constexpr FlowTick touchGranularity = toTicks(std::chrono::seconds(1));

std::uint32_t cell(std::uint64_t hash, FlowTable::Slot slot)
{
    return (static_cast<std::uint32_t>(hash >> 56U) << 24U) | (slot + 1);
}

} // namespace

FlowTable::FlowTable(std::size_t capacity, std::uint64_t seed)
    : pool_(capacity)
    , index_(std::bit_ceil(capacity * 2))
    , mask_(index_.size() - 1)
    , seed_(mix64(seed))
    , maxTransient_(std::max<std::size_t>(1, capacity / 4))
    , maxEstablished_(capacity - std::max<std::size_t>(1, capacity / 16))
{
    assert(capacity >= 16 && capacity < slotMask);
    for (std::size_t i = 0; i < capacity; ++i) {
        pool_[i].previous = freeMark;
        pool_[i].next = i + 1 < capacity ? static_cast<Slot>(i + 1) : none;
    }
}

FlowTable::Slot FlowTable::find(FlowKey key) const
{
    const std::uint64_t hash = hashOf(key);
    const auto tag = static_cast<std::uint32_t>(hash >> 56U);
    for (std::uint64_t position = hash & mask_; index_[position] != 0; position = (position + 1) & mask_) {
        if (index_[position] >> 24U == tag) {
            const Slot slot = (index_[position] & slotMask) - 1;
            if (pool_[slot].key == key) {
                return slot;
            }
        }
    }
    return none;
}

FlowTable::Change FlowTable::insert(FlowKey key, FlowState state, FlowTick now)
{
    Change change;
    if (state == FlowState::Established && !canEstablish(now)) {
        state = FlowState::HalfOpen;
    }
    if (state == FlowState::Established) {
        if (established_.size >= maxEstablished_) {
            change.evicted = evict(established_);
        } else if (free_ == none) {
            change.evicted = evict(transient_);
        }
    } else {
        change.evicted = makeRoomForTransient();
    }
    const Slot slot = free_;
    assert(slot != none);
    free_ = pool_[slot].next;
    pool_[slot] = FlowEntry {};
    pool_[slot].key = key;
    pool_[slot].state = state;
    pool_[slot].lastSeen = now;
    append(listOf(state), slot);
    addToIndex(slot);
    change.slot = slot;
    return change;
}

FlowTable::Change FlowTable::setState(Slot slot, FlowState state, FlowTick now)
{
    Change change;
    change.slot = slot;
    FlowEntry &entry = pool_[slot];
    if (entry.state == state || (state == FlowState::Established && !canEstablish(now))) {
        return change;
    }
    AgeList &from = listOf(entry.state);
    AgeList &to = listOf(state);
    entry.state = state;
    if (&from == &to) {
        return change;
    }
    unlink(from, slot);
    if (&to == &established_ && established_.size >= maxEstablished_) {
        change.evicted = evict(established_);
    } else if (&to == &transient_ && transient_.size >= maxTransient_) {
        change.evicted = evict(transient_);
    }
    append(to, slot);
    return change;
}

void FlowTable::touch(Slot slot, FlowTick now)
{
    FlowEntry &entry = pool_[slot];
    if (now < entry.lastSeen + touchGranularity) {
        return;
    }
    entry.lastSeen = now;
    AgeList &list = listOf(entry.state);
    if (list.newest != slot) {
        unlink(list, slot);
        append(list, slot);
    }
}

void FlowTable::erase(Slot slot)
{
    assert(used(slot));
    removeFromIndex(slot);
    unlink(listOf(pool_[slot].state), slot);
    pool_[slot].previous = freeMark;
    pool_[slot].next = free_;
    free_ = slot;
}

std::size_t FlowTable::memoryBytes() const
{
    return pool_.capacity() * sizeof(FlowEntry) + index_.capacity() * sizeof(std::uint32_t);
}

std::uint64_t FlowTable::hashOf(FlowKey key) const
{
    return mix64(key.value ^ seed_);
}

void FlowTable::append(AgeList &list, Slot slot)
{
    pool_[slot].previous = list.newest;
    pool_[slot].next = none;
    (list.newest == none ? list.oldest : pool_[list.newest].next) = slot;
    list.newest = slot;
    ++list.size;
}

void FlowTable::unlink(AgeList &list, Slot slot)
{
    const FlowEntry &entry = pool_[slot];
    (entry.previous == none ? list.oldest : pool_[entry.previous].next) = entry.next;
    (entry.next == none ? list.newest : pool_[entry.next].previous) = entry.previous;
    --list.size;
}

void FlowTable::addToIndex(Slot slot)
{
    const std::uint64_t hash = hashOf(pool_[slot].key);
    std::uint64_t position = hash & mask_;
    while (index_[position] != 0) {
        position = (position + 1) & mask_;
    }
    index_[position] = cell(hash, slot);
}

void FlowTable::removeFromIndex(Slot slot)
{
    const std::uint64_t hash = hashOf(pool_[slot].key);
    std::uint64_t hole = hash & mask_;
    while (index_[hole] != cell(hash, slot)) {
        hole = (hole + 1) & mask_;
    }
    // Moves later cells of the probe sequence back, so that no tombstones accumulate.
    std::uint64_t position = hole;
    for (;;) {
        position = (position + 1) & mask_;
        if (index_[position] == 0) {
            break;
        }
        const std::uint64_t home = hashOf(pool_[(index_[position] & slotMask) - 1].key) & mask_;
        if (((position - home) & mask_) >= ((position - hole) & mask_)) {
            index_[hole] = index_[position];
            hole = position;
        }
    }
    index_[hole] = 0;
}

std::optional<FlowEntry> FlowTable::evict(AgeList &list)
{
    const Slot slot = list.oldest;
    assert(slot != none);
    const FlowEntry entry = pool_[slot];
    erase(slot);
    return entry;
}

std::optional<FlowEntry> FlowTable::makeRoomForTransient()
{
    if (free_ == none || transient_.size >= maxTransient_) {
        return evict(transient_);
    }
    return std::nullopt;
}

bool FlowTable::canEstablish(FlowTick now) const
{
    return established_.size < maxEstablished_ || now >= pool_[established_.oldest].lastSeen + idleBeforeEviction;
}

} // namespace boragelug
