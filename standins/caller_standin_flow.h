#pragma once

#include "drivers/asio_runtime.h"
#include "drivers/udp_socket.h"

#include <cstdint>
#include <set>
#include <string>

namespace boragelug
{

/// Addresses through which a caller reaches an entry, and the service that must answer.
struct CallerEntry
{
    std::string service;
    /// The fabric stand-in's socket for the entry.
    Endpoint fabricEndpoint;
    /// The fabric stand-in's gateway, which takes Geneve packets that the caller builds itself.
    Endpoint gatewayEndpoint;
    /// The entry's address in the catalogue.
    Endpoint address;
};

/// Counters of one flow, or summed over several.
struct FlowCounts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    /// Answers that came from another service or were for another flow.
    std::uint64_t foreignAnswers = 0;
    /// Answers from another upstream than the one that sent the answer before; each means that the flow was broken.
    std::uint64_t hostChanges = 0;
};

/// One long-lived flow from its own port: sends UDP datagrams to the entry's socket, or TCP segments in Geneve packets
/// to the gateway.
class CallerFlow
{
public:
    CallerFlow(AsioRuntime &runtime, CallerEntry entry, bool tcp, std::uint64_t number);

    /// Sends the next packet.
    void sendNext();

    const FlowCounts &counts() const { return counts_; }
    /// Ids of the upstreams that answered.
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

/// Returns the value of the field @p name in @p line, which consists of "name=value" pairs separated by spaces; empty
/// if there is no such field. Thread-safe.
std::string fieldValue(const std::string &line, const std::string &name);

/// Returns the text after "echo=" in @p line; empty if there is none. Thread-safe.
std::string echoedText(const std::string &line);

} // namespace boragelug
