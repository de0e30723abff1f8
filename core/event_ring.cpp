#include "core/event_ring.h"

#include "core/event_severity.h"

#include <algorithm>
#include <cassert>

namespace boragelug
{

namespace
{

/// First event of @p events after @p sequence; the events are sorted by it.
std::deque<Event>::const_iterator firstAfter(const std::deque<Event> &events, std::uint64_t sequence)
{
    return std::upper_bound(events.begin(), events.end(), sequence, [](std::uint64_t value, const Event &event) {
        return value < event.sequence;
    });
}

} // namespace

EventRing::EventRing(std::size_t capacity)
    : capacityOfEach_(capacity / 2)
{
    assert(capacity >= 2);
}

const Event &EventRing::add(Event event)
{
    event.sequence = ++lastSequence_;
    std::deque<Event> &events = isFrequent(event.number) ? frequent_ : rare_;
    if (events.size() == capacityOfEach_) {
        events.pop_front();
        ++displaced_;
    }
    events.push_back(std::move(event));
    return events.back();
}

EventSelection EventRing::select(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const
{
    EventSelection selection;
    selection.displaced = displaced_;
    auto frequent = firstAfter(frequent_, afterSequence);
    auto rare = firstAfter(rare_, afterSequence);
    while (frequent != frequent_.end() || rare != rare_.end()) {
        const bool takeRare =
            frequent == frequent_.end() || (rare != rare_.end() && rare->sequence < frequent->sequence);
        const Event &event = takeRare ? *rare++ : *frequent++;
        if (!matches(filter, event)) {
            continue;
        }
        if (selection.events.size() == most) {
            selection.truncated = true;
            break;
        }
        selection.events.push_back(event);
    }
    return selection;
}

} // namespace boragelug
