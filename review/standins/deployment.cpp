#include "deployment.h"

#include <cstdlib>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace review
{
namespace
{

/// Time from an opened flow to its first packet after the handshake.
constexpr double settleTime = 0.05;

} // namespace

Deployment::Deployment(const std::string &recordPath)
    : record(loop, recordPath)
    , fleet(loop, record)
    , store(loop, record, fleet.storeAddress())
    , consumer(loop, record, fleet)
{ }

Host &Deployment::addHost(
    const std::string &id, const std::string &service, std::uint32_t ip, std::uint16_t port, bool takesChecks)
{
    HostEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = { .ip = ip, .port = port };
    hosts.push_back(std::make_unique<Host>(loop, record, entry, fleet.ports().data));
    hosts.back()->takesChecks = takesChecks;
    hosts.back()->start();
    registerHost(*hosts.back());
    return *hosts.back();
}

void Deployment::registerHost(Host &host)
{
    if (host.isRunning()) {
        store.put(hostKey(host.entry()), hostValue(host.entry()));
    }
}

void Deployment::writeConfig(const std::string &service)
{
    const auto route = [&](const std::string &name, const Address &address, const std::string &type) {
        const std::string where = text(address);
        const std::size_t colon = where.find(':');
        return R"({"name":")" + name + R"(","host":")" + where.substr(0, colon) + R"(","prefix":"/)"
            + where.substr(colon + 1) + R"(/","route_type":")" + type
            + R"(","timeout_ms":3000,"target_latency_ms":300,"priority":1,"service":")" + service
            + R"(","max_attempts":2})";
    };
    store.put("op/config",
              R"({"version":7,"routes":[)" + route("r-safe", safeRoute(), "safe") + ","
                  + route("r-unsafe", unsafeRoute(), "unsafe") + R"(],"services":[{"name":")" + service
                  + R"(","health_path":"/health","max_conns":2000,"protocol":"h1","tls":false}],"limits":)"
                  + R"({"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)"
                  + R"("idle_timeout_ms":15000}})");
}

void Deployment::startMachines(unsigned count, unsigned seeds)
{
    constexpr double contact = 4;
    fleet.start(count, seeds);
    if (!loop.runUntil([this] { return fleet.allReady(); }, 15)) {
        throw std::runtime_error("the machines did not get ready");
    }
    loop.runUntil(loop.now() + contact);
}

void Deployment::openFlows(const std::string &name,
                           double interval,
                           double end,
                           std::function<void(const std::shared_ptr<ConsumerFlow> &)> opened)
{
    const auto count = std::make_shared<unsigned>(0);
    const auto next = std::make_shared<std::function<void()>>();
    *next = [this, name, interval, end, opened = std::move(opened), count, next] {
        if (loop.now() >= end) {
            return;
        }
        const bool safe = ++*count % 2 == 0;
        const auto flow = consumer.open(name + "-" + std::to_string(*count) + (safe ? "-safe" : "-unsafe"),
                                        safe ? safeRoute() : unsafeRoute());
        const auto wait = std::make_shared<std::function<void()>>();
        *wait = [this, flow, opened, wait] {
            if (flow->opened) {
                opened(flow);
            } else if (!flow->ended) {
                loop.after(settleTime, *wait);
            }
        };
        loop.after(settleTime, *wait);
        loop.after(interval, *next);
    };
    (*next)();
}

Host *Deployment::holder(const ConsumerFlow &flow)
{
    for (const auto &host : hosts) {
        const auto found = host->flows().find({ flow.self, flow.entry });
        if (host->isRunning() && found != host->flows().end() && found->second.open) {
            return host.get();
        }
    }
    return nullptr;
}

bool withoutTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value != nullptr && std::string_view(value) == "0";
}

int runCase(int argc, char **argv, const std::function<int(const std::string &)> &body)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s RECORD\n", argv[0]);
        return 2;
    }
    try {
        return body(argv[1]);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the case could not run: %s\n", error.what());
        return 2;
    }
}

int verdict(Deployment &deployment, bool ran, bool broken, const std::string &summary)
{
    const bool crashed = deployment.fleet.hasCrashed();
    const char *result = broken ? "BROKEN" : ran && !crashed ? "HELD" : "COULD NOT RUN";
    deployment.record.line("%s: %s%s", result, summary.c_str(), crashed ? "; a machine's process ended by itself" : "");
    std::printf("%s: %s\n", result, summary.c_str());
    if (broken) {
        return 1;
    }
    return ran && !crashed ? 0 : 2;
}

} // namespace review
