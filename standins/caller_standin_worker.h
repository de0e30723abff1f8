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

/// What became of requests.
struct RequestCounts
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    /// No outcome within the deadline plus the grace of the design and some more for a slow machine.
    std::uint64_t silent = 0;
    /// Answers that bear the request's token but not its content, service or id.
    std::uint64_t crossed = 0;
    /// Answers from an upstream that executed one request id more than once.
    std::uint64_t repeated = 0;
    std::uint64_t idsObtained = 0;
    std::uint64_t idsMissed = 0;
    /// Refusals and unknown outcomes by reason.
    std::map<std::string, std::uint64_t> reasons;
    /// Unknown outcomes, except of passed deadlines, by the VM that issued the request id, as 16 hexadecimal digits.
    std::map<std::string, std::uint64_t> lostByIssuer;
};

/**
 * Sends one request after the other from its own port: non-idempotent ones with a request id and idempotent ones in
 * turn. Repeats each message until its outcome arrives, like a caller over a lossy network.
 */
class CallerWorker
{
public:
    CallerWorker(
        AsioRuntime &runtime, CallerEntry entry, Duration timeout, std::uint64_t worker, RequestCounts &counts);

    /// Advances timers; starts the next request if none is in progress and @p startNew. Call it every 10 ms.
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
