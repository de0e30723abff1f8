#include "tagged_fixture.h"

#include "routing/flow_tag.h"

#include <set>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace tagged;

// A SYN whose upstream is only slow must not go to another one: both would answer, and the caller would use the tag of
// the later answer.
TEST_F(TaggedRouterTest, RepeatsASynAtAnUpstreamThatAnswersLate)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home), upstream(3, ledger, home) });
    const auto first = route(syn(1, 1));
    for (const std::uint32_t copy : { 1U, 2U }) {
        now += copy * 200ms;
        EXPECT_EQ(route(synCopy(syn(1, 1), copy))->upstream, first->upstream);
        checkUpstreams(true);
    }
}

// A SYN whose upstream loses its record, or whose address another record names, must not go to another one: the first
// may answer late.
TEST_F(TaggedRouterTest, RepeatsASynAtAnUpstreamWhoseRecordIsMissingOrContested)
{
    setUpstreams({ upstream(1, ledger, home) });
    EXPECT_EQ(route(syn(1, 1))->upstream, UpstreamId { 1 });
    now += 100ms;
    auto rival = upstream(9, ledger, home, 7);
    rival.upstream.tunnelEndpoint = upstream(1, ledger, home).upstream.tunnelEndpoint;
    rival.knownSince = now;
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home), rival });
    checkUpstreams(true);
    now += 100ms;
    EXPECT_EQ(route(synCopy(syn(1, 1), 1))->upstream, UpstreamId { 1 });
    const auto unlisted = unlistedUpstream(1, now);
    setUpstreams({ unlisted, upstream(2, ledger, home) });
    now += 400ms;
    EXPECT_EQ(route(synCopy(syn(1, 1), 2))->upstream, UpstreamId { 1 });
}

// A SYN whose upstream was silent for a while must not go to another upstream, or both answer it in the end. Its caller
// must learn at once that it has to open another flow.
TEST_F(TaggedRouterTest, ResetsASynOfASilentUpstream)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home), upstream(3, ledger, home) });
    const auto first = route(syn(1, 1));
    now += 40ms;
    router.tick(now);
    now += 160ms;
    EXPECT_EQ(checkUpstreams(false), 1U);
    const auto decision = router.route(synCopy(syn(1, 1), 1), { .viewIsFresh = true }, now);
    ASSERT_TRUE(std::holds_alternative<ResetFlow>(decision));
    EXPECT_EQ(std::get<ResetFlow>(decision).reason, TaggedRefusal::SilentUpstream);
    EXPECT_EQ(std::get<ResetFlow>(decision).upstream, first->upstream);
    EXPECT_FALSE(route(synCopy(syn(1, 1), 2))) << "another VM's upstream could answer it too";
    for (std::uint16_t port = 10; port < 40; ++port) {
        EXPECT_NE(route(syn(1, port))->upstream, first->upstream);
    }
}

// Without another upstream, a reset would only make callers use up their attempts.
TEST_F(TaggedRouterTest, RepeatsASynAtASilentUpstreamWithoutAlternative)
{
    setUpstreams({ upstream(1, ledger, home) });
    route(syn(1, 1));
    now += 40ms;
    router.tick(now);
    now += 160ms;
    EXPECT_EQ(checkUpstreams(false), 1U);
    EXPECT_EQ(route(synCopy(syn(1, 1), 1))->upstream, UpstreamId { 1 });
}

// A copy of a SYN must not open a flow at a second upstream after the flow moved here from the VM that placed the first
// one.
TEST_F(TaggedRouterTest, PlacesNoCopyOfAnUnknownSyn)
{
    setUpstreams({ upstream(1, ledger, home) });
    for (const std::uint32_t copy : { 1U, 2U }) {
        const auto decision = router.route(synCopy(syn(1, 1), copy), { .viewIsFresh = true }, now);
        ASSERT_TRUE(std::holds_alternative<DropPacket>(decision));
        EXPECT_EQ(std::get<DropPacket>(decision).reason, TaggedRefusal::UnplacedCopy);
    }
}

// A copy of a SYN that the network delayed must not place an open flow again, even if another VM placed it.
TEST_F(TaggedRouterTest, PlacesNoOpenFlowAgain)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home), upstream(3, ledger, home) });
    const FlowTag tag = flowTagOf(UpstreamId { 2 }, Incarnation { 1 });
    route(data(syn(1, 1), tag, 0, 1));
    EXPECT_EQ(route(synCopy(syn(1, 1), 2))->upstream, UpstreamId { 2 });
    auto draining = upstream(2, ledger, home);
    draining.upstream.state = UpstreamState::Draining;
    setUpstreams({ upstream(1, ledger, home), draining, upstream(3, ledger, home) });
    EXPECT_EQ(route(synCopy(syn(1, 1), 2))->upstream, UpstreamId { 2 });
    EXPECT_EQ(route(data(syn(1, 1), tag, 100, 1))->upstream, UpstreamId { 2 });
}

// A VM that was suspended reads a SYN and its queued copies in quick succession. They must go to one upstream, or the
// flow would be opened at two.
TEST_F(TaggedRouterTest, SendsQueuedSynCopiesToOneUpstream)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home), upstream(3, ledger, home) });
    const auto first = route(syn(1, 1));
    now += 1ms;
    EXPECT_EQ(route(syn(1, 1))->upstream, first->upstream);
    now += 1ms;
    EXPECT_EQ(route(syn(1, 1))->upstream, first->upstream);
}

// If two upstreams answered the SYN of one flow, as through a VM of an earlier release, callers take over the tag of
// the later answer although they opened the flow at the first upstream. Packets with that tag must still reach the
// first one (soak seed 1026).
TEST_F(TaggedRouterTest, KeepsAnOpenFlowAtItsUpstreamWhenTheTagChanges)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowPacket opening = syn(1, 1);
    const auto first = route(opening);
    const UpstreamId second { 3 - first->upstream.value };
    const FlowTag secondTag = flowTagOf(second, Incarnation { 1 });
    EXPECT_EQ(route(data(opening, first->tag, 0, 1))->upstream, first->upstream);
    for (const std::uint32_t sent : { 0U, 100U, 5000U }) {
        const auto later = route(data(opening, secondTag, sent, 1 + 20 * sent));
        EXPECT_EQ(later->upstream, first->upstream);
        EXPECT_EQ(later->tag, first->tag) << "the upstream returns this tag to the caller";
    }
}

} // namespace
} // namespace boragelug
