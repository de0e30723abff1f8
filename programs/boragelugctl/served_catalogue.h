#pragma once

#include "core/outcome.h"
#include "core/time_point.h"
#include "model/directory_record.h"
#include "model/endpoint.h"

#include <string>

namespace boragelug
{

/// Reads the catalogue in force from the admin server of @p vm, whose pages are all of one version; or says why there
/// is none. Each request takes at most @p timeout.
Outcome<CatalogueRecord, std::string> readServedCatalogue(const Endpoint &vm, Duration timeout);

} // namespace boragelug
