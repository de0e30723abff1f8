// Sockets, timers, addresses and packets of the stand-ins. One thread, loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace review
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

struct Address
{
    std::uint32_t ip = 0;
    std::uint16_t port = 0;
    auto operator<=>(const Address &) const = default;
};

inline std::string text(const Address &address)
{
    const std::uint32_t ip = address.ip;
    return std::to_string(ip >> 24U) + '.' + std::to_string((ip >> 16U) & 255U) + '.'
        + std::to_string((ip >> 8U) & 255U) + '.' + std::to_string(ip & 255U) + ':' + std::to_string(address.port);
}

inline std::string ipText(const Address &address)
{
    const std::string all = text(address);
    return all.substr(0, all.find(':'));
}

inline sockaddr_in native(const Address &address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(address.ip);
    out.sin_port = htons(address.port);
    return out;
}

/// Runs callbacks of descriptors and timers.
class Loop
{
public:
    using Handler = std::function<void()>;

    Time now() const { return Clock::now(); }

    void at(Time when, Handler handler) { timers_.emplace(when, std::move(handler)); }
    void after(Milliseconds delay, Handler handler) { at(now() + delay, std::move(handler)); }

    /// Replaces the handler of @p descriptor.
    void watch(int descriptor, short events, Handler handler)
    {
        watched_[descriptor] = { events, std::make_shared<Handler>(std::move(handler)) };
    }
    void unwatch(int descriptor) { watched_.erase(descriptor); }

    void runUntil(Time end)
    {
        while (now() < end) {
            runTimers();
            Time wake = end;
            if (!timers_.empty() && timers_.begin()->first < wake) {
                wake = timers_.begin()->first;
            }
            const auto wait = std::chrono::duration_cast<std::chrono::microseconds>(wake - now()).count();
            std::vector<pollfd> polled;
            for (const auto &[descriptor, entry] : watched_) {
                polled.push_back({ .fd = descriptor, .events = entry.first, .revents = 0 });
            }
            const timespec timeout { .tv_sec = std::max<long>(0, wait / 1'000'000),
                                     .tv_nsec = std::max<long>(0, wait % 1'000'000) * 1000 };
            if (ppoll(polled.data(), polled.size(), &timeout, nullptr) <= 0) {
                continue;
            }
            for (const pollfd &entry : polled) {
                const auto found = watched_.find(entry.fd);
                if (entry.revents != 0 && found != watched_.end()) {
                    const auto handler = found->second.second;
                    (*handler)();
                }
            }
        }
    }

private:
    void runTimers()
    {
        while (!timers_.empty() && timers_.begin()->first <= now()) {
            const Handler handler = std::move(timers_.begin()->second);
            timers_.erase(timers_.begin());
            handler();
        }
    }

    std::multimap<Time, Handler> timers_;
    std::map<int, std::pair<short, std::shared_ptr<Handler>>> watched_;
};

/// A bound socket that doesn't block; -1 if the address can't be used.
inline int openSocket(int type, const Address &address)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    }
    const sockaddr_in local = native(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0
        || (type == SOCK_STREAM && listen(descriptor, 128) != 0)) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

inline void sendDatagram(int descriptor, const Address &to, const std::string &bytes)
{
    const sockaddr_in remote = native(to);
    sendto(descriptor, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&remote), sizeof remote);
}

/// A packet between consumers and hosts, as PROTOCOL.md describes it.
struct Packet
{
    static constexpr std::size_t headBytes = 36;
    static constexpr unsigned ackBit = 1, synBit = 2, rstBit = 8, bouncedBit = 16, finBit = 32;

    std::uint32_t sum = 0;
    std::uint32_t echo = 0;
    Address destination;
    Address source;
    std::uint32_t seq = 0;
    std::uint32_t ack = 0;
    unsigned flags = 0;
    std::string data;

    bool has(unsigned flag) const { return (flags & flag) != 0; }
};

template<class T>
void put(std::string &out, T value)
{
    for (std::size_t i = sizeof(T); i > 0; --i) {
        out.push_back(static_cast<char>((static_cast<std::uint64_t>(value) >> (8 * (i - 1))) & 255U));
    }
}

template<class T>
T take(const std::string &in, std::size_t at)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        value = value << 8U | static_cast<unsigned char>(in[at + i]);
    }
    return static_cast<T>(value);
}

/// The keyed sum of consumers and hosts; never 0. Covers neither the tag nor the padding nor BOUNCED.
inline std::uint32_t keyedSum(const Packet &packet)
{
    std::string all = "key of this run";
    put(all, packet.destination.ip);
    put(all, packet.destination.port);
    put(all, packet.source.ip);
    put(all, packet.source.port);
    put(all, packet.seq);
    put(all, packet.ack);
    put(all, static_cast<std::uint8_t>(packet.flags & ~Packet::bouncedBit));
    all += packet.data;
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char character : all) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    }
    return static_cast<std::uint32_t>(hash ^ (hash >> 32U)) | 1U;
}

inline std::string encode(const Packet &packet)
{
    std::string out;
    put(out, keyedSum(packet));
    put(out, packet.echo);
    put(out, static_cast<std::uint16_t>(packet.data.size()));
    put(out, packet.destination.port);
    put(out, packet.source.port);
    put(out, packet.destination.ip);
    put(out, packet.source.ip);
    put(out, packet.seq);
    put(out, packet.ack);
    put(out, static_cast<std::uint8_t>(packet.flags));
    out.append(5, '\0');
    return out + packet.data;
}

/// False if the length is wrong.
inline bool decode(const std::string &in, Packet &packet)
{
    if (in.size() < Packet::headBytes || in.size() != Packet::headBytes + take<std::uint16_t>(in, 8)) {
        return false;
    }
    packet.sum = take<std::uint32_t>(in, 0);
    packet.echo = take<std::uint32_t>(in, 4);
    packet.destination = { take<std::uint32_t>(in, 14), take<std::uint16_t>(in, 10) };
    packet.source = { take<std::uint32_t>(in, 18), take<std::uint16_t>(in, 12) };
    packet.seq = take<std::uint32_t>(in, 22);
    packet.ack = take<std::uint32_t>(in, 26);
    packet.flags = take<std::uint8_t>(in, 30);
    packet.data = in.substr(Packet::headBytes);
    return true;
}

inline std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33U;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33U;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33U);
}

} // namespace review
