#pragma once

#include "core/event.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace boragelug
{

/// Selects events; every part that is set must match.
struct EventFilter
{
    std::optional<std::uint64_t> causeId;
    std::optional<VmId> vm;
    std::optional<EventNumber> number;
    /// Values that the event must carry in a field of the same name; empty is any.
    std::string flow;
    std::string request;
    std::string upstream;
    std::string entry;
    /// Bounds on the wall-clock part of the event's time, both included.
    std::uint64_t sinceMicroseconds = 0;
    std::uint64_t untilMicroseconds = std::numeric_limits<std::uint64_t>::max();
};

/// Whether @p event passes @p filter. A VM matches if the event is its own or names it in the field "vm". Thread-safe.
bool matches(const EventFilter &filter, const Event &event);

/// Order of a merged time line: hybrid time, then VM, incarnation and sequence. Thread-safe.
bool isBefore(const Event &left, const Event &right);

} // namespace boragelug
