#include "node/tagged_node.h"

#include "routing/flow_tag.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

const Endpoint entry { .address = { 0xc6120001 }, .port = { 443 } };

DirectoryItem catalogueItem(std::uint64_t version, Duration objective = {})
{
    CatalogueRecord record;
    record.version = CatalogueVersion { version };
    record.entries = { { .name = EntryName { "ledger" },
                         .address = entry,
                         .services = { { .service = "ledger", .weight = 1 } },
                         .idempotent = true,
                         .latencyObjective = objective } };
    return { .key = "catalogue", .revision = { version }, .content = record };
}

DirectoryItem hostItem(std::uint64_t id, std::uint64_t revision, UpstreamState state = UpstreamState::Active)
{
    UpstreamRecord record;
    record.id = UpstreamId { id };
    record.incarnation = Incarnation { 1 };
    record.service = "ledger";
    record.zone = "kgd-north";
    record.address = { .address = { static_cast<std::uint32_t>(0x0a000000 + id) }, .port = { 8080 } };
    record.state = state;
    return { .key = "hosts/" + std::to_string(id), .revision = { revision }, .content = record };
}

class TaggedNodeTest : public ::testing::Test
{
protected:
    TaggedNodeTest()
        : node(settings())
    { }

    static TaggedNodeSettings settings()
    {
        TaggedNodeSettings settings;
        settings.mirror.zone = "kgd-north";
        return settings;
    }

    void answer(decltype(DirectoryAnswer::result) result)
    {
        const auto call = node.nextCall(now);
        ASSERT_TRUE(call);
        note(node.handleDirectoryAnswer({ .callId = call->id, .result = std::move(result) }, now));
    }

    void becomeReady()
    {
        answer(DirectoryPage { .items = { catalogueItem(1), hostItem(1, 2), hostItem(2, 3) },
                               .more = false,
                               .lastKey = {},
                               .asOf = { 3 } });
    }

    void note(const std::vector<NodeEvent> &more) { events.insert(events.end(), more.begin(), more.end()); }

    bool told(EventNumber number) const
    {
        return std::any_of(events.begin(), events.end(), [&](const auto &event) { return event.number == number; });
    }

    TaggedDecision opening(std::uint16_t port)
    {
        FlowPacket packet;
        packet.caller = { .address = { 0x64400001 }, .port = { port } };
        packet.entry = entry;
        packet.sequence = port;
        packet.syn = true;
        return node.handlePacket(packet, now, events);
    }

    /// Runs ticks for @p length, with a packet at each if @p packets.
    void run(Duration length, bool packets)
    {
        for (const TimePoint end = now + length; now < end; now += 100ms) {
            note(node.tick(now));
            if (packets) {
                opening(++lastPort);
            }
        }
    }

    TaggedNode node;
    std::vector<NodeEvent> events;
    TimePoint now { 100s };
    std::uint16_t lastPort = 1;
};

// Guards callers against a VM that takes flows before it knows where they may go.
TEST_F(TaggedNodeTest, ServesOnlyOnceTheDirectoryWasRead)
{
    EXPECT_FALSE(node.isReady());
    EXPECT_TRUE(std::holds_alternative<DropPacket>(opening(1)));
    becomeReady();
    EXPECT_TRUE(node.isReady());
    EXPECT_TRUE(told(EventNumber::ProcessReady));
    EXPECT_TRUE(std::holds_alternative<ForwardPacket>(opening(2)));
}

// Guards flows on a VM that is stopped: it leaves rotation first and forwards while the fabric still sends.
TEST_F(TaggedNodeTest, DrainsUntilTheFabricIsQuiet)
{
    becomeReady();
    note(node.beginDrain(now));
    EXPECT_FALSE(node.isReady());
    run(3s, true);
    EXPECT_FALSE(node.isDrained(now)) << "the fabric still sends";
    EXPECT_TRUE(std::holds_alternative<ForwardPacket>(opening(999)));
    run(500ms, false);
    EXPECT_TRUE(node.isDrained(now));
}

// Guards the platform's bound on a stop, also when the fabric never stops sending.
TEST_F(TaggedNodeTest, EndsADrainAtItsBound)
{
    becomeReady();
    node.beginDrain(now);
    run(settings().drainBound, true);
    EXPECT_TRUE(node.isDrained(now));
}

// Guards against an exit before the fabric noticed: two missed checks take a second.
TEST_F(TaggedNodeTest, StaysAtLeastUntilTheFabricCanNotice)
{
    becomeReady();
    node.beginDrain(now);
    run(1200ms, false);
    EXPECT_FALSE(node.isDrained(now));
    run(200ms, false);
    EXPECT_TRUE(node.isDrained(now));
}

// Guards decisions after a pause: what the VM believes is old, so it refuses nothing until it has read again.
TEST_F(TaggedNodeTest, RefusesNothingAfterAPause)
{
    becomeReady();
    note(node.tick(now));
    FlowPacket unknown;
    unknown.entry = { .address = { 1 }, .port = { 1 } };
    unknown.syn = true;
    EXPECT_TRUE(std::holds_alternative<ResetFlow>(node.handlePacket(unknown, now, events)));
    now += 2s;
    note(node.tick(now));
    EXPECT_TRUE(told(EventNumber::ProcessSlept));
    EXPECT_TRUE(std::holds_alternative<DropPacket>(node.handlePacket(unknown, now, events)));
    answer(DirectoryChanges { .items = {}, .asOf = { 3 } });
    EXPECT_TRUE(std::holds_alternative<ResetFlow>(node.handlePacket(unknown, now, events)));
}

// Guards flows that another VM opened while this one was paused: the SYN's copy waited in the socket and is read before
// the first tick (soak seed 1026).
TEST_F(TaggedNodeTest, RefusesNothingThatWaitedDuringAPause)
{
    becomeReady();
    note(node.tick(now));
    now += 2s;
    FlowPacket unknown;
    unknown.entry = { .address = { 1 }, .port = { 1 } };
    unknown.syn = true;
    unknown.synCopies = 2;
    EXPECT_TRUE(std::holds_alternative<DropPacket>(node.handlePacket(unknown, now, events)));
    EXPECT_TRUE(told(EventNumber::ProcessSlept));
    const auto noted = events.size();
    note(node.tick(now));
    EXPECT_EQ(events.size(), noted) << "the pause is told twice";
}

// Guards flows that another VM opened at an entry that was just added: a late SYN must not end them (soak seeds 1029,
// 1041). A view that is newer than the caller's first packet is certain.
TEST_F(TaggedNodeTest, RefusesOnlyWithAViewNewerThanTheFirstPacket)
{
    becomeReady();
    now += 300ms;
    FlowPacket unknown;
    unknown.entry = { .address = { 1 }, .port = { 1 } };
    unknown.syn = true;
    EXPECT_TRUE(std::holds_alternative<DropPacket>(node.handlePacket(unknown, now, events)));
    unknown.synCopies = 1;
    EXPECT_TRUE(std::holds_alternative<DropPacket>(node.handlePacket(unknown, now, events)));
    unknown.synCopies = 2;
    EXPECT_TRUE(std::holds_alternative<ResetFlow>(node.handlePacket(unknown, now, events)));
}

// Guards G6: a draining host gets nothing new from the moment at which the VM learned of it.
TEST_F(TaggedNodeTest, PlacesNothingAtAHostOnceItDrains)
{
    becomeReady();
    answer(DirectoryChanges { .items = { hostItem(1, 4, UpstreamState::Draining) }, .asOf = { 4 } });
    EXPECT_TRUE(told(EventNumber::UpstreamDraining));
    for (std::uint16_t i = 1; i <= 50; ++i) {
        EXPECT_EQ(std::get<ForwardPacket>(opening(i)).upstream, UpstreamId { 2 });
    }
}

// Guards traffic while the directory is away: the last view stays in effect, and calls are bounded.
TEST_F(TaggedNodeTest, ServesOnWithoutTheDirectory)
{
    becomeReady();
    int calls = 0;
    for (int i = 0; i < 600; ++i, now += 100ms) {
        note(node.tick(now));
        if (const auto call = node.nextCall(now)) {
            ++calls;
            const DirectoryFailure failure { .error = DirectoryError::TimedOut, .detail = "test" };
            note(node.handleDirectoryAnswer({ .callId = call->id, .result = failure }, now));
        }
        ASSERT_TRUE(std::holds_alternative<ForwardPacket>(opening(++lastPort)));
    }
    EXPECT_TRUE(told(EventNumber::PlatformUnreachable));
    EXPECT_LE(calls, 200);
}

// Guards on-call engineers: a caller's repeated data leaves a line that names flow and upstream.
TEST_F(TaggedNodeTest, TellsOfFlowsWithoutAnswer)
{
    becomeReady();
    const auto placed = std::get<ForwardPacket>(opening(7));
    FlowPacket request;
    request.caller = { .address = { 0x64400001 }, .port = { 7 } };
    request.entry = entry;
    request.tag = placed.tag;
    request.sequence = 8;
    request.ack = true;
    request.acknowledged = 100;
    request.dataBytes = 50;
    node.handlePacket(request, now, events);
    EXPECT_FALSE(told(EventNumber::FlowUnanswered));
    now += 200ms;
    node.handlePacket(request, now, events);
    ASSERT_TRUE(told(EventNumber::FlowUnanswered));
    const NodeEvent &event = events.back();
    EXPECT_EQ(event.causeId, flowCause(request.caller, request.entry));
    const std::pair<std::string, std::string> upstream { "upstream", causeText(placed.upstream.value) };
    EXPECT_NE(std::find(event.fields.begin(), event.fields.end(), upstream), event.fields.end());
}

// Guards flows that a copy of a waiting SYN opened through another VM: one that waits in vain is dropped, not reset.
TEST_F(TaggedNodeTest, DropsASynThatWaitedInVain)
{
    answer(DirectoryPage {
        .items = { catalogueItem(1, 10s), hostItem(1, 2) }, .more = false, .lastKey = {}, .asOf = { 3 } });
    EXPECT_TRUE(std::holds_alternative<ForwardPacket>(opening(1)));
    EXPECT_TRUE(std::holds_alternative<ForwardPacket>(opening(2)));
    EXPECT_TRUE(std::holds_alternative<QueuePacket>(opening(3)));
    EXPECT_TRUE(node.takeDequeued(now, events).empty());
    now += AdmissionSettings {}.openingTimeout;
    const auto dequeued = node.takeDequeued(now, events);
    ASSERT_EQ(dequeued.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<DropPacket>(dequeued.front().decision));
    EXPECT_EQ(node.waitingRequests(), 0U);
}

// Guards requests in front of a crowd: what waits goes on when an answer makes room, and acknowledgements never wait.
TEST_F(TaggedNodeTest, ReleasesARequestWhenAnAnswerMakesRoom)
{
    answer(DirectoryPage {
        .items = { catalogueItem(1, 10s), hostItem(1, 2) }, .more = false, .lastKey = {}, .asOf = { 3 } });
    opening(1);
    opening(2);
    EXPECT_TRUE(std::holds_alternative<QueuePacket>(opening(3)));
    FlowPacket ack;
    ack.caller = { .address = { 0x64400001 }, .port = { 1 } };
    ack.entry = entry;
    ack.tag = flowTagOf(UpstreamId { 1 }, Incarnation { 1 });
    ack.ack = true;
    ack.sequence = 2;
    ack.acknowledged = 1;
    EXPECT_TRUE(std::holds_alternative<ForwardPacket>(node.handlePacket(ack, now, events)));
    EXPECT_TRUE(node.takeDequeued(now, events).empty());
    ack.acknowledged = 100;
    EXPECT_TRUE(std::holds_alternative<ForwardPacket>(node.handlePacket(ack, now, events)));
    const auto dequeued = node.takeDequeued(now, events);
    ASSERT_EQ(dequeued.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<ForwardPacket>(dequeued.front().decision));
    EXPECT_EQ(dequeued.front().packet.head.caller.port.value, 3);
}

} // namespace
} // namespace boragelug
