#pragma once

#include "core/outcome.h"
#include "model/problem.h"
#include "model/tagged_settings.h"

#include <string>

namespace boragelug
{

/// Reads settings of a process for a fabric with flow tags; every mistake if there are any. Thread-safe.
Outcome<TaggedSettings, Problems> parseTaggedSettings(const std::string &text, const std::string &file);

/// The same from the file at @p path. Thread-safe.
Outcome<TaggedSettings, Problems> loadTaggedSettings(const std::string &path);

} // namespace boragelug
