#pragma once

#include "drivers/asio_runtime.h"
#include "drivers/http_codec.h"
#include "drivers/udp_socket.h"
#include "standins/caller_standin_flow.h"

#include <cstdint>
#include <map>
#include <string>

namespace boragelug
{

/// Outcomes of requests, counted over all workers.
struct RequestCounts
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// Requests without an outcome when their timeout and a grace period (outcomeGrace) have passed.
    std::uint64_t silent = 0;
    /// Answers that have the request's token, but another body, service or request id.
    std::uint64_t crossed = 0;
    /// Answers to POST requests that do not report exactly one execution of the request id.
    std::uint64_t repeated = 0;
    std::uint64_t idsObtained = 0;
    /// Attempts to obtain a request id that were refused or got no answer before their deadline.
    std::uint64_t idsMissed = 0;
    /// Refusals, unknown outcomes and failures to get a request id, by reason.
    std::map<std::string, std::uint64_t> reasons;
    /// Unknown outcomes with a reason other than UnknownReason::DeadlinePassed, by the id of the VM that issued the
    /// request id (16 hexadecimal digits; "none" if the caller chose the request id).
    std::map<std::string, std::uint64_t> lostByIssuer;
};

/**
 * Sends one request at a time from its own port, alternately a non-idempotent POST, for which it first obtains a
 * request id, and an idempotent PUT. Retransmits each message until its outcome arrives or its deadline passes, as a
 * caller on a lossy network does.
 */
class CallerWorker
{
public:
    CallerWorker(
        AsioRuntime &runtime, CallerEntry entry, Duration timeout, std::uint64_t number, RequestCounts &counts);

    /// Checks the deadline and retransmits when due; starts the next request if none is in progress and @p startNew.
    /// Call it every 10 ms.
    void tick(bool startNew);

    bool idle() const { return state_ == State::Idle; }

private:
    enum class State : std::uint8_t { Idle, WaitingForId, WaitingForOutcome };

    void startNext();
    void startRequest(const std::string &method, const std::string &requestId);
    void send();
    void receive(std::span<const std::byte> datagram);
    void handleIdAnswer(const CallerAnswer &answer);
    void handleOutcome(const CallerAnswer &answer);
    void recordAnswer(const CallerAnswer &answer);
    void finish() { state_ = State::Idle; }

    AsioRuntime &runtime_;
    CallerEntry entry_;
    Duration timeout_;
    std::string name_;
    RequestCounts &counts_;
    UdpSocket socket_;
    State state_ = State::Idle;
    std::uint64_t lastToken_ = 0;
    std::uint64_t startedRequests_ = 0;
    CallerMessage message_;
    TimePoint deadline_;
    TimePoint nextSendAt_;
    Duration retransmitDelay_ {};
};

} // namespace boragelug
