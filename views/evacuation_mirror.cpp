#include "views/evacuation_mirror.h"

#include <algorithm>

namespace boragelug
{

EvacuationMirror::Change
EvacuationMirror::apply(const std::string &key, DirectoryRevision revision, const EvacuationRecord &record)
{
    auto found = requests_.find(key);
    if (found == requests_.end()) {
        if (requests_.size() >= maxRequests && !discardWithdrawn()) {
            return Change::TooMany;
        }
        found = requests_.try_emplace(key).first;
    } else if (revision <= found->second.revision) {
        return Change::None;
    }
    const bool wasInEffect = found->second.inEffect;
    found->second = { .zone = record.zone, .revision = revision, .inEffect = true };
    return wasInEffect ? Change::None : Change::Began;
}

EvacuationMirror::Change EvacuationMirror::remove(const std::string &key, DirectoryRevision revision)
{
    const auto found = requests_.find(key);
    if (found == requests_.end() || revision < found->second.revision || !found->second.inEffect) {
        return Change::None;
    }
    found->second.revision = revision;
    found->second.inEffect = false;
    return Change::Ended;
}

bool EvacuationMirror::discardWithdrawn()
{
    auto oldest = requests_.end();
    for (auto it = requests_.begin(); it != requests_.end(); ++it) {
        const bool isOlder = oldest == requests_.end() || it->second.revision < oldest->second.revision;
        if (!it->second.inEffect && isOlder) {
            oldest = it;
        }
    }
    if (oldest == requests_.end()) {
        return false;
    }
    discardedRevision_ = std::max(discardedRevision_, oldest->second.revision);
    requests_.erase(oldest);
    return true;
}

bool EvacuationMirror::isEvacuated(const std::string &zone) const
{
    return std::any_of(requests_.begin(), requests_.end(), [&](const auto &request) {
        return request.second.inEffect && request.second.zone == zone;
    });
}

std::string EvacuationMirror::zoneOf(const std::string &key) const
{
    const auto found = requests_.find(key);
    return found != requests_.end() ? found->second.zone : std::string {};
}

std::size_t EvacuationMirror::size() const
{
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [](const auto &request) { return request.second.inEffect; }));
}

std::vector<std::pair<std::string, DirectoryRevision>> EvacuationMirror::inEffect() const
{
    std::vector<std::pair<std::string, DirectoryRevision>> all;
    for (const auto &[key, request] : requests_) {
        if (request.inEffect) {
            all.emplace_back(key, request.revision);
        }
    }
    return all;
}

void EvacuationMirror::appendChangesSince(DirectoryRevision after, std::vector<DirectoryItem> &items) const
{
    for (const auto &[key, request] : requests_) {
        if (request.revision <= after) {
            continue;
        }
        DirectoryItem item { .key = key, .revision = request.revision, .content = RemovedRecord {} };
        if (request.inEffect) {
            item.content = EvacuationRecord { .zone = request.zone };
        }
        items.push_back(std::move(item));
    }
}

} // namespace boragelug
