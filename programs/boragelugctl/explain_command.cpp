#include "drivers/admin_routes.h"
#include "drivers/event_text.h"
#include "programs/boragelugctl/commands.h"
#include "programs/boragelugctl/event_log.h"
#include "programs/boragelugctl/fleet_client.h"
#include "routing/flow_tag.h"

#include <sysexits.h>

namespace boragelug
{

namespace
{

std::vector<OptionSpec> explainOptions()
{
    std::vector<OptionSpec> specs = fleetOptions();
    specs.push_back(
        { "flow", 'f', "FLOW", "PROTOCOL,CALLER,ENTRY such as udp,10.0.0.5:4000,10.1.0.1:80, or a flow key" });
    specs.push_back({ "log", 'l', "FILE", "explain the flow from log files of all VMs instead, - for standard input" });
    specs.push_back({ "request", 'r', "ID", "a request id" });
    specs.push_back({ "help", 'h', "", "show this text" });
    return specs;
}

std::string explainTarget(const ParsedOptions &options)
{
    const auto flow = options.value("flow");
    const auto request = options.value("request");
    if (flow.has_value() == request.has_value() || !options.operands.empty()) {
        throw UsageError("explain needs exactly one of --flow and --request");
    }
    if (flow && !parseFlowQuery(*flow)) {
        throw UsageError("'" + *flow + "' is no flow such as udp,10.0.0.5:4000,10.1.0.1:80, and no flow key");
    }
    return flow ? "/explain?flow=" + encodeQueryValue(*flow) : "/explain?request=" + encodeQueryValue(*request);
}

/// Explains a flow from the lines that all VMs wrote.
int explainFromLogs(const ParsedOptions &options, const CommandStreams &streams)
{
    const auto query = parseFlowQuery(options.value("flow").value_or(""));
    if (!query || options.has("vm") || options.has("vms")) {
        throw UsageError("with --log, explain takes one --flow and no VMs");
    }
    const std::uint64_t cause = query->key ? query->key->value : flowCause(query->caller, query->entry);
    const FlowExplanation explanation = explainFlow(readEventLogs(options.all("log"), {}).events, cause);
    if (explanation.events.empty()) {
        streams.err << "the logs have no line of that flow\n";
        return EX_UNAVAILABLE;
    }
    for (const Event &event : explanation.events) {
        streams.out << eventLine(event) << '\n';
    }
    streams.out << "cause: " << explanation.cause << '\n';
    return EX_OK;
}

} // namespace

int runExplain(const CommandWords &words, const CommandStreams &streams)
{
    const auto specs = explainOptions();
    const ParsedOptions options = parseOptions(words, specs);
    if (options.has("help")) {
        streams.out << "Usage: boragelugctl explain (-v VM | -V FILE | -l FILE)... (-f FLOW | -r ID)\n"
                       "Tells for each VM that knows the flow or request which view it used, which upstreams it\n"
                       "considered, what happened, and for a refusal what to change.\n\n"
                    << optionHelp(specs);
        return EX_OK;
    }
    if (options.has("log")) {
        return explainFromLogs(options, streams);
    }
    const std::string target = explainTarget(options);
    std::vector<FleetQuery> queries;
    for (const Endpoint &vm : fleetFrom(options)) {
        queries.push_back({ vm, target });
    }
    const auto answers = askFleet(queries, timeoutFrom(options));
    std::size_t known = 0;
    for (std::size_t i = 0; i < queries.size(); ++i) {
        if (answers[i]) {
            ++known;
            streams.out << "VM at " << toString(queries[i].vm) << ":\n" << answers[i]->body;
        } else {
            streams.err << "VM at " << toString(queries[i].vm) << ": " << answers[i].lastReason() << '\n';
        }
    }
    // A flow is known to its owners only, so VMs that don't know it are no failure.
    return known > 0 ? EX_OK : EX_UNAVAILABLE;
}

} // namespace boragelug
