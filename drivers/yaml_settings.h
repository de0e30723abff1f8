#pragma once

#include "core/outcome.h"
#include "model/problem.h"
#include "model/settings.h"

#include <array>
#include <string>
#include <string_view>
#include <utility>

namespace boragelug
{

/// Parses settings in YAML; @p file only names them in problems. Refuses unknown keys, wrong types and values out of
/// range, and lists all such problems. Thread-safe.
Outcome<Settings, Problems> parseSettings(const std::string &text, const std::string &file);

/// Reads and parses a settings file of at most 64 KiB. A relative key file is resolved against the folder of @p path.
/// Doesn't open the key file; see loadKey(). Thread-safe.
Outcome<Settings, Problems> loadSettings(const std::string &path);

using LogLevelWords = std::array<std::pair<std::string_view, LogLevel>, 4>;

/// The words for log levels in settings. Thread-safe.
const LogLevelWords &logLevelWords();

/// Word for @p level in settings and logs. Thread-safe.
std::string_view logLevelName(LogLevel level);

} // namespace boragelug
