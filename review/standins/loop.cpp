#include "loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdarg>
#include <cstring>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{
namespace
{

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(address.ip);
    out.sin_port = htons(address.port);
    return out;
}

int makeSocket(int type)
{
    const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        throw std::runtime_error(std::string("socket: ") + std::strerror(errno));
    }
    return fd;
}

void bindTo(int fd, const Address &address)
{
    const sockaddr_in local = toSocketAddress(address);
    if (bind(fd, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0) {
        const int error = errno;
        close(fd);
        throw std::runtime_error("bind " + text(address) + ": " + std::strerror(error));
    }
}

} // namespace

Loop::Loop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
    , start_(std::chrono::steady_clock::now())
{ }

Loop::~Loop()
{
    close(epoll_);
}

double Loop::now() const
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
}

void Loop::watch(int fd, std::function<void()> ready, bool forWriting)
{
    epoll_event event {};
    event.events = forWriting ? EPOLLOUT : EPOLLIN;
    event.data.fd = fd;
    const bool known = ready_.contains(fd);
    ready_[fd] = std::move(ready);
    epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, fd, &event);
}

void Loop::unwatch(int fd)
{
    if (ready_.erase(fd) > 0) {
        epoll_ctl(epoll_, EPOLL_CTL_DEL, fd, nullptr);
    }
}

void Loop::after(double seconds, std::function<void()> action)
{
    timers_.emplace(now() + seconds, std::move(action));
}

void Loop::every(double seconds, const std::function<void()> &action)
{
    after(seconds, [this, seconds, action] {
        action();
        every(seconds, action);
    });
}

void Loop::step(double until)
{
    const double next = timers_.empty() ? until : std::min(until, timers_.begin()->first);
    const int wait = static_cast<int>(std::clamp((next - now()) * 1000 + 0.5, 0.0, 100.0));
    std::array<epoll_event, 64> events {};
    const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), wait);
    for (int i = 0; i < count; ++i) {
        const auto found = ready_.find(events.at(static_cast<std::size_t>(i)).data.fd);
        if (found != ready_.end()) {
            const auto ready = found->second;
            ready();
        }
    }
    while (!timers_.empty() && timers_.begin()->first <= now()) {
        const auto action = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        action();
    }
}

void Loop::runUntil(double time)
{
    while (now() < time) {
        step(time);
    }
}

bool Loop::runUntil(const std::function<bool()> &condition, double seconds)
{
    const double end = now() + seconds;
    while (!condition()) {
        if (now() >= end) {
            return false;
        }
        step(std::min(end, now() + 0.02));
    }
    return true;
}

Record::Record(const Loop &loop, const std::string &path)
    : loop_(loop)
    , file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr) {
        throw std::runtime_error("cannot write " + path);
    }
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::line(const char *format, ...)
{
    std::array<char, 1000> buffer {};
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(buffer.data(), buffer.size(), format, arguments);
    va_end(arguments);
    std::fprintf(file_, "%8.3f %s\n", loop_.now(), buffer.data());
    std::fflush(file_);
}

std::string text(const Address &address)
{
    std::array<char, 32> out {};
    std::snprintf(out.data(),
                  out.size(),
                  "%u.%u.%u.%u:%u",
                  address.ip >> 24U,
                  address.ip >> 16U & 255U,
                  address.ip >> 8U & 255U,
                  address.ip & 255U,
                  unsigned { address.port });
    return out.data();
}

int bindUdp(const Address &address)
{
    const int fd = makeSocket(SOCK_DGRAM);
    bindTo(fd, address);
    return fd;
}

int listenTcp(const Address &address)
{
    const int fd = makeSocket(SOCK_STREAM);
    const int yes = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    bindTo(fd, address);
    if (listen(fd, 128) != 0) {
        close(fd);
        throw std::runtime_error("listen " + text(address));
    }
    return fd;
}

int connectTcp(const Address &address)
{
    const int fd = makeSocket(SOCK_STREAM);
    const sockaddr_in remote = toSocketAddress(address);
    if (connect(fd, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0 && errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

void sendUdp(int fd, const Address &to, const std::string &bytes)
{
    const sockaddr_in remote = toSocketAddress(to);
    // A datagram that can't be sent is lost.
    static_cast<void>(
        sendto(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&remote), sizeof remote));
}

} // namespace review
