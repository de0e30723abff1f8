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

/// Whether @p item has the type of the items of @p part. Thread-safe.
bool matchesPart(const PartItem &item, std::uint16_t part);

/// An item and the part version at which this VM last recorded a change of the item.
struct StoredItem
{
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    PartItem item;
};

/// A removed item, kept so that deltas can contain the removal.
struct Tombstone
{
    std::uint64_t key = 0;
    std::uint64_t version = 0;
    PartItem item;
};

/**
 * All items of one part at one version.
 *
 * The content hash covers items only, not versions, so that it is the same for two readers that skipped different
 * versions.
 */
struct PartState
{
    std::uint64_t version = 0;
    std::uint64_t contentHash = 0;
    /// Sorted by key.
    std::vector<StoredItem> items;
    /// The latest removals, oldest first; limited in number.
    std::vector<Tombstone> tombstones;
    /// A delta from a lower version than this must contain the whole part, because older removals have been discarded.
    std::uint64_t deltaFloor = 0;
};

/// Parts by number. Successive states share their unchanged parts.
using PartMap = std::map<std::uint16_t, std::shared_ptr<const PartState>>;

/// Builds the successor of @p previous (may be null) that holds exactly @p items at @p version. Unchanged items keep
/// their version, removed ones become tombstones. Of items with the same key the last is kept. Thread-safe.
PartState replaceItems(const PartState *previous, std::vector<PartItem> items, std::uint64_t version);

/// All changes in @p state after @p sinceVersion, or the whole part with fromVersion 0 if removals since then have been
/// discarded. Thread-safe.
ViewDelta deltaSince(const PartState &state, std::uint16_t part, std::uint64_t sinceVersion);

/// Contribution of one part to the summary hash of all parts; an empty part contributes 0. Thread-safe.
std::uint64_t summaryTerm(std::uint16_t part, std::uint64_t contentHash);

/// Summary hash of all parts. Thread-safe.
std::uint64_t summaryHash(const PartMap &parts);

} // namespace boragelug
