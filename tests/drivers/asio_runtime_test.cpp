#include "drivers/asio_runtime.h"

#include "drivers/udp_socket.h"

#include <asio/post.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <stdexcept>
#include <string>
#include <vector>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

/// A runtime that collects the texts of exceptions, and stops after 10 s at the latest.
class AsioRuntimeTest : public ::testing::Test
{
protected:
    AsioRuntimeTest()
    {
        runtime.onFault([this](std::string_view reason) { faults.emplace_back(reason); });
        runtime.every(10s, [this] { runtime.stop(); });
    }

    AsioRuntime runtime;
    std::vector<std::string> faults;
};

// One unexpected exception must not end the process, and must be reported.
TEST_F(AsioRuntimeTest, GoesOnAfterAnException)
{
    asio::post(runtime.context(), [] { throw std::runtime_error("first"); });
    asio::post(runtime.context(), [] { throw std::out_of_range("second"); });
    asio::post(runtime.context(), [this] { runtime.stop(); });
    runtime.run();
    EXPECT_EQ(faults, (std::vector<std::string> { "first", "second" }));
}

// Periodic work must go on after one call failed: without ticks, a VM would no longer notice anything.
TEST_F(AsioRuntimeTest, RepeatsPeriodicWorkAfterAnException)
{
    int calls = 0;
    runtime.every(1ms, [&] {
        if (++calls == 3) {
            runtime.stop();
            return;
        }
        throw std::runtime_error("tick");
    });
    runtime.run();
    EXPECT_EQ(calls, 3);
    EXPECT_EQ(faults.size(), 2U);
}

// A stop signal must still be handled after the handling of another signal failed.
TEST_F(AsioRuntimeTest, HandlesSignalsAfterAnException)
{
    int signals = 0;
    runtime.onSignal(SIGUSR1, [&] {
        if (++signals == 2) {
            runtime.stop();
            return;
        }
        std::raise(SIGUSR1);
        throw std::runtime_error("signal");
    });
    asio::post(runtime.context(), [] { std::raise(SIGUSR1); });
    runtime.run();
    EXPECT_EQ(signals, 2);
}

// A datagram whose handling fails must not stop the VM from receiving later ones.
TEST_F(AsioRuntimeTest, ReceivesDatagramsAfterAnException)
{
    const Endpoint any { .address = { 0x7f000001 }, .port = { 0 } };
    UdpSocket receiver(runtime.context(), any);
    UdpSocket sender(runtime.context(), any);
    int datagrams = 0;
    const std::byte data {};
    receiver.start([&](const Endpoint &, std::span<const std::byte>) {
        if (++datagrams == 3) {
            runtime.stop();
            return;
        }
        sender.send(receiver.localEndpoint(), std::span(&data, 1));
        throw std::runtime_error("datagram");
    });
    sender.send(receiver.localEndpoint(), std::span(&data, 1));
    runtime.run();
    EXPECT_EQ(datagrams, 3);
    EXPECT_EQ(faults.size(), 2U);
}

// Without a handler of faults, as in short-lived programs, exceptions reach main().
TEST(AsioRuntime, PassesExceptionsOnWithoutAHandler)
{
    AsioRuntime runtime;
    asio::post(runtime.context(), [] { throw std::runtime_error("unhandled"); });
    EXPECT_THROW(runtime.run(), std::runtime_error);
}

} // namespace
} // namespace boragelug
