#pragma once

#include "model/endpoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>

namespace boragelug
{

/// Asio form of @p endpoint. Thread-safe.
asio::ip::udp::endpoint toUdpEndpoint(const Endpoint &endpoint);
/// Asio form of @p endpoint. Thread-safe.
asio::ip::tcp::endpoint toTcpEndpoint(const Endpoint &endpoint);
/// Model form of an IPv4 endpoint. Thread-safe.
Endpoint fromUdpEndpoint(const asio::ip::udp::endpoint &endpoint);
/// Model form of an IPv4 endpoint. Thread-safe.
Endpoint fromTcpEndpoint(const asio::ip::tcp::endpoint &endpoint);

/// A bound UDP socket. Runs on the context's thread; may be destroyed at any time on that thread.
class UdpSocket
{
public:
    using Receiver = std::function<void(const Endpoint &from, std::span<const std::byte> datagram)>;

    /// Binds to @p local; port 0 lets the kernel choose. Throws asio::system_error if that fails.
    UdpSocket(asio::io_context &context, const Endpoint &local);
    ~UdpSocket();
    UdpSocket(const UdpSocket &) = delete;
    UdpSocket &operator=(const UdpSocket &) = delete;

    /// Calls @p receiver with each datagram. To be called once.
    void start(Receiver receiver);

    /// Sends without waiting; false if the kernel refused the datagram.
    bool send(const Endpoint &to, std::span<const std::byte> datagram);

    Endpoint localEndpoint() const;

private:
    struct State;
    static void receiveWaiting(State &state);
    static void receiveNext(const std::shared_ptr<State> &state);

    std::shared_ptr<State> state_;
};

} // namespace boragelug
