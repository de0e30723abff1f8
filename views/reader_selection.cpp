#include "views/reader_selection.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace boragelug
{

std::vector<VmId> rankReaders(ZoneId zone, std::span<const VmId> candidates, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, VmId>> ranked;
    ranked.reserve(candidates.size());
    for (const VmId vm : candidates) {
        ranked.emplace_back(combineHash(zone.value, mix64(vm.value)), vm);
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(kept), ranked.end(), std::greater<> {});
    std::vector<VmId> readers;
    readers.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        readers.push_back(ranked[i].second);
    }
    return readers;
}

ReaderSelection::ReaderSelection(VmId self, ZoneId zone)
    : self_(self)
    , zone_(zone)
{ }

void ReaderSelection::setCandidates(std::span<const VmId> candidates, TimePoint now)
{
    group_ = rankReaders(zone_, candidates, readerGroupSize);
    std::erase_if(reports_, [this](const auto &report) {
        return std::find(group_.begin(), group_.end(), report.first) == group_.end();
    });
    for (const VmId vm : group_) {
        // A new group member counts as healthy for one report timeout.
        reports_.try_emplace(vm, Report { now, false });
    }
}

void ReaderSelection::handleReport(VmId from, bool healthy, TimePoint now)
{
    const auto it = reports_.find(from);
    if (it == reports_.end()) {
        return;
    }
    it->second.failed = !healthy;
    if (healthy) {
        it->second.lastHealthyAt = now;
    }
}

bool ReaderSelection::isInGroup() const
{
    return std::find(group_.begin(), group_.end(), self_) != group_.end();
}

bool ReaderSelection::isReader(TimePoint now) const
{
    std::size_t healthyAbove = 0;
    for (const VmId vm : group_) {
        if (vm == self_) {
            return healthyAbove < readersPerZone;
        }
        const Report &report = reports_.at(vm);
        if (!report.failed && now - report.lastHealthyAt <= reportTimeout) {
            ++healthyAbove;
        }
    }
    return false;
}

} // namespace boragelug
