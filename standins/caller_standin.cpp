// Stand-in for callers: holds flows and sends requests through the fabric stand-in until SIGTERM, then prints its
// counters as JSON. Exits with 1 if an answer came from another service or was for another flow or request, or if the
// answer to a non-idempotent request does not report exactly one execution.
#include "drivers/arguments.h"
#include "drivers/asio_runtime.h"
#include "drivers/view_file.h"
#include "standins/caller_standin_flow.h"
#include "standins/caller_standin_worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

using namespace boragelug;
using nlohmann::json;

/// Number of flows or workers to start for an entry; parsed from an option value of the form "ENTRY:COUNT".
struct EntryCount
{
    std::string entry;
    std::uint64_t count = 0;
};

EntryCount parseEntryCount(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("expected ENTRY:COUNT, got " + text);
    }
    return { .entry = text.substr(0, colon), .count = std::stoull(text.substr(colon + 1)) };
}

class CallerStandin
{
public:
    CallerStandin(AsioRuntime &runtime, const Arguments &arguments)
        : runtime_(runtime)
        , progressPath_(arguments.required("progress-file"))
        , sendInterval_(std::chrono::milliseconds(arguments.number("interval-ms", 50)))
        , requestTimeout_(std::chrono::milliseconds(arguments.number("timeout-ms", 3000)))
    {
        std::ifstream ports(arguments.required("fabric-ports"));
        ports_ = json::parse(ports);
        auto view = loadViewFile(arguments.required("view-file"));
        if (!view) {
            throw std::invalid_argument(view.lastReason());
        }
        view_ = std::move(view.value());
        addFlows(arguments.all("flows"), false);
        addFlows(arguments.all("tcp-flows"), true);
        addWorkers(arguments.all("requests"));
    }

    int run()
    {
        runtime_.every(sendInterval_, [this] {
            for (const auto &flow : flows_) {
                flow->sendNext();
            }
        });
        runtime_.every(std::chrono::milliseconds(10), [this] { tick(); });
        runtime_.every(std::chrono::milliseconds(100), [this] { replaceFile(progressPath_, summary().dump() + "\n"); });
        runtime_.onSignal(SIGTERM, [this] { stopping_ = true; });
        runtime_.run();
        const json result = summary();
        std::cout << result.dump() << '\n';
        return result["foreignAnswers"] == 0 && result["crossed"] == 0 && result["repeated"] == 0 ? 0 : 1;
    }

private:
    CallerEntry resolveEntry(const std::string &name) const
    {
        const auto &entries = view_.catalogue.entries;
        const auto entry =
            std::find_if(entries.begin(), entries.end(), [&](const Entry &e) { return e.name.value == name; });
        const auto fabricEndpoint = parseEndpoint(ports_.at("entries").value(name, std::string()));
        const auto gatewayEndpoint = parseEndpoint(ports_.at("gateway").get<std::string>());
        if (entry == entries.end() || !fabricEndpoint || !gatewayEndpoint) {
            throw std::invalid_argument(
                "entry not in the view file, or no valid address for the entry or the gateway in the ports file: "
                + name);
        }
        const auto &services = view_.catalogue.services;
        const auto service =
            std::find_if(services.begin(), services.end(), [&](const Service &s) { return s.id == entry->service; });
        if (service == services.end()) {
            throw std::invalid_argument("the view file does not list the service of entry " + name);
        }
        return { .service = service->name,
                 .fabricEndpoint = *fabricEndpoint,
                 .gatewayEndpoint = *gatewayEndpoint,
                 .address = entry->address };
    }

    void addFlows(const std::vector<std::string> &entryCounts, bool tcp)
    {
        for (const std::string &text : entryCounts) {
            const EntryCount entryCount = parseEntryCount(text);
            for (std::uint64_t i = 0; i < entryCount.count; ++i) {
                const CallerEntry entry = resolveEntry(entryCount.entry);
                flows_.push_back(std::make_unique<CallerFlow>(runtime_, entry, tcp, flows_.size()));
            }
        }
    }

    void addWorkers(const std::vector<std::string> &entryCounts)
    {
        for (const std::string &text : entryCounts) {
            const EntryCount entryCount = parseEntryCount(text);
            for (std::uint64_t i = 0; i < entryCount.count; ++i) {
                const CallerEntry entry = resolveEntry(entryCount.entry);
                workers_.push_back(
                    std::make_unique<CallerWorker>(runtime_, entry, requestTimeout_, workers_.size(), requestCounts_));
            }
        }
    }

    void tick()
    {
        for (const auto &worker : workers_) {
            worker->tick(!stopping_);
        }
        const bool idle =
            std::all_of(workers_.begin(), workers_.end(), [](const auto &worker) { return worker->idle(); });
        if (stopping_ && idle) {
            runtime_.stop();
        }
    }

    json summary() const
    {
        FlowCounts total;
        std::uint64_t leastAnswers = flows_.empty() ? 0 : UINT64_MAX;
        std::uint64_t mostAnswers = 0;
        std::set<std::string> hosts;
        for (const auto &flow : flows_) {
            const FlowCounts &counts = flow->counts();
            total.sent += counts.sent;
            total.answered += counts.answered;
            total.foreignAnswers += counts.foreignAnswers;
            total.hostChanges += counts.hostChanges;
            leastAnswers = std::min(leastAnswers, counts.answered);
            mostAnswers = std::max(mostAnswers, counts.answered);
            hosts.insert(flow->hosts().begin(), flow->hosts().end());
        }
        const RequestCounts &requests = requestCounts_;
        return {
            { "flows", flows_.size() },
            { "packetsSent", total.sent },
            { "packetsAnswered", total.answered },
            { "leastAnswersOfAFlow", leastAnswers },
            { "foreignAnswers", total.foreignAnswers },
            { "hostChanges", total.hostChanges },
            { "hosts", hosts.size() },
            { "answered", requests.answered },
            { "refused", requests.refused },
            { "unknown", requests.unknown },
            { "silent", requests.silent },
            { "crossed", requests.crossed },
            { "repeated", requests.repeated },
            { "idsObtained", requests.idsObtained },
            { "idsMissed", requests.idsMissed },
            { "reasons", requests.reasons },
            { "lostByIssuer", requests.lostByIssuer },
        };
    }

    AsioRuntime &runtime_;
    std::string progressPath_;
    Duration sendInterval_;
    Duration requestTimeout_;
    json ports_;
    ViewFile view_;
    std::vector<std::unique_ptr<CallerFlow>> flows_;
    std::vector<std::unique_ptr<CallerWorker>> workers_;
    RequestCounts requestCounts_;
    bool stopping_ = false;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        const Arguments arguments(argc,
                                  argv,
                                  { "fabric-ports",
                                    "view-file",
                                    "progress-file",
                                    "flows",
                                    "tcp-flows",
                                    "requests",
                                    "interval-ms",
                                    "timeout-ms" });
        AsioRuntime runtime;
        return CallerStandin(runtime, arguments).run();
    } catch (const std::exception &error) {
        std::cerr << "caller_standin: " << error.what() << '\n';
        return 2;
    }
}
