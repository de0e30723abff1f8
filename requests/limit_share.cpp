#include "requests/limit_share.h"

#include "core/hash.h"
#include "requests/slot_owner.h"

#include <algorithm>
#include <string>

namespace boragelug
{

namespace
{

/// Partners are the VMs at ring distance 1 and 2 on both sides: enough to move shares, and few enough for the control
/// budget.
constexpr std::size_t ringDistance = 2;
constexpr double maxPartners = 2.0 * ringDistance;
/// A VM gives up only what exceeds 1.2 times its demand, so that normal variation of the demand doesn't make it refuse
/// requests.
constexpr double ownDemandFactor = 1.2;
/// Maximum fraction of a base share that can move. Limits the excess to half of a limit if VMs have different reports.
constexpr double maxMovedFraction = 0.5;

std::vector<VmId> regionMembers(const View &view)
{
    const std::string region = regionOf(view.catalogue, view.selfZone);
    std::vector<VmId> members;
    for (const Member &member : view.members) {
        if (member.vm.id == view.self || regionOf(view.catalogue, member.vm.zone) == region) {
            members.push_back(member.vm.id);
        }
    }
    if (std::ranges::find(members, view.self) == members.end()) {
        members.push_back(view.self);
    }
    std::ranges::sort(members);
    return members;
}

std::vector<VmId> zoneMembers(const View &view)
{
    std::vector<VmId> members { view.self };
    for (const Member &member : view.members) {
        if (member.vm.id != view.self && member.vm.zone == view.selfZone) {
            members.push_back(member.vm.id);
        }
    }
    std::ranges::sort(members);
    return members;
}

void startPeriod(WindowedMinimum &minimum, Duration period, TimePoint now)
{
    if (now - minimum.periodStart < period) {
        return;
    }
    const bool skipped = now - minimum.periodStart >= 2 * period;
    minimum.previous = skipped ? minimum.latest : minimum.current;
    minimum.current = minimum.latest;
    minimum.periodStart = now;
}

} // namespace

WindowedMinimum startWindowedMinimum(double value, TimePoint now)
{
    return { value, value, value, now };
}

void recordValue(WindowedMinimum &minimum, double value, Duration period, TimePoint now)
{
    startPeriod(minimum, period, now);
    minimum.latest = value;
    minimum.current = std::min(minimum.current, value);
}

double windowedMinimum(WindowedMinimum &minimum, Duration period, TimePoint now)
{
    startPeriod(minimum, period, now);
    return std::min({ minimum.current, minimum.previous, minimum.latest });
}

ShareMembers shareMembers(const View &view)
{
    ShareMembers result;
    result.regionSize = regionMembers(view).size();
    const std::vector<VmId> ring = zoneMembers(view);
    const auto self = static_cast<std::size_t>(std::ranges::find(ring, view.self) - ring.begin());
    for (std::size_t distance = 1; distance <= ringDistance; ++distance) {
        for (const std::size_t step : { distance, ring.size() * distance - distance }) {
            const VmId partner = ring[(self + step) % ring.size()];
            const bool known = std::ranges::find(result.partners, partner) != result.partners.end();
            if (partner != view.self && !known) {
                result.partners.push_back(partner);
            }
        }
    }
    return result;
}

LimitShares::LimitShares(Duration increaseDelay, TimePoint now)
    : increaseDelay_(increaseDelay)
    , fraction_(startWindowedMinimum(0, now))
{ }

void LimitShares::applyView(const View &view, TimePoint now)
{
    self_ = view.self;
    members_ = shareMembers(view);
    region_ = regionMembers(view);
    if (region_.size() == 1 && fraction_.latest == 0) {
        fraction_ = startWindowedMinimum(1, now);
    }
    recordValue(fraction_, 1.0 / static_cast<double>(members_.regionSize), increaseDelay_, now);
    absl::erase_if(transfers_, [&](const auto &item) {
        return std::ranges::find(members_.partners, item.first.partner) == members_.partners.end();
    });
    if (limits_.size() > view.catalogue.entries.size()) {
        // Entries were removed from the catalogue. rateShare() stores the limits of the remaining ones again.
        limits_.clear();
    }
    if (view.unconfirmed) {
        discardReports(now);
    }
}

double LimitShares::rateShare(std::uint64_t entryHash, double limit, TimePoint now)
{
    limits_[entryHash] = limit;
    double share = limit * windowedMinimum(fraction_, increaseDelay_, now);
    const double base = share;
    for (const VmId partner : members_.partners) {
        const auto found = transfers_.find(TransferKey { entryHash, partner });
        if (found == transfers_.end()) {
            continue;
        }
        updateTransfer(found->first, found->second, now);
        const double cap = base * maxMovedFraction / maxPartners;
        share += std::clamp(windowedMinimum(found->second.transferred, increaseDelay_, now), -cap, cap);
    }
    return std::max(0.0, share);
}

std::uint32_t LimitShares::countShare(std::uint64_t entryHash, std::uint32_t limit, TimePoint now)
{
    const double fraction = windowedMinimum(fraction_, increaseDelay_, now);
    if (fraction <= 0) {
        return 0;
    }
    const auto size = static_cast<std::uint32_t>(members_.regionSize);
    const auto delayedShare = static_cast<std::uint32_t>(static_cast<double>(limit) * fraction + 1e-9);
    if (fraction < 1.0 / static_cast<double>(size) - 1e-12) {
        return delayedShare;
    }
    const std::uint64_t own = combineHash(entryHash, self_.value);
    const auto ahead =
        std::ranges::count_if(region_, [&](VmId vm) { return vm != self_ && combineHash(entryHash, vm.value) > own; });
    const bool getsRemainder = static_cast<std::uint32_t>(ahead) < limit % size;
    return limit / size + (getsRemainder ? 1 : 0);
}

void LimitShares::handleReport(VmId from, const DemandReport &report, TimePoint now)
{
    if (std::ranges::find(members_.partners, from) == members_.partners.end()) {
        return;
    }
    for (const DemandReport::Item &item : report.items) {
        const TransferKey key { item.entryHash, from };
        const auto limit = limits_.find(item.entryHash);
        if (limit == limits_.end() || (transfers_.size() >= maxTransfers && !transfers_.contains(key))) {
            continue;
        }
        const auto [found, added] = transfers_.try_emplace(key);
        if (added) {
            found->second.transferred = startWindowedMinimum(0, now);
        }
        found->second.partnerDemand = std::max(0.0, item.requestsPerSecond);
        found->second.lastContactAt = now;
        updateTransfer(found->first, found->second, now);
    }
}

std::vector<OutgoingMessage> LimitShares::reportDemand(const DemandReport &own, TimePoint now)
{
    ownDemand_.clear();
    for (const DemandReport::Item &item : own.items) {
        ownDemand_[item.entryHash] = item.requestsPerSecond;
    }
    for (auto &[key, transfer] : transfers_) {
        updateTransfer(key, transfer, now);
    }
    std::vector<OutgoingMessage> messages;
    for (const VmId partner : members_.partners) {
        messages.push_back({ partner, own });
    }
    return messages;
}

void LimitShares::discardReports(TimePoint now)
{
    for (auto &[key, transfer] : transfers_) {
        recordValue(transfer.transferred, std::min(0.0, transfer.transferred.latest), increaseDelay_, now);
        transfer.lastContactAt = now - 2 * increaseDelay_;
    }
}

/// Recomputes the share that moves between this VM and a partner. A partner without recent reports gives nothing, but
/// keeps the share that it was given.
void LimitShares::updateTransfer(const TransferKey &key, Transfer &transfer, TimePoint now)
{
    const auto own = ownDemand_.find(key.entryHash);
    const auto limit = limits_.find(key.entryHash);
    if (own == ownDemand_.end() || limit == limits_.end()) {
        recordValue(transfer.transferred, std::min(0.0, transfer.transferred.latest), increaseDelay_, now);
        return;
    }
    const double base = limit->second / static_cast<double>(members_.regionSize);
    double moved = pairTransfer(own->second, transfer.partnerDemand, base);
    if (now - transfer.lastContactAt > increaseDelay_) {
        moved = std::min({ 0.0, moved, transfer.transferred.latest });
    }
    recordValue(transfer.transferred, moved, increaseDelay_, now);
}

double LimitShares::pairTransfer(double ownDemand, double partnerDemand, double base) const
{
    const auto move = [base](double taker, double giver) {
        const double need = std::max(0.0, taker - base);
        const double spare = std::max(0.0, base - ownDemandFactor * giver);
        return std::min({ need, spare, base * maxMovedFraction }) / maxPartners;
    };
    return move(ownDemand, partnerDemand) - move(partnerDemand, ownDemand);
}

} // namespace boragelug
