#include "core/event_filter.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <tuple>

namespace boragelug
{

namespace
{

bool hasField(const Event &event, std::string_view name, std::string_view value)
{
    return std::any_of(event.fields.begin(), event.fields.end(), [&](const auto &field) {
        return field.first == name && field.second == value;
    });
}

bool fieldMatches(const Event &event, std::string_view name, const std::string &wanted)
{
    return wanted.empty() || hasField(event, name, wanted);
}

/// Flow events that have no field "flow" carry the flow's key as their cause.
bool flowMatches(const Event &event, const std::string &wanted)
{
    const auto number = static_cast<std::uint16_t>(event.number);
    if (fieldMatches(event, "flow", wanted)) {
        return true;
    }
    std::uint64_t key = 0;
    const auto [end, error] = std::from_chars(wanted.data(), wanted.data() + wanted.size(), key, 16);
    const bool isKey = error == std::errc() && end == wanted.data() + wanted.size();
    return number >= 300 && number < 400 && isKey && event.causeId == key;
}

} // namespace

bool matches(const EventFilter &filter, const Event &event)
{
    const bool vmMatches =
        !filter.vm || event.vm == *filter.vm || hasField(event, "vm", std::to_string(filter.vm->value));
    return vmMatches && (!filter.causeId || event.causeId == *filter.causeId)
        && (!filter.number || event.number == *filter.number) && flowMatches(event, filter.flow)
        && fieldMatches(event, "request", filter.request) && fieldMatches(event, "upstream", filter.upstream)
        && fieldMatches(event, "entry", filter.entry) && event.time.wallMicroseconds >= filter.sinceMicroseconds
        && event.time.wallMicroseconds <= filter.untilMicroseconds;
}

bool isBefore(const Event &left, const Event &right)
{
    return std::tie(left.time, left.vm, left.incarnation, left.sequence)
        < std::tie(right.time, right.vm, right.incarnation, right.sequence);
}

} // namespace boragelug
