#include "drivers/tcp_relay_listener.h"

#include "drivers/relay_codec.h"
#include "drivers/udp_socket.h"

#include <absl/cleanup/cleanup.h>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace boragelug
{
namespace
{

/// A request has three fields; more is no request.
constexpr std::size_t maxRequestBytes = 1024;
/// A follower that neither asks nor takes its answer for this long is gone: it asks about twice a second.
constexpr Duration idleTimeout = std::chrono::seconds(10);
/// Delay until connections are accepted again after an error.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(100);

} // namespace

/// One follower. Keeps itself alive while it reads or writes.
class TcpRelayListener::Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::ip::tcp::socket socket, FollowerId id, TcpRelayListener &owner)
        : socket_(std::move(socket))
        , timer_(socket_.get_executor())
        , id_(id)
        , owner_(owner)
        , ownerAlive_(owner.alive_)
    {
        asio::error_code ignored;
        socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    }

    void readLength()
    {
        expectProgress();
        asio::async_read(
            socket_, asio::buffer(length_), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                const auto length = error ? std::nullopt : decodeRelayLength(self->length_);
                if (!length || *length > maxRequestBytes) {
                    self->end();
                    return;
                }
                self->readRequest(*length);
            });
    }

    /// The request that waits for its answer; std::nullopt if there is none. A second answer to a request would be
    /// taken for that of the next one.
    std::optional<RelayRequestMessage> takeRequest() { return std::exchange(lastRequest_, std::nullopt); }

    void send(std::vector<std::byte> bytes)
    {
        out_ = std::move(bytes);
        expectProgress();
        asio::async_write(
            socket_, asio::buffer(out_), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                if (error) {
                    self->end();
                } else {
                    self->readLength();
                }
            });
    }

    void close()
    {
        asio::error_code ignored;
        timer_.cancel();
        socket_.close(ignored);
    }

private:
    void expectProgress()
    {
        timer_.expires_after(idleTimeout);
        timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error) {
                self->end();
            }
        });
    }

    void readRequest(std::size_t length)
    {
        in_.resize(length);
        asio::async_read(
            socket_, asio::buffer(in_), [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                const auto request = error ? std::nullopt : decodeRelayRequest(self->in_);
                if (!request) {
                    self->end();
                } else if (*self->ownerAlive_) {
                    self->lastRequest_ = *request;
                    self->owner_.callbacks_.onRequest(self->id_, request->request);
                }
            });
    }

    void end()
    {
        close();
        if (*ownerAlive_) {
            owner_.remove(id_);
        }
    }

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    FollowerId id_;
    TcpRelayListener &owner_;
    std::shared_ptr<bool> ownerAlive_;
    /// The request that waits for its answer.
    std::optional<RelayRequestMessage> lastRequest_;
    std::array<std::byte, relayLengthBytes> length_ {};
    std::vector<std::byte> in_;
    std::vector<std::byte> out_;
};

TcpRelayListener::TcpRelayListener(asio::io_context &context, const Endpoint &local, MetricSink &metrics)
    : acceptor_(context, toTcpEndpoint(local))
    , acceptTimer_(context)
    , metrics_(metrics)
    , alive_(std::make_shared<bool>(true))
{ }

TcpRelayListener::~TcpRelayListener()
{
    *alive_ = false;
    for (const auto &[id, connection] : connections_) {
        connection->close();
    }
}

void TcpRelayListener::start(Callbacks callbacks)
{
    callbacks_ = std::move(callbacks);
    accept();
}

void TcpRelayListener::accept()
{
    acceptor_.async_accept([this, alive = alive_](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (!*alive || error == asio::error::operation_aborted) {
            return;
        }
        if (error) {
            // Too many open descriptors, for example: to try again at once would keep the process busy.
            acceptLater();
            return;
        }
        const absl::Cleanup next = [this] { accept(); };
        if (connections_.size() < maxConnections) {
            const FollowerId id { ++lastId_ };
            const auto connection = std::make_shared<Connection>(std::move(socket), id, *this);
            connections_.emplace(id, connection);
            connection->readLength();
        } else {
            // The refused follower reads the directory for itself.
            metrics_.add("boragelug_followers_refused_total", 1, {});
        }
    });
}

void TcpRelayListener::acceptLater()
{
    acceptTimer_.expires_after(acceptRetryDelay);
    acceptTimer_.async_wait([this, alive = alive_](const asio::error_code &error) {
        if (*alive && !error) {
            accept();
        }
    });
}

void TcpRelayListener::remove(FollowerId follower)
{
    connections_.erase(follower);
    callbacks_.onGone(follower);
}

void TcpRelayListener::answer(const RelayAnswer &answer)
{
    const auto found = connections_.find(answer.follower);
    const auto request = found != connections_.end() ? found->second->takeRequest() : std::nullopt;
    if (!request) {
        return;
    }
    RelayAnswerMessage message { .changes = answer.changes, .requestId = request->id };
    if (answer.records && !request->acceptsPacked) {
        message.changes.items = *answer.records;
        found->second->send(encodeRelayAnswer(message));
        return;
    }
    if (answer.records && answer.records != packedFrom_) {
        packedFrom_ = answer.records;
        packed_ = packRelayRecords(*answer.records);
    }
    found->second->send(encodeRelayAnswer(message, answer.records ? packed_ : std::string()));
}

Endpoint TcpRelayListener::localEndpoint() const
{
    return fromTcpEndpoint(acceptor_.local_endpoint());
}

} // namespace boragelug
