#include "standins/upstream_standin_state.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace boragelug
{
namespace
{

std::string httpAnswer(int status, const std::string &body, const std::string &fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Stand-in\r\n" + fields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

UpstreamResponse immediateAnswer(std::string answer)
{
    return { .kind = UpstreamResponse::Kind::Answer, .delay = {}, .takesSlot = false, .answer = std::move(answer) };
}

} // namespace

UpstreamStandinState::UpstreamStandinState(UpstreamBehaviour behaviour, std::uint64_t seed)
    : behaviour_(std::move(behaviour))
    , random_(seed)
{ }

UpstreamResponse UpstreamStandinState::handleRequest(const CallerMessage &message)
{
    constexpr std::string_view controlPrefix = "/standin/";
    if (message.target == "/standin/counts") {
        return immediateAnswer(httpAnswer(200, counts()));
    }
    if (message.target.starts_with(controlPrefix)) {
        const bool applied = setBehaviour(message.target.substr(controlPrefix.size()), message.body);
        return immediateAnswer(httpAnswer(applied ? 200 : 404, {}));
    }
    if (behaviour_.freeze) {
        return { .kind = UpstreamResponse::Kind::NoAnswer, .delay = {}, .takesSlot = false, .answer = {} };
    }
    if (message.target == "/load") {
        return immediateAnswer(httpAnswer(200, loadReport()));
    }
    if (message.target == "/health") {
        return immediateAnswer(httpAnswer(behaviour_.drain && !behaviour_.lie ? 503 : 200, {}));
    }
    if (message.host != behaviour_.service) {
        return immediateAnswer(httpAnswer(421, {}));
    }
    if (behaviour_.drain || busySlots_ >= behaviour_.slots || random_.chance(behaviour_.shed)) {
        return immediateAnswer(httpAnswer(503, {}, "Retry-After: 1\r\n"));
    }
    return execute(message);
}

UpstreamResponse UpstreamStandinState::execute(const CallerMessage &message)
{
    ++busySlots_;
    ++executedRequests_;
    const std::uint64_t count = message.requestId.empty() ? 1 : ++executionsById_[message.requestId];
    const bool cold = executedRequests_ <= behaviour_.coldRequests;
    const std::string body = "service=" + behaviour_.service + " host=" + std::to_string(behaviour_.host)
        + " executions=" + std::to_string(count) + " echo=" + message.body;
    const bool loseAnswer = random_.chance(behaviour_.loseAnswers);
    return {
        .kind = loseAnswer ? UpstreamResponse::Kind::LoseAnswer : UpstreamResponse::Kind::Answer,
        .delay = behaviour_.work * static_cast<std::int64_t>(cold ? behaviour_.coldFactor : 1),
        .takesSlot = true,
        .answer = httpAnswer(200, body),
    };
}

std::string UpstreamStandinState::answerPacket(const std::string &caller, const std::string &payload)
{
    if (behaviour_.freeze) {
        return {};
    }
    ++flowPackets_;
    const std::uint64_t count = ++packetsByFlow_[caller];
    return "service=" + behaviour_.service + " host=" + std::to_string(behaviour_.host)
        + " packets=" + std::to_string(count) + " echo=" + payload;
}

std::string UpstreamStandinState::counts() const
{
    std::uint64_t mostExecutions = 0;
    for (const auto &[id, count] : executionsById_) {
        mostExecutions = std::max(mostExecutions, count);
    }
    const nlohmann::json object {
        { "service", behaviour_.service }, { "host", behaviour_.host },
        { "executed", executedRequests_ }, { "busy", busySlots_ },
        { "ids", executionsById_.size() }, { "mostExecutionsOfOneId", mostExecutions },
        { "executions", executionsById_ }, { "flows", packetsByFlow_.size() },
        { "flowPackets", flowPackets_ },   { "foreignPackets", foreignPackets_ },
    };
    return object.dump();
}

std::string UpstreamStandinState::loadReport() const
{
    const double load =
        static_cast<double>(busySlots_) / static_cast<double>(std::max<std::uint64_t>(1, behaviour_.slots));
    const nlohmann::json object {
        { "load", behaviour_.lie ? 0.0 : load },
        { "healthy", behaviour_.lie || !behaviour_.drain },
    };
    return object.dump();
}

bool UpstreamStandinState::setBehaviour(const std::string &name, const std::string &value)
{
    const double number = std::strtod(value.c_str(), nullptr);
    if (name == "drain") {
        behaviour_.drain = number != 0;
    } else if (name == "freeze") {
        behaviour_.freeze = number != 0;
    } else if (name == "lie") {
        behaviour_.lie = number != 0;
    } else if (name == "shed") {
        behaviour_.shed = number;
    } else if (name == "lose-answers") {
        behaviour_.loseAnswers = number;
    } else if (name == "work-ms") {
        behaviour_.work = std::chrono::milliseconds(static_cast<std::int64_t>(number));
    } else {
        return false;
    }
    return true;
}

} // namespace boragelug
