#include "routing/flow_router.h"
#include "tests/routing/fleet.h"

#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

using std::chrono::seconds;

const Endpoint entryAddress { { 0x0a000001 }, { 80 } };

/// A view of one VM with two services and one entry for the first.
View makeView()
{
    View view;
    view.self = { 1 };
    view.selfZone = { 1 };
    view.catalogue.services = { { { 1 }, "ledger", 3, 2000, {} }, { { 2 }, "inspection", 3, 2000, {} } };
    Entry entry;
    entry.service = { 1 };
    entry.address = entryAddress;
    view.catalogue.entries = { entry };
    for (std::uint64_t id = 1; id <= 2; ++id) {
        UpstreamStatus status;
        status.upstream.id = { id };
        status.upstream.incarnation = { 1 };
        status.upstream.service = { 1 };
        status.upstream.zone = { 1 };
        status.upstream.tunnelEndpoint = { { static_cast<std::uint32_t>(0x0c000000 + id) }, { 6081 } };
        view.upstreams.push_back(status);
    }
    return view;
}

class SafetyTest : public testing::Test
{
protected:
    void apply(const View &view) { router_.applyView(std::make_shared<View>(view), now_); }

    RoutingDecision route(std::uint64_t key, FlowStart flowStart, bool endsFlow = false)
    {
        PacketAttributes attributes;
        attributes.key = { key };
        attributes.entry = entryAddress;
        attributes.flowStart = flowStart;
        attributes.endsFlow = endsFlow;
        return router_.route(attributes, now_);
    }

    /// Opens a flow and returns its upstream.
    UpstreamId open(std::uint64_t key)
    {
        route(key, FlowStart::Yes);
        return std::get<SendToUpstream>(route(key, FlowStart::No)).upstream;
    }

    static RefuseReason reason(const RoutingDecision &decision)
    {
        const auto *refused = std::get_if<RefusePacket>(&decision);
        EXPECT_NE(refused, nullptr);
        return refused == nullptr ? RefuseReason::BadOption : refused->reason;
    }

    static UpstreamStatus &find(View &view, UpstreamId id)
    {
        return view.upstreams[view.upstreams[0].upstream.id == id ? 0 : 1];
    }

    TimePoint now_ { seconds(1000) };
    FlowRouter router_ { { 64, 1 } };
};

// Guards against misdelivery when a flow entry outlives its host and another service reuses the host's id or address
// (design G2).
TEST_F(SafetyTest, RefusesUpstreamOfAnotherService)
{
    View view = makeView();
    apply(view);
    const UpstreamId upstream = open(7);
    find(view, upstream).upstream.service = { 2 };
    apply(view);
    EXPECT_EQ(reason(route(7, FlowStart::No)), RefuseReason::ServiceMismatch);
}

// Guards against misdelivery to a later incarnation of the host, which doesn't have the flow (design G2).
TEST_F(SafetyTest, RefusesLaterIncarnation)
{
    View view = makeView();
    apply(view);
    const UpstreamId upstream = open(7);
    find(view, upstream).upstream.incarnation = { 2 };
    apply(view);
    EXPECT_EQ(reason(route(7, FlowStart::No)), RefuseReason::UpstreamReplaced);
    EXPECT_TRUE(std::holds_alternative<SendToUpstream>(route(7, FlowStart::Yes)));
}

// Guards the counter of broken flows: a broken flow must be counted, and not once per packet.
TEST_F(SafetyTest, CountsABrokenFlowOnce)
{
    View view = makeView();
    apply(view);
    const UpstreamId upstream = open(7);
    std::erase_if(view.upstreams, [&](const UpstreamStatus &status) { return status.upstream.id == upstream; });
    apply(view);
    for (int packet = 0; packet < 3; ++packet) {
        EXPECT_EQ(reason(route(7, FlowStart::No)), RefuseReason::UpstreamRemoved);
    }
    EXPECT_EQ(router_.counters().broken, 1U);
}

// Guards against misdelivery when an entry's address is assigned to another service while flows of the first service
// are open (design G2).
TEST_F(SafetyTest, RefusesFlowsOfMovedEntry)
{
    View view = makeView();
    apply(view);
    open(7);
    view.catalogue.entries[0].service = { 2 };
    view.upstreams[1].upstream.service = { 2 };
    apply(view);
    EXPECT_EQ(reason(route(7, FlowStart::No)), RefuseReason::ServiceMismatch);
    EXPECT_EQ(reason(route(8, FlowStart::No)), RefuseReason::EntryServiceChanged);
}

// Guards against key collisions: a new flow of another service must not replace an established flow with the same key.
TEST_F(SafetyTest, KeyCollisionLeavesEstablishedFlow)
{
    View view = makeView();
    Entry other = view.catalogue.entries[0];
    other.service = { 2 };
    other.address.port = { 81 };
    view.catalogue.entries.push_back(other);
    view.upstreams.push_back(view.upstreams[0]);
    view.upstreams.back().upstream.id = { 3 };
    view.upstreams.back().upstream.service = { 2 };
    apply(view);
    const UpstreamId upstream = open(7);
    PacketAttributes attributes;
    attributes.key = { 7 };
    attributes.entry = other.address;
    attributes.flowStart = FlowStart::Yes;
    EXPECT_EQ(reason(router_.route(attributes, now_)), RefuseReason::ServiceMismatch);
    EXPECT_EQ(std::get<SendToUpstream>(route(7, FlowStart::No)).upstream, upstream);
}

// Guards against new flows on a draining host (design G6) and against conflicting copies: a reused port goes to the
// same host, or is refused for a while if that host drains.
TEST_F(SafetyTest, ReusedPortWaitsForDrainingUpstream)
{
    View view = makeView();
    apply(view);
    const UpstreamId upstream = open(7);
    route(7, FlowStart::No, true);
    EXPECT_EQ(std::get<SendToUpstream>(route(7, FlowStart::Yes)).upstream, upstream);
    route(7, FlowStart::No);
    find(view, upstream).upstream.state = UpstreamState::Draining;
    apply(view);
    EXPECT_EQ(std::get<SendToUpstream>(route(7, FlowStart::No)).upstream, upstream);
    EXPECT_EQ(reason(route(7, FlowStart::Yes)), RefuseReason::FlowInUse);
    now_ += seconds(40);
    EXPECT_NE(std::get<SendToUpstream>(route(7, FlowStart::Yes)).upstream, upstream);
}

// Guards established flows against eviction by a SYN flood that exceeds the capacity of the table.
TEST_F(SafetyTest, FloodKeepsEstablishedFlows)
{
    apply(makeView());
    std::vector<UpstreamId> upstreams;
    for (std::uint64_t key = 0; key < 40; ++key) {
        upstreams.push_back(open(key));
    }
    const std::size_t bytes = router_.gauges().tableBytes;
    for (std::uint64_t key = 1000; key < 21'000; ++key) {
        route(key, FlowStart::Yes);
    }
    for (std::uint64_t key = 0; key < 40; ++key) {
        const auto sent = std::get<SendToUpstream>(route(key, FlowStart::No));
        EXPECT_EQ(sent.upstream, upstreams[key]);
        EXPECT_FALSE(sent.hashFallback);
    }
    EXPECT_EQ(router_.gauges().tableBytes, bytes);
    EXPECT_EQ(router_.counters().evictedEstablished, 0U);
}

// Guards this VM's shares of an entry's limits of new and open flows.
TEST_F(SafetyTest, LimitSharesBoundNewAndOpenFlows)
{
    apply(makeView());
    router_.setEntryShare(entryAddress, { 0, 2 }, now_);
    open(1);
    open(2);
    EXPECT_EQ(reason(route(3, FlowStart::Yes)), RefuseReason::RateLimit);
    now_ += seconds(10);
    router_.setEntryShare(entryAddress, { 3, 100 }, now_);
    open(3);
    EXPECT_EQ(reason(route(4, FlowStart::Yes)), RefuseReason::FlowLimit);
    route(1, FlowStart::No, true);
    EXPECT_TRUE(std::holds_alternative<SendToUpstream>(route(4, FlowStart::Yes)));
}

// Guards against flow entries from VMs that aren't members, and against records that contradict the view.
TEST_F(SafetyTest, RejectsInvalidRecords)
{
    View view = makeView();
    Member member;
    member.vm.id = { 2 };
    member.vm.zone = { 1 };
    view.members = { member };
    apply(view);
    router_.receive({ true, { { { 5 }, { 1 }, { 1 }, { 1 } } } }, { 9 }, now_);
    router_.receive({ true, { { { 5 }, { 2 }, { 1 }, { 1 } } } }, { 2 }, now_);
    router_.receive({ true, { { { 5 }, { 1 }, { 1 }, { 0 } } } }, { 2 }, now_);
    EXPECT_EQ(router_.counters().recordsRejected, 3U);
    EXPECT_EQ(router_.gauges().flows, 0U);
}

// Guards against misdelivery in a simulated fleet (design G2): addresses reused by another service, views up to 10 s
// apart, a VM that was suspended for a minute, and a table that is too small.
TEST(Misdelivery, NeverHappens)
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        FleetSettings settings;
        settings.seed = seed;
        settings.maxFlows = seed % 2 == 0 ? 64 : 20'000;
        Fleet fleet(settings, makeFlowRouter);
        fleet.run(seconds(20));
        fleet.pauseVm(seed, seconds(60));
        fleet.run(seconds(5));
        fleet.reuseAddress(2, { 2 });
        fleet.reuseAddress(5, { 1 });
        fleet.publish();
        fleet.run(seconds(20));
        fleet.reuseAddress(9, { 2 });
        fleet.drainHost(1);
        fleet.publish();
        fleet.run(seconds(60));
        EXPECT_EQ(fleet.results().misdelivered, 0U);
        EXPECT_EQ(fleet.results().placedOnLeaving, 0U);
        EXPECT_EQ(fleet.results().loops, 0U);
        EXPECT_GT(fleet.results().delivered, 5000U);
        if (settings.maxFlows > 64) {
            EXPECT_EQ(fleet.results().broken.size(), 0U);
        }
    }
}

} // namespace
} // namespace boragelug
