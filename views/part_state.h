#pragma once

#include "model/peer_message.h"
#include "model/platform_message.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace boragelug
{

/// Key of an item within its part. Thread-safe.
std::uint64_t itemKey(const PartItem &item);

/// Hash of an item's content, the same on every VM. Thread-safe.
std::uint64_t itemHash(const PartItem &item);

/// Whether @p item is of the type that @p part holds. Thread-safe.
bool matchesPart(const PartItem &item, std::uint16_t part);

/// An item and the catalogue version at which this VM's source saw it change.
struct StoredItem
{
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    PartItem item;
};

/// A removed item, kept so that deltas can name it.
struct Tombstone
{
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    PartItem item;
};

/**
 * All items of one part at one version.
 *
 * The content hash covers items only, not versions: two readers that skipped different versions still agree on it.
 */
struct PartState
{
    std::uint64_t version = 0;
    std::uint64_t contentHash = 0;
    /// Sorted by key.
    std::vector<StoredItem> items;
    /// The latest removals, oldest first; bounded.
    std::vector<Tombstone> tombstones;
    /// Deltas from below this version need the whole part, because older removals are forgotten.
    std::uint64_t deltaFloor = 0;
};

/// Parts by number; unchanged parts are shared between successive states.
using PartMap = std::map<std::uint16_t, std::shared_ptr<const PartState>>;

/// Builds the successor of @p previous (may be null) that holds exactly @p items at @p version. Unchanged items keep
/// their version, removed ones become tombstones. Of items with one key the last wins. Thread-safe.
PartState replaceItems(const PartState *previous, std::vector<PartItem> items, std::uint64_t version);

/// Everything in @p state newer than @p sinceVersion; the whole part, with fromVersion 0, when removals since then are
/// forgotten. Thread-safe.
ViewDelta deltaSince(const PartState &state, std::uint16_t part, std::uint64_t sinceVersion);

/// Contribution of one part to the summary hash of all parts; an empty part contributes 0. Thread-safe.
std::uint64_t summaryTerm(std::uint16_t part, std::uint64_t contentHash);

/// Summary hash of all parts. Thread-safe.
std::uint64_t summaryHash(const PartMap &parts);

} // namespace boragelug
