#include "drivers/tcp_reachability_probe.h"

#include "drivers/asio_runtime.h"
#include "drivers/udp_socket.h"
#include "loop_support.h"

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace boragelug
{
namespace
{

constexpr Endpoint loopback { .address = { 0x7f000001 }, .port = { 0 } };

std::optional<Reachability> probe(asio::io_context &context, const Clock &clock, const Endpoint &address)
{
    std::optional<Reachability> result;
    TcpReachabilityProbe probe(context, clock);
    probe.check(address, [&](Reachability found) { result = found; });
    EXPECT_TRUE(runUntil(context, [&] { return result.has_value(); }));
    return result;
}

// Guards living hosts: an accepted connection shows one, and so does a refused one, since its machine runs.
TEST(TcpReachabilityProbe, TakesAcceptedAndRefusedConnectionsAsAnswers)
{
    asio::io_context context;
    const BootTimeClock clock;
    Endpoint listening = loopback;
    {
        asio::ip::tcp::acceptor acceptor(context, toTcpEndpoint(loopback));
        listening = fromTcpEndpoint(acceptor.local_endpoint());
        EXPECT_EQ(probe(context, clock, listening), Reachability::Answers);
    }
    EXPECT_EQ(probe(context, clock, listening), Reachability::Answers);
}

// Guards the only verdict that permits a reset: a listener whose queue is full drops opening packets.
TEST(TcpReachabilityProbe, FindsSilence)
{
    asio::io_context context;
    const BootTimeClock clock;
    asio::ip::tcp::acceptor acceptor(context);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.bind(toTcpEndpoint(loopback));
    acceptor.listen(0);
    const Endpoint full = fromTcpEndpoint(acceptor.local_endpoint());
    asio::ip::tcp::socket first(context);
    asio::ip::tcp::socket second(context);
    first.connect(toTcpEndpoint(full));
    second.async_connect(toTcpEndpoint(full), [](const asio::error_code &) {});
    EXPECT_EQ(probe(context, clock, full), Reachability::Silent);
}

} // namespace
} // namespace boragelug
