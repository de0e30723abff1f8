#pragma once

#include "core/time_point.h"

#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// Parses a duration such as "500ms", "5.5s", "5m" or "1h", to the nanosecond; std::nullopt if the text is malformed or
/// the duration longer than 366 days. Thread-safe.
std::optional<Duration> parseDuration(std::string_view text);

/// Shortest text that parseDuration() reads back as @p duration, to the millisecond. Thread-safe.
std::string durationText(Duration duration);

} // namespace boragelug
