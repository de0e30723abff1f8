#include "node/tagged_node.h"
#include "routing/flow_tag.h"

#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t upstreams = 4;
const Endpoint relayEndpoint { .address = { 1 }, .port = { 80 } };

FlowTag tagOf(std::uint64_t id)
{
    return flowTagOf(UpstreamId { id }, Incarnation { 1 });
}

DirectoryChanges records()
{
    CatalogueRecord catalogue;
    catalogue.version = CatalogueVersion { 1 };
    catalogue.entries = { { .name = EntryName { "ledger" },
                            .address = { .address = { 100 }, .port = { 443 } },
                            .services = { { .service = "ledger", .weight = 1 } } } };
    DirectoryChanges all { .items = { { .key = "catalogue", .revision = { 1 }, .content = catalogue } },
                           .asOf = { 9 } };
    for (std::uint32_t id = 1; id <= upstreams; ++id) {
        UpstreamRecord upstream;
        upstream.id = UpstreamId { id };
        upstream.incarnation = Incarnation { 1 };
        upstream.service = "ledger";
        upstream.zone = "kgd-north";
        upstream.address = { .address = { 0x0a000000 + id }, .port = { 8080 } };
        all.items.push_back({ .key = "hosts/" + std::to_string(id), .revision = { 1 + id }, .content = upstream });
    }
    return all;
}

/// A relay and one of its followers; a second one only reports.
class SpeedExchangeTest : public ::testing::Test
{
protected:
    SpeedExchangeTest()
        : relay(settings(relayEndpoint))
        , follower(settings({ .address = { 2 }, .port = { 80 } }))
    {
        for (TaggedNode *node : { &relay, &follower }) {
            node->nextCall(now);
            const auto call = node->nextStartCall(now);
            EXPECT_TRUE(call);
            node->handleStartAnswer({ .callId = call->id, .result = records() }, now);
            EXPECT_TRUE(node->isReady());
        }
    }

    static TaggedNodeSettings settings(const Endpoint &self)
    {
        TaggedNodeSettings settings;
        settings.mirror.zone = "kgd-north";
        settings.reader.follow.relays = { relayEndpoint, { .address = { 3 }, .port = { 80 } } };
        settings.reader.follow.self = self;
        settings.routing.speeds.enabled = true;
        return settings;
    }

    /// What a follower tells the relay: the last upstream answers five times as slowly as the others.
    void report()
    {
        FollowRequest request {
            .after = { 9 }, .catalogue = { 1 }, .wait = 0ms, .listening = { { 7 }, { 80 } }, .zone = {}
        };
        for (std::uint32_t id = 1; id <= upstreams; ++id) {
            request.speeds.push_back({ tagOf(id), 5, id == upstreams ? 25.0 : 5.0 });
        }
        relay.handleFollower(FollowerId { 1 }, request, now);
        relay.takeRelayAnswers(now);
    }

    /// One call of the follower to the relay; nothing if it doesn't follow the relay now.
    std::optional<DirectoryCall> follow()
    {
        now += 500ms;
        if (const auto watch = relay.nextCall(now)) {
            DirectoryChanges unchanged;
            unchanged.asOf = { 9 };
            relay.handleDirectoryAnswer({ .callId = watch->id, .result = unchanged }, now);
        }
        auto call = follower.nextCall(now);
        if (!call || call->kind != DirectoryCall::Kind::Follow) {
            return std::nullopt;
        }
        FollowRequest request {
            .after = call->after, .catalogue = { 1 }, .wait = 0ms, .listening = { { 2 }, { 80 } }, .zone = {}
        };
        relay.handleFollower(FollowerId { 2 }, request, now);
        const auto answers = relay.takeRelayAnswers(now);
        EXPECT_EQ(answers.size(), 1U);
        follower.handleDirectoryAnswer({ .callId = call->id, .result = answers.front().changes }, now);
        lists += answers.front().changes.slowUpstreams ? 1 : 0;
        return call;
    }

    TimePoint now { 100s };
    TaggedNode relay;
    TaggedNode follower;
    /// Answers to the follower that contained a list.
    int lists = 0;
};

// Guards VMs that see few answers: what one follower observed must reach the others through the relay.
TEST_F(SpeedExchangeTest, FollowersLearnFromEachOther)
{
    report();
    ASSERT_TRUE(follow());
    EXPECT_EQ(follower.router().speeds().slowCount(now), 1U);
    bool isReported = false;
    for (const NodeEvent &event : follower.tick(now)) {
        isReported = isReported || event.number == EventNumber::UpstreamSlow;
    }
    EXPECT_TRUE(isReported);
}

// Guards the bytes between VMs, and a follower whose copy would expire between two refreshes: with few lists it knows
// the slow upstream as long as the relay does.
TEST_F(SpeedExchangeTest, KeepsAnUnchangedList)
{
    int answers = 0;
    for (; answers < 20; ++answers) {
        report();
        ASSERT_TRUE(follow());
        EXPECT_EQ(follower.router().speeds().slowCount(now), 1U);
    }
    EXPECT_LT(lists, answers);
    EXPECT_GE(lists, answers / 3);
}

// Guards upstreams that are fast again: the follower must not avoid them until its copy of the list expires.
TEST_F(SpeedExchangeTest, ClearsTheListOfAFollower)
{
    report();
    ASSERT_TRUE(follow());
    EXPECT_EQ(follower.router().speeds().slowCount(now), 1U);
    while (relay.router().speeds().slowCount(now) > 0) {
        ASSERT_TRUE(follow());
        ASSERT_LT(now, TimePoint { 130s });
    }
    EXPECT_EQ(follower.router().speeds().slowCount(now), 0U);
}

// Guards against a list that outlives its relay: upstreams must not be avoided for what was true before its loss.
TEST_F(SpeedExchangeTest, ForgetsTheListOfALostRelay)
{
    report();
    ASSERT_TRUE(follow());
    now += 500ms;
    const auto call = follower.nextCall(now);
    ASSERT_TRUE(call);
    follower.handleDirectoryAnswer(
        { .callId = call->id, .result = DirectoryFailure { DirectoryError::Unreachable, "refused" } }, now);
    EXPECT_EQ(follower.router().speeds().slowCount(now), 1U) << "a short loss changes nothing";
    now += SpeedSettings {}.listRetention;
    follower.tick(now);
    EXPECT_EQ(follower.router().speeds().slowCount(now), 0U);
}

} // namespace
} // namespace boragelug
