#include "drivers/admin_server.h"

#include "core/token_bucket.h"
#include "drivers/admin_codec.h"
#include "drivers/admin_routes.h"

#include <algorithm>
#include <array>
#include <set>

#include <absl/cleanup/cleanup.h>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

namespace boragelug
{

namespace
{

using asio::ip::tcp;

/// Pause after a failed accept, such as one for lack of file descriptors, which would otherwise repeat at once.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(100);

/// Paths are counted by name only if they are known, since callers choose them.
std::string pathLabel(const std::string &path)
{
    constexpr std::array<std::string_view, 6> known { "/healthz", "/readyz", "/metrics",
                                                      "/status",  "/events", "/explain" };
    return std::find(known.begin(), known.end(), path) != known.end() ? path : "unknown";
}

} // namespace

struct AdminServer::Impl : std::enable_shared_from_this<AdminServer::Impl>
{
    /// One connection: reads a request, writes an answer, closes.
    struct Connection : std::enable_shared_from_this<Connection>
    {
        Connection(tcp::socket accepted, std::shared_ptr<Impl> owner)
            : socket(std::move(accepted))
            , timer(socket.get_executor())
            , server(std::move(owner))
        { }

        void start()
        {
            startTimer();
            read();
        }

        void startTimer()
        {
            timer.expires_after(server->bounds.timeout);
            timer.async_wait([self = shared_from_this()](const std::error_code &error) {
                if (!error && self->socket.is_open()) {
                    self->server->refuse("timeout");
                    self->close();
                }
            });
        }

        void read()
        {
            socket.async_read_some(asio::buffer(chunk),
                                   [self = shared_from_this()](const std::error_code &error, std::size_t length) {
                                       // A read may have succeeded before stop() closed the socket.
                                       error || !self->socket.is_open() ? self->close() : self->received(length);
                                   });
        }

        void received(std::size_t length)
        {
            request.append(chunk.data(), length);
            const AdminReadResult result = readAdminRequest(request);
            if (result.state == AdminReadState::NeedsMore) {
                read();
                return;
            }
            write(result.state == AdminReadState::Complete ? server->answer(result.request)
                                                           : server->refusal(result.refusal));
        }

        void write(const AdminAnswer &answer)
        {
            message = encodeAdminAnswer(answer);
            startTimer();
            asio::async_write(socket,
                              asio::buffer(message),
                              [self = shared_from_this()](const std::error_code &, std::size_t) { self->finish(); });
        }

        /// Waits for the peer to close: closing first, with unread bytes, would reset the connection and lose the
        /// answer. The timer bounds the wait.
        void finish()
        {
            std::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
            discard();
        }

        void discard()
        {
            socket.async_read_some(asio::buffer(chunk),
                                   [self = shared_from_this()](const std::error_code &error, std::size_t) {
                                       error || !self->socket.is_open() ? self->close() : self->discard();
                                   });
        }

        void close()
        {
            std::error_code ignored;
            socket.close(ignored);
            timer.cancel();
            server->connections.erase(shared_from_this());
        }

        tcp::socket socket;
        asio::steady_timer timer;
        std::shared_ptr<Impl> server;
        std::array<char, 4096> chunk {};
        std::string request;
        std::string message;
    };

    Impl(asio::io_context &context,
         const AdminSource &adminSource,
         const Clock &systemClock,
         MetricSink &metricSink,
         const AdminBounds &adminBounds)
        : source(adminSource)
        , clock(systemClock)
        , metrics(metricSink)
        , bounds(adminBounds)
        , acceptor(context)
        , acceptTimer(context)
        , bucket(adminBounds.requestsPerSecond, adminBounds.requestsAtOnce, systemClock.now())
    { }

    void accept()
    {
        acceptor.async_accept([self = shared_from_this()](const std::error_code &error, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
                return;
            }
            if (error) {
                self->acceptLater();
                return;
            }
            const absl::Cleanup next = [&self] { self->accept(); };
            self->accepted(std::move(socket));
        });
    }

    void acceptLater()
    {
        acceptTimer.expires_after(acceptRetryDelay);
        acceptTimer.async_wait([self = shared_from_this()](const std::error_code &error) {
            if (!error && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void accepted(tcp::socket socket)
    {
        if (connections.size() >= bounds.connections) {
            refuse("too_many_connections");
            return;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket), shared_from_this());
        connections.insert(connection);
        connection->start();
    }

    AdminAnswer answer(const AdminRequest &request)
    {
        if (!bucket.take(1, clock.now())) {
            refuse("rate");
            return textAnswer(429, "too many requests; try again in a second");
        }
        metrics.add("boragelug_admin_requests_total", 1, { { "path", pathLabel(request.path) } });
        return answerAdminRequest(request, source);
    }

    AdminAnswer refusal(AdminAnswer answer)
    {
        refuse("malformed");
        return answer;
    }

    void refuse(const char *reason)
    {
        metrics.add("boragelug_admin_requests_refused_total", 1, { { "reason", reason } });
    }

    void stop()
    {
        std::error_code ignored;
        acceptor.close(ignored);
        acceptTimer.cancel();
        // Closing a connection removes it from the set.
        const auto open = connections;
        for (const auto &connection : open) {
            connection->close();
        }
    }

    const AdminSource &source;
    const Clock &clock;
    MetricSink &metrics;
    const AdminBounds bounds;
    tcp::acceptor acceptor;
    asio::steady_timer acceptTimer;
    TokenBucket bucket;
    std::set<std::shared_ptr<Connection>> connections;
};

AdminServer::AdminServer(asio::io_context &context,
                         const AdminSource &source,
                         const Clock &clock,
                         MetricSink &metrics,
                         const AdminBounds &bounds)
    : impl_(std::make_shared<Impl>(context, source, clock, metrics, bounds))
{ }

AdminServer::~AdminServer()
{
    stop();
}

std::string AdminServer::start(const Endpoint &endpoint)
{
    const tcp::endpoint local(asio::ip::address_v4(endpoint.address.value), endpoint.port.value);
    std::error_code error;
    impl_->acceptor.open(tcp::v4(), error);
    if (!error) {
        impl_->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        impl_->acceptor.bind(local, error);
    }
    if (!error) {
        impl_->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return "can't listen on " + toString(endpoint) + ": " + error.message();
    }
    impl_->accept();
    return {};
}

Endpoint AdminServer::localEndpoint() const
{
    std::error_code ignored;
    const tcp::endpoint local = impl_->acceptor.local_endpoint(ignored);
    return { Ipv4Address { local.address().to_v4().to_uint() }, Port { local.port() } };
}

void AdminServer::stop()
{
    impl_->stop();
}

} // namespace boragelug
