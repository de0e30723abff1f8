#pragma once

#include "core/time_point.h"
#include "model/peer_message.h"
#include "model/platform_message.h"
#include "views/view_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace boragelug
{

/**
 * Collects the parts of a newer catalogue until they form one complete state.
 *
 * The goal comes from the platform's index (all part versions) or from a peer's digest (changed parts and a summary
 * hash of all). Nothing reaches the store before the goal is complete, so parts of different catalogues never mix.
 * Parts already collected survive a change of goal. Not synchronized: one thread at a time.
 */
class ViewStaging
{
public:
    /// @p store must outlive this.
    explicit ViewStaging(const ViewStore &store);

    /// Aims at a platform index. False when it is not newer than the store or the current goal.
    bool setGoalFromIndex(const PlatformIndex &index, TimePoint now);

    /// Aims at a peer's digest, or adds its parts to the goal. False when it brings nothing new.
    bool setGoalFromDigest(const ViewDigest &digest, TimePoint now);

    bool hasGoal() const { return goalVersion_.value != 0; }
    CatalogueVersion goalVersion() const { return goalVersion_; }

    /// Whether the goal's parts come from the platform.
    bool isFromIndex() const { return fromIndex_; }

    /// Whether the named parts, once staged, still don't lead to the goal, so that the full list must be asked for.
    bool needsFullDigest() const;

    /// Parts still to be brought, at most @p limit.
    std::vector<std::uint16_t> neededParts(std::size_t limit) const;

    /// The version that the goal names for @p part; 0 for none.
    std::uint64_t neededVersion(std::uint16_t part) const;

    /// Takes a part that the platform served. False when it is not of the version that the goal names.
    bool stageContent(PartContent content, TimePoint now);

    /// Takes (a piece of) a part that a peer sent. True when it completed the part.
    bool stageDelta(const ViewDelta &delta, TimePoint now);

    /// Whether store and staged parts together are the goal.
    bool isComplete() const;

    /// The goal's state. Precondition: isComplete().
    PartMap result() const;

    /// When a part was last completed or the goal set.
    TimePoint lastProgress() const { return lastProgress_; }

    /// Forgets goal and collected parts.
    void clear();

private:
    struct Goal
    {
        std::uint64_t version = 0;
        std::uint64_t hash = 0;
    };
    struct Assembly
    {
        std::uint64_t fromVersion = 0;
        std::uint64_t toVersion = 0;
        std::map<std::uint64_t, ViewItem> items;
    };

    const PartState *current(std::uint16_t part) const;
    bool isMet(std::uint16_t part, const Goal &goal) const;
    bool mayReplaceGoal(CatalogueVersion version, TimePoint now) const;
    bool finishAssembly(std::uint16_t part, const Goal &goal);
    std::uint64_t stagedSummary() const;
    void setGoal(CatalogueVersion version, bool fromIndex, TimePoint now);

    const ViewStore &store_;
    CatalogueVersion goalVersion_;
    std::uint64_t goalSummary_ = 0;
    bool fromIndex_ = false;
    TimePoint lastProgress_;
    std::map<std::uint16_t, Goal> goals_;
    PartMap staged_;
    std::map<std::uint16_t, Assembly> assemblies_;
};

/// Number of the part that carries the summary of all parts in a digest: version and summary hash.
constexpr std::uint16_t summaryPart = 0;

} // namespace boragelug
