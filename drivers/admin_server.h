#pragma once

#include "model/endpoint.h"
#include "servers/admin_source.h"
#include "servers/clock.h"
#include "servers/metric_sink.h"

#include <memory>
#include <string>

#include <asio/io_context.hpp>

namespace boragelug
{

/// Bounds on what operators can ask of a process at the same time.
struct AdminBounds
{
    std::size_t connections = 16;
    /// Time in which a connection has to send its request, and then to take its answer.
    Duration timeout = std::chrono::seconds(5);
    double requestsPerSecond = 20;
    double requestsAtOnce = 40;
};

/**
 * Serves operators over HTTP/1.1: /healthz, /readyz, /metrics, /status, /events and /explain.
 *
 * Answers GET only, one request for each connection, and has no access control: its endpoint must be reachable for
 * operators only. Runs on the thread of the io_context and starts none.
 */
class AdminServer
{
public:
    /// References must outlive the server. Call start() before the io_context runs.
    AdminServer(asio::io_context &context,
                const AdminSource &source,
                const Clock &clock,
                MetricSink &metrics,
                const AdminBounds &bounds = {});
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

    /// Listens on @p endpoint; port 0 is replaced by a free one. Returns an error, empty if it listens.
    std::string start(const Endpoint &endpoint);

    /// Where the server listens. Precondition: start() succeeded.
    Endpoint localEndpoint() const;

    /// Stops listening and closes all connections.
    void stop();

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace boragelug
