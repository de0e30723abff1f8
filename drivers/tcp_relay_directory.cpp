#include "drivers/tcp_relay_directory.h"

#include "drivers/relay_codec.h"
#include "drivers/udp_socket.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace boragelug
{

/// A connection to one VM. Keeps itself alive while a call is in progress.
class TcpRelayDirectory::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &context, const Endpoint &relay)
        : relay_(relay)
        , socket_(context)
        , timer_(context)
        , connectTimer_(context)
    { }

    const Endpoint &relay() const { return relay_; }
    bool isBroken() const { return broken_; }
    bool isBusy() const { return done_ != nullptr; }

    /// Ends the call in progress with a failure, soon but not at once.
    void replaceCall()
    {
        asio::post(socket_.get_executor(), [done = std::exchange(done_, nullptr), id = id_] {
            done({ .callId = id,
                   .result = DirectoryFailure { .error = DirectoryError::Unreachable,
                                                .detail = "another call was started" } });
        });
        close();
    }

    /// Whether the call with this id is in progress.
    bool hasCall(std::uint64_t id) const { return done_ && id_ == id; }
    std::size_t receivedBytes() const { return receivedBytes_; }

    void call(const DirectoryCall &call, std::vector<std::byte> request, Done done)
    {
        const std::uint64_t id = call.id;
        id_ = id;
        done_ = std::move(done);
        out_ = std::move(request);
        receivedBytes_ = 0;
        timer_.expires_after(call.timeout);
        timer_.async_wait([self = shared_from_this(), id](const asio::error_code &error) {
            if (!error && id == self->id_) {
                self->fail(DirectoryError::TimedOut, "no answer of the relay in time");
            }
        });
        if (socket_.is_open()) {
            send();
            return;
        }
        if (call.connectTimeout > Duration::zero()) {
            connectTimer_.expires_after(call.connectTimeout);
            connectTimer_.async_wait([self = shared_from_this(), id](const asio::error_code &error) {
                if (!error && id == self->id_) {
                    self->fail(DirectoryError::Unreachable, "no connection to the relay in time");
                }
            });
        }
        socket_.async_connect(toTcpEndpoint(relay_), [self = shared_from_this()](const asio::error_code &error) {
            self->connectTimer_.cancel();
            if (error) {
                self->fail(DirectoryError::Unreachable, error.message());
                return;
            }
            asio::error_code ignored;
            self->socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            self->send();
        });
    }

    void close()
    {
        broken_ = true;
        done_ = nullptr;
        asio::error_code ignored;
        timer_.cancel();
        connectTimer_.cancel();
        socket_.close(ignored);
    }

private:
    void send()
    {
        asio::async_write(
            socket_, asio::buffer(out_), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                if (error) {
                    self->fail(DirectoryError::Unreachable, error.message());
                } else {
                    self->readLength();
                }
            });
    }

    void readLength()
    {
        asio::async_read(
            socket_, asio::buffer(length_), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                if (error) {
                    self->fail(DirectoryError::Unreachable, error.message());
                    return;
                }
                const auto length = decodeRelayLength(self->length_);
                if (!length) {
                    self->fail(DirectoryError::Malformed, "answer of the relay is too long");
                    return;
                }
                self->readAnswer(*length);
            });
    }

    void readAnswer(std::size_t length)
    {
        in_.resize(length);
        asio::async_read(
            socket_, asio::buffer(in_), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                if (error) {
                    self->fail(DirectoryError::Unreachable, error.message());
                    return;
                }
                self->receivedBytes_ = self->in_.size();
                auto answer = decodeRelayAnswer(self->in_);
                if (!answer) {
                    self->fail(DirectoryError::Malformed, "answer of the relay can't be read");
                    return;
                }
                if (answer->requestId != 0 && answer->requestId != self->id_) {
                    self->fail(DirectoryError::Malformed, "answer of the relay belongs to another request");
                    return;
                }
                self->timer_.cancel();
                self->end({ .callId = self->id_, .result = std::move(answer->changes) });
            });
    }

    void fail(DirectoryError error, std::string detail)
    {
        if (!done_) {
            return;
        }
        const Done done = std::exchange(done_, nullptr);
        close();
        done({ .callId = id_, .result = DirectoryFailure { .error = error, .detail = std::move(detail) } });
    }

    void end(DirectoryAnswer answer)
    {
        if (const Done done = std::exchange(done_, nullptr)) {
            done(std::move(answer));
        }
    }

    Endpoint relay_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer connectTimer_;
    std::size_t receivedBytes_ = 0;
    bool broken_ = false;
    std::uint64_t id_ = 0;
    Done done_;
    std::array<std::byte, relayLengthBytes> length_ {};
    std::vector<std::byte> out_;
    std::vector<std::byte> in_;
};

TcpRelayDirectory::TcpRelayDirectory(asio::io_context &context, const Endpoint &self, std::string zone)
    : context_(context)
    , self_(self)
    , zone_(std::move(zone))
{ }

TcpRelayDirectory::~TcpRelayDirectory()
{
    if (connection_) {
        connection_->close();
    }
}

void TcpRelayDirectory::call(const DirectoryCall &call, Done done)
{
    if (connection_ && connection_->isBusy()) {
        connection_->replaceCall();
    }
    if (!connection_ || connection_->isBroken() || connection_->relay() != call.relay) {
        if (connection_) {
            connection_->close();
        }
        connection_ = std::make_shared<Connection>(context_, call.relay);
    }
    const RelayRequestMessage message { .request = { .after = call.after,
                                                     .catalogue = call.catalogue,
                                                     .wait = call.wait,
                                                     .listening = self_,
                                                     .zone = zone_,
                                                     .speeds = call.speeds },
                                        .id = call.id,
                                        .acceptsPacked = true };
    connection_->call(call, encodeRelayRequest(message), std::move(done));
}

void TcpRelayDirectory::cancel(std::uint64_t callId)
{
    if (connection_ && connection_->hasCall(callId)) {
        connection_->close();
    }
}

std::size_t TcpRelayDirectory::receivedBytes(std::uint64_t callId) const
{
    return connection_ && connection_->hasCall(callId) ? connection_->receivedBytes() : 0;
}

} // namespace boragelug
