#include "drivers/admin_routes.h"

#include "core/event_severity.h"
#include "drivers/admin_json.h"
#include "drivers/directory_json.h"
#include "drivers/event_text.h"
#include "drivers/yaml_map.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <initializer_list>

namespace boragelug
{

namespace
{

constexpr std::size_t defaultEventsPerAnswer = 1000;

/// Reads the parameters of one request; remembers the first mistake.
class Parameters
{
public:
    explicit Parameters(const AdminRequest &request)
        : query_(request.query)
    { }

    /// The value of @p name, or an empty text if it is missing.
    std::string text(std::string_view name) const
    {
        const auto found = query_.find(name);
        return found == query_.end() ? std::string() : found->second;
    }

    /// The parsed value of @p name; nothing if it is missing or wrong.
    template<class Parse>
    auto parsed(std::string_view name, std::string_view valid, const Parse &parse)
        -> decltype(parse(std::string_view()))
    {
        const auto found = query_.find(name);
        if (found == query_.end()) {
            return std::nullopt;
        }
        auto value = parse(std::string_view(found->second));
        if (!value) {
            fail("parameter '" + std::string(name) + "' must be " + std::string(valid) + ", not '"
                 + printable(found->second) + '\'');
        }
        return value;
    }

    void allowOnly(std::initializer_list<std::string_view> names)
    {
        std::string valid;
        for (const auto name : names) {
            valid += (valid.empty() ? "" : ", ") + std::string(name);
        }
        for (const auto &[name, value] : query_) {
            if (std::find(names.begin(), names.end(), name) == names.end()) {
                fail("unknown parameter '" + printable(name) + "'; valid: " + (valid.empty() ? "none" : valid));
            }
        }
    }

    void fail(std::string reason)
    {
        if (mistake_.empty()) {
            mistake_ = std::move(reason);
        }
    }

    const std::string &mistake() const { return mistake_; }

private:
    const std::map<std::string, std::string, std::less<>> &query_;
    std::string mistake_;
};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(value) : std::nullopt;
}

std::optional<VmId> parseVm(std::string_view text)
{
    const auto value = parseNumber(text);
    return value ? std::optional(VmId { *value }) : std::nullopt;
}

EventFilter readFilter(Parameters &parameters)
{
    constexpr std::string_view time = "a UTC time such as 2026-12-04T05:22:56Z";
    EventFilter filter;
    filter.causeId = parameters.parsed("cause", "1 to 16 hexadecimal digits", parseCause);
    filter.vm = parameters.parsed("vm", "the number of a VM", parseVm);
    filter.number = parameters.parsed("event", "the name or number of an event", parseEventNumber);
    filter.flow = parameters.text("flow");
    filter.request = parameters.text("request");
    filter.upstream = parameters.text("upstream");
    filter.entry = parameters.text("entry");
    filter.sinceMicroseconds = parameters.parsed("since", time, parseTime).value_or(filter.sinceMicroseconds);
    filter.untilMicroseconds = parameters.parsed("until", time, parseTime).value_or(filter.untilMicroseconds);
    return filter;
}

AdminAnswer answerHealth(const AdminRequest &, const AdminSource &)
{
    return textAnswer(200, "alive");
}

AdminAnswer answerReadiness(const AdminRequest &, const AdminSource &source)
{
    const ReadinessReport report = source.readiness();
    std::string text(readinessName(report.state));
    if (!report.reason.empty()) {
        text += ": " + report.reason;
    }
    return textAnswer(report.state == Readiness::Ready ? 200 : 503, text);
}

AdminAnswer answerMetrics(const AdminRequest &, const AdminSource &source)
{
    return { 200, "text/plain; version=0.0.4; charset=utf-8", source.metrics() };
}

AdminAnswer answerStatus(const AdminRequest &, const AdminSource &source)
{
    return { 200, "application/json", statusToJson(source.status()) };
}

AdminAnswer answerEvents(const AdminRequest &request, const AdminSource &source)
{
    Parameters parameters(request);
    parameters.allowOnly(
        { "after", "cause", "entry", "event", "flow", "limit", "request", "since", "until", "upstream", "vm" });
    const EventFilter filter = readFilter(parameters);
    const auto after = parameters.parsed("after", "a sequence number", parseNumber);
    const auto limit = parameters.parsed("limit", "a number of events", parseNumber);
    if (!parameters.mistake().empty()) {
        return textAnswer(400, parameters.mistake());
    }
    const auto most = std::min<std::uint64_t>(limit.value_or(defaultEventsPerAnswer), maxEventsPerAnswer);
    const EventSelection selection = source.events(filter, after.value_or(0), most);
    AdminAnswer answer { 200, "application/jsonl", {} };
    for (const Event &event : selection.events) {
        answer.body += eventToJson(event) + '\n';
    }
    // The last line tells readers whether the list is whole.
    answer.body += "{\"displaced\":" + std::to_string(selection.displaced)
        + ",\"truncated\":" + (selection.truncated ? "true" : "false") + "}\n";
    return answer;
}

AdminAnswer answerExplain(const AdminRequest &request, const AdminSource &source)
{
    Parameters parameters(request);
    parameters.allowOnly({ "flow", "request" });
    if (request.query.size() != 1) {
        parameters.fail("give exactly one of the parameters 'flow' and 'request'");
    }
    const auto flow = parameters.parsed(
        "flow", "PROTOCOL,CALLER,ENTRY such as udp,10.0.0.5:4000,10.1.0.1:80, or a key", parseFlowQuery);
    const std::string id = parameters.text("request");
    if (!flow && id.empty()) {
        parameters.fail("parameter 'request' must be a request id");
    }
    if (!parameters.mistake().empty()) {
        return textAnswer(400, parameters.mistake());
    }
    const auto explanation = source.explain(flow ? ExplainQuery(*flow) : ExplainQuery(RequestQuery { id }));
    if (!explanation) {
        return textAnswer(404, explanation.lastReason());
    }
    return { 200, "application/json", explanationToJson(*explanation) };
}

AdminAnswer answerCatalogue(const AdminRequest &request, const AdminSource &source)
{
    Parameters parameters(request);
    parameters.allowOnly({ "after", "limit" });
    const auto after = parameters.parsed("after", "the address of an entry", parseEndpoint);
    const auto limit = parameters.parsed("limit", "a number of entries over 0", [](std::string_view text) {
        const auto number = parseNumber(text);
        return number == 0 ? std::nullopt : number;
    });
    if (!parameters.mistake().empty()) {
        return textAnswer(400, parameters.mistake());
    }
    const auto most = std::min<std::uint64_t>(limit.value_or(maxEntriesPerAnswer), maxEntriesPerAnswer);
    const auto page = source.catalogue(after, most);
    if (!page) {
        return textAnswer(404, page.lastReason());
    }
    return { 200, "application/json", cataloguePageToJson(*page) };
}

struct Route
{
    std::string_view path;
    AdminAnswer (*answer)(const AdminRequest &, const AdminSource &);
};

constexpr std::array<Route, 7> routes { {
    { "/healthz", answerHealth },
    { "/readyz", answerReadiness },
    { "/metrics", answerMetrics },
    { "/status", answerStatus },
    { "/events", answerEvents },
    { "/explain", answerExplain },
    { "/catalogue", answerCatalogue },
} };

} // namespace

AdminAnswer answerAdminRequest(const AdminRequest &request, const AdminSource &source)
{
    std::string valid;
    for (const Route &route : routes) {
        if (route.path == request.path) {
            return route.answer(request, source);
        }
        valid += (valid.empty() ? "" : ", ") + std::string(route.path);
    }
    return textAnswer(404, "unknown path; valid: " + valid);
}

std::optional<FlowQuery> parseFlowQuery(std::string_view text)
{
    FlowQuery query;
    if (text.size() == 16) {
        if (const auto key = parseCause(text)) {
            query.key = FlowKey { *key };
            return query;
        }
    }
    const auto first = text.find(',');
    const auto second = first == std::string_view::npos ? first : text.find(',', first + 1);
    if (second == std::string_view::npos) {
        return std::nullopt;
    }
    query.protocol = text.substr(0, first);
    const auto caller = parseEndpoint(text.substr(first + 1, second - first - 1));
    const auto entry = parseEndpoint(text.substr(second + 1));
    if ((query.protocol != "tcp" && query.protocol != "udp") || !caller || !entry) {
        return std::nullopt;
    }
    query.caller = *caller;
    query.entry = *entry;
    return query;
}

} // namespace boragelug
