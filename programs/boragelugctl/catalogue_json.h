#pragma once

#include "core/outcome.h"
#include "model/catalogue.h"

#include <cstddef>
#include <map>
#include <string>

namespace boragelug
{

/// JSON values by resource path, such as "/v1/index" (docs/platform.md).
using PlatformValues = std::map<std::string, std::string>;

/**
 * The values that the platform serves for @p catalogue, with its entries split over @p shards by a hash of their names.
 *
 * @p previous holds the values served so far, or nothing: parts whose items didn't change keep their version, and
 * shards of upstreams are taken over, since the catalogue doesn't contain them. A reason if a value exceeds 1 MiB or
 * the previous ones are malformed. Precondition: 1 <= shards <= 256. Thread-safe.
 */
Outcome<PlatformValues, std::string>
catalogueToPlatform(const Catalogue &catalogue, std::size_t shards, const PlatformValues &previous);

/// The whole catalogue as one JSON object, as view files hold it; parseViewFile() reads it back. Thread-safe.
std::string catalogueToJson(const Catalogue &catalogue);

} // namespace boragelug
