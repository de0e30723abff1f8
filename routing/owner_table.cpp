#include "routing/owner_table.h"

#include "core/hash.h"
#include "routing/rendezvous.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace boragelug
{

OwnerTable::OwnerTable(std::vector<OwnerCandidate> candidates, const OwnerTable *previous)
    : candidates_(std::move(candidates))
{
    assert(candidates_.size() < none);
    for (const OwnerCandidate &candidate : candidates_) {
        zones_.push_back(candidate.zone);
    }
    std::ranges::sort(zones_);
    zones_.erase(std::unique(zones_.begin(), zones_.end()), zones_.end());
    for (const OwnerCandidate &candidate : candidates_) {
        const auto position = std::ranges::lower_bound(zones_, candidate.zone) - zones_.begin();
        zoneColumn_.push_back(static_cast<std::uint16_t>(position + 2));
    }
    columns_ = zones_.size() + 2;
    cells_.assign(std::size_t { bucketCount } * columns_, none);
    if (previous != nullptr) {
        update(*previous);
        return;
    }
    Scores scores(columns_);
    for (std::uint32_t bucket = 0; bucket < bucketCount; ++bucket) {
        rankAll(bucket, scores);
    }
}

std::uint32_t OwnerTable::bucketOf(FlowKey key)
{
    return static_cast<std::uint32_t>(mix64(key.value) >> 48U);
}

VmId OwnerTable::idAt(std::uint32_t bucket, std::size_t column) const
{
    const Index index = row(bucket)[column];
    return index == none ? VmId {} : candidates_[index].id;
}

VmId OwnerTable::zoneOwner(std::uint32_t bucket, ZoneId zone) const
{
    const auto found = std::ranges::lower_bound(zones_, zone);
    if (found == zones_.end() || *found != zone) {
        return {};
    }
    return idAt(bucket, static_cast<std::size_t>(found - zones_.begin()) + 2);
}

VmId OwnerTable::third(std::uint32_t bucket) const
{
    Index best = none;
    for (std::size_t column = 2; column < columns_; ++column) {
        const Index index = row(bucket)[column];
        if (index != none && (best == none || score(bucket, index) > score(bucket, best))) {
            best = index;
        }
    }
    return best == none ? VmId {} : candidates_[best].id;
}

bool OwnerTable::differs(std::uint32_t bucket, const OwnerTable &other) const
{
    if (primary(bucket) != other.primary(bucket) || secondary(bucket) != other.secondary(bucket)
        || zones_ != other.zones_) {
        return true;
    }
    for (std::size_t column = 2; column < columns_; ++column) {
        if (idAt(bucket, column) != other.idAt(bucket, column)) {
            return true;
        }
    }
    return false;
}

std::size_t OwnerTable::memoryBytes() const
{
    return cells_.capacity() * sizeof(Index) + candidates_.capacity() * sizeof(OwnerCandidate);
}

std::uint64_t OwnerTable::score(std::uint32_t bucket, Index candidate) const
{
    return rendezvousScore(bucket, candidates_[candidate].id.value);
}

void OwnerTable::insert(std::uint32_t bucket, Index candidate, Scores &scores)
{
    Index *cells = row(bucket);
    const std::uint64_t ownScore = score(bucket, candidate);
    Index displaced = candidate;
    std::uint64_t displacedScore = ownScore;
    if (cells[0] == none || ownScore > scores[0]) {
        displaced = std::exchange(cells[1], std::exchange(cells[0], candidate));
        displacedScore = std::exchange(scores[1], std::exchange(scores[0], ownScore));
    } else if (cells[1] == none || ownScore > scores[1]) {
        displaced = std::exchange(cells[1], candidate);
        displacedScore = std::exchange(scores[1], ownScore);
    }
    if (displaced == none) {
        return;
    }
    // A displaced secondary ranks above every zone owner, so it always becomes the owner of its zone.
    const std::size_t column = zoneColumn_[displaced];
    if (cells[column] == none || displacedScore > scores[column]) {
        cells[column] = displaced;
        scores[column] = displacedScore;
    }
}

void OwnerTable::rankAll(std::uint32_t bucket, Scores &scores)
{
    std::fill_n(row(bucket), columns_, none);
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        insert(bucket, static_cast<Index>(i), scores);
    }
}

void OwnerTable::update(const OwnerTable &previous)
{
    std::vector<Index> newIndexes(previous.candidates_.size(), none);
    std::vector<Index> added;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        const auto found = std::ranges::lower_bound(previous.candidates_, candidates_[i].id, {}, &OwnerCandidate::id);
        if (found != previous.candidates_.end() && *found == candidates_[i]) {
            newIndexes[static_cast<std::size_t>(found - previous.candidates_.begin())] = static_cast<Index>(i);
        } else {
            added.push_back(static_cast<Index>(i));
        }
    }
    Scores scores(columns_);
    for (std::uint32_t bucket = 0; bucket < bucketCount; ++bucket) {
        updateRow(bucket, previous, newIndexes, added, scores);
    }
}

void OwnerTable::updateRow(std::uint32_t bucket,
                           const OwnerTable &previous,
                           std::span<const Index> newIndexes,
                           std::span<const Index> added,
                           Scores &scores)
{
    const std::span<const Index> oldRow(previous.row(bucket), previous.columns_);
    if (std::ranges::any_of(oldRow, [&](Index index) { return index != none && newIndexes[index] == none; })) {
        rankAll(bucket, scores);
        return;
    }
    Index *cells = row(bucket);
    for (std::size_t i = 0; i < oldRow.size(); ++i) {
        if (oldRow[i] == none) {
            continue;
        }
        const Index index = newIndexes[oldRow[i]];
        const std::size_t column = i < 2 ? i : zoneColumn_[index];
        cells[column] = index;
        scores[column] = added.empty() ? 0 : score(bucket, index);
    }
    for (const Index index : added) {
        insert(bucket, index, scores);
    }
}

} // namespace boragelug
