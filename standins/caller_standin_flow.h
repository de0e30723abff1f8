#pragma once

#include "drivers/asio_runtime.h"
#include "drivers/udp_socket.h"

#include <cstdint>
#include <set>
#include <string>

namespace boragelug
{

/// Where a caller reaches an entry, and what it expects of it.
struct CallerEntry
{
    std::string service;
    /// The entry's socket at the fabric.
    Endpoint fabricEndpoint;
    /// The fabric's gateway, for packets that the caller builds itself.
    Endpoint gatewayEndpoint;
    /// The entry's address in the catalogue.
    Endpoint address;
};

/// What flows have seen.
struct FlowCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Answers of another service, or to another flow.
    std::uint64_t foreignAnswers = 0;
    /// Changes of the host that answers; each is a broken flow.
    std::uint64_t hostChanges = 0;
};

/// One long-lived flow from its own port, over UDP or as TCP segments that the caller builds.
class CallerFlow
{
public:
    CallerFlow(AsioRuntime &runtime, CallerEntry entry, bool tcp, std::uint64_t number);

    /// Sends the next packet.
    void sendNext();

    const FlowCounts &counts() const { return counts_; }
    const std::set<std::string> &hosts() const { return hosts_; }

private:
    void receive(std::span<const std::byte> datagram);
    void sendSegment(const std::string &payload);

    CallerEntry entry_;
    bool tcp_;
    std::string name_;
    UdpSocket socket_;
    FlowCounts counts_;
    std::string lastHost_;
    std::set<std::string> hosts_;
};

/// Value of "name=value" in a line of such pairs; empty if there is none. Thread-safe.
std::string fieldValue(const std::string &line, const std::string &name);

/// What follows "echo=" in @p line. Thread-safe.
std::string echoedText(const std::string &line);

} // namespace boragelug
