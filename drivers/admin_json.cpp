#include "drivers/admin_json.h"

#include "drivers/event_text.h"
#include "model/catalogue_text.h"
#include "servers/refusal_advice.h"

#include <array>

#include <nlohmann/json.hpp>

namespace boragelug
{

namespace
{

using nlohmann::json;

constexpr std::array<std::pair<std::string_view, Readiness>, 4> readinessWords { {
    { "starting", Readiness::Starting },
    { "ready", Readiness::Ready },
    { "draining", Readiness::Draining },
    { "broken", Readiness::Broken },
} };

std::string dump(const json &value)
{
    return value.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

json limitsToJson(const Limits &limits)
{
    return { { "requests_per_second", limits.requestsPerSecond },
             { "requests_in_progress", limits.requestsInProgress },
             { "new_flows_per_second", limits.newFlowsPerSecond },
             { "open_flows", limits.openFlows },
             { "bytes_per_second", limits.bytesPerSecond } };
}

json useToJson(const EntryUse &use)
{
    return { { "entry", use.entry.value },
             { "owner", use.owner.value },
             { "importance", wordFor(importanceWords, use.importance) },
             { "use",
               { { "requests_per_second", use.requestsPerSecond },
                 { "requests_in_progress", use.requestsInProgress },
                 { "new_flows_per_second", use.newFlowsPerSecond },
                 { "open_flows", use.openFlows },
                 { "bytes_per_second", use.bytesPerSecond } } },
             { "limit_share", limitsToJson(use.share) },
             { "answered", use.answered },
             { "refused", use.refused },
             { "unknown", use.unknown } };
}

json serviceToJson(const ServiceStatus &service)
{
    return { { "service", service.name },       { "active", service.active },   { "draining", service.draining },
             { "leaving", service.leaving },    { "ejected", service.ejected }, { "open_flows", service.openFlows },
             { "imbalance", service.imbalance } };
}

json viewToJson(const StatusReport &report)
{
    return { { "catalogue_version", report.catalogueVersion.value },
             { "generation", report.viewGeneration },
             { "age_seconds", toSeconds(report.viewAge) },
             { "in_doubt", report.inDoubt },
             { "cut_off", report.cutOff },
             { "platform_reachable", report.platformReachable } };
}

template<class T, std::size_t Count>
T fromWord(const std::array<std::pair<std::string_view, T>, Count> &words, const json &value)
{
    const auto &text = value.get_ref<const std::string &>();
    for (const auto &[word, candidate] : words) {
        if (word == text) {
            return candidate;
        }
    }
    throw json::other_error::create(501, "unknown word '" + text + '\'', nullptr);
}

Limits limitsFromJson(const json &value)
{
    return { value.at("requests_per_second").get<std::uint32_t>(),
             value.at("requests_in_progress").get<std::uint32_t>(),
             value.at("new_flows_per_second").get<std::uint32_t>(),
             value.at("open_flows").get<std::uint64_t>(),
             value.at("bytes_per_second").get<std::uint64_t>() };
}

EntryUse useFromJson(const json &value)
{
    EntryUse use;
    use.entry.value = value.at("entry").get<std::string>();
    use.owner.value = value.at("owner").get<std::string>();
    use.importance = fromWord(importanceWords, value.at("importance"));
    const json &current = value.at("use");
    use.requestsPerSecond = current.at("requests_per_second").get<double>();
    use.requestsInProgress = current.at("requests_in_progress").get<std::uint64_t>();
    use.newFlowsPerSecond = current.at("new_flows_per_second").get<double>();
    use.openFlows = current.at("open_flows").get<std::uint64_t>();
    use.bytesPerSecond = current.at("bytes_per_second").get<double>();
    use.share = limitsFromJson(value.at("limit_share"));
    use.answered = value.at("answered").get<std::uint64_t>();
    use.refused = value.at("refused").get<std::uint64_t>();
    use.unknown = value.at("unknown").get<std::uint64_t>();
    return use;
}

ServiceStatus serviceFromJson(const json &value)
{
    ServiceStatus service;
    service.name = value.at("service").get<std::string>();
    service.active = value.at("active").get<std::uint32_t>();
    service.draining = value.at("draining").get<std::uint32_t>();
    service.leaving = value.at("leaving").get<std::uint32_t>();
    service.ejected = value.at("ejected").get<std::uint32_t>();
    service.openFlows = value.at("open_flows").get<std::uint64_t>();
    service.imbalance = value.at("imbalance").get<double>();
    return service;
}

void readView(const json &view, StatusReport &report)
{
    // Bounded, so that the conversion to integer nanoseconds can't overflow.
    constexpr double maxSeconds = 1e9;
    const double age = std::clamp(view.at("age_seconds").get<double>(), 0.0, maxSeconds);
    report.catalogueVersion.value = view.at("catalogue_version").get<std::uint64_t>();
    report.viewGeneration = view.at("generation").get<std::uint64_t>();
    report.viewAge = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(age));
    report.inDoubt = view.at("in_doubt").get<bool>();
    report.cutOff = view.at("cut_off").get<bool>();
    report.platformReachable = view.at("platform_reachable").get<bool>();
}

StatusReport readStatus(const json &value)
{
    StatusReport report;
    report.vm.value = value.at("vm").get<std::uint64_t>();
    report.incarnation.value = value.at("incarnation").get<std::uint64_t>();
    report.zone = value.at("zone").get<std::string>();
    report.region = value.at("region").get<std::string>();
    report.readiness.state = fromWord(readinessWords, value.at("readiness").at("state"));
    report.readiness.reason = value.at("readiness").at("reason").get<std::string>();
    readView(value.at("view"), report);
    const json &members = value.at("members");
    report.membersAlive = members.at("alive").get<std::uint32_t>();
    report.membersSuspect = members.at("suspect").get<std::uint32_t>();
    report.membersDead = members.at("dead").get<std::uint32_t>();
    report.openFlows = value.at("open_flows").get<std::uint64_t>();
    report.brokenFlows = value.at("broken_flows").get<std::uint64_t>();
    report.guessedPackets = value.at("guessed_packets").get<std::uint64_t>();
    report.controlBytesPerSecond = value.at("control_bytes_per_second").get<double>();
    for (const json &service : value.at("services")) {
        report.services.push_back(serviceFromJson(service));
    }
    for (const auto &[reason, count] : value.at("refused").items()) {
        report.refused.emplace_back(reason, count.get<std::uint64_t>());
    }
    for (const json &use : value.at("entries")) {
        report.entries.push_back(useFromJson(use));
    }
    // VMs of earlier releases don't send it.
    if (value.contains("slow_upstreams")) {
        for (const json &slow : value.at("slow_upstreams")) {
            report.slowUpstreams.push_back({ UpstreamId { slow.at("upstream").get<std::uint64_t>() },
                                             slow.at("service").get<std::string>(),
                                             slow.at("slowness").get<double>() });
        }
    }
    return report;
}

json candidateToJson(const Candidate &candidate)
{
    return { { "upstream", candidate.upstream.value },
             { "zone", candidate.zone },
             { "state", candidate.state },
             { "score", candidate.score },
             { "chosen", candidate.chosen },
             { "reason", candidate.reason } };
}

} // namespace

std::string statusToJson(const StatusReport &report)
{
    json services = json::array();
    for (const ServiceStatus &service : report.services) {
        services.push_back(serviceToJson(service));
    }
    json refused = json::object();
    for (const auto &[reason, count] : report.refused) {
        refused[reason] = count;
    }
    json entries = json::array();
    for (const EntryUse &use : report.entries) {
        entries.push_back(useToJson(use));
    }
    json slowUpstreams = json::array();
    for (const UpstreamSlowness &slow : report.slowUpstreams) {
        slowUpstreams.push_back(
            { { "upstream", slow.upstream.value }, { "service", slow.service }, { "slowness", slow.slowness } });
    }
    return dump({ { "vm", report.vm.value },
                  { "incarnation", report.incarnation.value },
                  { "zone", report.zone },
                  { "region", report.region },
                  { "readiness",
                    { { "state", readinessName(report.readiness.state) }, { "reason", report.readiness.reason } } },
                  { "view", viewToJson(report) },
                  { "members",
                    { { "alive", report.membersAlive },
                      { "suspect", report.membersSuspect },
                      { "dead", report.membersDead } } },
                  { "open_flows", report.openFlows },
                  { "broken_flows", report.brokenFlows },
                  { "guessed_packets", report.guessedPackets },
                  { "control_bytes_per_second", report.controlBytesPerSecond },
                  { "services", std::move(services) },
                  { "refused", std::move(refused) },
                  { "entries", std::move(entries) },
                  { "slow_upstreams", std::move(slowUpstreams) } });
}

Outcome<StatusReport, std::string> statusFromJson(std::string_view text)
{
    try {
        return readStatus(json::parse(text));
    } catch (const json::exception &error) {
        return Outcome<StatusReport, std::string>::failure(error.what());
    }
}

std::string explanationToJson(const Explanation &explanation)
{
    json owners = json::array();
    for (const VmId owner : explanation.owners) {
        owners.push_back(owner.value);
    }
    json candidates = json::array();
    for (const Candidate &candidate : explanation.candidates) {
        candidates.push_back(candidateToJson(candidate));
    }
    json events = json::array();
    for (const Event &event : explanation.events) {
        events.push_back(json::parse(eventToJson(event)));
    }
    json result = { { "subject", explanation.subject },
                    { "view",
                      { { "catalogue_version", explanation.catalogueVersion.value },
                        { "generation", explanation.viewGeneration },
                        { "in_doubt", explanation.inDoubt } } },
                    { "entry", explanation.entry.value },
                    { "owners", std::move(owners) },
                    { "candidates", std::move(candidates) },
                    { "outcome", explanation.outcome },
                    { "reason", explanation.reason },
                    { "events", std::move(events) } };
    if (explanation.outcome == "refused" || explanation.outcome == "unknown") {
        result["what_to_change"] = refusalAdvice(explanation.reason);
    }
    return dump(result);
}

std::string_view readinessName(Readiness readiness)
{
    return wordFor(readinessWords, readiness);
}

} // namespace boragelug
