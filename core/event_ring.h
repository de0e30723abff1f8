#pragma once

#include "core/event_filter.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace boragelug
{

/// Events that were selected from a ring.
struct EventSelection
{
    /// In order of their sequence numbers.
    std::vector<Event> events;
    /// Events of this process that were displaced by later ones and can't be selected any more.
    std::uint64_t displaced = 0;
    /// True if more events match than were asked for; continue after the last sequence number.
    bool truncated = false;
};

/**
 * The last events of one process.
 *
 * Frequent events (one or more for each flow or request) and rare ones are held apart with half of the capacity each,
 * so that a second of traffic doesn't displace the last view change. Not synchronized: one thread at a time.
 */
class EventRing
{
public:
    /// Precondition: @p capacity is at least 2.
    explicit EventRing(std::size_t capacity);

    /// Numbers @p event with the next sequence number, from 1, stores it and returns the stored event. The reference
    /// is valid until the next call.
    const Event &add(Event event);

    /// The first @p most events after @p afterSequence that match @p filter.
    EventSelection select(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const;

private:
    std::size_t capacityOfEach_;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t displaced_ = 0;
    std::deque<Event> frequent_;
    std::deque<Event> rare_;
};

} // namespace boragelug
