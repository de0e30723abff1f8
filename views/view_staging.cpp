#include "views/view_staging.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <set>
#include <utility>

namespace boragelug
{

namespace
{

// A goal without progress for this long may be replaced by that of another source, even with a lower version.
constexpr Duration stallTimeout = std::chrono::seconds(4);
// A part has about 70 items at the largest catalogue size. This limits the items that a faulty peer can make a VM
// store.
constexpr std::size_t maxItemsPerPart = 20'000;

std::optional<std::uint64_t> summaryOf(const ViewDigest &digest)
{
    for (const PartDigest &part : digest.parts) {
        if (part.part == summaryPart) {
            return part.contentHash;
        }
    }
    return std::nullopt;
}

} // namespace

ViewStaging::ViewStaging(const ViewStore &store)
    : store_(store)
{ }

bool ViewStaging::mayReplaceGoal(CatalogueVersion version, TimePoint now) const
{
    if (!store_.isAdoptable(version)) {
        return false;
    }
    return version > goalVersion_ || now - lastProgress_ > stallTimeout;
}

void ViewStaging::setGoal(CatalogueVersion version, bool fromIndex, TimePoint now)
{
    goalVersion_ = version;
    fromIndex_ = fromIndex;
    goals_.clear();
    lastProgress_ = now;
}

bool ViewStaging::setGoalFromIndex(const PlatformIndex &index, TimePoint now)
{
    // A VM that joins needs most parts. The configuration service delivers them faster than peers, whose send budgets
    // are limited.
    constexpr std::size_t manyParts = 32;
    const bool platformIsFaster =
        !fromIndex_ && hasGoal() && store_.isAdoptable(index.version) && neededParts(manyParts).size() >= manyParts;
    if (!mayReplaceGoal(index.version, now) && !platformIsFaster) {
        return false;
    }
    setGoal(index.version, true, now);
    for (const PartVersion &part : index.parts) {
        if (parts::isKnown(part.part)) {
            goals_[part.part] = { part.version, 0 };
        }
    }
    return true;
}

bool ViewStaging::setGoalFromDigest(const ViewDigest &digest, TimePoint now)
{
    const std::optional<std::uint64_t> summary = summaryOf(digest);
    if (!summary) {
        return false;
    }
    const bool sameGoal = !fromIndex_ && digest.catalogueVersion == goalVersion_ && *summary == goalSummary_;
    if (!sameGoal) {
        if (fromIndex_ && hasGoal() && now - lastProgress_ <= stallTimeout) {
            // Parts are arriving from the configuration service. Once they are adopted, the peer's state will differ in
            // few parts only.
            return false;
        }
        if (!mayReplaceGoal(digest.catalogueVersion, now)) {
            return false;
        }
        setGoal(digest.catalogueVersion, false, now);
        goalSummary_ = *summary;
    }
    for (const PartDigest &part : digest.parts) {
        if (parts::isKnown(part.part)) {
            goals_[part.part] = { part.version, part.contentHash };
        }
    }
    return true;
}

const PartState *ViewStaging::current(std::uint16_t part) const
{
    const auto it = staged_.find(part);
    return it == staged_.end() ? store_.part(part) : it->second.get();
}

bool ViewStaging::isMet(std::uint16_t part, const Goal &goal) const
{
    const PartState *state = current(part);
    if (fromIndex_) {
        return state != nullptr && state->version == goal.version;
    }
    return (state == nullptr ? 0 : state->contentHash) == goal.hash;
}

std::uint64_t ViewStaging::stagedSummary() const
{
    std::uint64_t sum = store_.summary();
    for (const auto &[part, state] : staged_) {
        const PartState *stored = store_.part(part);
        sum ^= summaryTerm(part, stored == nullptr ? 0 : stored->contentHash) ^ summaryTerm(part, state->contentHash);
    }
    return sum;
}

bool ViewStaging::needsFullDigest() const
{
    if (!hasGoal() || fromIndex_) {
        return false;
    }
    std::uint64_t sum = stagedSummary();
    for (const auto &[part, goal] : goals_) {
        const PartState *state = current(part);
        sum ^= summaryTerm(part, state == nullptr ? 0 : state->contentHash) ^ summaryTerm(part, goal.hash);
    }
    return sum != goalSummary_;
}

std::vector<std::uint16_t> ViewStaging::neededParts(std::size_t limit) const
{
    std::vector<std::uint16_t> needed;
    for (const auto &[part, goal] : goals_) {
        if (needed.size() >= limit) {
            break;
        }
        if (!isMet(part, goal)) {
            needed.push_back(part);
        }
    }
    return needed;
}

std::uint64_t ViewStaging::neededVersion(std::uint16_t part) const
{
    const auto it = goals_.find(part);
    return it == goals_.end() ? 0 : it->second.version;
}

bool ViewStaging::stageContent(PartContent content, TimePoint now)
{
    const auto goal = goals_.find(content.part);
    if (goal == goals_.end() || !fromIndex_ || content.version != goal->second.version) {
        return false;
    }
    const auto mismatched = [&content](const PartItem &item) { return !matchesPart(item, content.part); };
    if (std::any_of(content.items.begin(), content.items.end(), mismatched)) {
        return false;
    }
    staged_[content.part] = std::make_shared<const PartState>(
        replaceItems(store_.part(content.part), std::move(content.items), content.version));
    lastProgress_ = now;
    return true;
}

bool ViewStaging::stageDelta(const ViewDelta &delta, TimePoint now)
{
    const auto goal = goals_.find(delta.part);
    if (goal == goals_.end() || fromIndex_ || isMet(delta.part, goal->second)) {
        return false;
    }
    const auto mismatched = [&delta](const ViewItem &item) { return !matchesPart(item.item, delta.part); };
    if (std::any_of(delta.items.begin(), delta.items.end(), mismatched)) {
        return false;
    }
    const PartState *stored = store_.part(delta.part);
    if (delta.fromVersion > (stored == nullptr ? 0 : stored->version)) {
        return false;
    }
    Assembly &assembly = assemblies_[delta.part];
    if (assembly.fromVersion != delta.fromVersion || assembly.toVersion != delta.toVersion) {
        assembly = { delta.fromVersion, delta.toVersion, {} };
    }
    for (const ViewItem &item : delta.items) {
        assembly.items[itemKey(item.item)] = item;
    }
    if (assembly.items.size() > maxItemsPerPart) {
        assemblies_.erase(delta.part);
        return false;
    }
    if (!finishAssembly(delta.part, goal->second)) {
        return false;
    }
    lastProgress_ = now;
    return true;
}

bool ViewStaging::finishAssembly(std::uint16_t part, const Goal &goal)
{
    const Assembly &assembly = assemblies_.at(part);
    const PartState *stored = store_.part(part);
    std::vector<PartItem> items;
    if (assembly.fromVersion != 0 && stored != nullptr) {
        for (const StoredItem &item : stored->items) {
            if (!assembly.items.contains(item.key)) {
                items.push_back(item.item);
            }
        }
    }
    for (const auto &[key, item] : assembly.items) {
        if (!item.removed) {
            items.push_back(item.item);
        }
    }
    std::uint64_t hash = 0;
    for (const PartItem &item : items) {
        hash ^= itemHash(item);
    }
    if (hash != goal.hash) {
        return false;
    }
    staged_[part] = std::make_shared<const PartState>(replaceItems(stored, std::move(items), assembly.toVersion));
    assemblies_.erase(part);
    return true;
}

bool ViewStaging::isComplete() const
{
    if (!hasGoal()) {
        return false;
    }
    if (!fromIndex_) {
        return stagedSummary() == goalSummary_;
    }
    return std::all_of(
        goals_.begin(), goals_.end(), [this](const auto &goal) { return isMet(goal.first, goal.second); });
}

PartMap ViewStaging::result() const
{
    assert(isComplete());
    PartMap result = store_.parts();
    for (const auto &[part, state] : staged_) {
        result[part] = state;
    }
    if (!fromIndex_) {
        return result;
    }
    for (auto &[part, state] : result) {
        if (!goals_.contains(part) && !state->items.empty()) {
            // The configuration service no longer has this part. It stays as an empty part, so that deltas can contain
            // the removals.
            state = std::make_shared<const PartState>(replaceItems(state.get(), {}, goalVersion_.value));
        }
    }
    return result;
}

void ViewStaging::clear()
{
    goalVersion_ = {};
    goalSummary_ = 0;
    fromIndex_ = false;
    goals_.clear();
    staged_.clear();
    assemblies_.clear();
}

} // namespace boragelug
