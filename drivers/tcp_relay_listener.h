#pragma once

#include "model/endpoint.h"
#include "servers/metric_sink.h"
#include "servers/relay_listener.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace boragelug
{

/// Serves followers over TCP, one request at a time on each connection. Runs on the context's thread.
class TcpRelayListener : public RelayListener
{
public:
    /// Connections at the same time: the followers, and those that are referred to other VMs. A relay gets a third of a
    /// zone's or fleet's VMs at once when they start.
    static constexpr std::size_t maxConnections = 512;

    /// Listens on @p local; port 0 lets the kernel choose. Throws asio::system_error if that fails. @p metrics must
    /// outlive the listener.
    TcpRelayListener(asio::io_context &context, const Endpoint &local, MetricSink &metrics);
    ~TcpRelayListener() override;
    TcpRelayListener(const TcpRelayListener &) = delete;
    TcpRelayListener &operator=(const TcpRelayListener &) = delete;

    void start(Callbacks callbacks) override;
    void answer(const RelayAnswer &answer) override;

    Endpoint localEndpoint() const;

private:
    class Connection;

    void accept();
    void acceptLater();
    void remove(FollowerId follower);

    asio::ip::tcp::acceptor acceptor_;
    asio::steady_timer acceptTimer_;
    MetricSink &metrics_;
    Callbacks callbacks_;
    std::uint64_t lastId_ = 0;
    std::map<FollowerId, std::shared_ptr<Connection>> connections_;
    /// The records that were packed last, as most followers get the same ones.
    SharedRecords packedFrom_;
    std::string packed_;
    /// Ends callbacks that outlive the listener.
    std::shared_ptr<bool> alive_;
};

} // namespace boragelug
