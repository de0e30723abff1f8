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

// An upstream whose record vanished may still be alive; a reset would break its flows.
TEST_F(TaggedRouterTest, ForwardsFlowsOfUnlistedUpstreams)
{
    auto unlisted = upstream(3, ledger, home);
    unlisted.listing = Listing::Gone;
    unlisted.vanishedAt = now;
    setUpstreams({ unlisted });
    const FlowTag tag = flowTagOf(UpstreamId { 3 }, Incarnation { 1 });
    EXPECT_EQ(route(data(syn(1, 1), tag, 0, 1))->upstream, UpstreamId { 3 });
    now += TaggedRouterSettings {}.unlistedTimeout - 1ms;
    EXPECT_EQ(route(data(syn(1, 2), tag, 0, 1))->upstream, UpstreamId { 3 });
}

// Without a reset, a request on a flow whose upstream has exited waits until it is too late to retry.
TEST_F(TaggedRouterTest, ResetsOverdueRequestsOfExitedUpstreams)
{
    auto unlisted = upstream(3, ledger, home);
    unlisted.listing = Listing::Gone;
    unlisted.vanishedAt = now;
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
    auto unlisted = upstream(3, ledger, home);
    unlisted.listing = Listing::Gone;
    unlisted.vanishedAt = now;
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
    auto unlisted = upstream(3, ledger, home);
    unlisted.listing = Listing::Gone;
    unlisted.vanishedAt = now;
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
    auto unlisted = upstream(3, ledger, home);
    unlisted.listing = Listing::Gone;
    unlisted.vanishedAt = now;
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

/// Flows at an upstream that has fallen silent, and another upstream of the zone that continues to answer.
class SilentUpstreamTest : public TaggedRouterTest
{
protected:
    SilentUpstreamTest()
    {
        setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home), upstream(3, inspection, home) });
        for (std::uint16_t port = 1; port <= 2; ++port) {
            route(data(syn(1, port), tagOf(1), 0, 1));
        }
        now += 200ms;
        for (std::uint16_t port = 1; port <= 2; ++port) {
            route(data(syn(1, port), tagOf(1), 0, 1));
        }
    }

    static FlowTag tagOf(std::uint64_t id) { return flowTagOf(UpstreamId { id }, Incarnation { 1 }); }

    /// The flow at the other upstream gets an answer.
    void otherUpstreamProgresses()
    {
        acknowledged += 100;
        route(data(syn(9, 9), tagOf(2), acknowledged, acknowledged));
    }

    void answerChecks(bool answered)
    {
        now += 160ms;
        for (const UpstreamCheck &check : router.takeChecks()) {
            ++checks;
            router.recordCheckResult(check, answered, now);
        }
    }

    bool isReset(const FlowPacket &packet)
    {
        return std::holds_alternative<ResetFlow>(router.route(packet, { .viewIsFresh = true }, now));
    }

    std::uint32_t acknowledged = 1;
    int checks = 0;
};

// Callers of an upstream that crashed silently must be reset at once, so that they retry at another one.
TEST_F(SilentUpstreamTest, ResetsIdempotentRequestsOnceAllEvidenceAgrees)
{
    otherUpstreamProgresses();
    answerChecks(false);
    EXPECT_EQ(checks, 1);
    otherUpstreamProgresses();
    EXPECT_TRUE(isReset(data(syn(1, 1), tagOf(1), 0, 1)));
    EXPECT_TRUE(isReset(data(syn(1, 7), tagOf(1), 0, 1))) << "a flow that this VM sees for the first time";
}

// In a large fleet a VM has one flow at an upstream: a single unanswered packet must suffice for the active check, or
// the caller waits until its timeout.
TEST_F(TaggedRouterTest, ChecksAnUpstreamAfterOneUnansweredPacket)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowTag tag = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    route(data(syn(1, 1), tag, 0, 1));
    EXPECT_TRUE(router.takeChecks().empty());
    now += 200ms;
    route(data(syn(1, 1), tag, 0, 1));
    ASSERT_EQ(router.takeChecks().size(), 1U);
}

/// An upstream that crashed leaves one packet unanswered at each of many VMs; a slow service does so all the time.
class EarlyCheckTest : public TaggedRouterTest
{
protected:
    static constexpr std::uint64_t upstreams = 40;

    EarlyCheckTest()
    {
        std::vector<DirectoryUpstream> listed;
        for (std::uint64_t id = 1; id <= upstreams; ++id) {
            listed.push_back(upstream(id, ledger, home));
        }
        router.applyView(view(std::move(listed)), now);
    }

    /// One packet at each upstream stays unanswered; returns the number of checks that follow, with the given result.
    std::size_t leaveUnanswered(bool alive)
    {
        ++round_;
        std::size_t checks = 0;
        for (std::uint64_t id = 1; id <= upstreams; ++id) {
            const auto caller = static_cast<std::uint32_t>(id);
            const FlowPacket packet = data(syn(caller, round_), flowTagOf(UpstreamId { id }, Incarnation { 1 }), 0, 1);
            route(packet);
            now += 200ms;
            route(packet);
            for (const UpstreamCheck &check : router.takeChecks()) {
                ++checks;
                router.recordCheckResult(check, alive, now);
            }
            FlowPacket answered = packet;
            answered.dataBytes = 0;
            answered.acknowledged = 500;
            if (alive) {
                route(answered);
            }
        }
        return checks;
    }

private:
    std::uint16_t round_ = 0;
};

// A service whose requests take longer than the retransmission timeout must not get two connections for each of them.
TEST_F(EarlyCheckTest, LimitsChecksOfUpstreamsThatAnswerLate)
{
    const PassiveHealthSettings health;
    const TimePoint start = now;
    const std::size_t checks = leaveUnanswered(true) + leaveUnanswered(true);
    const double seconds = std::chrono::duration<double>(now - start).count();
    EXPECT_LE(checks, health.falseAlarmBurst + health.falseAlarmsPerSecond * seconds + 1);
    EXPECT_GE(checks, 1U);
}

// A crash of many upstreams at once must be detected as fast as that of one.
TEST_F(EarlyCheckTest, ChecksAllUpstreamsThatCrashed)
{
    EXPECT_EQ(leaveUnanswered(false), upstreams);
}

// Callers of an upstream that crashed must be told as soon as that is known. With the reset of their next packet only,
// they lose up to 1.6 s until they retransmit.
TEST_F(SilentUpstreamTest, ResetsItsFlowsWithoutAPacketOfTheCaller)
{
    route(data(syn(1, 3), tagOf(1), 0, 1));
    route(data(syn(1, 4, inspectionEntry), tagOf(3), 0, 1));
    otherUpstreamProgresses();
    answerChecks(false);
    EXPECT_TRUE(router.takeSilentFlows(now).empty()) << "no progress of another upstream since the check";
    otherUpstreamProgresses();
    std::set<std::uint16_t> ports;
    for (const SilentFlow &flow : router.takeSilentFlows(now)) {
        EXPECT_EQ(flow.upstream, UpstreamId { 1 });
        EXPECT_EQ(flow.head.entry, ledgerEntry);
        EXPECT_EQ(flow.head.acknowledged, 1U);
        ports.insert(flow.head.caller.port.value);
    }
    EXPECT_EQ(ports, (std::set<std::uint16_t> { 1, 2, 3 }));
    EXPECT_TRUE(router.takeSilentFlows(now).empty()) << "reset twice";
}

// An upstream that acknowledged a request and then crashed leaves its caller without a reason to retransmit: the VM
// must notice by itself that no answer comes. Requests that aren't idempotent can't be repeated, so that nothing is
// checked.
TEST_F(TaggedRouterTest, ChecksTheUpstreamOfAStalledRequest)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, inspection, home) });
    route(data(syn(1, 1), flowTagOf(UpstreamId { 1 }, Incarnation { 1 }), 0, 1));
    route(data(syn(1, 2, inspectionEntry), flowTagOf(UpstreamId { 2 }, Incarnation { 1 }), 0, 1));
    now += TaggedRouterSettings {}.stalledRequestTimeout - 1ms;
    router.tick(now);
    EXPECT_TRUE(router.takeChecks().empty());
    now += 500ms;
    router.tick(now);
    const auto checks = router.takeChecks();
    ASSERT_EQ(checks.size(), 1U);
    EXPECT_EQ(checks.front().upstream, UpstreamId { 1 });
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

// Flows of an upstream that answers again, and requests that aren't idempotent, must not be reset.
TEST_F(SilentUpstreamTest, ResetsNoFlowOfALiveUpstreamOrOfAnotherEntry)
{
    otherUpstreamProgresses();
    answerChecks(false);
    route(data(syn(1, 2), tagOf(1), 100, 500));
    otherUpstreamProgresses();
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
    now += 3s;
    otherUpstreamProgresses();
    EXPECT_TRUE(router.takeSilentFlows(now).empty()) << "the check's result has expired";
}

// Flows of a live upstream must not be reset. Without a failed active check, unanswered packets are not enough
// evidence.
TEST_F(SilentUpstreamTest, WithholdsTheResetWithoutAFailedCheck)
{
    otherUpstreamProgresses();
    EXPECT_FALSE(isReset(data(syn(1, 1), tagOf(1), 0, 1))) << "no check yet";
    answerChecks(true);
    otherUpstreamProgresses();
    EXPECT_FALSE(isReset(data(syn(1, 1), tagOf(1), 0, 1))) << "something answers at the address";
}

// If no other upstream of the zone makes progress either, the network path to the zone may be cut off: no reset.
TEST_F(SilentUpstreamTest, WithholdsTheResetWhenTheZoneIsSilent)
{
    answerChecks(false);
    EXPECT_FALSE(isReset(data(syn(1, 1), tagOf(1), 0, 1)));
    otherUpstreamProgresses();
    otherUpstreamProgresses();
    now += 500ms;
    EXPECT_FALSE(isReset(data(syn(1, 1), tagOf(1), 0, 1))) << "the progress of the other upstream is too old";
}

// An upstream that ignores the connections of checks, but answers its callers, must keep its flows.
TEST_F(TaggedRouterTest, KeepsFlowsOfAnUpstreamThatIgnoresChecks)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowTag tag = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    std::uint16_t port = 10;
    while (route(syn(1, port))->upstream != UpstreamId { 1 }) {
        ++port;
    }
    now += 50ms;
    router.tick(now);
    ASSERT_GE(checkUpstreams(false), 1U) << "the upstream is slow to open a flow";
    now += 10ms;
    for (const std::uint32_t acknowledged : { 1U, 100U }) {
        route(data(syn(9, 9), flowTagOf(UpstreamId { 2 }, Incarnation { 1 }), acknowledged, acknowledged));
    }
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
    EXPECT_TRUE(route(data(syn(1, 2), tag, 0, 1)));
}

// A flow that moved to another VM with a request in progress seems to wait here. An upstream that serves, but ignores
// the check that follows, must keep this flow and others.
TEST_F(TaggedRouterTest, KeepsFlowsOfAnUpstreamThatIgnoresChecksAfterAFlowMovedAway)
{
    setUpstreams({ upstream(1, ledger, home), upstream(2, ledger, home) });
    const FlowTag tag = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    EXPECT_TRUE(route(data(syn(1, 1), tag, 0, 1)));
    now += TaggedRouterSettings {}.stalledRequestTimeout;
    router.tick(now);
    ASSERT_EQ(checkUpstreams(false), 1U);
    now += 10ms;
    for (const std::uint32_t acknowledged : { 1U, 100U }) {
        route(data(syn(9, 9), flowTagOf(UpstreamId { 2 }, Incarnation { 1 }), acknowledged, acknowledged));
    }
    EXPECT_TRUE(router.takeSilentFlows(now).empty());
    EXPECT_TRUE(route(data(syn(1, 2), tag, 0, 1)));
}

// An upstream that answered a flow while it was checked must not be treated as silent.
TEST_F(SilentUpstreamTest, WithholdsTheResetAfterProgress)
{
    route(data(syn(1, 2), tagOf(1), 100, 500));
    otherUpstreamProgresses();
    answerChecks(false);
    otherUpstreamProgresses();
    EXPECT_FALSE(isReset(data(syn(1, 1), tagOf(1), 0, 1)));
}

// No reset for requests that are not idempotent, for other upstreams, for pure acknowledgements and with a stale view.
TEST_F(SilentUpstreamTest, ResetsNothingElse)
{
    otherUpstreamProgresses();
    answerChecks(false);
    otherUpstreamProgresses();
    EXPECT_FALSE(isReset(data(syn(1, 20), tagOf(2), 0, 1)));
    EXPECT_FALSE(isReset(data(syn(1, 21, inspectionEntry), tagOf(3), 0, 1)));
    FlowPacket acknowledgement = data(syn(1, 1), tagOf(1), 0, 1);
    acknowledgement.dataBytes = 0;
    EXPECT_FALSE(isReset(acknowledgement));
    const auto withStaleView = router.route(data(syn(1, 1), tagOf(1), 0, 1), {}, now);
    EXPECT_FALSE(std::holds_alternative<ResetFlow>(withStaleView));
}

// Checks have a cost, so that their rate is limited; their result expires, so that upstreams can recover.
TEST_F(SilentUpstreamTest, ChecksAtMostOnceASecondAndExpiresTheResult)
{
    otherUpstreamProgresses();
    answerChecks(false);
    for (std::uint16_t port = 30; port < 60; ++port) {
        route(data(syn(1, port), tagOf(1), 0, 1));
        route(data(syn(1, port), tagOf(1), 0, 1));
    }
    EXPECT_TRUE(router.takeChecks().empty());
    now += 3s;
    otherUpstreamProgresses();
    EXPECT_FALSE(isReset(data(syn(1, 1), tagOf(1), 0, 1)));
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
