#pragma once

#include "servers/clock.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <utility>
#include <vector>

namespace boragelug
{

/// Reads CLOCK_BOOTTIME and the wall clock.
class BootTimeClock : public Clock
{
public:
    TimePoint now() const override;
    std::uint64_t wallMicroseconds() const override;
};

/**
 * One io_context with periodic timers and signals.
 *
 * All callbacks run on the thread that calls run(). Other methods are called on that thread, or before run().
 */
class AsioRuntime
{
public:
    AsioRuntime();
    ~AsioRuntime();
    AsioRuntime(const AsioRuntime &) = delete;
    AsioRuntime &operator=(const AsioRuntime &) = delete;

    asio::io_context &context() { return context_; }
    const Clock &clock() const { return clock_; }

    /// Calls @p callback every @p interval until stop(). A late call doesn't lead to further calls in quick
    /// succession. Precondition: @p interval is positive.
    void every(Duration interval, std::function<void()> callback);

    /// Calls @p callback each time that the process receives @p signal.
    void onSignal(int signal, std::function<void()> callback);

    /// Receives the text of each exception that leaves a callback. One faulty message then costs its own work only: the
    /// process and all other callbacks go on. Without a handler, exceptions leave run().
    void onFault(std::function<void(std::string_view)> handler) { faultHandler_ = std::move(handler); }

    /// Runs callbacks until stop().
    void run();

    /// Makes run() return after the current callback.
    void stop();

private:
    struct Periodic;
    struct SignalWait;

    asio::io_context context_;
    BootTimeClock clock_;
    std::vector<std::unique_ptr<Periodic>> periodics_;
    std::vector<std::unique_ptr<SignalWait>> signals_;
    std::function<void(std::string_view)> faultHandler_;
};

} // namespace boragelug
