#pragma once

#include "consumer.h"
#include "fleet.h"
#include "host.h"
#include "store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace review
{

/// A small deployment on loopback addresses: store, machines of the system, hosts, routers and consumers.
class Deployment
{
public:
    /// Writes its record to @p recordPath.
    explicit Deployment(const std::string &recordPath);

    /// Adds a host, starts it and registers it.
    Host &addHost(const std::string &id,
                  const std::string &service,
                  std::uint32_t ip,
                  std::uint16_t port,
                  bool takesChecks = true);

    /// Writes the host's entry to the store, if it runs.
    void registerHost(Host &host);

    /// Writes a desired state with two routes to the service: one of type "safe", one of type "unsafe".
    void writeConfig(const std::string &service);
    Address safeRoute() const { return { .ip = fleet.ip(50, 1), .port = 443 }; }
    Address unsafeRoute() const { return { .ip = fleet.ip(50, 1), .port = 8080 }; }

    /// Starts the machines and waits until all are ready and have run for contact_ms.
    void startMachines(unsigned count, unsigned seeds);

    /// Opens a flow each @p interval seconds until @p end; @p opened is called soon after each one opened.
    void openFlows(const std::string &name,
                   double interval,
                   double end,
                   std::function<void(const std::shared_ptr<ConsumerFlow> &)> opened);

    /// The host that holds the flow open now; nullptr if there is none.
    Host *holder(const ConsumerFlow &flow);

    Loop loop;
    Record record;
    Fleet fleet;
    Store store;
    std::vector<std::unique_ptr<Host>> hosts;
    Consumer consumer;
};

/// Whether the disruption is to be left out.
bool withoutTrouble();

/// Runs @p body with the path of the record; its result is the exit code, and 2 if it throws.
int runCase(int argc, char **argv, const std::function<int(const std::string &)> &body);

/// Prints and records the verdict: 1 if a rule was broken, 2 if the case couldn't run, 0 otherwise.
int verdict(Deployment &deployment, bool ran, bool broken, const std::string &summary);

} // namespace review
