#include "drivers/http_upstream_client.h"

#include "drivers/http_codec.h"
#include "drivers/udp_socket.h"

#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <cassert>
#include <string>
#include <utility>

namespace boragelug
{

/// One connection. Each handler holds a reference, so that it outlives its entry in the client.
class HttpUpstreamClient::Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(HttpUpstreamClient &client, const DispatchAttempt &attempt, Done done)
        : client_(client)
        , attempt_(attempt)
        , done_(std::move(done))
        , startedAt_(client.clock_.now())
        , socket_(client.context_)
        , connectTimer_(client.context_)
        , reader_(attempt.payload && attempt.payload->starts_with("HEAD "))
    { }

    void start()
    {
        connectTimer_.expires_after(std::max(Duration::zero(), attempt_.sendBy - startedAt_));
        connectTimer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && !self->sending_) {
                self->end(AttemptFailure::NotSent);
            }
        });
        socket_.async_connect(toTcpEndpoint(attempt_.endpoint),
                              [self = shared_from_this()](const asio::error_code &error) { self->connected(error); });
    }

    void close()
    {
        ended_ = true;
        connectTimer_.cancel();
        asio::error_code ignored;
        socket_.close(ignored);
    }

private:
    void connected(const asio::error_code &error)
    {
        if (ended_) {
            return;
        }
        if (error) {
            end(error == asio::error::connection_refused ? AttemptFailure::RefusedByUpstream : AttemptFailure::NotSent);
            return;
        }
        const TimePoint now = client_.clock_.now();
        // Compared right before the first byte, since the connection may have taken long.
        if (now > attempt_.sendBy) {
            end(AttemptFailure::NotSent);
            return;
        }
        auto request = withRemainingTime(*attempt_.payload, attempt_.remaining - (now - startedAt_));
        if (!request) {
            end(AttemptFailure::NotSent);
            return;
        }
        sending_ = true;
        request_ = std::move(request.value());
        asio::async_write(socket_,
                          asio::buffer(request_),
                          [self = shared_from_this()](const asio::error_code &writeError, std::size_t) {
                              if (writeError) {
                                  self->end(AttemptFailure::ConnectionLost);
                              }
                          });
        // Reads at once: an upstream may answer before it has read the whole request.
        readMore();
    }

    void readMore()
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                                    self->received(error, size);
                                });
    }

    void received(const asio::error_code &error, std::size_t size)
    {
        if (ended_) {
            return;
        }
        if (error) {
            end(AttemptFailure::ConnectionLost);
            return;
        }
        switch (reader_.feed(std::string_view(buffer_.data(), size))) {
        case UpstreamAnswerReader::State::Complete:
            end(reader_.answer());
            break;
        case UpstreamAnswerReader::State::Bad:
            end(AttemptFailure::ConnectionLost);
            break;
        case UpstreamAnswerReader::State::NeedsMore:
            readMore();
            break;
        }
    }

    void end(AttemptResult result)
    {
        if (ended_) {
            return;
        }
        close();
        client_.finish(attempt_.attempt, done_, std::move(result));
    }

    HttpUpstreamClient &client_;
    DispatchAttempt attempt_;
    Done done_;
    TimePoint startedAt_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer connectTimer_;
    UpstreamAnswerReader reader_;
    std::string request_;
    std::array<char, 8192> buffer_ {};
    bool sending_ = false;
    bool ended_ = false;
};

HttpUpstreamClient::HttpUpstreamClient(asio::io_context &context, const Clock &clock, MetricSink &metrics)
    : context_(context)
    , clock_(clock)
    , metrics_(metrics)
{ }

HttpUpstreamClient::~HttpUpstreamClient()
{
    for (const auto &[id, attempt] : attempts_) {
        attempt->close();
    }
}

void HttpUpstreamClient::send(const DispatchAttempt &attempt, Done done)
{
    assert(attempt.payload && !attempts_.contains(attempt.attempt));
    const auto started = std::make_shared<Attempt>(*this, attempt, std::move(done));
    attempts_.emplace(attempt.attempt, started);
    metrics_.add("boragelug_attempts_total", 1);
    started->start();
}

void HttpUpstreamClient::cancel(const AttemptId &attempt)
{
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end()) {
        return;
    }
    found->second->close();
    attempts_.erase(found);
    metrics_.add("boragelug_attempts_cancelled_total", 1);
}

void HttpUpstreamClient::finish(const AttemptId &attempt, const Done &done, AttemptResult result)
{
    // A copy, because removing the attempt destroys its own callback when no handler holds it.
    const Done callback = done;
    attempts_.erase(attempt);
    callback(std::move(result));
}

} // namespace boragelug
