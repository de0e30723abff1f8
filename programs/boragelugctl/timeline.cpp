#include "programs/boragelugctl/timeline.h"

#include "core/event_filter.h"
#include "drivers/event_text.h"

#include <algorithm>
#include <map>
#include <tuple>

#include <nlohmann/json.hpp>

namespace boragelug
{

namespace
{

using PageOutcome = Outcome<EventPage, std::string>;

bool isSame(const Event &left, const Event &right)
{
    return std::tie(left.vm, left.incarnation, left.sequence) == std::tie(right.vm, right.incarnation, right.sequence);
}

PageOutcome readSummary(std::string_view line, EventPage page)
{
    try {
        const auto summary = nlohmann::json::parse(line);
        page.displaced = summary.at("displaced").get<std::uint64_t>();
        page.truncated = summary.at("truncated").get<bool>();
        return page;
    } catch (const nlohmann::json::exception &error) {
        return PageOutcome::failure(error.what());
    }
}

} // namespace

Outcome<EventPage, std::string> parseEventPage(std::string_view body)
{
    EventPage page;
    while (true) {
        const auto end = body.find('\n');
        if (end == std::string_view::npos) {
            return PageOutcome::failure("the list of events is cut off");
        }
        const std::string_view line = body.substr(0, end);
        body.remove_prefix(end + 1);
        if (body.empty()) {
            return readSummary(line, std::move(page));
        }
        auto event = eventFromJson(line);
        if (!event) {
            return PageOutcome::failure(event.lastReason());
        }
        page.events.push_back(std::move(event.value()));
    }
}

std::vector<TimelineItem> mergeTimeline(std::vector<Event> events, Duration clockError)
{
    std::sort(events.begin(), events.end(), isBefore);
    events.erase(std::unique(events.begin(), events.end(), isSame), events.end());
    const auto error = static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::microseconds>(clockError).count()));
    std::vector<TimelineItem> items;
    items.reserve(events.size());
    // The two VMs with the latest events so far; one of them is another VM than that of the current event.
    struct LastEvent
    {
        VmId vm;
        std::uint64_t wall = 0;
    };
    std::optional<LastEvent> latest;
    std::optional<LastEvent> latestOfOther;
    for (Event &event : events) {
        const auto &other = latest && latest->vm != event.vm ? latest : latestOfOther;
        const std::uint64_t wall = event.time.wallMicroseconds;
        const bool probable = other && wall - other->wall <= error;
        if (latest && latest->vm != event.vm) {
            latestOfOther = latest;
        }
        latest = LastEvent { event.vm, wall };
        items.push_back({ std::move(event), probable });
    }
    return items;
}

} // namespace boragelug
