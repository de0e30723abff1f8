#include "requests/request_dispatcher.h"

#include <gtest/gtest.h>

#include <array>
#include <set>

namespace boragelug
{

namespace
{

using std::chrono::milliseconds;

constexpr Endpoint entry { Ipv4Address { 0x0a000001 }, Port { 80 } };
constexpr auto timeout = milliseconds(500);
constexpr std::size_t copies = 3;

/// A message in transit or a pending step. Any of those that are pending can happen next.
struct Message
{
    enum class Kind : std::uint8_t { Copy, Forward, ForwardReply, Send, Execute, Result } kind = Kind::Copy;
    std::size_t vm = 0;
    std::size_t copy = 0;
    ForwardToIssuer forward;
    RequestOutcome outcome;
    AttemptId attempt;
    bool executed = false;
};

std::shared_ptr<const View> makeView(std::size_t self, std::uint64_t issuerIncarnation)
{
    auto view = std::make_shared<View>();
    view->self = VmId { self + 1 };
    view->selfZone = ZoneId { static_cast<std::uint16_t>(self + 1) };
    view->catalogue.version = CatalogueVersion { 1 };
    view->catalogue.zones = { { ZoneId { 1 }, "a", "r" }, { ZoneId { 2 }, "b", "r" } };
    view->catalogue.services = { { ServiceId { 1 }, "s", 1, 100, {} } };
    Entry item;
    item.name = EntryName { "entry" };
    item.service = ServiceId { 1 };
    item.address = entry;
    item.kind = EntryKind::Requests;
    item.maxDeadline = std::chrono::seconds(5);
    item.allowSpill = true;
    view->catalogue.entries = { item };
    for (std::uint64_t i = 0; i < 2; ++i) {
        Member member;
        member.vm.id = VmId { i + 1 };
        member.vm.incarnation = Incarnation { i == 0 ? issuerIncarnation : 1 };
        member.vm.zone = ZoneId { static_cast<std::uint16_t>(i + 1) };
        view->members.push_back(member);
        UpstreamStatus host;
        host.upstream.id = UpstreamId { i + 1 };
        host.upstream.incarnation = Incarnation { 1 };
        host.upstream.service = ServiceId { 1 };
        host.upstream.zone = ZoneId { 1 };
        view->upstreams.push_back(host);
    }
    return view;
}

DispatcherConfig modelConfig()
{
    DispatcherConfig config;
    config.idLifetime = std::chrono::seconds(2);
    config.leaseTime = std::chrono::seconds(1);
    return config;
}

/// One state of the model: the two real dispatchers, the messages in transit, and the results so far.
struct State
{
    std::array<RequestDispatcher, 2> vms { RequestDispatcher(modelConfig(), VmId { 1 }, Incarnation { 1 }, 1),
                                           RequestDispatcher(modelConfig(), VmId { 2 }, Incarnation { 1 }, 2) };
    TimePoint now = TimePoint {} + std::chrono::seconds(3);
    std::string id;
    std::vector<Message> messages;
    bool crashed = false;
    int suspensions = 0;
    int executions = 0;
    std::array<int, copies> replies {};
    /// Copies that had no reply at the time of the crash. Their reply may have been lost in the crash.
    std::array<bool, copies> mayLackReply {};
    bool answered = false;
    bool refused = false;
};

struct Totals
{
    std::uint64_t paths = 0;
    std::uint64_t steps = 0;
    std::uint64_t executedTwice = 0;
    std::uint64_t refusedButExecuted = 0;
    std::uint64_t contradictory = 0;
    std::uint64_t replyCountWrong = 0;
    std::uint64_t answeredPaths = 0;
    std::uint64_t refusedPaths = 0;
};

void applyActions(State &state, std::size_t vm, const RequestActions &actions)
{
    for (const RequestAction &action : actions) {
        Message message;
        message.vm = vm;
        if (const auto *dispatch = std::get_if<DispatchAttempt>(&action)) {
            message.kind = Message::Kind::Send;
            message.attempt = dispatch->attempt;
        } else if (const auto *forward = std::get_if<ForwardToIssuer>(&action)) {
            message.kind = Message::Kind::Forward;
            message.forward = *forward;
        } else if (const auto *reply = std::get_if<ReplyToCaller>(&action)) {
            if (!reply->to.forwardedBy) {
                ++state.replies.at(reply->to.token);
                state.answered = state.answered || std::holds_alternative<AnsweredOutcome>(reply->outcome);
                state.refused = state.refused || std::holds_alternative<RefusedOutcome>(reply->outcome);
                continue;
            }
            message.kind = Message::Kind::ForwardReply;
            message.copy = reply->to.token;
            message.outcome = reply->outcome;
        } else {
            continue;
        }
        state.messages.push_back(message);
    }
}

CallerRequest copyRequest(const State &state, std::size_t copy)
{
    CallerRequest request;
    request.entry = entry;
    request.idText = state.id;
    request.timeout = timeout;
    request.payload = std::make_shared<const std::string>("order");
    request.replyTo = { { Ipv4Address { 1 }, Port { 1 } }, copy, std::nullopt };
    return request;
}

/// Delivers one message. @p variant selects the result of an execution: executed and answered (0), executed but
/// connection lost (1), or shed (2).
void deliver(State &state, const Message &message, int variant)
{
    RequestDispatcher &vm = state.vms.at(message.vm);
    switch (message.kind) {
    case Message::Kind::Copy:
        applyActions(state, message.vm, vm.handleCallerRequest(copyRequest(state, message.copy), state.now));
        break;
    case Message::Kind::Forward:
        applyActions(state, 0, state.vms[0].handleCallerRequest(message.forward.request, state.now));
        break;
    case Message::Kind::ForwardReply:
        applyActions(state, 1, state.vms[1].handleForwardedOutcome(message.copy, message.outcome, state.now));
        break;
    case Message::Kind::Send: {
        // Worst case for the driver: the process is suspended between its check of the deadline and sending.
        Message execute = message;
        execute.kind = Message::Kind::Execute;
        state.messages.push_back(execute);
        break;
    }
    case Message::Kind::Execute: {
        Message result = message;
        result.kind = Message::Kind::Result;
        result.executed = variant < 2;
        result.copy = static_cast<std::size_t>(variant);
        state.executions += result.executed ? 1 : 0;
        state.messages.push_back(result);
        break;
    }
    case Message::Kind::Result: {
        if (message.copy == 1) {
            applyActions(state, 0, vm.handleAttemptFailed(message.attempt, AttemptFailure::ConnectionLost, state.now));
            break;
        }
        UpstreamAnswer answer;
        answer.status = message.executed ? 200 : 503;
        if (!message.executed) {
            answer.retryAfter = milliseconds(10);
        }
        applyActions(state, 0, vm.handleAnswer(message.attempt, Incarnation { 1 }, answer, state.now));
        break;
    }
    }
}

void crashIssuer(State &state)
{
    state.crashed = true;
    std::erase_if(state.messages, [](const Message &message) {
        // Messages within the process are lost, but an execution that has started at the upstream continues.
        return message.vm == 0 && (message.kind == Message::Kind::Send || message.kind == Message::Kind::Result);
    });
    for (std::size_t i = 0; i < copies; ++i) {
        state.mayLackReply.at(i) = state.replies.at(i) == 0;
    }
    state.vms[0] = RequestDispatcher(modelConfig(), VmId { 1 }, Incarnation { 2 }, 3);
    applyActions(state, 0, state.vms[0].applyView(makeView(0, 2), state.now));
}

void finishPath(State state, Totals &totals)
{
    for (int i = 0; i < 8; ++i) {
        state.now += milliseconds(200);
        for (std::size_t vm = 0; vm < 2; ++vm) {
            applyActions(state, vm, state.vms.at(vm).tick(state.now));
        }
        // Late results and forwards still reach the issuer afterwards.
        const std::vector<Message> remaining = std::exchange(state.messages, {});
        for (const Message &message : remaining) {
            deliver(state, message, 0);
        }
    }
    ++totals.paths;
    totals.executedTwice += state.executions > 1 ? 1 : 0;
    totals.refusedButExecuted += state.refused && state.executions > 0 ? 1 : 0;
    totals.contradictory += state.refused && state.answered ? 1 : 0;
    totals.answeredPaths += state.answered ? 1 : 0;
    totals.refusedPaths += state.refused ? 1 : 0;
    bool wrong = false;
    for (std::size_t i = 0; i < copies; ++i) {
        wrong = wrong || state.replies.at(i) > 1 || (state.replies.at(i) == 0 && !state.mayLackReply.at(i));
    }
    totals.replyCountWrong += wrong ? 1 : 0;
}

/// All possible next states: one message delivered, a crash of the issuer, or a suspension of the processes.
std::vector<State> successors(const State &state)
{
    std::vector<State> result;
    for (std::size_t i = 0; i < state.messages.size(); ++i) {
        const Message message = state.messages[i];
        const int variants = message.kind == Message::Kind::Execute ? 3 : 1;
        for (int variant = 0; variant < variants; ++variant) {
            State &next = result.emplace_back(state);
            next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(i));
            deliver(next, message, variant);
        }
    }
    if (!state.crashed) {
        crashIssuer(result.emplace_back(state));
    }
    // Both clocks pass the deadline (700 ms) or the expiry of the id (3 s) while the processes are suspended.
    for (const auto suspension : { milliseconds(700), milliseconds(3000) }) {
        if (state.suspensions == 0) {
            State &next = result.emplace_back(state);
            ++next.suspensions;
            next.now += suspension;
            applyActions(next, 0, next.vms[0].notifySuspension(next.now));
        }
    }
    return result;
}

/// Explores every order of messages, with at most one crash and one suspension at any point.
void explore(const State &state, Totals &totals)
{
    ++totals.steps;
    if (state.messages.empty()) {
        finishPath(state, totals);
        return;
    }
    for (const State &next : successors(state)) {
        explore(next, totals);
    }
}

State firstState()
{
    State state;
    for (std::size_t vm = 0; vm < 2; ++vm) {
        state.vms.at(vm).applyView(makeView(vm, 1), TimePoint {});
    }
    state.id = *state.vms[0].issueRequestId(entry, state.now);
    // The fabric delivers a datagram twice to the issuer, and one copy of it to the other VM.
    for (std::size_t copy = 0; copy < copies; ++copy) {
        Message message;
        message.vm = copy < 2 ? 0 : 1;
        message.copy = copy;
        state.messages.push_back(message);
    }
    return state;
}

/// The parameter is the index of the first step. One test per first step lets each end within the time limit under the
/// sanitizers.
class Interleavings : public testing::TestWithParam<std::size_t>
{ };

constexpr std::size_t firstSteps = 6;
/// First steps: delivery of one of three copies, a crash, a suspension past the deadline, and a suspension past the
/// expiry of the id. After a crash or the expiry, only `unknown` is possible. After a suspension, nothing is dispatched
/// without a new view.
constexpr std::array<std::uint64_t, firstSteps> minPaths { 10'000, 10'000, 10'000, 100, 50, 100 };
constexpr std::array<bool, firstSteps> canAnswer { true, true, true, false, false, false };
constexpr std::array<bool, firstSteps> canRefuse { true, true, true, false, true, false };

// Guards against an order of duplicate delivery, forwarding, crash, suspension and upstream results in which a
// non-idempotent request is executed twice, is refused although it was executed, or a copy of it does not get exactly
// one outcome.
TEST_P(Interleavings, OneRequestOverTwoVmsKeepsAllGuarantees)
{
    Totals totals;
    const std::vector<State> starts = successors(firstState());
    ASSERT_EQ(starts.size(), firstSteps) << "a first step is not explored";
    explore(starts[GetParam()], totals);
    printf("%lu paths, %lu steps; answered on %lu paths, refused on %lu\n",
           totals.paths,
           totals.steps,
           totals.answeredPaths,
           totals.refusedPaths);
    EXPECT_GE(totals.paths, minPaths.at(GetParam()));
    EXPECT_EQ(totals.answeredPaths > 0, canAnswer.at(GetParam()));
    EXPECT_EQ(totals.refusedPaths > 0, canRefuse.at(GetParam()));
    EXPECT_EQ(totals.executedTwice, 0U);
    EXPECT_EQ(totals.refusedButExecuted, 0U);
    EXPECT_EQ(totals.contradictory, 0U);
    EXPECT_EQ(totals.replyCountWrong, 0U);
}

INSTANTIATE_TEST_SUITE_P(FirstSteps, Interleavings, testing::Range(std::size_t { 0 }, firstSteps));

} // namespace

} // namespace boragelug
