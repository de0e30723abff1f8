#include "drivers/platform_http_codec.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

// Beast's headers need Boost.Asio; they stay in this file. Sockets use standalone Asio.
namespace boragelug
{

namespace
{

namespace http = boost::beast::http;

constexpr std::uint32_t maxHeaderBytes = 8192;
constexpr std::uint64_t maxRequestBody = 1U << 20U;

template<bool isRequest>
std::string serializeMessage(http::message<isRequest, http::string_body> &message)
{
    std::string bytes;
    http::serializer<isRequest, http::string_body> serializer(message);
    boost::beast::error_code error;
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](boost::beast::error_code & /*error*/, const auto &buffers) {
            std::size_t taken = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                bytes.append(static_cast<const char *>(buffer.data()), buffer.size());
                taken += buffer.size();
            }
            serializer.consume(taken);
        });
    }
    return bytes;
}

template<class Message>
HttpFields fieldsOf(const Message &message)
{
    HttpFields fields;
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
        fields[name] = std::string(field.value());
    }
    return fields;
}

template<class Parser>
class Reader
{
public:
    explicit Reader(std::uint64_t maxBody)
        : maxBody_(maxBody)
    {
        parser_.body_limit(maxBody);
        parser_.header_limit(maxHeaderBytes);
        parser_.eager(true);
    }

    HttpProgress feed(std::string_view bytes)
    {
        // The parser wants unconsumed bytes again together with the next ones.
        pending_.append(bytes);
        while (!pending_.empty() && !parser_.is_done()) {
            boost::beast::error_code error;
            const std::size_t used = parser_.put(boost::asio::buffer(pending_), error);
            pending_.erase(0, used);
            if (error == http::error::need_more) {
                break;
            }
            if (error) {
                return error == http::error::body_limit ? HttpProgress::TooLarge : HttpProgress::Malformed;
            }
            if (used == 0) {
                break;
            }
        }
        // Beast 1.74 let a response with a Content-Length over its body limit pass.
        const auto length = parser_.is_header_done() ? parser_.content_length() : boost::none;
        if (parser_.get().body().size() > maxBody_ || (length && *length > maxBody_)) {
            return HttpProgress::TooLarge;
        }
        return parser_.is_done() ? HttpProgress::Complete : HttpProgress::NeedMore;
    }

    HttpProgress finish()
    {
        if (!parser_.got_some()) {
            return HttpProgress::Malformed;
        }
        boost::beast::error_code error;
        parser_.put_eof(error);
        return !error && parser_.is_done() ? HttpProgress::Complete : HttpProgress::Malformed;
    }

    Parser &parser() { return parser_; }

private:
    Parser parser_;
    std::uint64_t maxBody_;
    std::string pending_;
};

} // namespace

std::string serialize(const PlatformHttpRequest &request)
{
    http::request<http::string_body> message(http::verb::get, request.target, 11);
    message.method_string(request.method);
    for (const auto &[name, value] : request.fields) {
        message.set(name, value);
    }
    message.body() = request.body;
    if (!request.body.empty()) {
        message.content_length(request.body.size());
    }
    return serializeMessage(message);
}

std::string serialize(const PlatformHttpResponse &response)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    for (const auto &[name, value] : response.fields) {
        message.set(name, value);
    }
    message.body() = response.body;
    constexpr unsigned notModified = 304;
    if (response.status != notModified) {
        message.content_length(response.body.size());
    }
    return serializeMessage(message);
}

class PlatformResponseReader::State : public Reader<http::response_parser<http::string_body>>
{
public:
    using Reader::Reader;
};

PlatformResponseReader::PlatformResponseReader(std::size_t maxBodyBytes)
    : state_(std::make_unique<State>(maxBodyBytes))
{ }

PlatformResponseReader::~PlatformResponseReader() = default;

HttpProgress PlatformResponseReader::feed(std::string_view bytes)
{
    return state_->feed(bytes);
}

HttpProgress PlatformResponseReader::finish()
{
    return state_->finish();
}

PlatformHttpResponse PlatformResponseReader::take()
{
    auto message = state_->parser().release();
    PlatformHttpResponse response;
    response.status = message.result_int();
    response.fields = fieldsOf(message);
    response.body = std::move(message.body());
    return response;
}

class PlatformRequestReader::State : public Reader<http::request_parser<http::string_body>>
{
public:
    using Reader::Reader;
};

PlatformRequestReader::PlatformRequestReader()
    : state_(std::make_unique<State>(maxRequestBody))
{ }

PlatformRequestReader::~PlatformRequestReader() = default;

HttpProgress PlatformRequestReader::feed(std::string_view bytes)
{
    return state_->feed(bytes);
}

PlatformHttpRequest PlatformRequestReader::take()
{
    auto message = state_->parser().release();
    PlatformHttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    request.fields = fieldsOf(message);
    request.body = std::move(message.body());
    return request;
}

} // namespace boragelug
