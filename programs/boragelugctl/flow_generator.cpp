#include "programs/boragelugctl/flow_generator.h"

#include <algorithm>
#include <charconv>

#include <asio/system_error.hpp>

namespace boragelug
{

namespace
{

constexpr Endpoint anyLocalPort {};
/// A flow whose last packets are all unanswered is broken; single packets may get lost.
constexpr std::size_t packetsThatShowABreak = 3;

/// The word "host=..." in @p text, or nothing.
std::string hostWord(std::string_view text)
{
    const auto start = text.find("host=");
    return start == std::string_view::npos ? std::string()
                                           : std::string(text.substr(start, text.find(' ', start) - start));
}

/// The decimal number in @p text after @p mark.
std::optional<std::uint32_t> numberAfter(std::string_view text, const std::string &mark)
{
    const auto start = text.find(mark);
    if (start == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint32_t number = 0;
    const char *const end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + start + mark.size(), end, number);
    return result.ec == std::errc() ? std::optional(number) : std::nullopt;
}

} // namespace

FlowGenerator::FlowGenerator(asio::io_context &context,
                             const Clock &clock,
                             const LoadDescription &description,
                             const LoadStream &stream,
                             std::uint64_t seed)
    : context_(context)
    , clock_(clock)
    , stream_(stream)
    , seed_(seed)
    , schedule_(stream.rate, clock.now(), clock.now() + description.duration, seed)
{
    result_.name = stream.name;
    result_.importance = stream.importance;
}

void FlowGenerator::tick(TimePoint now)
{
    while (const auto due = schedule_.takeDue(now)) {
        open(*due);
    }
    for (auto position = flows_.begin(); position != flows_.end();) {
        auto &[number, flow] = *position;
        while (flow.sent < stream_.packets && intendedTime(flow, flow.sent) <= now) {
            send(number, flow);
        }
        if (isOver(flow, now)) {
            close(flow);
            position = flows_.erase(position);
        } else {
            ++position;
        }
    }
}

bool FlowGenerator::isOver(const Flow &flow, TimePoint now) const
{
    const bool allAnswered = std::find(flow.answered.begin(), flow.answered.end(), false) == flow.answered.end();
    return flow.sent == stream_.packets
        && (allAnswered || now > intendedTime(flow, stream_.packets - 1) + stream_.deadline);
}

void FlowGenerator::open(TimePoint intended)
{
    ++result_.started;
    const std::uint64_t number = ++lastFlow_;
    try {
        auto socket = std::make_unique<UdpSocket>(context_, anyLocalPort);
        socket->start(
            [this, number](const Endpoint &, std::span<const std::byte> datagram) { receive(number, datagram); });
        Flow flow;
        flow.opened = intended;
        flow.socket = std::move(socket);
        flow.answered.resize(stream_.packets);
        flows_.emplace(number, std::move(flow));
    } catch (const asio::system_error &) {
        // The process has no file descriptors or ports left.
        ++result_.outcomes["not_opened"];
    }
}

void FlowGenerator::send(std::uint64_t number, Flow &flow)
{
    const std::string payload = makePayload(payloadMark(number) + std::to_string(flow.sent) + '-', stream_.size);
    ++flow.sent;
    flow.socket->send(stream_.entry, std::as_bytes(std::span(payload)));
}

void FlowGenerator::receive(std::uint64_t number, std::span<const std::byte> datagram)
{
    const auto found = flows_.find(number);
    if (found == flows_.end()) {
        return;
    }
    Flow &flow = found->second;
    const std::string_view text(reinterpret_cast<const char *>(datagram.data()), datagram.size());
    const std::string mark = payloadMark(number);
    const auto packet = numberAfter(text, mark);
    if (!packet || *packet >= flow.sent
        || !isAnswerTo(text, makePayload(mark + std::to_string(*packet) + '-', stream_.size), stream_.expect)) {
        flow.wrong = true;
        return;
    }
    const std::string host = hostWord(text);
    flow.moved |= !flow.host.empty() && host != flow.host;
    flow.host = host;
    const TimePoint now = clock_.now();
    if (!flow.answered[*packet]) {
        flow.answered[*packet] = true;
        result_.latency.record(now - intendedTime(flow, *packet));
    }
}

void FlowGenerator::close(const Flow &flow)
{
    const auto answers = static_cast<std::size_t>(std::count(flow.answered.begin(), flow.answered.end(), true));
    const std::size_t tail = std::min(packetsThatShowABreak, flow.answered.size());
    const bool endAnswered = std::any_of(
        flow.answered.end() - static_cast<std::ptrdiff_t>(tail), flow.answered.end(), [](bool value) { return value; });
    const char *outcome = "kept";
    if (flow.wrong) {
        outcome = "wrong_answer";
    } else if (answers == 0) {
        outcome = "unanswered";
    } else if (flow.moved || !endAnswered) {
        outcome = "broken";
    }
    ++result_.outcomes[outcome];
    if (answers < flow.answered.size()) {
        result_.outcomes["packets_lost"] += flow.answered.size() - answers;
    }
}

TimePoint FlowGenerator::intendedTime(const Flow &flow, std::uint32_t packet) const
{
    return flow.opened + stream_.interval * static_cast<std::int64_t>(packet);
}

std::string FlowGenerator::payloadMark(std::uint64_t number) const
{
    return "load-" + std::to_string(seed_) + '-' + std::to_string(number) + '-';
}

} // namespace boragelug
