#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/time_point.h"
#include "drivers/http_codec.h"

#include <cstdint>
#include <map>
#include <string>

namespace boragelug
{

/// Simulated behaviour of an upstream. POST /standin/NAME changes it at run time; NAME is drain, shed, freeze, lie,
/// lose-answers or work-ms.
struct UpstreamBehaviour
{
    std::string service;
    /// Id of the upstream.
    std::uint64_t host = 0;
    /// Limit of concurrent requests.
    std::uint64_t slots = 3;
    /// Time that a request takes.
    Duration work = std::chrono::milliseconds(5);
    /// After a cold start, each of the first @c coldRequests requests takes @c coldFactor times as long.
    std::uint64_t coldRequests = 0;
    std::uint64_t coldFactor = 10;
    /// Refuses new requests with 503 and Retry-After, and reports itself unhealthy at /health and /load.
    bool drain = false;
    /// Probability that a request is refused with 503 and Retry-After without being executed.
    double shed = 0;
    /// Accepts connections and packets, but answers only requests to /standin/.
    bool freeze = false;
    /// Reports zero load and good health regardless of the actual state.
    bool lie = false;
    /// Probability that a request is executed but its connection is closed without an answer.
    double loseAnswers = 0;
};

/// How to respond to a request that the upstream received.
struct UpstreamResponse
{
    enum class Kind : std::uint8_t {
        Answer,
        NoAnswer, ///< Keeps the connection open and does not answer.
        LoseAnswer ///< Closes the connection without an answer.
    };

    Kind kind = Kind::Answer;
    /// Time from now until the answer is sent or, for a lost answer, the connection is closed.
    Duration delay {};
    /// Whether the request occupies a slot until it is answered or its connection closes.
    bool takesSlot = false;
    std::string answer;
};

/// State of one upstream without its sockets. The seed determines its random decisions.
class UpstreamStandinState
{
public:
    UpstreamStandinState(UpstreamBehaviour behaviour, std::uint64_t seed);

    /// Returns how to respond to a request; counts the request if it is executed. POST /standin/NAME sets the behaviour
    /// NAME to the value in the body; GET /standin/counts, /health and /load return reports.
    UpstreamResponse handleRequest(const CallerMessage &message);

    /// Releases the slot of a request that has ended.
    void releaseSlot() { --busySlots_; }

    /// Returns the answer to a packet of the flow from @p caller; empty while the upstream is frozen.
    std::string answerPacket(const std::string &caller, const std::string &payload);

    /// Counts a packet that is malformed or for another service.
    void countForeignPacket() { ++foreignPackets_; }

    /// Returns the counters of requests and packets since the start as JSON.
    std::string counts() const;

    const UpstreamBehaviour &behaviour() const { return behaviour_; }

private:
    UpstreamResponse execute(const CallerMessage &message);
    std::string loadReport() const;
    bool setBehaviour(const std::string &name, const std::string &value);

    UpstreamBehaviour behaviour_;
    Random random_;
    std::uint64_t busySlots_ = 0;
    std::uint64_t executedRequests_ = 0;
    std::uint64_t foreignPackets_ = 0;
    std::uint64_t flowPackets_ = 0;
    std::map<std::string, std::uint64_t> executionsById_;
    std::map<std::string, std::uint64_t> packetsByFlow_;
};

} // namespace boragelug
