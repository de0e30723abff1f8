#include "requests/request_dispatcher.h"

#include "requests/admission.h"
#include "requests/retry_budget.h"
#include "requests/upstream_choice.h"
#include "requests/upstream_health.h"

#include <gtest/gtest.h>

namespace boragelug
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Endpoint entry { Ipv4Address { 0x0a000001 }, Port { 80 } };

std::shared_ptr<View> makeView(std::uint64_t hosts)
{
    auto view = std::make_shared<View>();
    view->self = VmId { 1 };
    view->selfZone = ZoneId { 1 };
    view->catalogue.version = CatalogueVersion { 1 };
    view->catalogue.services = { { ServiceId { 1 }, "s", 2, 100, {} } };
    Entry item;
    item.name = EntryName { "entry" };
    item.service = ServiceId { 1 };
    item.address = entry;
    item.kind = EntryKind::Requests;
    item.maxDeadline = seconds(5);
    view->catalogue.entries = { item };
    for (std::uint64_t i = 1; i <= hosts; ++i) {
        UpstreamStatus status;
        status.upstream.id = UpstreamId { i };
        status.upstream.service = ServiceId { 1 };
        status.upstream.zone = ZoneId { 1 };
        view->upstreams.push_back(status);
    }
    return view;
}

/// Fixture with one dispatcher that is alone in its region, and records of the actions that it returned.
class RequestDispatcherTest : public testing::Test
{
protected:
    void start(const DispatcherConfig &config, std::uint64_t hosts = 3)
    {
        dispatcher = RequestDispatcher(config, VmId { 1 }, Incarnation { 1 }, 1);
        recordActions(dispatcher.applyView(makeView(hosts), now));
    }

    void send(const std::string &id, bool idempotent, std::uint64_t token = 0, const char *body = "x")
    {
        CallerRequest request;
        request.entry = entry;
        request.idText = id;
        request.idempotent = idempotent;
        request.timeout = milliseconds(500);
        request.payload = std::make_shared<const std::string>(body);
        request.replyTo = { { Ipv4Address { 1 }, Port { 1 } }, token, std::nullopt };
        recordActions(dispatcher.handleCallerRequest(request, now));
    }

    void answer(int status, bool complete = true, bool retryAfter = false)
    {
        UpstreamAnswer given;
        given.status = status;
        given.complete = complete;
        given.payload = std::make_shared<const std::string>(100, 'a');
        if (retryAfter) {
            given.retryAfter = milliseconds(10);
        }
        recordActions(dispatcher.handleAnswer(attempt, Incarnation {}, given, now));
    }

    void recordActions(const RequestActions &actions)
    {
        for (const RequestAction &action : actions) {
            if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
                attempt = dispatch->attempt;
                ++dispatches;
            } else if (const auto *reply = std::get_if<ReplyToCaller>(&action)) {
                replies.push_back(describe(reply->outcome));
            }
            forwards += std::holds_alternative<ForwardToIssuer>(action) ? 1 : 0;
            cancels += std::holds_alternative<CancelAttempt>(action) ? 1 : 0;
        }
    }

    static std::string describe(const RequestOutcome &outcome)
    {
        if (const auto *refused = std::get_if<RefusedOutcome>(&outcome)) {
            return "refused " + std::string(refusalReasonName(refused->reason));
        }
        const auto *unknown = std::get_if<UnknownOutcome>(&outcome);
        return unknown == nullptr ? "answered" : "unknown " + std::string(unknownReasonName(unknown->reason));
    }

    std::string issue() { return *dispatcher.issueRequestId(entry, now); }

    TimePoint now = TimePoint {} + seconds(100);
    RequestDispatcher dispatcher { DispatcherConfig {}, VmId { 1 }, Incarnation { 1 }, 1 };
    AttemptId attempt;
    int dispatches = 0;
    int cancels = 0;
    int forwards = 0;
    std::vector<std::string> replies;
};

using Texts = std::vector<std::string>;

struct IssuerCase
{
    const char *name;
    std::uint64_t idIncarnation;
    MemberHealth health;
    bool forwarded;
};

// Guards against `unknown` for requests whose issuer is alive while this VM's view still shows its earlier incarnation,
// and against requests that wait for an issuer that was replaced or is dead.
TEST_F(RequestDispatcherTest, ForwardsToAnIncarnationThatTheViewDoesNotListYet)
{
    const std::vector<IssuerCase> cases = {
        { "earlier incarnation", 4, MemberHealth::Alive, false },
        { "listed incarnation", 5, MemberHealth::Alive, true },
        { "listed incarnation, dead", 5, MemberHealth::Dead, false },
        { "later incarnation", 6, MemberHealth::Alive, true },
        { "later incarnation of a dead one", 6, MemberHealth::Dead, true },
    };
    for (const IssuerCase &item : cases) {
        auto view = makeView(1);
        Member peer;
        peer.vm.id = VmId { 2 };
        peer.vm.zone = ZoneId { 1 };
        peer.vm.incarnation = Incarnation { 5 };
        peer.health = item.health;
        view->members = { peer };
        dispatcher = RequestDispatcher({}, VmId { 1 }, Incarnation { 1 }, 1);
        recordActions(dispatcher.applyView(view, now));
        replies.clear();
        forwards = 0;
        const RequestId id { VmId { 2 }, Incarnation { item.idIncarnation }, 1, now + seconds(10) };
        send(formatRequestId(id, DispatcherConfig {}.idKey), false);
        EXPECT_EQ(forwards, item.forwarded ? 1 : 0) << item.name;
        EXPECT_EQ(replies, item.forwarded ? Texts {} : Texts { "unknown issuer_unreachable" }) << item.name;
    }
}

// Guards against `unknown` for an issuer that has just started and is not listed yet, and against requests that wait
// for an issuer that was removed.
TEST_F(RequestDispatcherTest, WaitsBrieflyForAnUnlistedIssuer)
{
    for (const bool getsListed : { true, false }) {
        dispatcher = RequestDispatcher({}, VmId { 1 }, Incarnation { 1 }, 1);
        auto view = makeView(1);
        recordActions(dispatcher.applyView(view, now));
        replies.clear();
        forwards = 0;
        CallerRequest request;
        request.entry = entry;
        request.idText =
            formatRequestId({ VmId { 2 }, Incarnation { 5 }, 1, now + seconds(10) }, DispatcherConfig {}.idKey);
        request.timeout = seconds(4);
        recordActions(dispatcher.handleCallerRequest(request, now));
        EXPECT_EQ(forwards, 0);
        EXPECT_TRUE(replies.empty());
        if (getsListed) {
            Member peer;
            peer.vm.id = VmId { 2 };
            peer.vm.incarnation = Incarnation { 5 };
            view = makeView(1);
            view->members = { peer };
            recordActions(dispatcher.applyView(view, now));
        }
        for (int i = 0; i < 25; ++i) {
            now += milliseconds(100);
            recordActions(dispatcher.tick(now));
        }
        EXPECT_EQ(forwards > 0, getsListed);
        EXPECT_EQ(replies, getsListed ? Texts {} : Texts { "unknown issuer_unreachable" });
    }
}

// Guards against accepting ids of another form, case or key as issued ids.
TEST(RequestId, ParsesOnlyItsExactForm)
{
    const RequestIdKey key { std::byte { 1 } };
    const RequestId id { VmId { 7 }, Incarnation { 8 }, 9, TimePoint { Duration { 10 } } };
    const std::string text = formatRequestId(id, key);
    EXPECT_EQ(parseRequestId(text, key).check, RequestIdCheck::Valid);
    EXPECT_EQ(parseRequestId(text, key).id, id);
    EXPECT_EQ(parseRequestId(text, RequestIdKey {}).check, RequestIdCheck::Unverified);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string changed = text;
        changed[i] = changed[i] == '0' ? '1' : '0';
        EXPECT_NE(parseRequestId(changed, key).check, RequestIdCheck::Valid) << "at " << i;
        changed[i] = 'A';
        EXPECT_EQ(parseRequestId(changed, key).check, RequestIdCheck::Foreign) << "at " << i;
    }
    for (const std::string &wrong : { std::string(), text + "0", text.substr(1), " " + text }) {
        EXPECT_EQ(parseRequestId(wrong, key).check, RequestIdCheck::Foreign) << wrong;
    }
}

// Guards against execution of a non-idempotent request without an issued id, and against a duplicate that gets another
// outcome.
TEST_F(RequestDispatcherTest, DuplicatesGetTheSameOutcomeUntilTheRecordExpires)
{
    start({});
    const std::string id = issue();
    send(id, false, 1);
    send(id, false, 2);
    answer(200);
    send(id, false, 3);
    send(id, false, 4, "other body");
    now += seconds(31);
    send(id, false, 5);
    send("", false);
    send("mine", false);
    EXPECT_EQ(dispatches, 1);
    EXPECT_EQ(replies,
              (Texts { "answered",
                       "answered",
                       "answered",
                       "refused request_id_reused",
                       "unknown record_expired",
                       "refused missing_request_id",
                       "refused caller_chosen_id" }));
}

// Guards against unbounded memory for kept answers: the oldest are evicted and duplicates of their requests get
// `unknown`.
TEST_F(RequestDispatcherTest, KeptAnswersAreBoundedByBytes)
{
    DispatcherConfig config;
    config.maxAnswerBytes = 150;
    start(config);
    const std::string first = issue();
    send(first, false);
    answer(200);
    send(issue(), false);
    answer(200);
    send(first, false);
    EXPECT_EQ(replies, (Texts { "answered", "answered", "unknown answer_not_kept" }));
    EXPECT_LE(dispatcher.load().answerBytes, 150U);
}

// Guards against an unbounded number of records: issued ids count as records, and at the limit no more are issued.
TEST_F(RequestDispatcherTest, RecordsAreBounded)
{
    DispatcherConfig config;
    config.maxRecords = 8;
    start(config);
    EXPECT_TRUE(dispatcher.issueRequestId(entry, now));
    EXPECT_TRUE(dispatcher.issueRequestId(entry, now));
    EXPECT_FALSE(dispatcher.issueRequestId(entry, now)) << "one owner may hold a quarter of the records";
}

// Guards against a retry of a non-idempotent request that may have been executed, and against a missing retry of a
// request that was not executed.
TEST_F(RequestDispatcherTest, RetriesOnlyWhatIsSafe)
{
    struct Case
    {
        bool idempotent;
        int status;
        bool complete;
        bool retryAfter;
        int dispatches;
    };
    for (const Case &c : { Case { false, 503, true, true, 2 },
                           Case { false, 503, true, false, 1 },
                           Case { false, 200, false, false, 1 },
                           Case { true, 200, false, false, 2 },
                           Case { false, 421, true, false, 2 } }) {
        start({});
        dispatches = 0;
        send(c.idempotent ? "" : issue(), c.idempotent);
        answer(c.status, c.complete, c.retryAfter);
        EXPECT_EQ(dispatches, c.dispatches) << "status " << c.status << ", complete " << c.complete;
    }
}

// Guards against `refused` for a cancelled or late request that was sent to an upstream.
TEST_F(RequestDispatcherTest, CancelAndDeadlineReportSentRequestsAsUnknown)
{
    start({}, 1);
    const ReplyAddress caller { { Ipv4Address { 1 }, Port { 1 } }, 0, std::nullopt };
    const std::string sent = issue();
    send(sent, false);
    send(issue(), false);
    const std::string waiting = issue();
    send(waiting, false);
    recordActions(dispatcher.handleCancel(sent, caller, now));
    EXPECT_EQ(replies, (Texts { "unknown cancelled" }));
    now += milliseconds(600);
    recordActions(dispatcher.tick(now));
    EXPECT_EQ(replies, (Texts { "unknown cancelled", "unknown deadline_passed", "unknown deadline_passed" }));
    EXPECT_EQ(cancels, 3);
    const std::string early = issue();
    recordActions(dispatcher.handleCancel(early, caller, now));
    send(early, false);
    EXPECT_EQ(replies.back(), "refused cancelled");
}

// Guards against a graceful stop that loses requests, issues ids or never ends.
TEST_F(RequestDispatcherTest, DrainFinishesUpToItsBound)
{
    DispatcherConfig config;
    config.drainBound = milliseconds(100);
    start(config);
    const std::string issued = issue();
    send(issue(), false);
    recordActions(dispatcher.beginDrain(now));
    EXPECT_FALSE(dispatcher.issueRequestId(entry, now));
    send(issued, false);
    send("", true);
    EXPECT_EQ(dispatches, 2) << "an id issued before the stop is still served";
    EXPECT_FALSE(dispatcher.drained());
    now += milliseconds(100);
    recordActions(dispatcher.tick(now));
    EXPECT_TRUE(dispatcher.drained());
    EXPECT_EQ(replies, (Texts { "refused draining", "unknown drain_bound_reached", "unknown drain_bound_reached" }));
}

// Guards against dispatch on slots of an outdated view after a suspension of the process.
TEST_F(RequestDispatcherTest, SuspensionStopsDispatchUntilANewView)
{
    start({});
    recordActions(dispatcher.notifySuspension(now));
    send(issue(), false);
    EXPECT_EQ(dispatches, 0);
    recordActions(dispatcher.applyView(makeView(3), now));
    EXPECT_EQ(dispatches, 1);
}

// Guards against a retry storm: retries stay within a tenth of the first attempts plus the one initial token.
TEST(RetryBudget, LimitsRetriesToATenthOfFirstAttempts)
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        recordFirstAttempt(budget);
        retries += tryTakeRetry(budget) ? 1 : 0;
    }
    EXPECT_LE(retries, 101);
    EXPECT_GE(retries, 100);
}

// Guards against starvation of the lower classes, and against lower classes that take more than their minimum fraction.
TEST(Admission, ClassesGetTheirMinimumFractions)
{
    Admission queue(1000, 1000);
    std::vector<QueuedRequest> shed;
    const TimePoint later = TimePoint {} + seconds(100);
    for (std::uint64_t i = 0; i < 3000; ++i) {
        const auto importance = static_cast<Importance>(i % 3);
        EXPECT_EQ(queue.enqueue(importance, 1, { i, later }, {}, {}, shed), EnqueueResult::Queued);
    }
    std::array<int, 3> served {};
    for (int i = 0; i < 1000; ++i) {
        ++served.at(queue.pop({}, {}, shed)->request % 3);
    }
    EXPECT_NEAR(served[1], 150, 10);
    EXPECT_NEAR(served[2], 50, 5);
}

// Guards against ejection of more than a third of a service's upstreams, and against ejected upstreams that never
// return to use.
TEST(Health, EjectsAtMostAThirdAndRecoversByTrials)
{
    UpstreamHealthTable table;
    const auto view = makeView(6);
    TimePoint now = TimePoint {} + seconds(100);
    table.applyView(*view, now);
    for (const UpstreamStatus &status : view->upstreams) {
        for (int i = 0; i < 30; ++i) {
            table.recordFailure(status.upstream.id, ServiceId { 1 }, now);
        }
    }
    const auto count = [&](UpstreamUse use) {
        return std::ranges::count_if(view->upstreams, [&](const auto &s) { return table.use(s, now) == use; });
    };
    EXPECT_EQ(count(UpstreamUse::None), 2);
    now += seconds(31);
    EXPECT_EQ(count(UpstreamUse::Trial), 2);
    for (int i = 0; i < 3; ++i) {
        table.recordSuccess(view->upstreams[0].upstream.id, ServiceId { 1 }, now);
    }
    EXPECT_EQ(count(UpstreamUse::Full), 5);
    for (std::size_t i = 1; i < 5; ++i) {
        view->upstreams[i].usable = false;
    }
    table.applyView(*view, now);
    EXPECT_EQ(count(UpstreamUse::Full), 6) << "fewer than half remain, so all are used";
}

// Guards against spilling while a local slot is free, or although the entry does not allow it.
TEST(UpstreamChoice, LocalFirstThenSpill)
{
    Random random(1);
    std::vector<UpstreamCandidate> candidates(2);
    candidates[0].local = false;
    candidates[0].freeSlots = 5;
    candidates[1].freeSlots = 1;
    EXPECT_EQ(chooseUpstream(candidates, true, random), 1U);
    candidates[1].freeSlots = 0;
    EXPECT_EQ(chooseUpstream(candidates, true, random), 0U);
    EXPECT_EQ(chooseUpstream(candidates, false, random), std::nullopt);
}

} // namespace

} // namespace boragelug
