#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace boragelug
{

/// A VM that can be a flow owner.
struct OwnerCandidate
{
    VmId id;
    ZoneId zone;

    bool operator==(const OwnerCandidate &) const = default;
};

/**
 * Owner VMs of each flow key by rendezvous hashing, computed once per bucket of keys.
 *
 * Ranking thousands of VMs for each packet would cost microseconds; a lookup here costs one memory access. A change
 * of the VMs recomputes only the buckets that it affects. Immutable, so it may be shared between threads.
 */
class OwnerTable
{
public:
    /// Must be the same on every VM. Gives 31 buckets per VM in a region of 2,100 VMs.
    static constexpr std::uint32_t bucketCount = 1U << 16U;

    /// Ranks @p candidates. Buckets that are unchanged since @p previous, if it isn't null, aren't ranked again.
    /// Precondition: @p candidates are sorted by id, without duplicates, at most 65,534.
    OwnerTable(std::vector<OwnerCandidate> candidates, const OwnerTable *previous);

    /// Bucket of @p key.
    static std::uint32_t bucketOf(FlowKey key);

    /// Highest-ranked VM; id 0 if there are no candidates.
    VmId primary(std::uint32_t bucket) const { return idAt(bucket, 0); }
    /// Second-ranked VM; id 0 if there is none.
    VmId secondary(std::uint32_t bucket) const { return idAt(bucket, 1); }
    /// Highest-ranked VM of @p zone other than primary and secondary; id 0 if there is none.
    VmId zoneOwner(std::uint32_t bucket, ZoneId zone) const;
    /// Highest-ranked VM of all zones other than primary and secondary; id 0 if there is none.
    VmId third(std::uint32_t bucket) const;
    /// Zones of the candidates, ascending.
    std::span<const ZoneId> zones() const { return zones_; }

    const std::vector<OwnerCandidate> &candidates() const { return candidates_; }
    /// Whether the primary, the secondary or any zone owner of @p bucket differs from @p other.
    bool differs(std::uint32_t bucket, const OwnerTable &other) const;
    std::size_t memoryBytes() const;

private:
    using Index = std::uint16_t;
    static constexpr Index none = 0xffff;

    VmId idAt(std::uint32_t bucket, std::size_t column) const;
    Index *row(std::uint32_t bucket) { return cells_.data() + bucket * columns_; }
    const Index *row(std::uint32_t bucket) const { return cells_.data() + bucket * columns_; }
    std::uint64_t score(std::uint32_t bucket, Index candidate) const;
    /// Scores of the owners in one row, cached so that they aren't hashed again for each candidate.
    using Scores = std::vector<std::uint64_t>;
    void insert(std::uint32_t bucket, Index candidate, Scores &scores);
    void rankAll(std::uint32_t bucket, Scores &scores);
    void update(const OwnerTable &previous);
    void updateRow(std::uint32_t bucket,
                   const OwnerTable &previous,
                   std::span<const Index> newIndexes,
                   std::span<const Index> added,
                   Scores &scores);

    std::vector<OwnerCandidate> candidates_;
    std::vector<ZoneId> zones_;
    /// Column in cells_ of each candidate's zone.
    std::vector<std::uint16_t> zoneColumn_;
    std::size_t columns_ = 2;
    /// For each bucket: primary, secondary, then one owner per zone.
    std::vector<Index> cells_;
};

} // namespace boragelug
