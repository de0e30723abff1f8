#include "drivers/counting_metric_sink.h"
#include "drivers/packed_bytes.h"
#include "drivers/relay_codec.h"
#include "drivers/tcp_relay_directory.h"
#include "drivers/tcp_relay_listener.h"
#include "loop_support.h"
#include "random_bytes.h"

#include <asio/write.hpp>
#include <gtest/gtest.h>

#include <array>
#include <memory>
#include <optional>
#include <span>
#include <utility>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

const Endpoint anyLocal { .address = { 0x7f000001 }, .port = { 0 } };

DirectoryChanges sampleChanges()
{
    UpstreamRecord upstream;
    upstream.id = UpstreamId { 0xfedcba9876543210 };
    upstream.incarnation = Incarnation { 1'782'377'952'000 };
    upstream.service = "ledger";
    upstream.zone = "kgd-north";
    upstream.address = { .address = { 0xc0a80001 }, .port = { 65'535 } };
    upstream.slots = 3;
    upstream.state = UpstreamState::Draining;
    upstream.coldLeft = 1500ms;
    CatalogueRecord catalogue;
    catalogue.version = CatalogueVersion { 12 };
    catalogue.flowIdleTimeout = 15s;
    catalogue.services = { { .name = "ledger", .coldStart = 2500ms, .coldRequestsPerSecond = 12.5 } };
    catalogue.entries = { { .name = EntryName { "board" },
                            .address = { .address = { 0xc6120001 }, .port = { 443 } },
                            .services = { { .service = "ledger", .weight = 90 },
                                          { .service = "inspection", .weight = 10 } },
                            .idempotent = true,
                            .latencyObjective = 250ms,
                            .timeout = 2500ms,
                            .priority = 2 } };
    DirectoryChanges changes;
    changes.items = { { .key = "catalogue", .revision = { 7 }, .content = catalogue },
                      { .key = "hosts/1", .revision = { 8 }, .content = upstream },
                      { .key = "op/evacuate/a", .revision = { 6 }, .content = EvacuationRecord { .zone = "a" } },
                      { .key = "hosts/2", .revision = { 9 }, .content = RemovedRecord {} } };
    changes.asOf = DirectoryRevision { 9 };
    changes.age = 321ms;
    changes.sinceOutage = 2s;
    changes.elsewhere = anyLocal;
    changes.complete = true;
    changes.slowUpstreams = std::make_shared<const std::vector<SlowUpstream>>(
        std::vector<SlowUpstream> { { FlowTag { 0xfedcba98 }, 4.75 }, { FlowTag { 1 }, 1.5 } });
    return changes;
}

std::span<const std::byte> withoutLength(const std::vector<std::byte> &message)
{
    return std::span(message).subspan(relayLengthBytes);
}

// Guards followers from a view that differs from the relay's.
TEST(RelayCodec, KeepsAllFields)
{
    const DirectoryChanges changes = sampleChanges();
    const auto bytes = encodeRelayAnswer({ .changes = changes, .requestId = 17 });
    EXPECT_EQ(decodeRelayLength(std::span(bytes).first<relayLengthBytes>()), bytes.size() - relayLengthBytes);
    const auto decoded = decodeRelayAnswer(withoutLength(bytes));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->requestId, 17U);
    EXPECT_EQ(decoded->changes.items, changes.items);
    EXPECT_EQ(decoded->changes.asOf, changes.asOf);
    EXPECT_EQ(decoded->changes.age, changes.age);
    EXPECT_EQ(decoded->changes.sinceOutage, changes.sinceOutage);
    EXPECT_EQ(decoded->changes.elsewhere, changes.elsewhere);
    EXPECT_TRUE(decoded->changes.complete);
    ASSERT_TRUE(decoded->changes.slowUpstreams);
    EXPECT_EQ(*decoded->changes.slowUpstreams, *changes.slowUpstreams);
    const RelayRequestMessage request { .request = { .after = { 8 },
                                                     .catalogue = { 3 },
                                                     .wait = 500ms,
                                                     .listening = anyLocal,
                                                     .zone = "kgd-north",
                                                     .speeds = { { FlowTag { 0xfedcba98 }, 7, 10.5 },
                                                                 { FlowTag { 1 }, 1, 0.5 } } },
                                        .id = 18,
                                        .acceptsPacked = true };
    EXPECT_EQ(decodeRelayRequest(withoutLength(encodeRelayRequest(request))), request);
}

// The same for records that are packed, among them changes of a catalogue.
TEST(RelayCodec, KeepsAllPackedRecords)
{
    DirectoryChanges changes = sampleChanges();
    const auto &catalogue = std::get<CatalogueRecord>(changes.items.front().content);
    changes.items.front().content = CatalogueDelta { .base = { 11 },
                                                     .version = { 12 },
                                                     .changed = catalogue.entries,
                                                     .removed = { anyLocal },
                                                     .flowIdleTimeout = 15s,
                                                     .services = catalogue.services };
    const auto records = std::exchange(changes.items, {});
    const auto bytes = encodeRelayAnswer({ .changes = changes, .requestId = 1 }, packRelayRecords(records));
    const auto decoded = decodeRelayAnswer(withoutLength(bytes));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->changes.items, records);
}

// Guards a VM's memory from a small message that unpacks to a very large one.
TEST(PackedBytes, RefusesMoreThanTheLimitAndDamagedBytes)
{
    const std::string text(100'000, 'x');
    const std::string packed = packBytes(text);
    EXPECT_LT(packed.size(), 1000U);
    EXPECT_EQ(unpackBytes(packed, text.size()), text);
    EXPECT_FALSE(unpackBytes(packed, text.size() - 1));
    EXPECT_FALSE(unpackBytes(packed.substr(0, packed.size() / 2), text.size()));
    EXPECT_FALSE(unpackBytes("", text.size()));
    EXPECT_FALSE(unpackBytes("no frame", text.size()));
}

// Guards a VM from messages that were cut, changed or made up: none may crash it or be taken half.
TEST(RelayCodec, SurvivesAnyBytes)
{
    Random random(7);
    const auto plain = encodeRelayAnswer({ .changes = sampleChanges(), .requestId = 1 });
    const auto packed = encodeRelayAnswer({}, packRelayRecords(sampleChanges().items));
    for (const auto &answer : { plain, packed }) {
        const std::vector<std::byte> body(withoutLength(answer).begin(), withoutLength(answer).end());
        for (int i = 0; i < randomInputs; ++i) {
            const auto bytes = i % 2 == 0 ? randomBytes(random, 200) : mutate(random, body);
            const auto decoded = decodeRelayAnswer(bytes);
            if (decoded) {
                EXPECT_GE(decoded->changes.age, Duration::zero());
            }
            decodeRelayRequest(bytes);
        }
    }
}

class RelayDriversTest : public ::testing::Test
{
protected:
    RelayDriversTest()
        : listener(context, anyLocal, metrics)
        , directory(context, anyLocal, "kgd-north")
    {
        listener.start({ .onRequest =
                             [this](FollowerId follower, const FollowRequest &request) {
                                 lastFollower = follower;
                                 lastRequest = request;
                                 if (answers) {
                                     listener.answer({ .follower = follower, .changes = {}, .records = records });
                                     // A second answer must not be sent.
                                     listener.answer({ .follower = follower, .changes = {}, .records = nullptr });
                                 }
                             },
                         .onGone = [this](FollowerId) { ++gone; } });
    }

    std::optional<DirectoryAnswer> follow(const Endpoint &relay, Duration timeout)
    {
        DirectoryCall call;
        call.id = ++lastId;
        call.kind = DirectoryCall::Kind::Follow;
        call.after = DirectoryRevision { 5 };
        call.relay = relay;
        call.timeout = timeout;
        std::optional<DirectoryAnswer> answer;
        directory.call(call, [&](DirectoryAnswer got) { answer = std::move(got); });
        EXPECT_FALSE(answer) << "answers from within call()";
        EXPECT_TRUE(runUntil(context, [&] { return answer.has_value(); }));
        return answer;
    }

    asio::io_context context;
    CountingMetricSink metrics;
    TcpRelayListener listener;
    TcpRelayDirectory directory;
    SharedRecords records = std::make_shared<const std::vector<DirectoryItem>>(sampleChanges().items);
    bool answers = true;
    int gone = 0;
    std::uint64_t lastId = 0;
    std::optional<FollowerId> lastFollower;
    std::optional<FollowRequest> lastRequest;
};

// Guards the whole way between two VMs, with one connection for several calls.
TEST_F(RelayDriversTest, AnswersSeveralCallsOverOneConnection)
{
    for (int i = 0; i < 3; ++i) {
        const auto answer = follow(listener.localEndpoint(), 10s);
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->callId, lastId);
        ASSERT_TRUE(std::holds_alternative<DirectoryChanges>(answer->result));
        EXPECT_EQ(std::get<DirectoryChanges>(answer->result).items, sampleChanges().items);
    }
    EXPECT_EQ(lastFollower, FollowerId { 1 });
    EXPECT_EQ(lastRequest->after, DirectoryRevision { 5 });
    EXPECT_EQ(gone, 0);
}

// Guards bounds on changes from a relay that was paused or cut off: the call ends in its time, and the next one works.
TEST_F(RelayDriversTest, GivesUpOnASilentRelay)
{
    answers = false;
    const auto silent = follow(listener.localEndpoint(), 50ms);
    ASSERT_TRUE(silent && std::holds_alternative<DirectoryFailure>(silent->result));
    EXPECT_EQ(std::get<DirectoryFailure>(silent->result).error, DirectoryError::TimedOut);
    EXPECT_TRUE(runUntil(context, [&] { return gone == 1; }));
    answers = true;
    const auto next = follow(listener.localEndpoint(), 10s);
    EXPECT_TRUE(next && std::holds_alternative<DirectoryChanges>(next->result));
}

// Guards a caller that waits for an answer when another call starts: its call must end, or it would wait for ever.
TEST_F(RelayDriversTest, EndsACallThatIsReplaced)
{
    answers = false;
    DirectoryCall call;
    call.kind = DirectoryCall::Kind::Follow;
    call.relay = listener.localEndpoint();
    call.timeout = 10s;
    std::vector<std::uint64_t> failed;
    for (call.id = 100; call.id <= 102; ++call.id) {
        directory.call(call, [&](const DirectoryAnswer &answer) {
            EXPECT_TRUE(std::holds_alternative<DirectoryFailure>(answer.result));
            failed.push_back(answer.callId);
        });
    }
    EXPECT_TRUE(failed.empty()) << "answers from within call()";
    EXPECT_TRUE(runUntil(context, [&] { return failed.size() >= 2; }));
    directory.cancel(102);
    EXPECT_EQ(failed, (std::vector<std::uint64_t> { 100, 101 }));
}

// Guards the same for a relay whose process is gone.
TEST_F(RelayDriversTest, FailsAtOnceWhereNothingListens)
{
    asio::ip::tcp::acceptor closed(context, { asio::ip::address_v4::loopback(), 0 });
    const Endpoint nobody { .address = { 0x7f000001 }, .port = { closed.local_endpoint().port() } };
    closed.close();
    const auto answer = follow(nobody, 10s);
    ASSERT_TRUE(answer && std::holds_alternative<DirectoryFailure>(answer->result));
    EXPECT_EQ(std::get<DirectoryFailure>(answer->result).error, DirectoryError::Unreachable);
}

// Guards a VM from a relay that sends an answer twice on a connection that stays open: the copy must not be taken for
// the answer to the next call.
TEST_F(RelayDriversTest, TakesNoCopyOfAnEarlierAnswer)
{
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    asio::ip::tcp::socket socket(context);
    std::array<std::byte, 1024> request {};
    acceptor.async_accept(socket, [&](const asio::error_code &) {
        socket.async_read_some(asio::buffer(request), [&](const asio::error_code &, std::size_t) {
            const auto answer = encodeRelayAnswer({ .changes = sampleChanges(), .requestId = 1 });
            asio::write(socket, asio::buffer(answer));
            asio::write(socket, asio::buffer(answer));
        });
    });
    const Endpoint relay { .address = { 0x7f000001 }, .port = { acceptor.local_endpoint().port() } };
    const auto first = follow(relay, 10s);
    ASSERT_TRUE(first && std::holds_alternative<DirectoryChanges>(first->result));
    const auto second = follow(relay, 10s);
    ASSERT_TRUE(second && std::holds_alternative<DirectoryFailure>(second->result));
    EXPECT_EQ(std::get<DirectoryFailure>(second->result).error, DirectoryError::Malformed);
}

// Guards a relay's memory from a peer that sends something else.
TEST_F(RelayDriversTest, ClosesConnectionsThatSendNoRequest)
{
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::address_v4::loopback(), listener.localEndpoint().port.value });
    const std::string text = "GET / HTTP/1.1\r\n\r\n";
    asio::write(socket, asio::buffer(text));
    EXPECT_TRUE(runUntil(context, [&] { return gone == 1; }));
    EXPECT_FALSE(lastRequest);
}

} // namespace
} // namespace boragelug
