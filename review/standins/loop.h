#pragma once

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>

namespace review
{

/// Single-threaded event loop on the real, steady clock. Times are seconds since the loop was made.
class Loop
{
public:
    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    double now() const;

    /// Calls @p ready whenever @p fd can be read (or written, if @p forWriting).
    void watch(int fd, std::function<void()> ready, bool forWriting = false);
    void unwatch(int fd);

    void after(double seconds, std::function<void()> action);
    void every(double seconds, const std::function<void()> &action);

    void runUntil(double time);
    /// Runs until @p condition holds; false if that takes longer than @p seconds.
    bool runUntil(const std::function<bool()> &condition, double seconds);

private:
    void step(double until);

    int epoll_;
    std::chrono::steady_clock::time_point start_;
    std::map<int, std::function<void()>> ready_;
    std::multimap<double, std::function<void()>> timers_;
};

/// Lines with their time, in a file and on standard output.
class Record
{
public:
    Record(const Loop &loop, const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    [[gnu::format(printf, 2, 3)]] void line(const char *format, ...);

private:
    const Loop &loop_;
    std::FILE *file_;
};

/// An IPv4 address and port in host byte order.
struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

std::string text(const Address &address);

/// Sockets bound to @p address; both throw std::runtime_error if that fails.
int bindUdp(const Address &address);
int listenTcp(const Address &address);
/// Starts to connect; the socket becomes writable once that has ended.
int connectTcp(const Address &address);
void sendUdp(int fd, const Address &to, const std::string &bytes);

} // namespace review
