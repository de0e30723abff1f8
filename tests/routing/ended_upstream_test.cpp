#include "tagged_fixture.h"

#include "routing/flow_tag.h"

#include <gtest/gtest.h>

#include <vector>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace tagged;

// An upstream whose record vanished may still be alive; a reset would break its flows.
TEST_F(TaggedRouterTest, ForwardsFlowsOfUnlistedUpstreams)
{
    const auto unlisted = unlistedUpstream(3, now);
    setUpstreams({ unlisted });
    const FlowTag tag = flowTagOf(UpstreamId { 3 }, Incarnation { 1 });
    EXPECT_EQ(route(data(syn(1, 1), tag, 0, 1))->upstream, UpstreamId { 3 });
    now += TaggedRouterSettings {}.unlistedTimeout - 1ms;
    EXPECT_EQ(route(data(syn(1, 2), tag, 0, 1))->upstream, UpstreamId { 3 });
}

// Without a reset, a request on a flow whose upstream has exited waits until it is too late to retry.
TEST_F(TaggedRouterTest, ResetsOverdueRequestsOfExitedUpstreams)
{
    const auto unlisted = unlistedUpstream(3, now);
    setUpstreams({ unlisted });
    const FlowTag tag = flowTagOf(UpstreamId { 3 }, Incarnation { 1 });
    now += TaggedRouterSettings {}.unlistedTimeout;
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    EXPECT_TRUE(router.takeSilentFlows(now).empty()) << "the first request may be answered";
    now += PassiveHealthSettings {}.minAnswerTimeout;
    FlowPacket ackOnly = data(syn(1, 2), tag, 0, 1);
    ackOnly.dataBytes = 0;
    EXPECT_TRUE(route(ackOnly));
    const auto decision = router.route(data(syn(1, 1), tag, 0, 1), { .viewIsFresh = true }, now);
    ASSERT_TRUE(std::holds_alternative<ResetFlow>(decision));
    EXPECT_EQ(std::get<ResetFlow>(decision).reason, TaggedRefusal::EndedUpstream);
    EXPECT_EQ(std::get<ResetFlow>(decision).waiting, PassiveHealthSettings {}.minAnswerTimeout);
}

// A flow that moved to another VM with a request in progress seems to wait here. Neither this flow nor another one of
// an unlisted upstream that serves may be reset for that.
TEST_F(TaggedRouterTest, KeepsFlowsOfAnUnlistedUpstreamAfterAFlowMovedAway)
{
    const auto unlisted = unlistedUpstream(3, now);
    setUpstreams({ unlisted });
    const FlowTag tag = flowTagOf(UpstreamId { 3 }, Incarnation { 1 });
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    now += TaggedRouterSettings {}.unlistedTimeout;
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
    EXPECT_TRUE(route(data(syn(1, 2), tag, 0, 1)));
    EXPECT_TRUE(route(data(syn(1, 1), tag, 100, 500))) << "the next request of the flow that returned";
}

// The first request of a flow may pass through another VM than the SYN and the packets after it. The VM of the SYN must
// not take that request for one in progress when the flow sends the next one.
TEST_F(TaggedRouterTest, KeepsAFlowWhoseFirstRequestPassedThroughAnotherVm)
{
    auto serving = upstream(3, ledger, home);
    setUpstreams({ serving });
    const FlowPacket opening = syn(1, 1);
    const FlowTag tag = route(opening)->tag;
    FlowPacket answered = data(opening, tag, 100, 500);
    answered.dataBytes = 0;
    EXPECT_TRUE(route(answered));
    serving.listing = Listing::Gone;
    serving.vanishedAt = now;
    setUpstreams({ serving });
    now += 5s;
    EXPECT_TRUE(route(data(opening, tag, 100, 500)));
    EXPECT_EQ(router.usage().front().busyFlows, 1U);
}

// Records that lapsed during an outage are listed again some time after it.
TEST_F(TaggedRouterTest, KeepsFlowsUntilRecordsHadTimeToReturn)
{
    const auto unlisted = unlistedUpstream(3, now);
    setUpstreams({ unlisted });
    const FlowTag tag = flowTagOf(UpstreamId { 3 }, Incarnation { 1 });
    now += TaggedRouterSettings {}.unlistedTimeout - 400ms;
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    now += 399ms;
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
}

// An upstream that loses its record and goes on serving must keep a flow that pauses longer than records take to
// return.
TEST_F(TaggedRouterTest, KeepsPausedFlowsOfAnUnlistedUpstream)
{
    auto serving = upstream(3, ledger, home);
    setUpstreams({ serving });
    const FlowPacket opening = syn(1, 1);
    const FlowTag tag = route(opening)->tag;
    EXPECT_TRUE(route(data(opening, tag, 0, 1)));
    FlowPacket answered = data(opening, tag, 100, 500);
    answered.dataBytes = 0;
    EXPECT_TRUE(route(answered));
    serving.listing = Listing::Gone;
    serving.vanishedAt = now;
    setUpstreams({ serving });
    now += 10s;
    EXPECT_TRUE(route(data(opening, tag, 100, 500)));
    now += 50ms;
    answered = data(opening, tag, 200, 1000);
    answered.dataBytes = 0;
    EXPECT_TRUE(route(answered));
    now += 1s;
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
}

// Flows of an upstream that is alive but doesn't reach the directory must not be reset, nor any flow while this VM's
// view is stale.
TEST_F(TaggedRouterTest, KeepsFlowsOfUnlistedUpstreamsWithProgress)
{
    const auto unlisted = unlistedUpstream(3, now);
    setUpstreams({ unlisted });
    const FlowTag tag = flowTagOf(UpstreamId { 3 }, Incarnation { 1 });
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    now += 3s;
    EXPECT_TRUE(route(data(syn(1, 1), tag, 100, 50)));
    now += 2s;
    EXPECT_TRUE(route(data(syn(1, 2), tag, 0, 1)));
    now += 3s;
    EXPECT_TRUE(forwarded(router.route(data(syn(1, 3), tag, 0, 1), {}, now)));
}

// A flow that opened at a restarted upstream before its record was read has the tag of the earlier incarnation. It must
// reach the upstream, and must not be reset because the earlier incarnation has ended.
TEST_F(TaggedRouterTest, ForwardsFlowsOfEarlierIncarnationsToARestartedUpstream)
{
    auto earlier = upstream(3, ledger, home, 1);
    earlier.listing = Listing::Gone;
    earlier.vanishedAt = now;
    setUpstreams({ earlier, upstream(3, ledger, home, 2) });
    const FlowTag first = flowTagOf(UpstreamId { 3 }, Incarnation { 1 });
    const FlowTag second = flowTagOf(UpstreamId { 3 }, Incarnation { 2 });
    EXPECT_EQ(route(syn(1, 1))->tag, second);
    now += 6s;
    const auto later = route(data(syn(1, 2), first, 0, 1));
    ASSERT_TRUE(later);
    EXPECT_EQ(later->upstream, UpstreamId { 3 });
    EXPECT_EQ(later->tag, second) << "the upstream returns this tag to the caller";
}

// A restarted upstream that ends is gone with both tags.
TEST_F(TaggedRouterTest, ResetsFlowsOfAnUpstreamThatEndedAfterARestart)
{
    auto earlier = upstream(3, ledger, home, 1);
    auto later = upstream(3, ledger, home, 2);
    for (DirectoryUpstream *status : { &earlier, &later }) {
        status->listing = Listing::Gone;
        status->vanishedAt = now;
    }
    setUpstreams({ earlier, later });
    now += TaggedRouterSettings {}.unlistedTimeout;
    const auto packetOf = [](std::uint16_t incarnation) {
        return data(syn(1, incarnation), flowTagOf(UpstreamId { 3 }, Incarnation { incarnation }), 0, 1);
    };
    for (const std::uint16_t incarnation : std::vector<std::uint16_t> { 1, 2 }) {
        EXPECT_TRUE(route(packetOf(incarnation)));
    }
    now += PassiveHealthSettings {}.minAnswerTimeout;
    for (const std::uint16_t incarnation : std::vector<std::uint16_t> { 1, 2 }) {
        const auto decision = router.route(packetOf(incarnation), { .viewIsFresh = true }, now);
        EXPECT_TRUE(std::holds_alternative<ResetFlow>(decision));
    }
}

// The address of a crashed upstream is given to another one while the old record is still listed. The address then
// answers checks, but packets for the old upstream are ignored there.
TEST_F(TaggedRouterTest, ResetsFlowsOfAnUpstreamWhoseAddressIsUsedAgain)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowTag tag = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    auto successor = upstream(9, inspection, home, 7);
    successor.upstream.tunnelEndpoint = upstream(1, ledger, home).upstream.tunnelEndpoint;
    successor.knownSince = now;
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home), successor });
    EXPECT_TRUE(router.takeSilentFlows(now).empty()) << "the request may be answered";
    EXPECT_TRUE(route(data(syn(1, 2), tag, 0, 1)));
    now += PassiveHealthSettings {}.minAnswerTimeout;
    for (const std::uint16_t port : std::vector<std::uint16_t> { 1, 2 }) {
        const auto decision = router.route(data(syn(1, port), tag, 0, 1), { .viewIsFresh = true }, now);
        ASSERT_TRUE(std::holds_alternative<ResetFlow>(decision));
        EXPECT_EQ(std::get<ResetFlow>(decision).reason, TaggedRefusal::EndedUpstream);
    }
    for (std::uint16_t port = 10; port < 40; ++port) {
        EXPECT_EQ(route(syn(1, port))->upstream, UpstreamId { 2 });
    }
}

// A record at the address of an upstream that still makes progress is wrong, and must not end its flows.
TEST_F(TaggedRouterTest, KeepsFlowsOfAnUpstreamThatProgressesDespiteARecordAtItsAddress)
{
    setUpstreams({ upstream(1, ledger, home) });
    const FlowPacket opening = syn(1, 1);
    const FlowTag tag = route(opening)->tag;
    EXPECT_TRUE(route(data(opening, tag, 0, 1)));
    now += 1s;
    auto other = upstream(9, inspection, home, 7);
    other.upstream.tunnelEndpoint = upstream(1, ledger, home).upstream.tunnelEndpoint;
    other.knownSince = now;
    setUpstreams({ upstream(1, ledger, home), other });
    now += 10ms;
    FlowPacket progress = data(opening, tag, 100, 500);
    progress.dataBytes = 0;
    EXPECT_TRUE(route(progress));
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
    EXPECT_TRUE(route(data(opening, tag, 100, 500)));
}

// A record that is written late, or by another writer, may name the address of an upstream that serves. It must neither
// end flows of the upstream that pause, nor keep new ones from it once it answers.
TEST_F(TaggedRouterTest, KeepsAnUpstreamInUseDespiteALaterRecordAtItsAddress)
{
    setUpstreams({ upstream(1, ledger, home) });
    const FlowPacket opening = syn(1, 1);
    const FlowTag tag = route(opening)->tag;
    EXPECT_TRUE(route(data(opening, tag, 0, 1)));
    FlowPacket answered = data(opening, tag, 100, 500);
    answered.dataBytes = 0;
    EXPECT_TRUE(route(answered));
    now += 3s;
    auto other = upstream(9, ledger, home, 7);
    other.upstream.tunnelEndpoint = upstream(1, ledger, home).upstream.tunnelEndpoint;
    other.knownSince = now;
    setUpstreams({ upstream(1, ledger, home), other });
    now += 3s;
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
    EXPECT_TRUE(route(data(opening, tag, 100, 500)));
    now += 50ms;
    answered = data(opening, tag, 200, 1000);
    answered.dataBytes = 0;
    EXPECT_TRUE(route(answered));
    for (std::uint16_t port = 10; port < 40; ++port) {
        EXPECT_EQ(route(syn(1, port))->upstream, UpstreamId { 1 });
    }
}

// A restart under the same id keeps the address; the host itself ends flows of its former incarnation.
TEST_F(TaggedRouterTest, KeepsFlowsOfARestartedUpstream)
{
    auto earlier = upstream(1, ledger, home, 1);
    auto restarted = upstream(1, ledger, home, 2);
    restarted.knownSince = now;
    setUpstreams({ earlier, restarted });
    EXPECT_TRUE(route(data(syn(1, 1), flowTagOf(UpstreamId { 1 }, Incarnation { 1 }), 0, 1)));
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
}

} // namespace
} // namespace boragelug
