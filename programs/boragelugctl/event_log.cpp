#include "programs/boragelugctl/event_log.h"

#include "core/event_severity.h"
#include "drivers/event_text.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <optional>
#include <set>
#include <utility>

namespace boragelug
{
namespace
{

/// Lines of upstreams and VMs this long before and after those of the flow belong to its story: records of a dead host
/// vanish within three heartbeats.
constexpr std::uint64_t storyMicroseconds = 6'000'000;

std::optional<std::string> fieldOf(const Event &event, std::string_view name)
{
    for (const auto &[key, value] : event.fields) {
        if (key == name) {
            return value;
        }
    }
    return std::nullopt;
}

std::uint64_t numberFrom(const ParsedOptions &options,
                         const std::string &name,
                         std::optional<std::uint64_t> (*parse)(std::string_view),
                         std::uint64_t absent)
{
    const auto text = options.value(name);
    if (!text) {
        return absent;
    }
    const auto value = parse(*text);
    if (!value) {
        throw UsageError("'" + *text + "' is no value of --" + name);
    }
    return *value;
}

bool tellsOfUpstream(const Event &event, const std::set<std::string> &upstreams)
{
    const auto number = static_cast<std::uint16_t>(event.number);
    const auto upstream = fieldOf(event, "upstream");
    return number >= 500 && number < 600 && upstream && upstreams.contains(*upstream);
}

bool tellsOfVm(const Event &event)
{
    const auto number = static_cast<std::uint16_t>(event.number);
    return number < 300 && event.number != EventNumber::RecordUnreadable;
}

/// Facts that decide on the cause.
struct Signs
{
    std::optional<std::string> refusal;
    std::optional<std::string> drop;
    std::string upstream;
    bool unanswered = false;
    bool upstreamSilent = false;
    bool upstreamGone = false;
    bool directoryLost = false;
    bool slept = false;
    std::string catalogue;
};

Signs signsOf(const std::vector<Event> &story, std::uint64_t causeId)
{
    Signs signs;
    for (const Event &event : story) {
        if (event.causeId == causeId) {
            signs.upstream = fieldOf(event, "upstream").value_or(signs.upstream);
            signs.catalogue = fieldOf(event, "catalogue").value_or(signs.catalogue);
            signs.unanswered = signs.unanswered || event.number == EventNumber::FlowUnanswered;
            if (event.number == EventNumber::FlowRefused) {
                signs.refusal = fieldOf(event, "reason");
            }
            if (event.number == EventNumber::PacketDropped) {
                signs.drop = fieldOf(event, "reason");
            }
        }
        signs.upstreamSilent = signs.upstreamSilent
            || (event.number == EventNumber::UpstreamChecked && fieldOf(event, "answered") == "no");
        signs.upstreamGone = signs.upstreamGone || event.number == EventNumber::UpstreamGone;
        signs.directoryLost = signs.directoryLost || event.number == EventNumber::PlatformUnreachable;
        signs.slept = signs.slept || event.number == EventNumber::ProcessSlept;
    }
    return signs;
}

std::string causeOf(const Signs &signs)
{
    if (signs.refusal == "unknown_entry") {
        return "refused: catalogue " + signs.catalogue + " has no entry with that address; nothing was run";
    }
    if (signs.refusal == "no_upstream") {
        return "refused: the entry's service had no upstream that takes flows; nothing was run";
    }
    if (signs.refusal == "silent_upstream" || signs.refusal == "ended_upstream" || signs.upstreamSilent
        || (signs.unanswered && signs.upstreamGone)) {
        return "upstream " + signs.upstream + " fell silent; what it was working on is lost";
    }
    if (signs.unanswered && signs.directoryLost) {
        return "no answer of upstream " + signs.upstream
            + " while the VM lost the directory: the VM or a zone was cut off";
    }
    if (signs.drop == "crowded") {
        return "its service was crowded: the request waited until its caller was about to give up";
    }
    if (signs.drop == "outdated_syn") {
        return "the VM had been suspended: it dropped the SYN, which may have been sent long before";
    }
    if (signs.drop == "unplaced_copy") {
        return "the flow moved to this VM while it opened; another VM's upstream may still answer its SYN";
    }
    if (signs.drop == "unknown_entry") {
        return "dropped: catalogue " + signs.catalogue + " has no entry with that address, as far as the VM could tell";
    }
    if (signs.slept) {
        return "a VM that carried the flow did not run for a while";
    }
    if (signs.unanswered) {
        return "upstream " + signs.upstream + " did not answer in time; nothing else points to a fault";
    }
    return "the lines show no fault";
}

} // namespace

EventLog readEventLog(std::istream &in, const EventFilter &filter)
{
    EventLog log;
    std::string line;
    while (std::getline(in, line)) {
        auto event = eventFromLine(line);
        if (!event) {
            ++log.otherLines;
        } else if (matches(filter, *event)) {
            log.events.push_back(std::move(event.value()));
        }
    }
    return log;
}

EventLog readEventLogs(const std::vector<std::string> &paths, const EventFilter &filter)
{
    EventLog all;
    for (const std::string &path : paths) {
        EventLog log;
        if (path == "-") {
            log = readEventLog(std::cin, filter);
        } else {
            std::ifstream file(path);
            if (!file) {
                throw UsageError("log file '" + path + "' can't be read");
            }
            log = readEventLog(file, filter);
        }
        all.otherLines += log.otherLines;
        std::move(log.events.begin(), log.events.end(), std::back_inserter(all.events));
    }
    return all;
}

EventFilter filterFrom(const ParsedOptions &options)
{
    EventFilter filter;
    if (options.has("cause")) {
        filter.causeId = numberFrom(options, "cause", parseCause, 0);
    }
    if (options.has("event")) {
        filter.number = parseEventNumber(*options.value("event"));
        if (!filter.number) {
            throw UsageError("'" + *options.value("event") + "' is no event");
        }
    }
    filter.flow = options.value("flow").value_or("");
    filter.request = options.value("request").value_or("");
    filter.upstream = options.value("upstream").value_or("");
    filter.entry = options.value("entry").value_or("");
    filter.sinceMicroseconds = numberFrom(options, "since", parseTime, filter.sinceMicroseconds);
    filter.untilMicroseconds = numberFrom(options, "until", parseTime, filter.untilMicroseconds);
    return filter;
}

FlowExplanation explainFlow(const std::vector<Event> &events, std::uint64_t causeId)
{
    FlowExplanation explanation;
    std::set<std::string> upstreams;
    std::set<VmId> vms;
    std::uint64_t first = std::numeric_limits<std::uint64_t>::max();
    std::uint64_t last = 0;
    for (const Event &event : events) {
        if (event.causeId != causeId) {
            continue;
        }
        vms.insert(event.vm);
        first = std::min(first, event.time.wallMicroseconds);
        last = std::max(last, event.time.wallMicroseconds);
        if (const auto upstream = fieldOf(event, "upstream")) {
            upstreams.insert(*upstream);
        }
    }
    if (vms.empty()) {
        return explanation;
    }
    for (const Event &event : events) {
        const std::uint64_t time = event.time.wallMicroseconds;
        const bool near = time + storyMicroseconds >= first && time <= last + storyMicroseconds;
        const bool ofVm = vms.contains(event.vm) && tellsOfVm(event);
        if (event.causeId == causeId || (near && (tellsOfUpstream(event, upstreams) || ofVm))) {
            explanation.events.push_back(event);
        }
    }
    std::sort(explanation.events.begin(), explanation.events.end(), isBefore);
    explanation.cause = causeOf(signsOf(explanation.events, causeId));
    return explanation;
}

} // namespace boragelug
