#pragma once

#include "core/outcome.h"
#include "servers/admin_source.h"

#include <string>
#include <string_view>

namespace boragelug
{

/// JSON of /catalogue. Thread-safe.
std::string cataloguePageToJson(const CataloguePage &page);

/// Reads what cataloguePageToJson() writes; a reason if @p text is anything else. Thread-safe.
Outcome<CataloguePage, std::string> cataloguePageFromJson(std::string_view text);

} // namespace boragelug
