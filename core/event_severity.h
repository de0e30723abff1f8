#pragma once

#include "core/event.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace boragelug
{

/// How much attention an event needs, least first.
enum class EventSeverity : std::uint8_t { Debug, Info, Warning, Error };

/// Severity of an event; docs/events.md lists the same. Thread-safe.
EventSeverity severityOf(EventNumber number);

/// Words "debug", "info", "warning" and "error". Thread-safe.
std::string_view severityName(EventSeverity severity);

/// Whether events of this number come with every flow, packet, request or peer message. Thread-safe.
bool isFrequent(EventNumber number);

/// The event with this name or number, such as "flow_placed" or "300"; nothing if there is none. Thread-safe.
std::optional<EventNumber> parseEventNumber(std::string_view text);

} // namespace boragelug
