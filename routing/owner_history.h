#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "routing/flow_table.h"
#include "routing/owner_table.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

namespace boragelug
{

/// How long the owners of a superseded member list are still queried. Longer than the 10 s by which views may lag, so
/// that this includes the owners of any older view that other VMs may still use.
inline constexpr Duration handoverWindow = std::chrono::seconds(15);

/**
 * The owner tables of the current member list and of the member list 15 s ago.
 *
 * Not synchronized: one thread at a time.
 */
class OwnerHistory
{
public:
    /// Applies a member list. If the first list contains @p self and other VMs, then the list without @p self counts as
    /// the previous one. Precondition: @p candidates are sorted by id.
    void apply(std::vector<OwnerCandidate> candidates, VmId self, TimePoint now);

    /// Precondition: apply() has been called.
    const OwnerTable &current() const { return *current_; }
    const std::shared_ptr<const OwnerTable> &currentPointer() const { return current_; }

    /// The table that was current one handover window ago; null if it still is.
    const OwnerTable *previous(TimePoint now);

    /// When the owners of @p bucket last changed, in ticks; 0 means never.
    FlowTick changedAt(std::uint32_t bucket) const { return changedAt_[bucket]; }
    /// Since when @p bucket has had its current primary.
    FlowTick primarySince(std::uint32_t bucket) const { return primarySince_[bucket]; }
    /// Prefetches the memory that changedAt() reads.
    void prefetch(std::uint32_t bucket) const { __builtin_prefetch(&changedAt_[bucket]); }
    std::size_t memoryBytes() const;

private:
    struct Superseded
    {
        std::shared_ptr<const OwnerTable> table;
        TimePoint at;
    };

    std::shared_ptr<const OwnerTable> current_;
    std::deque<Superseded> superseded_;
    std::vector<FlowTick> changedAt_;
    std::vector<FlowTick> primarySince_;
};

} // namespace boragelug
