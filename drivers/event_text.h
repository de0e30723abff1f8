#pragma once

#include "core/event.h"
#include "core/outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// One log line of an event without line end: key=value pairs, values with spaces or quotes in double quotes, control
/// characters escaped. Thread-safe.
std::string eventLine(const Event &event);

/// Reads what eventLine() writes, also behind other text such as a collector's prefix; a reason if there is no such
/// line. The counter of the hybrid time isn't in it; events of one VM are ordered by their sequence. Thread-safe.
Outcome<Event, std::string> eventFromLine(std::string_view text);

/// One JSON object of an event, without line end. Bytes that are no UTF-8 are replaced. Thread-safe.
std::string eventToJson(const Event &event);

/// Reads what eventToJson() writes; a reason if @p text is anything else. Thread-safe.
Outcome<Event, std::string> eventFromJson(std::string_view text);

/// UTC time such as "2026-12-04T05:22:56.123456Z". Thread-safe.
std::string timeText(std::uint64_t wallMicroseconds);

/// Reads what timeText() writes, also with fewer or no decimals of the second. Thread-safe.
std::optional<std::uint64_t> parseTime(std::string_view text);

/// Reads 1 to 16 hexadecimal digits. Thread-safe.
std::optional<std::uint64_t> parseCause(std::string_view text);

} // namespace boragelug
