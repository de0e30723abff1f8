#include "standins/caller_standin_requests.h"

#include <span>
#include <utility>

namespace boragelug
{
namespace
{

constexpr Endpoint anyLoopbackPort { .address = Ipv4Address { 0x7F000001 }, .port = Port { 0 } };
// Doubled with each copy: copies of an idempotent request that reach further VMs are executed there too.
constexpr Duration firstRepeat = std::chrono::seconds(1);
// The design gives every request an outcome within its deadline plus 1 s; the rest allows for a busy machine.
constexpr Duration grace = std::chrono::seconds(5);

/// The issuer's VM in the text form of an issued id, "blg1-<vm>-...".
std::string issuerOf(const std::string &requestId)
{
    return requestId.starts_with("blg1-") && requestId.size() > 21 ? requestId.substr(5, 16) : "none";
}

} // namespace

CallerRequests::CallerRequests(
    AsioRuntime &runtime, CallerEntry entry, Duration timeout, std::uint64_t worker, RequestCounts &counts)
    : runtime_(runtime)
    , entry_(std::move(entry))
    , timeout_(timeout)
    , name_("worker-" + std::to_string(worker))
    , counts_(counts)
    , socket_(runtime.context(), anyLoopbackPort)
{
    socket_.start([this](const Endpoint &, std::span<const std::byte> datagram) { receive(datagram); });
}

void CallerRequests::tick(bool startNew)
{
    const TimePoint now = runtime_.clock().now();
    if (step_ == Step::Idle) {
        if (startNew) {
            startNext();
        }
        return;
    }
    if (now > deadline_) {
        ++(step_ == Step::WaitsForId ? counts_.idsMissed : counts_.silent);
        finish();
        return;
    }
    if (now >= nextSend_) {
        send();
    }
}

void CallerRequests::startNext()
{
    ++started_;
    if (started_ % 2 == 0) {
        // An id of the caller's own choice lets a VM recognize copies.
        startRequest("PUT", name_ + "-" + std::to_string(started_));
        return;
    }
    message_ = {};
    message_.method = "POST";
    message_.target = http_names::idTarget;
    message_.host = entry_.service;
    message_.token = ++lastToken_;
    step_ = Step::WaitsForId;
    deadline_ = runtime_.clock().now() + timeout_ + grace;
    repeatAfter_ = firstRepeat;
    send();
}

void CallerRequests::startRequest(const std::string &method, const std::string &requestId)
{
    message_ = {};
    message_.method = method;
    message_.target = "/lots";
    message_.host = entry_.service;
    message_.requestId = requestId;
    message_.token = ++lastToken_;
    message_.timeout = timeout_;
    message_.body = name_ + "/" + std::to_string(message_.token);
    step_ = Step::WaitsForOutcome;
    deadline_ = runtime_.clock().now() + timeout_ + grace;
    repeatAfter_ = firstRepeat;
    send();
}

void CallerRequests::send()
{
    const std::string text = encodeCallerMessage(message_);
    socket_.send(entry_.fabric, std::as_bytes(std::span(text)));
    nextSend_ = runtime_.clock().now() + repeatAfter_;
    repeatAfter_ *= 2;
}

void CallerRequests::receive(std::span<const std::byte> datagram)
{
    const auto answer =
        decodeCallerAnswer(std::string_view(reinterpret_cast<const char *>(datagram.data()), datagram.size()));
    // An answer with another token is a late one to an earlier message.
    if (!answer || step_ == Step::Idle || answer->token != message_.token) {
        return;
    }
    if (step_ == Step::WaitsForId) {
        receiveId(*answer);
    } else {
        receiveOutcome(*answer);
    }
}

void CallerRequests::receiveId(const CallerAnswer &answer)
{
    if (answer.status == 201 && !answer.requestId.empty()) {
        ++counts_.idsObtained;
        startRequest("POST", answer.requestId);
        return;
    }
    ++counts_.idsMissed;
    ++counts_.reasons[answer.reason];
    finish();
}

void CallerRequests::receiveOutcome(const CallerAnswer &answer)
{
    if (answer.outcome == "answered") {
        checkAnswer(answer);
    } else if (answer.outcome == "refused") {
        ++counts_.refused;
        ++counts_.reasons[answer.reason];
    } else {
        ++counts_.unknown;
        ++counts_.reasons[answer.reason];
        if (answer.reason != unknownReasonName(UnknownReason::DeadlinePassed)) {
            ++counts_.lostByIssuer[issuerOf(message_.requestId)];
        }
    }
    finish();
}

void CallerRequests::checkAnswer(const CallerAnswer &answer)
{
    ++counts_.answered;
    const bool own = echoOf(answer.body) == message_.body && fieldOf(answer.body, "service") == entry_.service
        && answer.requestId == message_.requestId;
    if (!own) {
        ++counts_.crossed;
    }
    if (message_.method == "POST" && fieldOf(answer.body, "executions") != "1") {
        ++counts_.repeated;
    }
}

} // namespace boragelug
