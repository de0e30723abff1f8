#include "drivers/http_call.h"

#include "drivers/udp_socket.h"

#include <asio/write.hpp>

#include <utility>

namespace boragelug
{

std::shared_ptr<HttpCall> HttpCall::start(asio::io_context &context,
                                          const Endpoint &server,
                                          PlatformHttpRequest request,
                                          const HttpCallLimits &limits,
                                          Done done)
{
    std::shared_ptr<HttpCall> call(new HttpCall(context, limits, std::move(done)));
    request.fields["Host"] = toString(server);
    request.fields["Connection"] = "close";
    call->request_ = serialize(request);
    call->open(server);
    return call;
}

HttpCall::HttpCall(asio::io_context &context, const HttpCallLimits &limits, Done done)
    : limits_(limits)
    , socket_(context)
    , timer_(context)
    , connectTimer_(context)
    , reader_(limits.maxBodyBytes)
    , done_(std::move(done))
{ }

void HttpCall::expectBytes(Duration timeout)
{
    timer_.expires_after(timeout);
    timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->fail(HttpCallError::TimedOut, "no answer in time");
        }
    });
}

void HttpCall::open(const Endpoint &server)
{
    expectBytes(limits_.timeout);
    connectTimer_.expires_after(limits_.connectTimeout);
    connectTimer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
        if (!error) {
            self->fail(HttpCallError::TimedOut, "no connection in time");
        }
    });
    socket_.async_connect(toTcpEndpoint(server), [self = shared_from_this()](const asio::error_code &error) {
        self->connectTimer_.cancel();
        if (error) {
            self->fail(HttpCallError::Unreachable, error.message());
        } else {
            self->sendRequest();
        }
    });
}

void HttpCall::sendRequest()
{
    asio::async_write(
        socket_, asio::buffer(request_), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
            if (error) {
                self->fail(HttpCallError::Unreachable, error.message());
            } else {
                self->readMore();
            }
        });
}

void HttpCall::readMore()
{
    socket_.async_read_some(
        asio::buffer(buffer_), [self = shared_from_this()](const asio::error_code &error, std::size_t bytes) {
            if (!self->done_) {
                return;
            }
            self->receivedBytes_ += bytes;
            self->advance(error ? self->reader_.finish()
                                : self->reader_.feed(std::string_view(self->buffer_.data(), bytes)));
        });
}

void HttpCall::advance(HttpProgress progress)
{
    switch (progress) {
    case HttpProgress::NeedMore:
        expectBytes(limits_.stallTimeout);
        readMore();
        return;
    case HttpProgress::Malformed:
        fail(HttpCallError::Malformed, "not a complete HTTP response");
        return;
    case HttpProgress::TooLarge:
        fail(HttpCallError::TooLarge, "value over the size limit");
        return;
    case HttpProgress::Complete:
        end(reader_.take());
        return;
    }
}

void HttpCall::fail(HttpCallError error, std::string detail)
{
    end(Result::failure({ error, std::move(detail) }));
}

void HttpCall::end(const Result &result)
{
    const Done done = std::exchange(done_, nullptr);
    if (!done) {
        return;
    }
    const auto self = shared_from_this();
    close();
    done(result);
}

void HttpCall::abandon()
{
    done_ = nullptr;
    close();
}

void HttpCall::close()
{
    asio::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
    connectTimer_.cancel();
}

} // namespace boragelug
