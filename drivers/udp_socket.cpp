#include "drivers/udp_socket.h"

#include <absl/cleanup/cleanup.h>
#include <asio/buffer.hpp>

#include <utility>

namespace boragelug
{
namespace
{

// The longest UDP datagram over IPv4 is 65,507 bytes.
constexpr std::size_t bufferSize = 65536;
// Datagrams that wait are taken without going through the event loop, but timers must not starve.
constexpr std::size_t maxDatagramsAtOnce = 64;

} // namespace

asio::ip::udp::endpoint toUdpEndpoint(const Endpoint &endpoint)
{
    return { asio::ip::address_v4(endpoint.address.value), endpoint.port.value };
}

asio::ip::tcp::endpoint toTcpEndpoint(const Endpoint &endpoint)
{
    return { asio::ip::address_v4(endpoint.address.value), endpoint.port.value };
}

Endpoint fromUdpEndpoint(const asio::ip::udp::endpoint &endpoint)
{
    return { .address = Ipv4Address { endpoint.address().to_v4().to_uint() }, .port = Port { endpoint.port() } };
}

Endpoint fromTcpEndpoint(const asio::ip::tcp::endpoint &endpoint)
{
    return { .address = Ipv4Address { endpoint.address().to_v4().to_uint() }, .port = Port { endpoint.port() } };
}

/// Shared with the pending receive, so that it outlives the socket's owner.
struct UdpSocket::State
{
    asio::ip::udp::socket socket;
    asio::ip::udp::endpoint from;
    Receiver receiver;
    bool closed = false;
    std::array<std::byte, bufferSize> buffer;
};

UdpSocket::UdpSocket(asio::io_context &context, const Endpoint &local)
    : state_(new State { .socket = asio::ip::udp::socket(context, toUdpEndpoint(local)),
                         .from = {},
                         .receiver = {},
                         .closed = false,
                         .buffer = {} })
{
    state_->socket.non_blocking(true);
}

UdpSocket::~UdpSocket()
{
    state_->closed = true;
    asio::error_code ignored;
    state_->socket.close(ignored);
}

void UdpSocket::start(Receiver receiver)
{
    state_->receiver = std::move(receiver);
    receiveNext(state_);
}

void UdpSocket::receiveWaiting(State &state)
{
    for (std::size_t i = 0; i < maxDatagramsAtOnce && !state.closed; ++i) {
        asio::error_code error;
        const std::size_t size = state.socket.receive_from(asio::buffer(state.buffer), state.from, 0, error);
        if (error) {
            return;
        }
        state.receiver(fromUdpEndpoint(state.from), std::span(state.buffer).first(size));
    }
}

void UdpSocket::receiveNext(const std::shared_ptr<State> &state)
{
    state->socket.async_receive_from(
        asio::buffer(state->buffer), state->from, [state](const asio::error_code &error, std::size_t size) {
            if (state->closed) {
                return;
            }
            // Also after an exception of the receiver, which may also have destroyed the socket.
            const absl::Cleanup next = [&state] {
                if (!state->closed) {
                    receiveNext(state);
                }
            };
            if (!error) {
                state->receiver(fromUdpEndpoint(state->from), std::span(state->buffer).first(size));
                receiveWaiting(*state);
            }
        });
}

bool UdpSocket::send(const Endpoint &to, std::span<const std::byte> datagram)
{
    asio::error_code error;
    state_->socket.send_to(asio::buffer(datagram.data(), datagram.size()), toUdpEndpoint(to), 0, error);
    return !error;
}

Endpoint UdpSocket::localEndpoint() const
{
    return fromUdpEndpoint(state_->socket.local_endpoint());
}

} // namespace boragelug
