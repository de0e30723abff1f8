#include "views/upstream_load.h"

#include "core/hash.h"
#include "views/message_size.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragelug
{

namespace
{

// At one digest a second, 30 items use about a quarter of the default budget.
constexpr std::size_t maxDigestItems = 30;
// Load is at most a few times the capacity; a higher value is faulty.
constexpr double maxLoad = 1000;

bool isValid(const LoadReport &report)
{
    return std::isfinite(report.load) && report.load >= 0 && report.load <= maxLoad;
}

} // namespace

double loadWeight(Duration age)
{
    if (age >= maxLoadAge) {
        return 0;
    }
    const Duration counted = std::max(age, Duration::zero());
    return 1.0 - static_cast<double>(counted.count()) / static_cast<double>(maxLoadAge.count());
}

std::vector<Upstream>
upstreamsToPoll(std::span<const Upstream *const> zoneUpstreams, std::span<const VmId> zoneVms, VmId self)
{
    std::vector<Upstream> polled;
    if (std::find(zoneVms.begin(), zoneVms.end(), self) == zoneVms.end()) {
        return polled;
    }
    for (const Upstream *upstream : zoneUpstreams) {
        if (upstream->state == UpstreamState::Leaving) {
            continue;
        }
        const auto rankOf = [upstream](VmId vm) { return combineHash(upstream->id.value, mix64(vm.value)); };
        const std::uint64_t own = rankOf(self);
        std::size_t above = 0;
        for (std::size_t i = 0; i < zoneVms.size() && above < pollersPerUpstream; ++i) {
            above += rankOf(zoneVms[i]) > own ? 1U : 0U;
        }
        if (above < pollersPerUpstream) {
            polled.push_back(*upstream);
        }
    }
    return polled;
}

void UpstreamLoad::setUpstreams(std::span<const Upstream *const> zoneUpstreams)
{
    incarnations_.clear();
    for (const Upstream *upstream : zoneUpstreams) {
        incarnations_[upstream->id] = upstream->incarnation;
    }
    const auto isKnown = [this](UpstreamId id, Incarnation incarnation) {
        const auto it = incarnations_.find(id);
        return it != incarnations_.end() && it->second == incarnation;
    };
    absl::erase_if(reports_,
                   [&isKnown](const auto &stored) { return !isKnown(stored.first, stored.second.report.incarnation); });
    std::erase_if(sendOrder_, [this](UpstreamId id) { return !reports_.contains(id); });
}

bool UpstreamLoad::store(const LoadReport &report, bool own)
{
    const auto upstream = incarnations_.find(report.upstream);
    if (upstream == incarnations_.end() || upstream->second != report.incarnation || !isValid(report)) {
        return false;
    }
    const auto [it, added] = reports_.try_emplace(report.upstream, StoredReport { report, own });
    if (added) {
        sendOrder_.push_back(report.upstream);
        return true;
    }
    if (report.reportedAt <= it->second.report.reportedAt) {
        return false;
    }
    it->second = { report, own };
    return true;
}

bool UpstreamLoad::handleReport(const LoadReport &report, TimePoint now)
{
    return report.reportedAt <= now && store(report, true);
}

bool UpstreamLoad::handleDigest(const LoadDigest &digest, TimePoint now)
{
    bool changed = false;
    for (const LoadDigest::Item &item : digest.items) {
        if (item.age >= Duration::zero() && item.age < maxLoadAge) {
            changed =
                store({ item.upstream, item.incarnation, item.load, item.healthy, now - item.age }, false) || changed;
        }
    }
    return changed;
}

std::optional<LoadReport> UpstreamLoad::find(UpstreamId upstream, TimePoint now) const
{
    const auto it = reports_.find(upstream);
    if (it == reports_.end() || now - it->second.report.reportedAt >= maxLoadAge) {
        return std::nullopt;
    }
    return it->second.report;
}

LoadDigest UpstreamLoad::digest(TimePoint now)
{
    LoadDigest digest;
    const auto add = [&](bool own) {
        for (std::size_t i = sendOrder_.size(); i > 0 && digest.items.size() < maxDigestItems; --i) {
            const UpstreamId id = sendOrder_.front();
            sendOrder_.pop_front();
            sendOrder_.push_back(id);
            const StoredReport &stored = reports_.at(id);
            const Duration age = now - stored.report.reportedAt;
            if (stored.own == own && age < maxLoadAge / 2) {
                digest.items.push_back(
                    { id, stored.report.incarnation, stored.report.load, stored.report.healthy, age });
            }
        }
    };
    add(true);
    add(false);
    while (!digest.items.empty() && wireSize(PeerMessage(digest)) > maxDatagramBytes) {
        digest.items.pop_back();
    }
    return digest;
}

void UpstreamLoad::clear()
{
    reports_.clear();
    sendOrder_.clear();
}

} // namespace boragelug
