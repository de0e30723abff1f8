#include "drivers/http_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <charconv>
#include <sstream>
#include <utility>

namespace boragelug
{
namespace
{

namespace http = boost::beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::uint32_t maxHeaderBytes = 8192;
constexpr unsigned int httpVersion = 11;

boost::beast::string_view toBeast(std::string_view text)
{
    return { text.data(), text.size() };
}

std::string_view fromBeast(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

HttpError translate(const boost::system::error_code &error)
{
    if (error == http::error::body_limit || error == http::error::header_limit) {
        return HttpError::TooLarge;
    }
    return error == http::error::need_more ? HttpError::Incomplete : HttpError::BadSyntax;
}

/// Parses a message that fills @p bytes exactly.
template<bool isRequest>
Outcome<http::message<isRequest, http::string_body>, HttpError> parseWhole(std::string_view bytes)
{
    using Result = Outcome<http::message<isRequest, http::string_body>, HttpError>;
    if (bytes.size() > maxHttpMessage) {
        return Result::failure(HttpError::TooLarge);
    }
    http::parser<isRequest, http::string_body> parser;
    parser.header_limit(maxHeaderBytes);
    parser.body_limit(maxHttpMessage);
    parser.eager(true);
    boost::system::error_code error;
    std::size_t used = 0;
    while (!parser.is_done()) {
        const std::size_t step = parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
        used += step;
        if (error) {
            return Result::failure(translate(error));
        }
        if (step == 0 || used == bytes.size()) {
            break;
        }
    }
    if (!parser.is_done()) {
        return Result::failure(HttpError::Incomplete);
    }
    if (used != bytes.size()) {
        return Result::failure(HttpError::TrailingBytes);
    }
    if (parser.chunked()) {
        return Result::failure(HttpError::BadSyntax);
    }
    return parser.release();
}

template<class Message>
std::string serialize(Message &message)
{
    message.prepare_payload();
    std::ostringstream out;
    out << message;
    return std::move(out).str();
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Reads a field with a decimal number up to @p max; false if it is there but not such a number.
template<class Fields>
bool readNumber(const Fields &fields, std::string_view name, std::uint64_t max, std::optional<std::uint64_t> &out)
{
    const auto found = fields.find(toBeast(name));
    if (found == fields.end()) {
        return true;
    }
    out = parseNumber(fromBeast(found->value()));
    return out && *out <= max;
}

template<class Fields>
std::string readText(const Fields &fields, std::string_view name)
{
    return std::string(fromBeast(fields[toBeast(name)]));
}

// A day is far beyond every entry's longest deadline, and keeps the arithmetic on durations in range.
constexpr std::uint64_t maxTimeoutMs = 24ULL * 3600 * 1000;

std::uint64_t toMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::min(maxTimeoutMs, static_cast<std::uint64_t>(std::max<std::int64_t>(0, count)));
}

bool isIdempotent(http::verb method)
{
    switch (method) {
    case http::verb::get:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
    case http::verb::trace:
        return true;
    default:
        return false;
    }
}

CallerIntent intentOf(const Request &request)
{
    if (request.method() == http::verb::post && fromBeast(request.target()) == http_names::idTarget) {
        return CallerIntent::IssueId;
    }
    if (request.method() == http::verb::post && fromBeast(request.target()) == http_names::cancelTarget) {
        return CallerIntent::Cancel;
    }
    return CallerIntent::Request;
}

http::status statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::UnknownEntry:
        return http::status::not_found;
    case RefusalReason::MissingRequestId:
        return http::status::precondition_required;
    case RefusalReason::CallerChosenId:
    case RefusalReason::InvalidTimeout:
        return http::status::bad_request;
    case RefusalReason::RequestIdReused:
        return http::status::unprocessable_entity;
    case RefusalReason::LimitReached:
        return http::status::too_many_requests;
    default:
        return http::status::service_unavailable;
    }
}

void setRetryAfter(Response &response, Duration retryAfter)
{
    if (retryAfter > Duration::zero()) {
        // Retry-After has whole seconds; rounding down would invite a caller too early.
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter).count();
        response.set(http::field::retry_after, std::to_string(seconds));
    }
}

Response makeResponse(const RefusedOutcome &outcome)
{
    Response response(statusOf(outcome.reason), httpVersion);
    response.set(toBeast(http_names::outcome), "refused");
    response.set(toBeast(http_names::reason), toBeast(refusalReasonName(outcome.reason)));
    setRetryAfter(response, outcome.retryAfter);
    return response;
}

Response makeResponse(const UnknownOutcome &outcome)
{
    Response response(http::status::gateway_timeout, httpVersion);
    response.set(toBeast(http_names::outcome), "unknown");
    response.set(toBeast(http_names::reason), toBeast(unknownReasonName(outcome.reason)));
    return response;
}

Response makeResponse(const AnsweredOutcome &outcome)
{
    const auto &payload = outcome.answer ? outcome.answer->payload : nullptr;
    auto parsed = payload ? parseWhole<false>(*payload) : Outcome<Response, HttpError>::failure(HttpError::Incomplete);
    if (!parsed) {
        // Only whole answers reach this point; one that can't be passed on leaves the outcome open.
        return makeResponse(UnknownOutcome { .reason = UnknownReason::AnswerNotKept });
    }
    Response response = std::move(parsed.value());
    response.erase(http::field::connection);
    response.set(toBeast(http_names::outcome), "answered");
    return response;
}

/// Finds the enumerator with the given name among the first @p count ones.
template<class E>
std::optional<E> enumeratorNamed(std::string_view name, E last, std::string_view (*nameOf)(E))
{
    for (int i = 0; i <= static_cast<int>(last); ++i) {
        if (nameOf(static_cast<E>(i)) == name) {
            return static_cast<E>(i);
        }
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(HttpError error)
{
    switch (error) {
    case HttpError::BadSyntax:
        return "bad_syntax";
    case HttpError::Incomplete:
        return "incomplete";
    case HttpError::TooLarge:
        return "too_large";
    case HttpError::TrailingBytes:
        return "trailing_bytes";
    case HttpError::BadField:
        return "bad_field";
    }
    return "unknown";
}

Outcome<CallerMessage, HttpError> decodeCallerMessage(std::string_view datagram)
{
    using Result = Outcome<CallerMessage, HttpError>;
    const auto request = parseWhole<true>(datagram);
    if (!request) {
        return Result::failure(request.lastReason());
    }
    std::optional<std::uint64_t> token;
    std::optional<std::uint64_t> timeoutMs;
    if (!readNumber(*request, http_names::token, UINT64_MAX, token)
        || !readNumber(*request, http_names::timeout, maxTimeoutMs, timeoutMs)) {
        return Result::failure(HttpError::BadField);
    }
    CallerMessage message {
        .intent = intentOf(*request),
        .method = std::string(fromBeast(request->method_string())),
        .target = std::string(fromBeast(request->target())),
        .host = readText(*request, "Host"),
        .requestId = readText(*request, http_names::requestId),
        .token = token.value_or(0),
        .timeout = std::nullopt,
        .idempotent = isIdempotent(request->method()),
        .body = request->body(),
    };
    if (timeoutMs) {
        message.timeout = std::chrono::milliseconds(*timeoutMs);
    }
    return message;
}

std::string encodeCallerMessage(const CallerMessage &message)
{
    Request request;
    request.version(httpVersion);
    request.method_string(toBeast(message.method));
    request.target(toBeast(message.target));
    request.set(http::field::host, toBeast(message.host));
    request.set(toBeast(http_names::token), std::to_string(message.token));
    if (!message.requestId.empty()) {
        request.set(toBeast(http_names::requestId), toBeast(message.requestId));
    }
    if (message.timeout) {
        request.set(toBeast(http_names::timeout), std::to_string(toMilliseconds(*message.timeout)));
    }
    request.body() = message.body;
    return serialize(request);
}

Outcome<std::string, HttpError> withRemainingTime(std::string_view datagram, Duration remaining)
{
    auto request = parseWhole<true>(datagram);
    if (!request) {
        return Outcome<std::string, HttpError>::failure(request.lastReason());
    }
    Request &message = request.value();
    message.set(toBeast(http_names::timeout), std::to_string(toMilliseconds(remaining)));
    message.set(http::field::connection, "close");
    return serialize(message);
}

std::string encodeOutcome(const std::string &requestId, std::uint64_t token, const RequestOutcome &outcome)
{
    Response response = std::visit([](const auto &known) { return makeResponse(known); }, outcome);
    response.set(toBeast(http_names::token), std::to_string(token));
    if (!requestId.empty()) {
        response.set(toBeast(http_names::requestId), toBeast(requestId));
    }
    return serialize(response);
}

std::string encodeIssuedId(const std::string &requestId, std::uint64_t token)
{
    Response response(http::status::created, httpVersion);
    response.set(toBeast(http_names::token), std::to_string(token));
    response.set(toBeast(http_names::requestId), toBeast(requestId));
    return serialize(response);
}

Outcome<CallerAnswer, HttpError> decodeCallerAnswer(std::string_view datagram)
{
    using Result = Outcome<CallerAnswer, HttpError>;
    const auto response = parseWhole<false>(datagram);
    if (!response) {
        return Result::failure(response.lastReason());
    }
    std::optional<std::uint64_t> token;
    std::optional<std::uint64_t> retryAfter;
    if (!readNumber(*response, http_names::token, UINT64_MAX, token)
        || !readNumber(*response, "Retry-After", maxTimeoutMs / 1000, retryAfter)) {
        return Result::failure(HttpError::BadField);
    }
    CallerAnswer answer {
        .status = static_cast<int>(response->result_int()),
        .requestId = readText(*response, http_names::requestId),
        .token = token.value_or(0),
        .outcome = readText(*response, http_names::outcome),
        .reason = readText(*response, http_names::reason),
        .retryAfter = std::nullopt,
        .body = response->body(),
    };
    if (retryAfter) {
        answer.retryAfter = std::chrono::seconds(*retryAfter);
    }
    return answer;
}

Outcome<RequestOutcome, HttpError> decodeOutcome(std::string_view datagram)
{
    using Result = Outcome<RequestOutcome, HttpError>;
    const auto answer = decodeCallerAnswer(datagram);
    if (!answer) {
        return Result::failure(answer.lastReason());
    }
    if (answer->outcome == "answered") {
        return RequestOutcome(AnsweredOutcome { std::make_shared<const UpstreamAnswer>(UpstreamAnswer {
            .status = answer->status,
            .retryAfter = answer->retryAfter,
            .complete = true,
            .payload = std::make_shared<const std::string>(datagram),
        }) });
    }
    const auto refusal = enumeratorNamed(answer->reason, RefusalReason::RecordsFull, refusalReasonName);
    if (answer->outcome == "refused" && refusal) {
        return RequestOutcome(
            RefusedOutcome { .reason = *refusal, .retryAfter = answer->retryAfter.value_or(Duration::zero()) });
    }
    const auto unknown = enumeratorNamed(answer->reason, UnknownReason::DrainBoundReached, unknownReasonName);
    if (answer->outcome == "unknown" && unknown) {
        return RequestOutcome(UnknownOutcome { .reason = *unknown });
    }
    return Result::failure(HttpError::BadField);
}

struct UpstreamAnswerReader::Impl
{
    http::response_parser<http::string_body> parser;
    std::string pending;
    State state = State::NeedsMore;

    explicit Impl(bool answersHead)
    {
        parser.skip(answersHead);
        parser.header_limit(maxHeaderBytes);
        parser.body_limit(maxHttpMessage - maxHeaderBytes);
        parser.eager(true);
    }

    /// Whether the header, once complete, announces an exact length.
    bool lengthKnown() const { return !parser.is_header_done() || parser.content_length().has_value(); }
};

UpstreamAnswerReader::UpstreamAnswerReader(bool answersHead)
    : impl_(std::make_unique<Impl>(answersHead))
{ }

UpstreamAnswerReader::~UpstreamAnswerReader() = default;
UpstreamAnswerReader::UpstreamAnswerReader(UpstreamAnswerReader &&) noexcept = default;
UpstreamAnswerReader &UpstreamAnswerReader::operator=(UpstreamAnswerReader &&) noexcept = default;

UpstreamAnswerReader::State UpstreamAnswerReader::feed(std::string_view bytes)
{
    if (impl_->state != State::NeedsMore) {
        return impl_->state;
    }
    impl_->pending.append(bytes);
    boost::system::error_code error;
    while (!impl_->pending.empty() && !impl_->parser.is_done()) {
        const std::size_t used = impl_->parser.put(boost::asio::buffer(impl_->pending), error);
        impl_->pending.erase(0, used);
        if (error == http::error::need_more || (!error && used == 0)) {
            break;
        }
        if (error || !impl_->lengthKnown()) {
            return impl_->state = State::Bad;
        }
    }
    if (!impl_->lengthKnown()) {
        return impl_->state = State::Bad;
    }
    if (impl_->parser.is_done()) {
        // Bytes after the answer mean that the two sides disagree on its length.
        impl_->state = impl_->pending.empty() ? State::Complete : State::Bad;
    }
    return impl_->state;
}

UpstreamAnswer UpstreamAnswerReader::answer() const
{
    assert(impl_->state == State::Complete);
    Response response = impl_->parser.get();
    std::optional<std::uint64_t> seconds;
    UpstreamAnswer answer;
    answer.status = static_cast<int>(response.result_int());
    if (readNumber(response, "Retry-After", maxTimeoutMs / 1000, seconds) && seconds) {
        answer.retryAfter = std::chrono::seconds(*seconds);
    }
    answer.payload = std::make_shared<const std::string>(serialize(response));
    return answer;
}

} // namespace boragelug
