#include "routing/owner_history.h"

#include <utility>

namespace boragelug
{
namespace
{

/// Bounds memory while members change quickly, for example when a rack fails. The oldest table is never discarded for
/// this bound, since previous() returns it.
constexpr std::size_t maxSuperseded = 4;

} // namespace

void OwnerHistory::apply(std::vector<OwnerCandidate> candidates, VmId self, TimePoint now)
{
    const FlowTick tick = toTicks(now.time_since_epoch());
    if (!current_) {
        std::vector<OwnerCandidate> others = candidates;
        std::erase_if(others, [self](const OwnerCandidate &candidate) { return candidate.id == self; });
        current_ = std::make_shared<OwnerTable>(std::move(candidates), nullptr);
        changedAt_.assign(OwnerTable::bucketCount, 0);
        primarySince_.assign(OwnerTable::bucketCount, tick);
        if (!others.empty() && others.size() != current_->candidates().size()) {
            superseded_.push_back({ std::make_shared<OwnerTable>(std::move(others), nullptr), now });
        }
        return;
    }
    if (candidates == current_->candidates()) {
        return;
    }
    auto next = std::make_shared<OwnerTable>(std::move(candidates), current_.get());
    for (std::uint32_t bucket = 0; bucket < OwnerTable::bucketCount; ++bucket) {
        if (!next->differs(bucket, *current_)) {
            continue;
        }
        changedAt_[bucket] = tick;
        if (next->primary(bucket) != current_->primary(bucket)) {
            primarySince_[bucket] = tick;
        }
    }
    if (superseded_.size() >= maxSuperseded) {
        superseded_.erase(superseded_.begin() + 1);
    }
    superseded_.push_back({ std::exchange(current_, std::move(next)), now });
}

const OwnerTable *OwnerHistory::previous(TimePoint now)
{
    while (!superseded_.empty() && superseded_.front().at + handoverWindow <= now) {
        superseded_.pop_front();
    }
    return superseded_.empty() ? nullptr : superseded_.front().table.get();
}

std::size_t OwnerHistory::memoryBytes() const
{
    std::size_t bytes = (changedAt_.capacity() + primarySince_.capacity()) * sizeof(FlowTick);
    bytes += current_ ? current_->memoryBytes() : 0;
    for (const Superseded &entry : superseded_) {
        bytes += entry.table->memoryBytes();
    }
    return bytes;
}

} // namespace boragelug
