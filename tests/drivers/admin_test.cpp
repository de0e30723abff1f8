#include "drivers/admin_json.h"
#include "drivers/admin_routes.h"
#include "drivers/admin_server.h"
#include "drivers/directory_json.h"
#include "drivers/event_text.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

using testing::HasSubstr;
using testing::Return;

class MockSource : public AdminSource
{
public:
    MOCK_METHOD(ReadinessReport, readiness, (), (const, override));
    MOCK_METHOD(StatusReport, status, (), (const, override));
    MOCK_METHOD(EventSelection, events, (const EventFilter &, std::uint64_t, std::size_t), (const, override));
    MOCK_METHOD((Outcome<Explanation, std::string>), explain, (const ExplainQuery &), (const, override));
    MOCK_METHOD((Outcome<CataloguePage, std::string>),
                catalogue,
                (const std::optional<Endpoint> &, std::size_t),
                (const, override));
    MOCK_METHOD(std::string, metrics, (), (const, override));
};

class MockClock : public Clock
{
public:
    MOCK_METHOD(TimePoint, now, (), (const, override));
    MOCK_METHOD(std::uint64_t, wallMicroseconds, (), (const, override));
};

class MockMetrics : public MetricSink
{
public:
    MOCK_METHOD(void, add, (std::string_view, double, const MetricLabels &), (override));
    MOCK_METHOD(void, set, (std::string_view, double, const MetricLabels &), (override));
    MOCK_METHOD(void, observe, (std::string_view, double, const MetricLabels &), (override));
};

class AdminTest : public testing::Test
{
protected:
    AdminAnswer get(const std::string &target)
    {
        const auto request = parseTarget(target);
        return request ? answerAdminRequest(*request, source_) : textAnswer(400, "malformed");
    }

    testing::NiceMock<MockSource> source_;
    testing::NiceMock<MockClock> clock_;
    testing::NiceMock<MockMetrics> metrics_;
};

StatusReport exampleStatus()
{
    StatusReport report;
    report.vm = VmId { 4 };
    report.incarnation = Incarnation { 5 };
    report.zone = "north";
    report.region = "central";
    report.readiness = { Readiness::Draining, "operator" };
    report.catalogueVersion = CatalogueVersion { 6 };
    report.viewAge = std::chrono::milliseconds(1500);
    report.inDoubt = true;
    report.membersSuspect = 7;
    report.brokenFlows = 8;
    report.services = { { "ledger", 1, 2, 3, 4, 5, 1.25 } };
    report.refused = { { "queue_full", 9 } };
    EntryUse use;
    use.entry = EntryName { "board" };
    use.owner = OwnerName { "brokers" };
    use.importance = Importance::Critical;
    use.requestsPerSecond = 2.5;
    use.share.openFlows = 10;
    use.unknown = 11;
    report.entries = { use };
    report.slowUpstreams = { { UpstreamId { 12 }, "ledger", 4.5 } };
    return report;
}

// Guards against a load balancer or operator that takes a leaving VM for a broken one.
TEST_F(AdminTest, TellsReadinessStatesApart)
{
    EXPECT_EQ(get("/healthz").status, 200);
    const std::vector<std::pair<ReadinessReport, std::pair<int, std::string>>> cases = {
        { { Readiness::Ready, "" }, { 200, "ready\n" } },
        { { Readiness::Starting, "no view" }, { 503, "starting: no view\n" } },
        { { Readiness::Draining, "" }, { 503, "draining\n" } },
        { { Readiness::Broken, "no key" }, { 503, "broken: no key\n" } },
    };
    for (const auto &[report, expected] : cases) {
        EXPECT_CALL(source_, readiness).WillOnce(Return(report));
        const AdminAnswer answer = get("/readyz");
        EXPECT_EQ(answer.status, expected.first);
        EXPECT_EQ(answer.body, expected.second);
    }
}

// Guards against values that are lost or exchanged between a VM and the fleet table.
TEST_F(AdminTest, StatusSurvivesJson)
{
    EXPECT_CALL(source_, status).WillOnce(Return(exampleStatus()));
    const AdminAnswer answer = get("/status");
    const auto report = statusFromJson(answer.body);
    ASSERT_TRUE(report) << report.lastReason();
    EXPECT_EQ(statusToJson(*report), answer.body);
    EXPECT_EQ(report->readiness.state, Readiness::Draining);
    EXPECT_EQ(report->viewAge, std::chrono::milliseconds(1500));
    EXPECT_EQ(report->entries.at(0).share.openFlows, 10U);
    ASSERT_EQ(report->slowUpstreams.size(), 1U);
    EXPECT_EQ(report->slowUpstreams.front().upstream, UpstreamId { 12 });
    EXPECT_EQ(report->slowUpstreams.front().slowness, 4.5);
    EXPECT_FALSE(statusFromJson("{}"));
}

TEST_F(AdminTest, PassesEventFiltersOn)
{
    EventFilter filter;
    std::uint64_t after = 0;
    std::size_t most = 0;
    EXPECT_CALL(source_, events).WillOnce([&](const EventFilter &f, std::uint64_t a, std::size_t m) {
        filter = f;
        after = a;
        most = m;
        EventSelection selection;
        selection.events.resize(2);
        selection.displaced = 3;
        return selection;
    });
    const AdminAnswer answer = get("/events?cause=2a&vm=7&event=flow_placed&flow=f&request=r&upstream=u&entry=e"
                                   "&since=2026-12-04T05:22:56Z&until=2026-12-04T05:22:57Z&after=12&limit=999999");
    EXPECT_EQ(answer.status, 200) << answer.body;
    EXPECT_EQ(std::count(answer.body.begin(), answer.body.end(), '\n'), 3);
    EXPECT_THAT(answer.body, HasSubstr("{\"displaced\":3,\"truncated\":false}\n"));
    EXPECT_EQ(filter.causeId, 42U);
    EXPECT_EQ(filter.vm, VmId { 7 });
    EXPECT_EQ(filter.number, EventNumber::FlowPlaced);
    EXPECT_EQ(filter.flow + filter.request + filter.upstream + filter.entry, "frue");
    EXPECT_EQ(filter.untilMicroseconds - filter.sinceMicroseconds, 1'000'000U);
    EXPECT_EQ(after, 12U);
    EXPECT_EQ(most, maxEventsPerAnswer);
}

// Guards against a refusal that doesn't say what to change.
TEST_F(AdminTest, ExplainsRefusalWithAdvice)
{
    Explanation explanation;
    explanation.subject = "00000000000000ff";
    explanation.outcome = "refused";
    explanation.reason = "flow_limit";
    explanation.candidates = { { UpstreamId { 3 }, "north", "draining", 0.5, false, "drains" } };
    ExplainQuery asked;
    EXPECT_CALL(source_, explain).WillOnce([&](const ExplainQuery &query) {
        asked = query;
        return Outcome<Explanation, std::string>(explanation);
    });
    const AdminAnswer answer = get("/explain?flow=udp,10.0.0.5:4000,10.1.0.1:80");
    EXPECT_THAT(answer.body, HasSubstr("Raise limits.open_flows of the entry"));
    EXPECT_THAT(answer.body, HasSubstr("\"drains\""));
    EXPECT_EQ(toString(std::get<FlowQuery>(asked).caller), "10.0.0.5:4000");
    EXPECT_EQ(parseFlowQuery("00000000000000ff")->key, FlowKey { 255 });
}

// Guards against a value of the catalogue that is lost on the way to the operator, and against unbounded answers.
TEST_F(AdminTest, CatalogueSurvivesJson)
{
    CataloguePage page;
    page.record.version = CatalogueVersion { 7 };
    page.record.flowIdleTimeout = std::chrono::milliseconds(1500);
    page.record.services = { { .name = "a", .coldStart = Duration { 1999999999 }, .coldRequestsPerSecond = 0.1 } };
    page.record.entries = { { .name = EntryName { "x \"y\"" },
                              .address = *parseEndpoint("198.18.0.1:443"),
                              .services = { { .service = "a", .weight = 4294967295 }, { .service = "b" } },
                              .idempotent = true,
                              .latencyObjective = std::chrono::milliseconds(400),
                              .timeout = std::chrono::milliseconds(2500),
                              .priority = 3 } };
    page.more = true;
    const std::optional<Endpoint> after = parseEndpoint("198.18.0.1:442");
    EXPECT_CALL(source_, catalogue(after, maxEntriesPerAnswer)).WillOnce(Return(page));
    const AdminAnswer answer = get("/catalogue?after=198.18.0.1:442&limit=99999999");
    EXPECT_EQ(answer.status, 200);
    const auto readBack = cataloguePageFromJson(answer.body);
    ASSERT_TRUE(readBack) << readBack.lastReason();
    EXPECT_EQ(*readBack, page);
    for (std::size_t size = 0; size + 1 < answer.body.size(); ++size) {
        EXPECT_FALSE(cataloguePageFromJson(answer.body.substr(0, size))) << size;
    }
    for (const char *text : { "[]",
                              "{}",
                              "7",
                              R"({"version":-1,"flow_idle_timeout_ns":null,"services":[],)"
                              R"("entries":[],"more":false})" }) {
        EXPECT_FALSE(cataloguePageFromJson(text)) << text;
    }
    using Result = Outcome<CataloguePage, std::string>;
    EXPECT_CALL(source_, catalogue(testing::Eq(std::nullopt), 2)).WillOnce(Return(Result::failure("not yet")));
    EXPECT_EQ(get("/catalogue?limit=2").status, 404);
}

// Guards against mistyped parameters that silently widen a query.
TEST_F(AdminTest, RefusesMistakesWithValidValues)
{
    const std::vector<std::pair<std::string, std::string>> cases = {
        { "/event", "unknown path; valid: /healthz, /readyz" },
        { "/events?flo=1", "unknown parameter 'flo'; valid: after, cause" },
        { "/events?cause=xyz", "parameter 'cause' must be 1 to 16 hexadecimal digits, not 'xyz'" },
        { "/events?since=now", "parameter 'since' must be a UTC time such as 2026-12-04T05:22:56Z, not 'now'" },
        { "/events?limit=-1", "parameter 'limit' must be a number of events" },
        { "/explain", "exactly one of the parameters" },
        { "/explain?flow=1&request=2", "exactly one of the parameters" },
        { "/explain?flow=sctp,1.2.3.4:5,1.2.3.4:5", "parameter 'flow' must be PROTOCOL,CALLER,ENTRY" },
        { "/explain?request=", "must be a request id" },
        { "/catalogue?after=x", "parameter 'after' must be the address of an entry, not 'x'" },
        { "/catalogue?limit=0", "parameter 'limit' must be a number of entries over 0" },
        { "/catalogue?entry=x", "unknown parameter 'entry'; valid: after, limit" },
        { "/events?a=%zz", "malformed" },
        { "/events?a=1&a=2", "malformed" },
        { "events", "malformed" },
    };
    for (const auto &[target, expected] : cases) {
        const AdminAnswer answer = get(target);
        EXPECT_GE(answer.status, 400) << target;
        EXPECT_THAT(answer.body, HasSubstr(expected));
    }
}

// Guards against requests that are read without bounds, or accepted in a form that other servers read differently.
TEST(AdminCodec, ReadsOnlyWholeBoundedGets)
{
    EXPECT_EQ(readAdminRequest("GET / HTTP/1.1\r\n").state, AdminReadState::NeedsMore);
    EXPECT_EQ(readAdminRequest("GET /a?b=c%20d HTTP/1.1\r\nHost: x\r\n\r\n").request.query.at("b"), "c d");
    const std::vector<std::pair<std::string, int>> refused = {
        { "POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405 },
        { "GET / HTTP/1.1\r\nContent-Length: 5\r\n\r\n", 413 },
        { "GET x HTTP/1.1\r\n\r\n", 400 },
        { "hello\r\n\r\n", 400 },
        { "GET / HTTP/1.1\r\nA: " + std::string(9000, 'x'), 431 },
        { "GET /" + std::string(9000, 'x'), 431 },
    };
    for (const auto &[bytes, status] : refused) {
        const AdminReadResult result = readAdminRequest(bytes);
        EXPECT_EQ(result.state, AdminReadState::Refused) << bytes.substr(0, 40);
        EXPECT_EQ(result.refusal.status, status) << bytes.substr(0, 40);
    }
}

// Guards against an answer that is taken for complete although the connection broke.
TEST(AdminCodec, DecodesOnlyCompleteAnswers)
{
    const std::string message = encodeAdminAnswer({ 200, "text/plain", "hello" });
    EXPECT_EQ(decodeAdminAnswer(message, 100)->body, "hello");
    EXPECT_EQ(decodeAdminAnswer(message.substr(0, message.size() - 1), 100).lastReason(), "the answer was cut off");
    EXPECT_FALSE(decodeAdminAnswer(message, 4));
    EXPECT_EQ(decodeAdminAnswer("HTTP/1.1 200 OK\r\n\r\nhel", 100).lastReason(), "the answer has no Content-Length");
    EXPECT_FALSE(decodeAdminAnswer("", 100));
}

/// Sends @p bytes over a new connection and returns everything up to the end of the connection.
std::string exchange(asio::io_context &context, const Endpoint &server, const std::string &bytes)
{
    asio::ip::tcp::socket socket(context);
    socket.connect({ asio::ip::address_v4(server.address.value), server.port.value });
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    bool done = false;
    asio::async_read(
        socket, asio::dynamic_buffer(received), [&](const std::error_code &, std::size_t) { done = true; });
    while (!done) {
        context.run_one();
    }
    return received;
}

// Guards against an admin server that can be kept busy with requests or connections.
TEST_F(AdminTest, ServerBoundsRequestsAndConnections)
{
    asio::io_context context;
    EXPECT_CALL(source_, metrics).WillOnce(Return("up 1\n"));
    AdminServer server(context, source_, clock_, metrics_, { 1, std::chrono::hours(1), 0, 2 });
    ASSERT_EQ(server.start(*parseEndpoint("127.0.0.1:0")), "");
    const Endpoint endpoint = server.localEndpoint();
    const auto get = [&](const std::string &target) {
        return decodeAdminAnswer(exchange(context, endpoint, encodeAdminRequest(target, "vm")), 1000);
    };
    EXPECT_EQ(get("/metrics")->body, "up 1\n");
    context.poll();
    EXPECT_EQ(get("/healthz")->status, 200);
    context.poll();
    EXPECT_EQ(get("/healthz")->status, 429) << "the burst is used up";
    context.poll();

    asio::ip::tcp::socket idle(context);
    idle.connect({ asio::ip::address_v4(endpoint.address.value), endpoint.port.value });
    EXPECT_CALL(metrics_, add(testing::Eq("boragelug_admin_requests_refused_total"), 1, testing::_)).Times(1);
    EXPECT_EQ(exchange(context, endpoint, ""), "") << "the only connection is taken";
    server.stop();
    context.run();
}

// Guards against connections that are kept open without a request.
TEST_F(AdminTest, ServerClosesIdleConnections)
{
    asio::io_context context;
    AdminServer server(context, source_, clock_, metrics_, { 1, std::chrono::milliseconds(1), 1, 1 });
    ASSERT_EQ(server.start(*parseEndpoint("127.0.0.1:0")), "");
    EXPECT_EQ(exchange(context, server.localEndpoint(), "GET / HTTP/1.1\r\n"), "");
    EXPECT_THAT(server.start(server.localEndpoint()), HasSubstr("can't listen on 127.0.0.1:"));
}

} // namespace
} // namespace boragelug
