#pragma once

#include "packet.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace review
{

/// What a host registers in the store.
struct HostEntry
{
    std::string id;
    std::string service;
    Address address;
    std::string zone = "north";
    std::string state = "ready";
    std::uint64_t coldLeftMs = 0;
    std::uint64_t born = 0;
    std::uint64_t sequence = 1;
};

std::string hostKey(const HostEntry &entry);
std::string hostValue(const HostEntry &entry);

/// Milliseconds of the time of day.
std::uint64_t unixMilliseconds();

/**
 * Stand-in of a host: holds flows, answers each request of one packet, and resets what it doesn't hold.
 *
 * Each start is a new lifetime, which knows nothing of earlier ones.
 */
class Host
{
public:
    using Key = std::pair<Address, Address>;

    struct Flow
    {
        std::uint32_t ownSequence = 0;
        std::uint32_t expected = 0;
        bool open = false;
        double openedAt = 0;
        Packet lastAnswer;
    };

    /// @p callerPort is the port at which consumers get packets.
    Host(Loop &loop, Record &record, const HostEntry &entry, std::uint16_t callerPort);
    ~Host();
    Host(const Host &) = delete;
    Host &operator=(const Host &) = delete;

    /// Starts a lifetime: binds the address, and holds no flows.
    void start();
    /// Crashes, or exits: all flows are lost without a packet.
    void stop();

    HostEntry &entry() { return entry_; }
    bool isRunning() const { return udp_ >= 0; }
    double startedAt() const { return startedAt_; }
    const std::map<Key, Flow> &flows() const { return flows_; }
    std::uint64_t flowsOpened() const { return opened_; }
    std::uint64_t brokenPackets() const { return broken_; }

    /// Whether the host listens for status checks. Those are made only of hosts that have flows.
    bool takesChecks = true;
    /// Called when a SYN is taken: consumer's end and route.
    std::function<void(const Packet &)> onSyn;

private:
    void receive();
    void handle(const Packet &packet);
    void handleData(const Packet &packet, Flow &flow);
    void
    send(const Packet &to, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, std::string data);
    void acceptCheck();

    Loop &loop_;
    Record &record_;
    HostEntry entry_;
    std::uint16_t callerPort_;
    std::uint64_t number_;
    int udp_ = -1;
    int tcp_ = -1;
    double startedAt_ = 0;
    std::uint32_t nextSequence_;
    std::uint64_t opened_ = 0;
    std::uint64_t broken_ = 0;
    std::map<Key, Flow> flows_;
};

} // namespace review
