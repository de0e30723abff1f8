#include "core/duration_text.h"
#include "core/event_filter.h"
#include "drivers/event_text.h"
#include "programs/boragelugctl/commands.h"
#include "programs/boragelugctl/event_log.h"
#include "programs/boragelugctl/fleet_client.h"
#include "programs/boragelugctl/timeline.h"

#include <algorithm>
#include <array>

#include <sysexits.h>

namespace boragelug
{

namespace
{

/// Parameters of /events that the command passes on unchanged.
constexpr std::array<std::string_view, 8> filterNames { "cause",    "flow",  "request", "upstream",
                                                        "event-vm", "entry", "since",   "until" };

/// Pages asked from one VM: enough for the largest ring that settings allow.
constexpr int maxPages = 500;

std::vector<OptionSpec> timelineOptions()
{
    std::vector<OptionSpec> specs = fleetOptions();
    const std::vector<OptionSpec> own = {
        { "log", 'l', "FILE", "read the events from a log file instead, - for standard input; may be repeated" },
        { "cause", 'c', "HEX", "only events of this cause" },
        { "flow", 'f', "KEY", "only events of this flow" },
        { "request", 'r', "ID", "only events of this request" },
        { "upstream", 'u', "ID", "only events of this upstream" },
        { "event-vm", 'm', "ID", "only events of or about this VM" },
        { "entry", 'e', "NAME", "only events of this entry" },
        { "event", 'n', "EVENT", "only events with this name or number" },
        { "since", 'S', "TIME", "not before this UTC time such as 2026-12-04T05:22:56Z" },
        { "until", 'U', "TIME", "not after this UTC time" },
        { "clock-error", 'C', "TIME", "largest difference between clocks of VMs; 10ms by default" },
        { "json", 'j', "", "write JSON lines" },
        { "help", 'h', "", "show this text" },
    };
    specs.insert(specs.end(), own.begin(), own.end());
    return specs;
}

std::string eventsTarget(const ParsedOptions &options)
{
    std::string target = "/events?limit=2000";
    for (const std::string_view name : filterNames) {
        if (const auto value = options.value(std::string(name))) {
            target += '&';
            target += name == "event-vm" ? "vm" : name;
            target += '=' + encodeQueryValue(*value);
        }
    }
    if (const auto event = options.value("event")) {
        target += "&event=" + encodeQueryValue(*event);
    }
    return target;
}

/// What has been read from one VM.
struct VmEvents
{
    Endpoint vm;
    std::vector<Event> events;
    std::uint64_t displaced = 0;
    bool complete = false;
    std::string failure;
};

/// Takes the next page of a VM; true if there are more.
bool takePage(const FleetAnswer &answer, VmEvents &result)
{
    auto page = answer ? parseEventPage(answer->body) : Outcome<EventPage, std::string>::failure(answer.lastReason());
    if (!page) {
        result.failure = page.lastReason();
        return false;
    }
    result.displaced = page->displaced;
    auto &events = page.value().events;
    std::move(events.begin(), events.end(), std::back_inserter(result.events));
    result.complete = !page->truncated || events.empty();
    return !result.complete;
}

std::vector<VmEvents> collect(const std::vector<Endpoint> &vms, const std::string &target, Duration timeout)
{
    std::vector<VmEvents> results(vms.size());
    std::vector<std::size_t> open;
    for (std::size_t i = 0; i < vms.size(); ++i) {
        results[i].vm = vms[i];
        open.push_back(i);
    }
    for (int page = 0; page < maxPages && !open.empty(); ++page) {
        std::vector<FleetQuery> queries;
        queries.reserve(open.size());
        for (const std::size_t index : open) {
            const auto &events = results[index].events;
            const std::uint64_t after = events.empty() ? 0 : events.back().sequence;
            queries.push_back({ vms[index], target + "&after=" + std::to_string(after) });
        }
        const auto answers = askFleet(queries, timeout);
        std::vector<std::size_t> stillOpen;
        for (std::size_t i = 0; i < open.size(); ++i) {
            if (takePage(answers[i], results[open[i]])) {
                stillOpen.push_back(open[i]);
            }
        }
        open = std::move(stillOpen);
    }
    return results;
}

void printItem(const TimelineItem &item, bool asJson, std::ostream &out)
{
    if (!asJson) {
        out << (item.orderOnlyProbable ? "~ " : "  ") << eventLine(item.event) << '\n';
        return;
    }
    std::string json = eventToJson(item.event);
    json.pop_back();
    out << json << ",\"order\":\"" << (item.orderOnlyProbable ? "probable" : "certain") << "\"}\n";
}

/// Names what is missing, so that a gap isn't taken for silence of the VM.
std::size_t reportGaps(const std::vector<VmEvents> &results, std::ostream &err)
{
    std::size_t answered = 0;
    for (const VmEvents &result : results) {
        if (!result.complete) {
            err << "missing: VM at " << toString(result.vm) << ": "
                << (result.failure.empty() ? "more events than can be read" : result.failure) << '\n';
            continue;
        }
        ++answered;
        if (result.displaced > 0) {
            err << "gap: VM at " << toString(result.vm) << " no longer has " << result.displaced << " earlier events\n";
        }
    }
    return answered;
}

/// Reads log files; says how many of their lines aren't events.
std::vector<Event> readLogs(const ParsedOptions &options, std::ostream &err)
{
    if (options.has("vm") || options.has("vms")) {
        throw UsageError("timeline reads either VMs or logs");
    }
    EventLog log = readEventLogs(options.all("log"), filterFrom(options));
    if (log.otherLines > 0) {
        err << log.otherLines << " lines are no events\n";
    }
    return std::move(log.events);
}

} // namespace

int runTimeline(const CommandWords &words, const CommandStreams &streams)
{
    const auto specs = timelineOptions();
    const ParsedOptions options = parseOptions(words, specs);
    if (options.has("help")) {
        streams.out << "Usage: boragelugctl timeline (-v VM | -V FILE | -l FILE)... [OPTION]...\n"
                       "Merges the events of VMs by hybrid logical time. '~' marks events whose order relative to an\n"
                       "earlier event of another VM is only probable, because both lie within the clock error.\n\n"
                    << optionHelp(specs);
        return EX_OK;
    }
    if (!options.operands.empty()) {
        throw UsageError("timeline takes options only");
    }
    const auto clockError = parseDuration(options.value("clock-error").value_or("10ms"));
    if (!clockError) {
        throw UsageError("--clock-error must be a time such as 10ms");
    }
    const auto print = [&](std::vector<Event> events) {
        for (const TimelineItem &item : mergeTimeline(std::move(events), *clockError)) {
            printItem(item, options.has("json"), streams.out);
        }
    };
    if (options.has("log")) {
        print(readLogs(options, streams.err));
        return EX_OK;
    }
    const auto vms = fleetFrom(options);
    auto results = collect(vms, eventsTarget(options), timeoutFrom(options));
    const std::size_t answered = reportGaps(results, streams.err);
    std::vector<Event> events;
    for (VmEvents &result : results) {
        std::move(result.events.begin(), result.events.end(), std::back_inserter(events));
    }
    print(std::move(events));
    return fleetExitCode(vms.size(), answered);
}

} // namespace boragelug
