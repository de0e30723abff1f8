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
 * Staging area for the parts of a newer catalogue until they form one complete state.
 *
 * The goal is the state to reach. It comes from the configuration service's index (versions of all parts) or from a
 * peer's digest (changed parts and a summary hash over all parts). Nothing is adopted before the goal is complete, so
 * parts of different catalogues never mix. Staged parts are kept when the goal changes. Not synchronized: one thread at
 * a time.
 */
class ViewStaging
{
public:
    /// @p store must outlive this.
    explicit ViewStaging(const ViewStore &store);

    /// Makes an index of the configuration service the goal. False if it does not replace the current goal, for example
    /// because it is not newer than the store or that goal.
    bool setGoalFromIndex(const PlatformIndex &index, TimePoint now);

    /// Makes a peer's digest the goal, or adds its parts to the goal if both describe the same state. False if the
    /// digest was ignored.
    bool setGoalFromDigest(const ViewDigest &digest, TimePoint now);

    bool hasGoal() const { return goalVersion_.value != 0; }
    CatalogueVersion goalVersion() const { return goalVersion_; }

    /// Whether the goal's parts come from the configuration service.
    bool isFromIndex() const { return fromIndex_; }

    /// Whether the goal's list of parts is incomplete: with all of them staged, the summary hash would still differ
    /// from the goal's. The full list must then be requested.
    bool needsFullDigest() const;

    /// Parts still missing for the goal, at most @p limit.
    std::vector<std::uint16_t> neededParts(std::size_t limit) const;

    /// The goal's version of @p part; 0 if the goal does not list it.
    std::uint64_t neededVersion(std::uint16_t part) const;

    /// Stages a part from the configuration service. False if its version is not the goal's, or an item is of the wrong
    /// type.
    bool stageContent(PartContent content, TimePoint now);

    /// Stages (a piece of) a part from a peer. True if it completed the part.
    bool stageDelta(const ViewDelta &delta, TimePoint now);

    /// Whether the store's parts together with the staged parts are the goal's state.
    bool isComplete() const;

    /// The state of the goal. Precondition: isComplete().
    PartMap result() const;

    /// When a part was last completed or the goal was last set.
    TimePoint lastProgress() const { return lastProgress_; }

    /// Discards the goal and the staged parts.
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

/// Part number of the summary over all parts in a digest: version and summary hash.
constexpr std::uint16_t summaryPart = 0;

} // namespace boragelug
