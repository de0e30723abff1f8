#include "tests/node/node_simulation.h"

#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 17;
// Time after the start until slots are in use: their owners first wait until the longest possible lease has expired.
constexpr Duration slotSettleTime = 12s;

InnerPacket makePacket(std::uint16_t callerPort, const Endpoint &entry, bool syn)
{
    InnerPacket inner;
    inner.protocol = InnerProtocol::Tcp;
    inner.source = { .address = Ipv4Address { 0xC0A80001 }, .port = Port { callerPort } };
    inner.destination = entry;
    inner.tcp.syn = syn;
    return inner;
}

const Endpoint &entryOf(std::uint16_t port)
{
    return port % 2 == 0 ? ledgerFlows : inspectionFlows;
}

// Guards against a VM that routes by a view that may be older than the views of its peers (design 2.4).
TEST(EntryNode, ServesNothingBeforeItIsReady)
{
    NodeSimulation simulation(2, seed);
    simulation.setPlatformReachable(false);
    simulation.run(2s);
    EXPECT_FALSE(simulation.node(0).isReady());
    EXPECT_EQ(simulation.sendPacket(0, makePacket(1, ledgerFlows, true)), UpstreamId {});
    EXPECT_EQ(simulation.node(0).kindOf(ledgerFlows), std::nullopt);
}

// Guards against layers that are connected wrongly: the flow key, redirects, replication or the VNI. All packets of a
// flow must reach the same upstream of its service through every VM, also after one VM failed.
TEST(EntryNode, FlowKeepsUpstreamThroughEveryVmAndAfterAFailure)
{
    constexpr std::size_t vms = 5;
    NodeSimulation simulation(vms, seed);
    simulation.run(20s);
    std::map<std::uint16_t, UpstreamId> placed;
    for (std::uint16_t port = 1; port <= 60; ++port) {
        placed[port] = simulation.sendPacket(port % vms, makePacket(port, entryOf(port), true));
        ASSERT_NE(placed[port], UpstreamId {}) << port;
        EXPECT_EQ(simulation.serviceOf(placed[port]), ServiceId { port % 2 == 0 ? 101U : 102U });
    }
    const auto checkAll = [&](std::size_t first) {
        for (const auto &[port, upstream] : placed) {
            for (std::size_t vm = first; vm < vms; ++vm) {
                EXPECT_EQ(simulation.sendPacket(vm, makePacket(port, entryOf(port), false)), upstream)
                    << port << ' ' << vm;
            }
        }
    };
    checkAll(0);
    simulation.kill(0);
    simulation.run(5s);
    checkAll(1);
}

// Guards against a request that is dispatched by another VM than its issuer, and against copies that are executed
// again.
TEST(EntryNode, RequestIsExecutedOnceWhereverItArrives)
{
    NodeSimulation simulation(4, seed);
    simulation.run(slotSettleTime);
    simulation.requestId(0, 1);
    const std::string id = simulation.reply(1).requestId;
    ASSERT_FALSE(id.empty());
    for (std::size_t vm = 0; vm < 4; ++vm) {
        simulation.request(vm, 100 + vm, id, false, "order");
    }
    simulation.run(3s);
    for (std::size_t vm = 0; vm < 4; ++vm) {
        const auto &outcomes = simulation.reply(100 + vm).outcomes;
        ASSERT_EQ(outcomes.size(), 1U) << vm;
        ASSERT_TRUE(std::holds_alternative<AnsweredOutcome>(outcomes[0])) << vm;
        EXPECT_EQ(*std::get<AnsweredOutcome>(outcomes[0]).answer->payload, "order");
    }
    EXPECT_EQ(simulation.executions("order"), 1);
}

// Guards against the outcome "refused", or a second execution, when the issuer is dead and can't report the outcome.
TEST(EntryNode, RequestOfDeadIssuerIsUnknown)
{
    NodeSimulation simulation(4, seed);
    simulation.run(slotSettleTime);
    simulation.requestId(0, 1);
    const std::string id = simulation.reply(1).requestId;
    simulation.kill(0);
    simulation.request(1, 2, id, false, "order");
    simulation.run(7s);
    const auto &outcomes = simulation.reply(2).outcomes;
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<UnknownOutcome>(outcomes[0]));
    EXPECT_EQ(simulation.executions("order"), 0);
}

// Guards against a drain that takes new work, ends before its peers were notified, or never ends.
TEST(EntryNode, DrainRefusesNewWorkAndEnds)
{
    NodeSimulation simulation(4, seed);
    simulation.run(slotSettleTime);
    const InnerPacket open = makePacket(8, ledgerFlows, true);
    const UpstreamId upstream = simulation.sendPacket(1, open);
    simulation.beginDrain(0);
    EXPECT_FALSE(simulation.node(0).drainState(simulation.now()).finished);
    simulation.run(1s);
    EXPECT_FALSE(simulation.node(0).drainState(simulation.now()).finished);
    simulation.requestId(0, 1);
    EXPECT_TRUE(simulation.reply(1).requestId.empty());
    ASSERT_EQ(simulation.reply(1).outcomes.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<RefusedOutcome>(simulation.reply(1).outcomes[0]));
    for (Duration waited {}; waited < 31s && !simulation.node(0).drainState(simulation.now()).finished; waited += 1s) {
        simulation.run(1s);
    }
    const DrainState state = simulation.node(0).drainState(simulation.now());
    EXPECT_TRUE(state.finished);
    EXPECT_EQ(state.requests, 0U);
    simulation.kill(0);
    simulation.run(1s);
    EXPECT_EQ(simulation.sendPacket(2, makePacket(8, ledgerFlows, false)), upstream);
}

// Guards against actions that depend on hidden inputs such as clocks, addresses or hash seeds.
TEST(EntryNode, SameSeedGivesSameActions)
{
    const auto trace = [] {
        NodeSimulation simulation(4, seed);
        simulation.run(5s);
        for (std::uint16_t port = 1; port <= 30; ++port) {
            simulation.sendPacket(port % 4, makePacket(port, entryOf(port), true));
            simulation.request(port % 4, port, {}, true, "report");
        }
        simulation.run(2s);
        return simulation.traceHash();
    };
    EXPECT_EQ(trace(), trace());
}

} // namespace
} // namespace boragelug
