#pragma once

#include "core/outcome.h"
#include "model/catalogue.h"
#include "model/problem.h"

#include <string>

namespace boragelug
{

/// Parses and validates a catalogue in YAML (docs/catalogue.md); @p file only names it in problems. Lists all problems,
/// in the order of the file. Thread-safe.
Outcome<Catalogue, Problems> parseCatalogue(const std::string &text, const std::string &file);

/// Reads, parses and validates a catalogue file of at most 16 MiB. Thread-safe.
Outcome<Catalogue, Problems> loadCatalogue(const std::string &path);

} // namespace boragelug
