#pragma once

#include "core/event.h"
#include "core/outcome.h"
#include "core/time_point.h"

#include <string>
#include <string_view>
#include <vector>

namespace boragelug
{

/// One event of a merged time line.
struct TimelineItem
{
    Event event;
    /// True if an event of another VM lies within the clock error before this one, so that their order is not certain.
    bool orderOnlyProbable = false;
};

/// Events of one answer of /events.
struct EventPage
{
    std::vector<Event> events;
    std::uint64_t displaced = 0;
    bool truncated = false;
};

/// Reads an answer of /events; a reason if it is malformed or its last line is missing. Thread-safe.
Outcome<EventPage, std::string> parseEventPage(std::string_view body);

/**
 * Orders events by hybrid logical time, and removes repeated ones.
 *
 * Events of one VM incarnation keep the order of their sequence numbers. Between VMs, the order is certain if the wall
 * clocks differ by more than @p clockError. Thread-safe.
 */
std::vector<TimelineItem> mergeTimeline(std::vector<Event> events, Duration clockError);

} // namespace boragelug
