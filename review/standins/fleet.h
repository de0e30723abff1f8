#pragma once

#include "loop.h"

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review
{

/// Ports, the same on all machines of a run.
struct Ports
{
    std::uint16_t data = 0;
    std::uint16_t ready = 0;
    std::uint16_t control = 0;
    std::uint16_t metrics = 0;
    std::uint16_t store = 0;
    std::uint16_t host = 0;
};

/**
 * Loopback addresses and free ports of one run, a temporary folder, and the processes that it starts: one boragelugd
 * for each machine, with the command of the deploy file and the settings of platform/settings.yaml.
 */
class Fleet
{
public:
    struct Machine
    {
        std::string name;
        std::uint32_t ip = 0;
        pid_t pid = -1;
        bool inRotation = false;
        int misses = 0;
    };

    Fleet(Loop &loop, Record &record);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    const Ports &ports() const { return ports_; }
    Address storeAddress() const { return { .ip = ip(30, 1), .port = ports_.store }; }
    /// Address @p last of the group @p group in the network of this run.
    std::uint32_t ip(unsigned group, unsigned last) const { return network_ | group << 8U | last; }

    /// Starts @p count machines, whose first @p seeds are the seeds.
    void start(unsigned count, unsigned seeds);
    /// Sends SIGTERM, and SIGKILL after the grace time.
    void stop(std::size_t machine);
    /// Whether a process ended by itself.
    bool hasCrashed();

    /// Writes all settings files anew with this grace time in seconds, and sends SIGHUP.
    void changeGrace(const std::string &seconds);
    /// Kills all processes at once and starts them again @p downTime seconds later. From then on a process that ends is
    /// started again after a short delay.
    void killAll(double downTime);
    /// Processes that ended by themselves since killAll().
    unsigned ends() const { return ends_; }

    std::vector<Machine> &machines() { return machines_; }
    bool allReady() const;
    const std::string &folder() const { return folder_; }

    /// The machine to which the platform's routers send a packet of this flow: a hash over those in rotation, so that
    /// only the flows of a machine that leaves move.
    const Machine *route(const Address &caller, const Address &entry) const;

private:
    void startMachine(Machine &machine);
    std::string settingsPath(const Machine &machine) const;
    void writeSettings(const Machine &machine) const;
    void startAgain();
    void checkReady(std::size_t machine);
    std::string settings(const Machine &machine) const;

    Loop &loop_;
    Record &record_;
    std::uint32_t network_;
    Ports ports_;
    std::string folder_;
    unsigned seeds_ = 0;
    std::string grace_ = "6";
    unsigned ends_ = 0;
    std::vector<Machine> machines_;
};

} // namespace review
