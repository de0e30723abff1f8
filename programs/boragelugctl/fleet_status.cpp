#include "programs/boragelugctl/fleet_status.h"

#include "core/event.h"
#include "drivers/admin_json.h"
#include "programs/boragelugctl/commands.h"
#include "programs/boragelugctl/text_table.h"

#include <algorithm>
#include <map>
#include <utility>

#include <nlohmann/json.hpp>
#include <sysexits.h>

namespace boragelug
{

namespace
{

std::vector<OptionSpec> statusOptions()
{
    std::vector<OptionSpec> specs = fleetOptions();
    specs.push_back({ "json", 'j', "", "write a JSON list with one item for each VM" });
    specs.push_back({ "help", 'h', "", "show this text" });
    return specs;
}

std::string certaintyOf(const StatusReport &report)
{
    std::string text = report.cutOff ? "cut off" : report.inDoubt ? "in doubt" : "certain";
    return report.platformReachable ? text : text + ", no platform";
}

struct ServiceTotals
{
    /// Each VM reports its own view of the same upstreams, so these aren't added up.
    ServiceStatus view;
    bool viewsDiffer = false;
    std::uint64_t openFlows = 0;
    double worstImbalance = 0;
};

using ServiceMap = std::map<std::string, ServiceTotals>;

bool isSameView(const ServiceStatus &left, const ServiceStatus &right)
{
    return left.active == right.active && left.draining == right.draining && left.leaving == right.leaving
        && left.ejected == right.ejected;
}

ServiceMap summarizeServices(const std::vector<FleetMember> &fleet)
{
    ServiceMap services;
    for (const FleetMember &member : fleet) {
        if (!member.status) {
            continue;
        }
        for (const ServiceStatus &service : member.status->services) {
            const auto [position, isNew] = services.try_emplace(service.name);
            ServiceTotals &totals = position->second;
            totals.viewsDiffer |= !isNew && !isSameView(totals.view, service);
            totals.view = service;
            totals.openFlows += service.openFlows;
            totals.worstImbalance = std::max(totals.worstImbalance, service.imbalance);
        }
    }
    return services;
}

void printMembers(const std::vector<FleetMember> &fleet, std::ostream &out)
{
    TextTable table({ "vm",
                      "zone",
                      "state",
                      "catalogue",
                      "view age s",
                      "view",
                      "peers up/suspect/dead",
                      "open flows",
                      "broken",
                      "guessed",
                      "control B/s" });
    for (const FleetMember &member : fleet) {
        if (!member.status) {
            table.add({ toString(member.vm), "-", "no answer: " + member.status.lastReason() });
            continue;
        }
        const StatusReport &report = *member.status;
        table.add({ std::to_string(report.vm.value),
                    report.zone,
                    std::string(readinessName(report.readiness.state)),
                    std::to_string(report.catalogueVersion.value),
                    decimalText(std::chrono::duration<double>(report.viewAge).count(), 1),
                    certaintyOf(report),
                    std::to_string(report.membersAlive) + '/' + std::to_string(report.membersSuspect) + '/'
                        + std::to_string(report.membersDead),
                    std::to_string(report.openFlows),
                    std::to_string(report.brokenFlows),
                    std::to_string(report.guessedPackets),
                    decimalText(report.controlBytesPerSecond, 0) });
    }
    table.print(out);
}

void printServices(const std::vector<FleetMember> &fleet, std::ostream &out)
{
    TextTable table({ "service", "active", "draining", "leaving", "ejected", "open flows", "worst max/mean", "views" });
    for (const auto &[name, totals] : summarizeServices(fleet)) {
        table.add({ name,
                    std::to_string(totals.view.active),
                    std::to_string(totals.view.draining),
                    std::to_string(totals.view.leaving),
                    std::to_string(totals.view.ejected),
                    std::to_string(totals.openFlows),
                    decimalText(totals.worstImbalance, 2),
                    totals.viewsDiffer ? "differ" : "agree" });
    }
    table.print(out);
}

/// Slow upstreams with the highest slowness that a VM reports; VMs learn the same from their relays.
void printSlowUpstreams(const std::vector<FleetMember> &fleet, std::ostream &out)
{
    struct Slow
    {
        double worst = 1;
        std::size_t vms = 0;
    };
    std::map<std::pair<std::string, UpstreamId>, Slow> upstreams;
    for (const FleetMember &member : fleet) {
        if (member.status) {
            for (const UpstreamSlowness &slow : member.status->slowUpstreams) {
                Slow &seen = upstreams[{ slow.service, slow.upstream }];
                seen.worst = std::max(seen.worst, slow.slowness);
                ++seen.vms;
            }
        }
    }
    if (upstreams.empty()) {
        return;
    }
    TextTable table({ "service", "slow upstream", "times slower", "VMs" });
    for (const auto &[key, slow] : upstreams) {
        table.add({ key.first, causeText(key.second.value), decimalText(slow.worst, 1), std::to_string(slow.vms) });
    }
    out << '\n';
    table.print(out);
}

void printRefusals(const std::vector<FleetMember> &fleet, std::ostream &out)
{
    std::map<std::string, std::uint64_t> refused;
    for (const FleetMember &member : fleet) {
        if (member.status) {
            for (const auto &[reason, count] : member.status->refused) {
                refused[reason] += count;
            }
        }
    }
    TextTable table({ "refused because", "count" });
    for (const auto &[reason, count] : refused) {
        table.add({ reason, std::to_string(count) });
    }
    table.print(out);
}

void printOwners(const std::vector<FleetMember> &fleet, std::ostream &out)
{
    TextTable table({ "owner",
                      "requests/s",
                      "in progress",
                      "new flows/s",
                      "open flows",
                      "bytes/s",
                      "answered",
                      "refused",
                      "unknown",
                      "answered %" });
    for (const auto &[owner, summary] : summarizeOwners(fleet)) {
        table.add({ owner,
                    decimalText(summary.requestsPerSecond, 1),
                    std::to_string(summary.requestsInProgress),
                    decimalText(summary.newFlowsPerSecond, 1),
                    std::to_string(summary.openFlows),
                    decimalText(summary.bytesPerSecond, 0),
                    std::to_string(summary.answered),
                    std::to_string(summary.refused),
                    std::to_string(summary.unknown),
                    decimalText(100 * summary.answeredShare(), 1) });
    }
    table.print(out);
}

void printJson(const std::vector<FleetMember> &fleet, std::ostream &out)
{
    nlohmann::json list = nlohmann::json::array();
    for (const FleetMember &member : fleet) {
        nlohmann::json item { { "endpoint", toString(member.vm) } };
        if (member.status) {
            item["status"] = nlohmann::json::parse(statusToJson(*member.status));
        } else {
            item["failure"] = member.status.lastReason();
        }
        list.push_back(std::move(item));
    }
    out << list.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

} // namespace

double OwnerSummary::answeredShare() const
{
    const auto ended = static_cast<double>(answered + refused + unknown);
    return ended > 0 ? static_cast<double>(answered) / ended : 1;
}

std::map<std::string, OwnerSummary> summarizeOwners(const std::vector<FleetMember> &fleet)
{
    std::map<std::string, OwnerSummary> owners;
    for (const FleetMember &member : fleet) {
        if (!member.status) {
            continue;
        }
        for (const EntryUse &use : member.status->entries) {
            OwnerSummary &summary = owners[use.owner.value];
            summary.requestsPerSecond += use.requestsPerSecond;
            summary.newFlowsPerSecond += use.newFlowsPerSecond;
            summary.bytesPerSecond += use.bytesPerSecond;
            summary.requestsInProgress += use.requestsInProgress;
            summary.openFlows += use.openFlows;
            summary.answered += use.answered;
            summary.refused += use.refused;
            summary.unknown += use.unknown;
        }
    }
    return owners;
}

void printFleetStatus(const std::vector<FleetMember> &fleet, std::ostream &out)
{
    printMembers(fleet, out);
    out << '\n';
    printServices(fleet, out);
    printSlowUpstreams(fleet, out);
    out << '\n';
    printRefusals(fleet, out);
    out << '\n';
    printOwners(fleet, out);
}

int runStatus(const CommandWords &words, const CommandStreams &streams)
{
    const auto specs = statusOptions();
    const ParsedOptions options = parseOptions(words, specs);
    if (options.has("help")) {
        streams.out << "Usage: boragelugctl status (-v VM | -V FILE)... [-j]\n"
                       "Shows VMs, services, refusals, and what each owner got for what it consumed.\n\n"
                    << optionHelp(specs);
        return EX_OK;
    }
    if (!options.operands.empty()) {
        throw UsageError("status takes options only");
    }
    std::vector<FleetQuery> queries;
    for (const Endpoint &vm : fleetFrom(options)) {
        queries.push_back({ vm, "/status" });
    }
    const auto answers = askFleet(queries, timeoutFrom(options));
    std::vector<FleetMember> fleet;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < queries.size(); ++i) {
        auto status = answers[i] ? statusFromJson(answers[i]->body)
                                 : Outcome<StatusReport, std::string>::failure(answers[i].lastReason());
        answered += status ? 1U : 0U;
        fleet.push_back({ queries[i].vm, std::move(status) });
    }
    options.has("json") ? printJson(fleet, streams.out) : printFleetStatus(fleet, streams.out);
    return fleetExitCode(queries.size(), answered);
}

} // namespace boragelug
