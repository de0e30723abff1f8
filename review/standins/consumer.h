#pragma once

#include "fleet.h"
#include "packet.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review
{

/// One flow of a consumer, which carries one request after the other.
struct ConsumerFlow
{
    std::string name;
    Address self;
    Address entry;
    /// Sends all packets of the flow to this machine; -1: to the one that the routers choose.
    int machine = -1;
    bool opened = false;
    /// The flow was reset, or never opened.
    bool ended = false;
    bool answered = true;
    /// Who sent the reset: the system's own have the sum 0.
    bool resetBySystem = false;
    bool resetByHost = false;
    /// When the first SYN was sent.
    double sentAt = 0;
    double openedAt = 0;
    double resetAt = 0;
    std::uint32_t echo = 0;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint64_t requests = 0;
    std::uint64_t answers = 0;
    std::string request;
    std::string lastMachine;
};

/// Stand-in of consumers at one address: opens flows, sends requests, retransmits, and takes answers and resets.
class Consumer
{
public:
    Consumer(Loop &loop, Record &record, Fleet &fleet);

    /// Opens a flow; the returned object tells what becomes of it.
    std::shared_ptr<ConsumerFlow> open(const std::string &name, const Address &entry, int machine = -1);

    /// Sends one request on an open flow whose earlier ones were answered.
    void request(const std::shared_ptr<ConsumerFlow> &flow);

    /// Closes the flow with a FIN.
    void finish(const std::shared_ptr<ConsumerFlow> &flow);

    const std::map<std::uint16_t, std::shared_ptr<ConsumerFlow>> &flows() const { return flows_; }

private:
    void sendSyn(const std::shared_ptr<ConsumerFlow> &flow, std::uint32_t copies);
    void sendData(const std::shared_ptr<ConsumerFlow> &flow, std::uint64_t request, double timeout);
    void send(ConsumerFlow &flow, std::uint8_t flags, std::uint32_t acknowledged, const std::string &data);
    void receive();
    void handle(const std::shared_ptr<ConsumerFlow> &flow, const Packet &packet);

    Loop &loop_;
    Record &record_;
    Fleet &fleet_;
    std::uint32_t ip_;
    int fd_;
    std::uint16_t nextPort_ = 30'000;
    std::map<std::uint16_t, std::shared_ptr<ConsumerFlow>> flows_;
};

} // namespace review
