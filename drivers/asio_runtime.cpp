#include "drivers/asio_runtime.h"

#include <absl/cleanup/cleanup.h>
#include <asio/steady_timer.hpp>

#include <cassert>
#include <chrono>
#include <ctime>
#include <exception>
#include <utility>

namespace boragelug
{

TimePoint BootTimeClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint { std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec) };
}

std::uint64_t BootTimeClock::wallMicroseconds() const
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

struct AsioRuntime::Periodic
{
    asio::steady_timer timer;
    Duration interval;
    std::function<void()> callback;

    void wait()
    {
        timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(interval));
        timer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                // Also after an exception of the callback.
                const absl::Cleanup next = [this] { wait(); };
                callback();
            }
        });
    }
};

struct AsioRuntime::SignalWait
{
    asio::signal_set signals;
    std::function<void()> callback;

    void wait()
    {
        signals.async_wait([this](const asio::error_code &error, int) {
            if (!error) {
                const absl::Cleanup next = [this] { wait(); };
                callback();
            }
        });
    }
};

AsioRuntime::AsioRuntime() = default;
AsioRuntime::~AsioRuntime() = default;

void AsioRuntime::every(Duration interval, std::function<void()> callback)
{
    assert(interval > Duration::zero());
    periodics_.push_back(std::unique_ptr<Periodic>(
        new Periodic { .timer = asio::steady_timer(context_), .interval = interval, .callback = std::move(callback) }));
    periodics_.back()->wait();
}

void AsioRuntime::onSignal(int signal, std::function<void()> callback)
{
    signals_.push_back(std::unique_ptr<SignalWait>(
        new SignalWait { .signals = asio::signal_set(context_, signal), .callback = std::move(callback) }));
    signals_.back()->wait();
}

void AsioRuntime::run()
{
    while (!context_.stopped()) {
        try {
            context_.run();
        } catch (const std::exception &error) {
            if (!faultHandler_) {
                throw;
            }
            faultHandler_(error.what());
        }
    }
}

void AsioRuntime::stop()
{
    context_.stop();
}

} // namespace boragelug
