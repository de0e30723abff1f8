#pragma once

#include "model/catalogue.h"

#include <functional>
#include <optional>
#include <string>

namespace boragelug
{

/// Validates a complete catalogue before adoption. Returns the reason if it must be rejected, std::nullopt otherwise.
/// Has no side effects.
using CatalogueValidator = std::function<std::optional<std::string>(const Catalogue &)>;

} // namespace boragelug
