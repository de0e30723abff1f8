#include "tagged_fixture.h"

#include "core/hash.h"
#include "core/random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace tagged;

constexpr std::size_t vmCount = 5;
constexpr std::uint64_t upstreamCount = 8;
constexpr Duration runTime = 20s;
constexpr Duration firstCopy = 200ms;
constexpr Duration secondCopy = 600ms;
constexpr Duration openingTimeout = 1400ms;
constexpr Duration maxRetransmitInterval = 1600ms;
constexpr unsigned maxRetransmissions = 8;
constexpr std::uint32_t requestBytes = 100;

/// How late upstreams answer, and when flows move to other VMs.
struct Conditions
{
    /// Part of the SYNs that are answered late, and the latest such answer.
    double lateShare = 0.3;
    Duration maxDelay {};
    /// A flow moves to another VM after a random time from this one on.
    Duration earliestMove {};
};

/**
 * VMs, upstreams that all live, and callers, without a network. Upstreams retransmit a SYN-ACK until the flow opens,
 * and callers use the tag of the packet that they received last. VMs restart and lose their records.
 */
class LateAnswersSimulation
{
public:
    LateAnswersSimulation(std::uint64_t seed, const Conditions &conditions)
        : random_(seed)
        , conditions_(conditions)
    {
        for (std::uint64_t id = 1; id <= upstreamCount; ++id) {
            records_.push_back(upstream(id, ledger, id % 2 == 0 ? home : away));
        }
        for (std::size_t i = 0; i < vmCount; ++i) {
            vms_.push_back(startVm());
        }
    }

    void run()
    {
        for (std::uint16_t port = 1; port <= 300; ++port) {
            after(std::chrono::milliseconds(random_.below(8000)), [this, port] { openFlow(port); });
        }
        for (Duration at = 500ms; at < runTime; at += 700ms) {
            after(at, [this] { vms_[random_.below(vms_.size())] = startVm(); });
        }
        for (Duration at = 10ms; at < runTime; at += 50ms) {
            after(at, [this] { tick(); });
        }
        while (!queue_.empty() && queue_.begin()->first < start + runTime) {
            now_ = queue_.begin()->first;
            const auto action = std::move(queue_.begin()->second);
            queue_.erase(queue_.begin());
            action();
        }
    }

    const std::vector<std::string> &violations() const { return violations_; }
    std::size_t answers() const { return answers_; }
    std::size_t opened() const { return opened_; }

private:
    struct HalfOpen
    {
        std::uint32_t sequence = 0;
        bool open = false;
        FlowTag lastTag;
    };

    struct Flow
    {
        FlowPacket opening;
        /// VMs that the fabric uses: the second one from @c movesAt on.
        std::array<std::size_t, 2> vms {};
        TimePoint movesAt;
        bool opened = false;
        bool ended = false;
        FlowTag tag;
        std::uint32_t acknowledged = 0;
        std::uint32_t sent = 0;
        unsigned requestsLeft = 4;
        /// The upstream that has the end of the handshake; 0 if none.
        std::uint64_t holder = 0;
        std::map<std::uint64_t, HalfOpen> upstreams;
    };

    static constexpr TimePoint start { 100s };

    std::unique_ptr<TaggedRouter> startVm()
    {
        TaggedRouterSettings settings;
        settings.seed = ++seed_;
        auto vm = std::make_unique<TaggedRouter>(settings);
        vm->applyView(view(records_), now_);
        return vm;
    }

    void after(Duration delay, std::function<void()> action) { queue_.emplace(now_ + delay, std::move(action)); }

    // All upstreams live, so that each health check is answered.
    void tick()
    {
        for (const auto &vm : vms_) {
            vm->tick(now_);
            for (const UpstreamCheck &check : vm->takeChecks()) {
                vm->recordCheckResult(check, true, now_);
            }
            for (const SilentFlow &silent : vm->takeSilentFlows(now_)) {
                checkReset(flows_.at(silent.head.caller.port.value));
            }
        }
    }

    void openFlow(std::uint16_t port)
    {
        Flow &flow = flows_[port];
        flow.opening = syn(1, port);
        flow.vms = { random_.below(vmCount), random_.below(vmCount) };
        flow.movesAt = now_ + conditions_.earliestMove + std::chrono::milliseconds(random_.below(5000));
        sendSyn(port, 0);
        after(firstCopy, [this, port] { sendSyn(port, 1); });
        after(secondCopy, [this, port] { sendSyn(port, 2); });
        after(openingTimeout, [this, port] { flows_[port].ended |= !flows_[port].opened; });
    }

    void sendSyn(std::uint16_t port, std::uint32_t copies)
    {
        Flow &flow = flows_[port];
        if (!flow.opened && !flow.ended) {
            FlowPacket packet = flow.opening;
            packet.synCopies = copies;
            send(port, flow, packet);
        }
    }

    void send(std::uint16_t port, Flow &flow, const FlowPacket &packet)
    {
        TaggedRouter &vm = *vms_[flow.vms[now_ < flow.movesAt ? 0 : 1]];
        const TaggedDecision decision = vm.route(packet, { .viewIsFresh = true }, now_);
        if (std::holds_alternative<ResetFlow>(decision)) {
            checkReset(flow);
        }
        if (const auto forward = forwarded(decision)) {
            receiveAtUpstream(port, flow, packet, forward->upstream.value, forward->tag);
        }
    }

    void checkReset(Flow &flow)
    {
        if (flow.holder != 0) {
            violations_.push_back("reset of a flow at upstream " + std::to_string(flow.holder));
        }
        flow.ended = true;
    }

    void
    receiveAtUpstream(std::uint16_t port, Flow &flow, const FlowPacket &packet, std::uint64_t upstream, FlowTag tag)
    {
        if (packet.syn) {
            const bool known = flow.upstreams.contains(upstream);
            HalfOpen &state = flow.upstreams[upstream];
            state.lastTag = tag;
            if (!known) {
                state.sequence = static_cast<std::uint32_t>(combineHash(upstream, port));
                const bool late = random_.chance(conditions_.lateShare);
                const auto most = std::chrono::duration_cast<std::chrono::milliseconds>(conditions_.maxDelay).count();
                const Duration delay =
                    late ? Duration(std::chrono::milliseconds(random_.below(static_cast<std::uint64_t>(most)))) : 4ms;
                after(delay, [this, port, upstream] { answerSyn(port, upstream, firstCopy, maxRetransmissions); });
            }
            return;
        }
        const auto found = flow.upstreams.find(upstream);
        const bool holds =
            found != flow.upstreams.end() && (found->second.open || packet.acknowledged == found->second.sequence + 1);
        if (!holds) {
            if (flow.holder != 0 && flow.holder != upstream) {
                violations_.push_back("packet of a flow at upstream " + std::to_string(flow.holder)
                                      + " reached upstream " + std::to_string(upstream));
            }
            flow.ended = true;
            return;
        }
        found->second.open = true;
        found->second.lastTag = tag;
        flow.holder = upstream;
        if (packet.dataBytes > 0) {
            after(50ms, [this, port, upstream, sent = flow.sent] { answerRequest(port, upstream, sent); });
        }
    }

    void answerSyn(std::uint16_t port, std::uint64_t upstream, Duration interval, unsigned retransmissionsLeft)
    {
        Flow &flow = flows_[port];
        const HalfOpen &state = flow.upstreams[upstream];
        if (flow.ended || state.open) {
            return;
        }
        flow.tag = state.lastTag;
        if (!flow.opened) {
            ++opened_;
            flow.opened = true;
            flow.acknowledged = state.sequence + 1;
            sendRequest(port, flow.sent, firstCopy);
        }
        if (retransmissionsLeft > 0) {
            after(interval, [this, port, upstream, interval, retransmissionsLeft] {
                answerSyn(
                    port, upstream, std::min(interval * 2, Duration(maxRetransmitInterval)), retransmissionsLeft - 1);
            });
        }
    }

    void sendRequest(std::uint16_t port, std::uint32_t sent, Duration interval)
    {
        Flow &flow = flows_[port];
        if (flow.ended || flow.sent != sent) {
            return;
        }
        send(port, flow, data(flow.opening, flow.tag, sent, flow.acknowledged));
        after(interval, [this, port, sent, interval] {
            sendRequest(port, sent, std::min(interval * 2, Duration(maxRetransmitInterval)));
        });
    }

    void answerRequest(std::uint16_t port, std::uint64_t upstream, std::uint32_t sent)
    {
        Flow &flow = flows_[port];
        if (flow.ended || flow.sent != sent) {
            return;
        }
        ++answers_;
        flow.tag = flow.upstreams[upstream].lastTag;
        flow.sent += requestBytes;
        flow.acknowledged += requestBytes;
        if (--flow.requestsLeft == 0) {
            flow.ended = true;
            return;
        }
        after(std::chrono::milliseconds(random_.below(4000)),
              [this, port, next = flow.sent] { sendRequest(port, next, firstCopy); });
    }

    Random random_;
    Conditions conditions_;
    TimePoint now_ = start;
    std::uint64_t seed_ = 0;
    std::vector<DirectoryUpstream> records_;
    std::vector<std::unique_ptr<TaggedRouter>> vms_;
    std::map<std::uint16_t, Flow> flows_;
    std::multimap<TimePoint, std::function<void()>> queue_;
    std::vector<std::string> violations_;
    std::size_t answers_ = 0;
    std::size_t opened_ = 0;
};

void expectNoBrokenFlow(const Conditions &conditions)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        LateAnswersSimulation simulation(seed, conditions);
        simulation.run();
        EXPECT_EQ(simulation.violations(), std::vector<std::string> {}) << "seed " << seed;
        EXPECT_GT(simulation.opened(), 250U) << "seed " << seed;
        EXPECT_GT(simulation.answers(), 500U) << "seed " << seed;
    }
}

// An upstream that answers a SYN after the caller sent it again must not lead to a second answer by another upstream:
// the caller would use the tag of that answer, and another VM would send the flow's packets there or reset the flow.
TEST(LateAnswersTest, KeepsFlowsAtTheirUpstreamOnAnyVm)
{
    expectNoBrokenFlow({ .lateShare = 0.3, .maxDelay = 1300ms, .earliestMove = 1400ms });
}

// The same while the flow moves to another VM before it is open: the other VM must not place a copy of a SYN that the
// first VM placed.
TEST(LateAnswersTest, KeepsFlowsThatMoveWhileTheyOpen)
{
    expectNoBrokenFlow({ .lateShare = 0.3, .maxDelay = 550ms, .earliestMove = 0ms });
}

} // namespace
} // namespace boragelug
