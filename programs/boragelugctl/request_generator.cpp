#include "programs/boragelugctl/request_generator.h"

namespace boragelug
{

namespace
{

using namespace std::chrono_literals;

constexpr Endpoint anyLocalPort {};
/// Beyond this, the run measures its own memory and not the fleet.
constexpr std::size_t maxPending = 200'000;
/// Every request ends before its deadline plus 1 s.
constexpr Duration promisedGrace = 1s;
/// How long a late answer is waited for, to tell it from a missing one.
constexpr Duration lateGrace = 500ms;

std::span<const std::byte> asBytes(const std::string &text)
{
    return std::as_bytes(std::span(text));
}

} // namespace

RequestGenerator::RequestGenerator(asio::io_context &context,
                                   const Clock &clock,
                                   const LoadDescription &description,
                                   const LoadStream &stream,
                                   std::uint64_t seed)
    : clock_(clock)
    , stream_(stream)
    , seed_(seed)
    , schedule_(stream.rate, clock.now(), clock.now() + description.duration, seed)
{
    result_.name = stream.name;
    result_.importance = stream.importance;
    for (std::uint32_t i = 0; i < description.callers; ++i) {
        callers_.push_back(std::make_unique<UdpSocket>(context, anyLocalPort));
        callers_.back()->start([this](const Endpoint &, std::span<const std::byte> datagram) { receive(datagram); });
    }
}

void RequestGenerator::tick(TimePoint now)
{
    while (const auto due = schedule_.takeDue(now)) {
        start(*due, now);
    }
    expire(now);
}

void RequestGenerator::start(TimePoint intended, TimePoint now)
{
    ++result_.started;
    if (pending_.size() >= maxPending) {
        ++result_.outcomes["not_sent"];
        return;
    }
    const std::uint64_t token = ++lastToken_;
    const std::string mark = payloadMark(token);
    Pending &pending = pending_[token];
    pending = { intended, token % callers_.size(), {}, makePayload(mark, stream_.size), false };
    stream_.idempotent ? sendRequest(token, pending, now) : sendIdRequest(token, pending);
}

std::string RequestGenerator::payloadMark(std::uint64_t token) const
{
    return "load-" + std::to_string(seed_) + '-' + std::to_string(token) + '-';
}

void RequestGenerator::sendIdRequest(std::uint64_t token, Pending &pending)
{
    CallerMessage message;
    message.method = "POST";
    message.target = http_names::idTarget;
    message.host = stream_.service;
    message.token = token;
    callers_[pending.caller]->send(stream_.entry, asBytes(encodeCallerMessage(message)));
}

void RequestGenerator::sendRequest(std::uint64_t token, Pending &pending, TimePoint now)
{
    const Duration left = pending.intended + stream_.deadline - now;
    if (left < 1ms) {
        finish(token, "not_sent");
        return;
    }
    CallerMessage message;
    message.method = stream_.idempotent ? "PUT" : "POST";
    message.target = stream_.target;
    message.host = stream_.service;
    message.requestId = pending.requestId;
    message.token = token;
    message.timeout = left;
    message.body = pending.payload;
    pending.sent = true;
    callers_[pending.caller]->send(stream_.entry, asBytes(encodeCallerMessage(message)));
}

void RequestGenerator::receive(std::span<const std::byte> datagram)
{
    const auto answer =
        decodeCallerAnswer(std::string_view(reinterpret_cast<const char *>(datagram.data()), datagram.size()));
    if (!answer) {
        ++result_.outcomes["malformed_datagram"];
        return;
    }
    const auto found = pending_.find(answer->token);
    if (found != pending_.end()) {
        handleAnswer(found->first, found->second, *answer);
    }
}

void RequestGenerator::handleAnswer(std::uint64_t token, Pending &pending, const CallerAnswer &answer)
{
    const TimePoint now = clock_.now();
    if (answer.outcome.empty()) {
        // An issued id; a repeated one is ignored, since the request was already sent with the first.
        if (!pending.sent && !answer.requestId.empty()) {
            pending.requestId = answer.requestId;
            sendRequest(token, pending, now);
        }
        return;
    }
    if (answer.outcome != "answered") {
        finish(token, answer.outcome + ": " + answer.reason);
        return;
    }
    const bool ok = answer.status >= 200 && answer.status < 300;
    const bool isOwn = pending.requestId.empty() || answer.requestId == pending.requestId;
    if (!isOwn || !pending.sent || (ok && !isAnswerTo(answer.body, pending.payload, stream_.expect))) {
        finish(token, "wrong_answer");
        return;
    }
    result_.latency.record(now - pending.intended);
    if (now > pending.intended + stream_.deadline + promisedGrace) {
        finish(token, "late_answer");
        return;
    }
    finish(token, ok ? "answered" : "answered: status " + std::to_string(answer.status));
}

void RequestGenerator::finish(std::uint64_t token, const std::string &outcome)
{
    ++result_.outcomes[outcome];
    pending_.erase(token);
}

void RequestGenerator::expire(TimePoint now)
{
    while (oldestToken_ <= lastToken_) {
        const auto found = pending_.find(oldestToken_);
        if (found != pending_.end()) {
            if (now <= found->second.intended + stream_.deadline + promisedGrace + lateGrace) {
                return;
            }
            finish(oldestToken_, found->second.sent ? "no_answer" : "no_request_id");
        }
        ++oldestToken_;
    }
}

} // namespace boragelug
