#pragma once

#include "node/entry_node.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace boragelug
{

/// Entry addresses of the two simulated services.
inline const Endpoint ledgerFlows = *parseEndpoint("10.20.0.1:7000");
inline const Endpoint inspectionFlows = *parseEndpoint("10.20.0.2:7000");
inline const Endpoint ledgerRequests = *parseEndpoint("10.20.0.3:80");

/// Replies that a caller received for one token.
struct CallerReply
{
    std::string requestId;
    std::vector<RequestOutcome> outcomes;
};

/**
 * Entry nodes in one thread with virtual time, a static configuration service and upstreams that answer at once.
 *
 * Simulates no network faults: every message arrives, unless its receiver was killed.
 */
class NodeSimulation
{
public:
    NodeSimulation(std::size_t vms, std::uint64_t seed);

    /// Advances the virtual time by @p duration in steps of 10 ms.
    void run(Duration duration);

    /// Delivers a packet from the fabric to VM @p vm. Returns the upstream that received it, or 0.
    UpstreamId sendPacket(std::size_t vm, const InnerPacket &inner);

    void requestId(std::size_t vm, std::uint64_t token);
    void request(std::size_t vm, std::uint64_t token, const std::string &id, bool idempotent, const std::string &body);
    void beginDrain(std::size_t vm) { perform(nodes_[vm]->beginDrain(now_)); }

    /// Stops VM @p vm: no message reaches it any more, and the configuration service no longer lists it.
    void kill(std::size_t vm);

    /// Sets whether the configuration service answers calls.
    void setPlatformReachable(bool reachable) { platformReachable_ = reachable; }

    EntryNode &node(std::size_t vm) { return *nodes_[vm]; }
    TimePoint now() const { return now_; }
    const CallerReply &reply(std::uint64_t token) { return replies_[token]; }
    /// How often upstreams executed a request with this body.
    int executions(const std::string &body) { return executions_[body]; }
    ServiceId serviceOf(UpstreamId upstream) const;
    /// Hash of all actions so far.
    std::uint64_t traceHash() const { return traceHash_; }

private:
    void perform(NodeActions actions);
    void perform(SendPacket &action);
    void perform(DispatchAttempt &action);
    void perform(CancelAttempt &) { }
    void perform(ReplyToCaller &action);
    void perform(RelayRequest &action);
    void perform(RelayOutcome &action);
    void perform(ReplyRequestId &action);
    void perform(SendPeer &action);
    void perform(PlatformCall &action);
    void perform(NodeEvent &) { }
    void deliverAll();
    std::optional<std::size_t> vmAt(const Endpoint &endpoint) const;
    PlatformAnswer answerTo(const PlatformCall &call) const;

    TimePoint now_ { std::chrono::seconds(1000) };
    std::vector<Vm> vms_;
    std::vector<Upstream> upstreams_;
    std::vector<bool> alive_;
    std::vector<std::unique_ptr<EntryNode>> nodes_;
    std::uint64_t listVersion_ = 1;
    bool platformReachable_ = true;
    /// The VM whose actions are being performed.
    std::size_t currentVm_ = 0;
    /// Headers of all packets sent; a packet's payload is an index into them.
    std::vector<InnerPacket> headers_;
    UpstreamId lastUpstream_;
    std::deque<std::function<void()>> deliveries_;
    std::vector<std::pair<std::size_t, PlatformCall>> longPolls_;
    std::map<std::uint64_t, CallerReply> replies_;
    std::map<std::string, int> executions_;
    std::uint64_t traceHash_ = 0;
};

} // namespace boragelug
