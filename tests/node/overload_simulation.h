#pragma once

#include "core/random.h"
#include "node/tagged_node.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

namespace boragelug
{

/// A crowd of callers before a few VMs and hosts of one service.
struct OverloadSettings
{
    AdmissionSettings admission;
    std::size_t vms = 3;
    std::size_t hosts = 5;
    std::size_t slots = 3;
    /// Requests that a host queues; it drops more.
    std::size_t queue = 12;
    /// Work of a request, from half to one and a half of this.
    Duration meanWork = std::chrono::milliseconds(60);
    Duration objective = std::chrono::milliseconds(250);
    Duration timeout = std::chrono::milliseconds(2500);
    double requestsPerSecond = 130;
    /// All VMs are without power from then on, for so long.
    Duration outageAt = std::chrono::seconds(2);
    Duration outage {};
    /// Hosts that vanish silently then, which the VMs aren't told.
    Duration lossAt = std::chrono::seconds(2);
    std::size_t lostHosts = 0;
    Duration length = std::chrono::seconds(8);
    std::uint64_t seed = 1;
};

/// What became of one request.
struct SimulatedRequest
{
    TimePoint askedAt;
    bool answered = false;
    Duration time {};
};

/**
 * Plays callers, VMs and hosts in simulated time: each caller opens a flow for one request, sends copies of its SYN as
 * callers of the users' platform do, and tries again from another port. One seed gives one result.
 */
class OverloadSimulation
{
public:
    explicit OverloadSimulation(const OverloadSettings &settings);

    /// Plays the whole time.
    void run();

    /// Share of the requests asked from @p from to @p until that were answered within @p limit.
    double answeredRatio(Duration from, Duration until, Duration limit) const;

private:
    struct Host
    {
        bool lost = false;
        std::size_t working = 0;
        std::deque<std::size_t> queue;
    };

    struct Try
    {
        std::size_t request = 0;
        std::uint16_t port = 0;
        bool opened = false;
    };

    struct Later
    {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Later &other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    void after(Duration delay, std::function<void()> action);
    void ask();
    void startTry(std::size_t request, std::size_t tries);
    void sendSyn(std::size_t tryIndex, std::uint32_t copies);
    void sendOnFlow(std::size_t tryIndex, std::size_t host, std::uint32_t acknowledged);
    void deliver(const FlowPacket &packet, std::size_t tryIndex);
    void carryOut(const FlowPacket &packet, const TaggedDecision &decision);
    void arrive(std::size_t host, std::size_t tryIndex);
    void work(std::size_t host, std::size_t tryIndex);
    void startVms();
    FlowPacket packetOf(std::size_t tryIndex) const;
    bool isDark() const;

    OverloadSettings settings_;
    Random random_;
    TimePoint start_;
    TimePoint now_;
    std::uint64_t order_ = 0;
    std::priority_queue<Later> later_;
    std::vector<std::unique_ptr<TaggedNode>> vms_;
    std::vector<Host> hosts_;
    std::vector<SimulatedRequest> requests_;
    std::vector<Try> tries_;
    std::vector<NodeEvent> events_;
};

} // namespace boragelug
