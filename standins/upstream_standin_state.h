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

/// How a host behaves; each field can be changed while it runs.
struct UpstreamBehaviour
{
    std::string service;
    std::uint64_t host = 0;
    std::uint64_t slots = 3;
    Duration work = std::chrono::milliseconds(5);
    /// A host that started cold needs @c coldFactor times as long for its first @c coldRequests requests.
    std::uint64_t coldRequests = 0;
    std::uint64_t coldFactor = 10;
    /// Refuses new requests with 503 and Retry-After and says in its health that it drains.
    bool drain = false;
    /// Refuses this share of requests with 503 and Retry-After, without executing them.
    double shed = 0;
    /// Accepts connections and packets but answers nothing.
    bool freeze = false;
    /// Reports no load and good health whatever happens.
    bool lie = false;
    /// Executes this share of requests but closes the connection without an answer.
    double loseAnswers = 0;
};

/// What to do with a request that a host received.
struct UpstreamResponse
{
    enum class Kind : std::uint8_t { Answer, NoAnswer, LoseAnswer };

    Kind kind = Kind::Answer;
    /// When the answer is due, from now.
    Duration delay {};
    /// Whether the request takes a slot until it is answered or its connection closes.
    bool takesSlot = false;
    std::string answer;
};

/// State of one host without its sockets. The seed fixes its random decisions.
class UpstreamStandinState
{
public:
    UpstreamStandinState(UpstreamBehaviour behaviour, std::uint64_t seed);

    /// Decides on a request and counts its execution. POST /standin/NAME with a value as body sets a behaviour;
    /// GET /standin/counts, /health and /load report.
    UpstreamResponse handleRequest(const CallerMessage &message);

    /// A request that took a slot has ended.
    void releaseSlot() { --busySlots_; }

    /// Text that answers a packet of a flow from @p caller; empty while the host is frozen.
    std::string answerPacket(const std::string &caller, const std::string &payload);

    /// A packet of another service arrived.
    void countForeignPacket() { ++foreignPackets_; }

    /// What the host has done so far, as JSON.
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
