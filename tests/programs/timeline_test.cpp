#include "programs/boragelugctl/timeline.h"

#include "programs/boragelugctl/event_log.h"

#include "core/event_filter.h"
#include "core/random.h"
#include "drivers/event_text.h"

#include <gtest/gtest.h>

#include <sstream>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

Event makeEvent(std::uint64_t vm, std::uint64_t sequence, std::uint64_t wall, std::uint32_t counter = 0)
{
    Event event;
    event.vm = VmId { vm };
    event.incarnation = Incarnation { 1 };
    event.sequence = sequence;
    event.time = { wall, counter };
    return event;
}

// Guards against effects that are shown before their causes because the clocks of VMs differ.
TEST(Timeline, OrdersByHybridTimeAndDropsRepeatedEvents)
{
    const auto items = mergeTimeline(
        { makeEvent(2, 9, 5000, 1), makeEvent(1, 1, 5000), makeEvent(2, 8, 100), makeEvent(2, 8, 100) }, 10ms);
    ASSERT_EQ(items.size(), 3U);
    EXPECT_EQ(items[0].event.sequence, 8U);
    EXPECT_EQ(items[1].event.vm, VmId { 1 });
    EXPECT_EQ(items[2].event.sequence, 9U);
}

// Guards against an order that is presented as certain although the clocks' error could reverse it.
TEST(Timeline, MarksProbableOrder)
{
    const auto items = mergeTimeline({ makeEvent(1, 1, 1'000'000),
                                       makeEvent(1, 2, 1'005'000),
                                       makeEvent(2, 1, 1'008'000),
                                       makeEvent(2, 2, 1'009'000),
                                       makeEvent(2, 3, 1'020'000),
                                       makeEvent(1, 3, 1'050'000) },
                                     10ms);
    std::vector<bool> marks;
    marks.reserve(items.size());
    for (const auto &item : items) {
        marks.push_back(item.orderOnlyProbable);
    }
    EXPECT_EQ(marks, (std::vector<bool> { false, false, true, true, false, false }));
}

// Guards against a mistake in the single pass, by comparison with a look at every earlier event.
TEST(Timeline, MarksLikeNaiveVersion)
{
    Random random(20261204);
    for (int round = 0; round < 200; ++round) {
        std::vector<Event> events;
        events.reserve(30);
        for (std::uint64_t i = 0; i < 30; ++i) {
            events.push_back(makeEvent(random.below(4), i, random.below(100), 0));
        }
        const auto items = mergeTimeline(events, std::chrono::microseconds(5));
        for (std::size_t i = 0; i < items.size(); ++i) {
            bool expected = false;
            for (std::size_t j = 0; j < i; ++j) {
                ASSERT_TRUE(isBefore(items[j].event, items[i].event));
                expected |= items[j].event.vm != items[i].event.vm
                    && items[i].event.time.wallMicroseconds - items[j].event.time.wallMicroseconds <= 5;
            }
            ASSERT_EQ(items[i].orderOnlyProbable, expected) << "round " << round << " item " << i;
        }
    }
}

// Guards against a list of events that is taken for complete although the connection or the VM cut it off.
TEST(Timeline, ParsesOnlyWholePages)
{
    const std::string line = eventToJson(makeEvent(1, 1, 5)) + '\n';
    const std::string summary = "{\"displaced\":4,\"truncated\":true}\n";
    const auto page = parseEventPage(line + summary);
    ASSERT_TRUE(page) << page.lastReason();
    EXPECT_EQ(page->events.size(), 1U);
    EXPECT_EQ(page->displaced, 4U);
    EXPECT_TRUE(page->truncated);
    EXPECT_TRUE(parseEventPage(summary));
    for (const std::string &body : { std::string(), line, line + "{}\n", "x\n" + summary, line + summary + "x" }) {
        EXPECT_FALSE(parseEventPage(body)) << body;
    }
}

// Guards engineers who have only log files: each line is read back as the event that it tells of, whatever its fields
// hold.
TEST(EventLines, AreReadAsTheyWereWritten)
{
    Random random(5);
    for (int round = 0; round < 500; ++round) {
        Event event = makeEvent(1 + random.below(1000), random.below(1000), 1'782'377'952'000'000 + random.below(1000));
        event.number = EventNumber::FlowRefused;
        event.causeId = random.below(2) == 0 ? 0 : 1 + random.below(1000);
        std::string value;
        for (std::uint64_t i = random.below(12); i > 0; --i) {
            value += static_cast<char>(1 + random.below(126));
        }
        event.fields = { { "caller", "10.0.0.1:4000" }, { "reason", value } };
        const auto read = eventFromLine("42.5 vm-1 " + eventLine(event));
        ASSERT_TRUE(read) << read.lastReason();
        EXPECT_EQ(eventLine(*read), eventLine(event));
    }
}

// Guards against lines of other programs and lines that were cut.
TEST(EventLines, RejectsOtherText)
{
    EXPECT_FALSE(eventFromLine("Starting the service"));
    EXPECT_FALSE(eventFromLine("time=2026-12-04T05:22:56Z severity=info event=300"));
    EXPECT_FALSE(eventFromLine("time=yesterday severity=info event=300 name=x vm=1 incarnation=1 sequence=1"));
    EXPECT_FALSE(eventFromLine("time=2026-12-04T05:22:56Z event=300 vm=1 incarnation=1 sequence=1 reason=\"cut"));
}

// Guards the filter of log files: the options mean the same as for live VMs.
TEST(EventLines, AreFiltered)
{
    Event first = makeEvent(1, 1, 1'782'377'952'000'000);
    first.causeId = 7;
    const Event second = makeEvent(2, 1, 1'782'377'953'000'000);
    std::istringstream in(eventLine(first) + "\nno event\n" + eventLine(second) + "\n");
    EventFilter filter;
    filter.causeId = 7;
    const EventLog log = readEventLog(in, filter);
    ASSERT_EQ(log.events.size(), 1U);
    EXPECT_EQ(log.events.front().vm, VmId { 1 });
    EXPECT_EQ(log.otherLines, 1U);
}

} // namespace
} // namespace boragelug
