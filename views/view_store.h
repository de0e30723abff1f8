#pragma once

#include "model/catalogue.h"
#include "model/platform_message.h"
#include "views/catalogue_validator.h"
#include "views/part_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/// A catalogue that was rejected, with the reason.
struct RejectedCatalogue
{
    CatalogueVersion version;
    std::string reason;
};

/// Assembles the catalogue from @p parts; entries are sorted by address. Thread-safe.
Catalogue assembleCatalogue(const PartMap &parts, CatalogueVersion version);

/**
 * The adopted state of all parts at one catalogue version.
 *
 * A state is adopted as a whole or not at all, and only with a higher version. Not synchronized: one thread at a time.
 */
class ViewStore
{
public:
    enum class Adoption { Adopted, NotHigher, Invalid };

    /// Creates an empty store at version 0. @p validate may be empty; it is called only if zones, services or entries
    /// changed.
    explicit ViewStore(CatalogueValidator validate);

    CatalogueVersion version() const { return version_; }
    std::uint64_t summary() const { return summary_; }
    const PartMap &parts() const { return parts_; }

    /// The state of @p part, or null.
    const PartState *part(std::uint16_t part) const;

    /// The adopted catalogue.
    const Catalogue &catalogue() const { return catalogue_; }

    /// Adopts @p parts at @p version, or keeps the current state. If the result is Invalid, lastRejected() has the
    /// reason.
    Adoption adopt(PartMap parts, CatalogueVersion version);

    /// Whether the last adoption changed any upstream part.
    bool upstreamsChanged() const { return upstreamsChanged_; }

    /// The last rejected catalogue; std::nullopt if none was rejected.
    const std::optional<RejectedCatalogue> &lastRejected() const { return lastRejected_; }

    /// Whether @p version is higher than the adopted and the last rejected version.
    bool isAdoptable(CatalogueVersion version) const;

    /// Digests of at most @p limit parts, in descending order of version.
    std::vector<PartDigest> latestParts(std::size_t limit) const;

private:
    CatalogueValidator validate_;
    CatalogueVersion version_;
    std::uint64_t summary_ = 0;
    PartMap parts_;
    Catalogue catalogue_;
    bool upstreamsChanged_ = false;
    std::optional<RejectedCatalogue> lastRejected_;
};

} // namespace boragelug
