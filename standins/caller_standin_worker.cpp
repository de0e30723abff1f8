#include "standins/caller_standin_worker.h"

#include <span>
#include <utility>

namespace boragelug
{
namespace
{

constexpr Endpoint anyLoopbackPort { .address = Ipv4Address { 0x7F000001 }, .port = Port { 0 } };
// Doubled after each transmission to send few copies: every copy of an idempotent request that reaches another VM is
// executed there too.
constexpr Duration initialRetransmitDelay = std::chrono::seconds(1);
// By design, the outcome of a request arrives at most 1 s after its timeout; the other 4 s allow for a busy machine.
constexpr Duration outcomeGrace = std::chrono::seconds(5);

/// Returns the VM id (16 hexadecimal digits) in a request id of the form "blg1-<vm>-..."; "none" for other forms.
std::string issuingVm(const std::string &requestId)
{
    return requestId.starts_with("blg1-") && requestId.size() > 21 ? requestId.substr(5, 16) : "none";
}

} // namespace

CallerWorker::CallerWorker(
    AsioRuntime &runtime, CallerEntry entry, Duration timeout, std::uint64_t number, RequestCounts &counts)
    : runtime_(runtime)
    , entry_(std::move(entry))
    , timeout_(timeout)
    , name_("worker-" + std::to_string(number))
    , counts_(counts)
    , socket_(runtime.context(), anyLoopbackPort)
{
    socket_.start([this](const Endpoint &, std::span<const std::byte> datagram) { receive(datagram); });
}

void CallerWorker::tick(bool startNew)
{
    const TimePoint now = runtime_.clock().now();
    if (state_ == State::Idle) {
        if (startNew) {
            startNext();
        }
        return;
    }
    if (now > deadline_) {
        ++(state_ == State::WaitingForId ? counts_.idsMissed : counts_.silent);
        finish();
        return;
    }
    if (now >= nextSendAt_) {
        send();
    }
}

void CallerWorker::startNext()
{
    ++startedRequests_;
    if (startedRequests_ % 2 == 0) {
        // A request id chosen by the caller lets a VM recognize copies of the request.
        startRequest("PUT", name_ + "-" + std::to_string(startedRequests_));
        return;
    }
    message_ = {};
    message_.method = "POST";
    message_.target = http_names::idTarget;
    message_.host = entry_.service;
    message_.token = ++lastToken_;
    state_ = State::WaitingForId;
    deadline_ = runtime_.clock().now() + timeout_ + outcomeGrace;
    retransmitDelay_ = initialRetransmitDelay;
    send();
}

void CallerWorker::startRequest(const std::string &method, const std::string &requestId)
{
    message_ = {};
    message_.method = method;
    message_.target = "/lots";
    message_.host = entry_.service;
    message_.requestId = requestId;
    message_.token = ++lastToken_;
    message_.timeout = timeout_;
    message_.body = name_ + "/" + std::to_string(message_.token);
    state_ = State::WaitingForOutcome;
    deadline_ = runtime_.clock().now() + timeout_ + outcomeGrace;
    retransmitDelay_ = initialRetransmitDelay;
    send();
}

void CallerWorker::send()
{
    const std::string text = encodeCallerMessage(message_);
    socket_.send(entry_.fabricEndpoint, std::as_bytes(std::span(text)));
    nextSendAt_ = runtime_.clock().now() + retransmitDelay_;
    retransmitDelay_ *= 2;
}

void CallerWorker::receive(std::span<const std::byte> datagram)
{
    const auto answer =
        decodeCallerAnswer(std::string_view(reinterpret_cast<const char *>(datagram.data()), datagram.size()));
    // Ignores late answers to earlier messages, which have another token.
    if (!answer || state_ == State::Idle || answer->token != message_.token) {
        return;
    }
    if (state_ == State::WaitingForId) {
        handleIdAnswer(*answer);
    } else {
        handleOutcome(*answer);
    }
}

void CallerWorker::handleIdAnswer(const CallerAnswer &answer)
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

void CallerWorker::handleOutcome(const CallerAnswer &answer)
{
    if (answer.outcome == "answered") {
        recordAnswer(answer);
    } else if (answer.outcome == "refused") {
        ++counts_.refused;
        ++counts_.reasons[answer.reason];
    } else {
        ++counts_.unknown;
        ++counts_.reasons[answer.reason];
        if (answer.reason != unknownReasonName(UnknownReason::DeadlinePassed)) {
            ++counts_.lostByIssuer[issuingVm(message_.requestId)];
        }
    }
    finish();
}

void CallerWorker::recordAnswer(const CallerAnswer &answer)
{
    ++counts_.answered;
    const bool matchesRequest = echoedText(answer.body) == message_.body
        && fieldValue(answer.body, "service") == entry_.service && answer.requestId == message_.requestId;
    if (!matchesRequest) {
        ++counts_.crossed;
    }
    if (message_.method == "POST" && fieldValue(answer.body, "executions") != "1") {
        ++counts_.repeated;
    }
}

} // namespace boragelug
