#include "tagged_fixture.h"

#include "routing/flow_tag.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace tagged;

TaggedRouterSettings seeded(std::uint64_t seed)
{
    TaggedRouterSettings settings;
    settings.seed = seed;
    return settings;
}

// Any VM must forward a packet with a flow tag to the same upstream, also after VMs join, leave or restart. Otherwise
// the flow breaks.
TEST_F(TaggedRouterTest, AnyVmForwardsAFlowToItsUpstream)
{
    std::vector<DirectoryUpstream> upstreams;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        upstreams.push_back(upstream(id, ledger, id % 2 == 0 ? home : away));
    }
    setUpstreams(upstreams);
    for (std::uint16_t port = 1; port <= 200; ++port) {
        const FlowPacket opening = syn(1, port);
        const auto placed = route(opening);
        ASSERT_TRUE(placed);
        TaggedRouter other(seeded(99));
        auto changed = upstreams;
        changed[placed->upstream.value - 1].upstream.state = UpstreamState::Draining;
        changed.push_back(upstream(7, ledger, home));
        other.applyView(view(changed), now);
        const auto later = forwarded(other.route(data(opening, placed->tag, 0, 1), { .viewIsFresh = true }, now));
        ASSERT_TRUE(later);
        EXPECT_EQ(later->upstream, placed->upstream);
    }
}

// A packet that carries a tag of one service on an entry of another service must not reach either of them.
TEST_F(TaggedRouterTest, RefusesTagsOfOtherServices)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, inspection, home) });
    const FlowTag foreign = flowTagOf(UpstreamId { 2 }, Incarnation { 1 });
    const auto decision = router.route(data(syn(1, 1), foreign, 0, 1), { .viewIsFresh = true }, now);
    ASSERT_TRUE(std::holds_alternative<DropPacket>(decision));
    EXPECT_EQ(std::get<DropPacket>(decision).reason, TaggedRefusal::ForeignTag);
}

// Draining and unlisted upstreams and those of other services must not get new flows.
TEST_F(TaggedRouterTest, PlacesOnlyAtActiveListedUpstreamsOfTheService)
{
    auto draining = upstream(2, ledger, home);
    draining.upstream.state = UpstreamState::Draining;
    auto unlisted = upstream(3, ledger, home);
    unlisted.listing = Listing::Gone;
    setUpstreams({ upstream(1, ledger, away), draining, unlisted, upstream(4, inspection, home) });
    for (std::uint16_t port = 1; port <= 100; ++port) {
        EXPECT_EQ(route(syn(1, port))->upstream, UpstreamId { 1 });
    }
}

// A VM that has not received a tag's upstream yet must not reset: another VM may have placed the flow at a new
// upstream.
TEST_F(TaggedRouterTest, DropsUnknownTags)
{
    setUpstreams({ upstream(1, ledger, home) });
    const auto decision = router.route(data(syn(1, 1), FlowTag { 77 }, 0, 1), { .viewIsFresh = true }, now);
    ASSERT_TRUE(std::holds_alternative<DropPacket>(decision));
    EXPECT_EQ(std::get<DropPacket>(decision).reason, TaggedRefusal::UnknownTag);
}

// Placement must prefer other upstreams until all VMs should have received the record of a new one: a VM without it
// drops packets of its flows.
TEST_F(TaggedRouterTest, PrefersOtherUpstreamsUntilPropagation)
{
    auto newUpstream = upstream(2, ledger, home);
    newUpstream.knownSince = now;
    setUpstreams({ upstream(1, ledger, home), newUpstream });
    for (std::uint16_t port = 1; port <= 3; ++port) {
        EXPECT_EQ(route(syn(1, port))->upstream, UpstreamId { 1 });
    }
    now += TaggedRouterSettings {}.propagationDelay;
    std::set<std::uint64_t> used;
    for (std::uint16_t port = 10; port < 20; ++port) {
        used.insert(route(syn(1, port))->upstream.value);
    }
    EXPECT_TRUE(used.contains(2));
}

// A caller uses its port again, and another VM places the new flow: this VM's record of the earlier flow must not
// decide where its packets go.
TEST_F(TaggedRouterTest, FollowsTheTagOfANewFlowOnTheSamePort)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowTag firstTag = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    const FlowTag secondTag = flowTagOf(UpstreamId { 2 }, Incarnation { 1 });
    EXPECT_EQ(route(data(syn(1, 1), firstTag, 0, 1))->upstream, UpstreamId { 1 });
    FlowPacket opening = syn(1, 1);
    opening.sequence += 0x40000000;
    EXPECT_EQ(route(data(opening, secondTag, 0, 0x70000000))->upstream, UpstreamId { 2 });
}

// An upstream that has exited can't hold the flow that its record names.
TEST_F(TaggedRouterTest, FollowsTheTagOfALivingUpstream)
{
    auto gone = upstream(1, ledger, home);
    setUpstreams({ gone, upstream(2, ledger, home) });
    const FlowTag firstTag = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    EXPECT_EQ(route(data(syn(1, 1), firstTag, 0, 1))->upstream, UpstreamId { 1 });
    setUpstreams({ upstream(2, ledger, home) });
    const FlowTag secondTag = flowTagOf(UpstreamId { 2 }, Incarnation { 1 });
    EXPECT_EQ(route(data(syn(1, 1), secondTag, 100, 1))->upstream, UpstreamId { 2 });
}

// With a stale view, a SYN to an unknown entry is dropped, not reset: the VM may not have received the entry yet.
TEST_F(TaggedRouterTest, ResetsUnknownEntriesOnlyWithAFreshView)
{
    setUpstreams({ upstream(1, ledger, home) });
    const FlowPacket unknown = syn(1, 1, endpoint(0xc6120009, 80));
    EXPECT_TRUE(std::holds_alternative<ResetFlow>(router.route(unknown, { .viewIsFresh = true }, now)));
    EXPECT_TRUE(std::holds_alternative<DropPacket>(router.route(unknown, {}, now)));
}

// Silent crash: two flows without an answer must eject an upstream from placement, until one of its flows makes
// progress again.
TEST_F(TaggedRouterTest, EjectsSilentUpstreamsUntilProgress)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowTag silent = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    for (std::uint16_t port = 1; port <= 2; ++port) {
        const FlowPacket request = data(syn(1, port), silent, 0, 1);
        route(request);
        now += 200ms;
        route(request);
    }
    for (std::uint16_t port = 10; port < 60; ++port) {
        EXPECT_EQ(route(syn(2, port))->upstream, UpstreamId { 2 });
    }
    route(data(syn(1, 1), silent, 100, 2000));
    now += 3s;
    std::set<std::uint64_t> used;
    for (std::uint16_t port = 100; port < 200; ++port) {
        used.insert(route(syn(3, port))->upstream.value);
    }
    EXPECT_TRUE(used.contains(1));
}

// After a restart of all VMs, a VM without flow records must count the load of upstreams from the flows that it sees.
TEST_F(TaggedRouterTest, CountsLoadOfFlowsPlacedByEarlierVms)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowTag busy = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    for (std::uint16_t port = 1; port <= 5; ++port) {
        route(data(syn(1, port), busy, 0, 1));
    }
    for (std::uint16_t port = 10; port < 14; ++port) {
        EXPECT_EQ(route(syn(2, port))->upstream, UpstreamId { 2 });
    }
}

// Flows beyond the limit of flow records are routed like all others.
TEST(TaggedRouterBounds, RoutesFlowsWithoutRecord)
{
    TaggedRouterSettings settings;
    settings.maxTrackedFlows = 10;
    TaggedRouter router(settings);
    TimePoint now { 100s };
    router.applyView(view({ upstream(1, ledger, home) }), now);
    for (std::uint16_t port = 1; port <= 100; ++port) {
        ASSERT_TRUE(forwarded(router.route(syn(1, port), { .viewIsFresh = true }, now)));
    }
    EXPECT_EQ(router.trackedFlows(), 10U);
    now += 3s;
    router.tick(now);
    EXPECT_EQ(router.trackedFlows(), 0U);
    EXPECT_TRUE(router.usage().empty());
}

// If two upstreams share a tag, all packets with it go to the earlier one, so that only this one may take new flows.
TEST(TaggedRouterCollision, KeepsFlowsOfTheEarlierUpstream)
{
    // Searches for two ids with the same tag. If the hash changes and no pair is found, the test fails.
    std::map<std::uint32_t, std::uint64_t> seen;
    std::uint64_t first = 0;
    std::uint64_t second = 0;
    for (std::uint64_t id = 1; second == 0 && id < 1'000'000; ++id) {
        const FlowTag tag = flowTagOf(UpstreamId { id }, Incarnation { 1 });
        const auto [found, added] = seen.try_emplace(tag.value, id);
        if (!added) {
            first = found->second;
            second = id;
        }
    }
    ASSERT_NE(second, 0U) << "no two ids share a tag";
    TaggedRouter router(TaggedRouterSettings {});
    const TimePoint now { 100s };
    router.applyView(view({ upstream(second, ledger, home), upstream(first, ledger, home) }), now);
    for (std::uint16_t port = 1; port <= 50; ++port) {
        const auto placed = forwarded(router.route(syn(1, port), { .viewIsFresh = true }, now));
        EXPECT_EQ(placed->upstream, UpstreamId { first });
        EXPECT_EQ(
            forwarded(router.route(data(syn(1, port), placed->tag, 0, 1), { .viewIsFresh = true }, now))->upstream,
            placed->upstream);
    }
}

// Under random changes of upstreams and VMs, a flow never leaves its live upstream, and no packet reaches an upstream
// of another service.
TEST(TaggedRouterProperty, FlowsStayAtLiveUpstreamsOfTheirService)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Random random(seed);
        TimePoint now { 100s };
        std::map<std::uint64_t, DirectoryUpstream> live;
        std::uint64_t nextId = 1;
        const auto addUpstream = [&] {
            const ServiceId service = random.chance(0.7) ? ledger : inspection;
            live[nextId] = upstream(nextId, service, random.chance(0.5) ? home : away, 1 + random.below(1000));
            ++nextId;
        };
        for (int i = 0; i < 8; ++i) {
            addUpstream();
        }
        std::vector<std::unique_ptr<TaggedRouter>> vms;
        for (std::uint64_t vm = 0; vm < 4; ++vm) {
            vms.push_back(std::make_unique<TaggedRouter>(seeded(seed * 10 + vm)));
        }
        std::map<std::uint16_t, ForwardPacket> flows;
        for (std::uint16_t port = 1; port < 2000; ++port) {
            now += 5ms;
            if (random.chance(0.02)) {
                addUpstream();
            }
            if (random.chance(0.02) && live.size() > 4) {
                live.erase(std::next(live.begin(), static_cast<long>(random.below(live.size()))));
            }
            if (random.chance(0.05)) {
                *vms[random.below(vms.size())] = TaggedRouter(seeded(random.next()));
            }
            std::vector<DirectoryUpstream> listed;
            listed.reserve(live.size());
            for (const auto &[id, status] : live) {
                listed.push_back(status);
            }
            for (auto &vm : vms) {
                vm->applyView(view(listed), now);
            }
            const Endpoint entry = random.chance(0.5) ? ledgerEntry : inspectionEntry;
            const auto placed =
                forwarded(vms[random.below(vms.size())]->route(syn(1, port, entry), { .viewIsFresh = true }, now));
            if (placed) {
                const ServiceId wanted = entry == ledgerEntry ? ledger : inspection;
                ASSERT_EQ(live.at(placed->upstream.value).upstream.service, wanted);
                flows[port] = *placed;
            }
            const std::uint16_t earlier = static_cast<std::uint16_t>(1 + random.below(port));
            const auto flow = flows.find(earlier);
            if (flow == flows.end() || !live.contains(flow->second.upstream.value)) {
                continue;
            }
            const ServiceId service = live.at(flow->second.upstream.value).upstream.service;
            const FlowPacket opening = syn(1, earlier, service == ledger ? ledgerEntry : inspectionEntry);
            const auto later = forwarded(vms[random.below(vms.size())]->route(
                data(opening, flow->second.tag, 0, 1), { .viewIsFresh = random.chance(0.5) }, now));
            ASSERT_TRUE(later);
            ASSERT_EQ(later->upstream, flow->second.upstream);
        }
    }
}

} // namespace
} // namespace boragelug
