#pragma once

#include "model/catalogue.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragelug
{

/// What happened to one item of the catalogue.
enum class ChangeKind : std::uint8_t { Added, Removed, Changed };

/// How much running work a change touches, least first.
enum class ChangeImpact : std::uint8_t {
    /// Running work goes on unchanged.
    None,
    /// New flows and requests are treated differently; open ones go on.
    NewWork,
    /// Open flows end, or requests in progress can no longer be retried.
    BreaksWork,
};

/// One changed value of an item.
struct FieldChange
{
    std::string field;
    std::string before;
    std::string after;

    bool operator==(const FieldChange &) const = default;
};

/// One added, removed or changed zone, service or entry.
struct CatalogueChange
{
    ChangeKind kind = ChangeKind::Changed;
    /// "zone", "service" or "entry", and the item's name.
    std::string item;
    std::string name;
    /// Owner of a changed entry; empty for zones and services.
    OwnerName owner;
    std::vector<FieldChange> fields;
    ChangeImpact impact = ChangeImpact::None;
    /// What follows for flows, limits and classes, one sentence each.
    std::vector<std::string> effects;
};

/// Whether a VM that runs @p before would adopt @p after, and all that would change.
struct CatalogueDiff
{
    bool isNewer = false;
    std::vector<CatalogueChange> changes;
};

/// Compares two valid catalogues. Items are matched by name. Sorted by item and name. Thread-safe.
CatalogueDiff diffCatalogues(const Catalogue &before, const Catalogue &after);

/// Highest impact of all changes in @p diff. Thread-safe.
ChangeImpact highestImpact(const CatalogueDiff &diff);

/// Words "none", "new_work" or "breaks_work". Thread-safe.
std::string_view impactName(ChangeImpact impact);

} // namespace boragelug
