#include "drivers/admin_codec.h"

#include <array>
#include <charconv>
#include <sstream>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

namespace boragelug
{

namespace
{

namespace http = boost::beast::http;

constexpr unsigned httpVersion = 11;
constexpr std::size_t maxQueryParameters = 16;

boost::beast::string_view toBeast(std::string_view text)
{
    return { text.data(), text.size() };
}

std::string_view fromBeast(boost::beast::string_view text)
{
    return { text.data(), text.size() };
}

AdminReadResult refused(int status, std::string_view text)
{
    return { AdminReadState::Refused, {}, textAnswer(status, text) };
}

AdminReadResult checkRequest(const http::request<http::string_body> &request)
{
    if (request.method() != http::verb::get) {
        return refused(405, "only GET is valid here");
    }
    auto target = parseTarget(fromBeast(request.target()));
    if (!target) {
        return refused(400, "the request target is malformed");
    }
    return { AdminReadState::Complete, std::move(*target), {} };
}

/// Decodes %XX and '+'; nothing on a broken escape or a control character.
std::optional<std::string> decodeQueryText(std::string_view text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        char c = text[i];
        if (c == '+') {
            c = ' ';
        } else if (c == '%') {
            unsigned value = 0;
            const char *const digits = text.data() + i + 1;
            if (i + 2 >= text.size() || std::from_chars(digits, digits + 2, value, 16).ptr != digits + 2) {
                return std::nullopt;
            }
            c = static_cast<char>(value);
            i += 2;
        }
        if (static_cast<unsigned char>(c) < 32 || c == 127) {
            return std::nullopt;
        }
        result += c;
    }
    return result;
}

template<class Message>
std::string serialize(const Message &message)
{
    std::ostringstream out;
    out << message;
    return std::move(out).str();
}

} // namespace

AdminReadResult readAdminRequest(std::string_view bytes)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(maxAdminRequest);
    parser.body_limit(std::uint64_t { 0 });
    parser.eager(true);
    boost::system::error_code error;
    std::size_t used = 0;
    while (!parser.is_done() && !error && used < bytes.size()) {
        const std::size_t step = parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
        used += step;
        if (step == 0) {
            break;
        }
    }
    if (error == http::error::header_limit || (!parser.is_done() && bytes.size() >= maxAdminRequest)) {
        return refused(431, "the request is longer than 8192 bytes");
    }
    if (error == http::error::body_limit) {
        return refused(413, "requests with a body are not valid here");
    }
    if (error && error != http::error::need_more) {
        return refused(400, "this is no valid HTTP/1.1 request: " + error.message());
    }
    return parser.is_done() ? checkRequest(parser.get()) : AdminReadResult {};
}

std::string encodeAdminAnswer(const AdminAnswer &answer)
{
    http::response<http::string_body> message(static_cast<http::status>(answer.status), httpVersion);
    message.set(http::field::content_type, toBeast(answer.contentType));
    message.set(http::field::cache_control, "no-store");
    message.set(http::field::connection, "close");
    if (answer.status == 405) {
        message.set(http::field::allow, "GET");
    }
    if (answer.status == 429) {
        message.set(http::field::retry_after, "1");
    }
    message.body() = answer.body;
    message.prepare_payload();
    return serialize(message);
}

std::string encodeAdminRequest(std::string_view target, std::string_view host)
{
    http::request<http::empty_body> message(http::verb::get, toBeast(target), httpVersion);
    message.set(http::field::host, toBeast(host));
    message.set(http::field::connection, "close");
    return serialize(message);
}

Outcome<AdminAnswer, std::string> decodeAdminAnswer(std::string_view bytes, std::size_t maxBody)
{
    using Result = Outcome<AdminAnswer, std::string>;
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxBody);
    parser.eager(true);
    boost::system::error_code error;
    std::size_t used = 0;
    while (!parser.is_done() && !error && used < bytes.size()) {
        const std::size_t step = parser.put(boost::asio::buffer(bytes.data() + used, bytes.size() - used), error);
        used += step;
        if (step == 0) {
            break;
        }
    }
    // Without a length, a connection that breaks looks like the end of the answer.
    if (!error && parser.is_header_done() && !parser.content_length()) {
        return Result::failure("the answer has no Content-Length");
    }
    if (error && error != http::error::need_more) {
        return Result::failure("the answer is no valid HTTP: " + error.message());
    }
    if (!parser.is_done()) {
        return Result::failure("the answer was cut off");
    }
    const auto message = parser.release();
    // With eager parsing, Beast doesn't apply the limit to a body that arrives at once.
    if (message.body().size() > maxBody) {
        return Result::failure("the answer is longer than " + std::to_string(maxBody) + " bytes");
    }
    return AdminAnswer { static_cast<int>(message.result_int()),
                         std::string(fromBeast(message[http::field::content_type])),
                         message.body() };
}

AdminAnswer textAnswer(int status, std::string_view text)
{
    return { status, "text/plain; charset=utf-8", std::string(text) + '\n' };
}

std::string encodeQueryValue(std::string_view text)
{
    constexpr std::string_view plain = "-._~:,";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        const bool isAlphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
        if (isAlphanumeric || plain.find(c) != std::string_view::npos) {
            result += c;
        } else {
            result += { '%', digits[byte >> 4U], digits[byte & 15U] };
        }
    }
    return result;
}

std::optional<AdminRequest> parseTarget(std::string_view target)
{
    if (!target.starts_with('/')) {
        return std::nullopt;
    }
    AdminRequest request;
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    std::string_view rest = mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const std::string_view pair = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        const auto equals = pair.find('=');
        const auto name = decodeQueryText(pair.substr(0, equals));
        const auto value =
            decodeQueryText(equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1));
        const bool valid = name && value && !name->empty() && request.query.size() < maxQueryParameters;
        if (!valid || !request.query.emplace(*name, *value).second) {
            return std::nullopt;
        }
    }
    return request;
}

} // namespace boragelug
