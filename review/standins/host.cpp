#include "host.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

#include <sys/socket.h>
#include <unistd.h>

namespace review
{
namespace
{

/// Time that a host works on a request.
constexpr double workTime = 0.03;

} // namespace

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
            .count());
}

std::string hostKey(const HostEntry &entry)
{
    return "servers/i-" + entry.id;
}

std::string hostValue(const HostEntry &entry)
{
    return R"({"service":")" + entry.service + R"(","address":")" + text(entry.address) + R"(","zone":")" + entry.zone
        + R"(","version":"v1","concurrency":3,"state":")" + entry.state + R"(","cold_left_ms":)"
        + std::to_string(entry.coldLeftMs) + R"(,"sequence":)" + std::to_string(entry.sequence) + R"(,"born":)"
        + std::to_string(entry.born) + "}";
}

Host::Host(Loop &loop, Record &record, const HostEntry &entry, std::uint16_t callerPort)
    : loop_(loop)
    , record_(record)
    , entry_(entry)
    , callerPort_(callerPort)
    , number_(std::strtoull(entry.id.c_str(), nullptr, 16))
    , nextSequence_(static_cast<std::uint32_t>(number_ * 2654435761U))
{ }

Host::~Host()
{
    stop();
}

void Host::start()
{
    udp_ = bindUdp(entry_.address);
    loop_.watch(udp_, [this] { receive(); });
    if (takesChecks) {
        tcp_ = listenTcp(entry_.address);
        loop_.watch(tcp_, [this] { acceptCheck(); });
    }
    startedAt_ = loop_.now();
    entry_.born = unixMilliseconds();
    entry_.state = "ready";
}

void Host::stop()
{
    for (int *fd : { &udp_, &tcp_ }) {
        if (*fd >= 0) {
            loop_.unwatch(*fd);
            close(*fd);
            *fd = -1;
        }
    }
    flows_.clear();
}

// A status check: connects, may ask, and gets its answer at once.
void Host::acceptCheck()
{
    const int fd = accept4(tcp_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
        return;
    }
    loop_.watch(fd, [this, fd] {
        std::array<char, 2048> buffer {};
        const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
        if (size > 0) {
            const std::string out = std::string("HTTP/1.1 ") + (entry_.state == "ready" ? "200 OK" : "503 Leaving")
                + "\r\nX-Boragelug-Instance-Id: i-" + entry_.id + "\r\nContent-Length: 0\r\n\r\n";
            static_cast<void>(::send(fd, out.data(), out.size(), MSG_NOSIGNAL));
            return;
        }
        loop_.unwatch(fd);
        close(fd);
    });
}

void Host::receive()
{
    std::array<char, 2048> buffer {};
    ssize_t size = 0;
    while (udp_ >= 0 && (size = recv(udp_, buffer.data(), buffer.size(), 0)) > 0) {
        const std::string_view bytes(buffer.data(), static_cast<std::size_t>(size));
        if (bytes.size() < 8) {
            continue;
        }
        const std::uint64_t intended = readNumber(bytes, 0, 8);
        const auto packet = decode(bytes.substr(8));
        if (!packet || (intended != 0 && intended != number_)) {
            continue;
        }
        if (packet->sum != keyedSum(*packet)) {
            ++broken_;
            record_.line("host %s: got a packet that its sender didn't write so", entry_.id.c_str());
            continue;
        }
        handle(*packet);
    }
}

void Host::send(
    const Packet &to, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledged, std::string data)
{
    Packet out;
    out.from = to.to;
    out.to = to.from;
    out.echo = to.echo;
    out.flags = flags;
    out.sequence = sequence;
    out.acknowledged = acknowledged;
    out.data = std::move(data);
    sendUdp(udp_, { .ip = to.from.ip, .port = callerPort_ }, encode(out));
}

void Host::handle(const Packet &packet)
{
    const Key key { packet.from, packet.to };
    if (packet.has(Packet::synFlag)) {
        Flow &flow = flows_[key];
        if (flow.expected != packet.sequence + 1) {
            flow = { .ownSequence = nextSequence_ += 100'000,
                     .expected = packet.sequence + 1,
                     .open = false,
                     .openedAt = 0,
                     .lastAnswer = {} };
            if (onSyn) {
                onSyn(packet);
            }
        }
        send(packet, Packet::synFlag | Packet::ackFlag, flow.ownSequence, flow.expected, "");
        return;
    }
    const auto found = flows_.find(key);
    const bool holds = found != flows_.end()
        && (found->second.open ? !isBefore(packet.acknowledged, found->second.ownSequence + 1)
                               : packet.acknowledged == found->second.ownSequence + 1);
    if (!holds) {
        if (!packet.has(Packet::resetFlag)) {
            send(packet, Packet::resetFlag, packet.acknowledged, packet.sequence, "");
        }
        return;
    }
    Flow &flow = found->second;
    if (!flow.open) {
        flow.open = true;
        flow.openedAt = loop_.now();
        ++opened_;
    }
    if (packet.has(Packet::resetFlag)) {
        flows_.erase(found);
    } else if (!packet.data.empty()) {
        handleData(packet, flow);
    } else if (packet.has(Packet::finFlag)) {
        send(packet, Packet::finFlag | Packet::ackFlag, packet.acknowledged, packet.sequence + 1, "");
    }
}

void Host::handleData(const Packet &packet, Flow &flow)
{
    const auto end = static_cast<std::uint32_t>(packet.sequence + packet.data.size());
    if (packet.sequence != flow.expected) {
        // A retransmission: the answer may have been lost.
        if (flow.lastAnswer.acknowledged == end) {
            sendUdp(udp_, { .ip = packet.from.ip, .port = callerPort_ }, encode(flow.lastAnswer));
        }
        return;
    }
    flow.expected = end;
    record_.line("host %s: runs %s", entry_.id.c_str(), packet.data.c_str());
    const double lifetime = startedAt_;
    loop_.after(workTime, [this, packet, end, lifetime] {
        const auto found = flows_.find({ packet.from, packet.to });
        if (lifetime != startedAt_ || found == flows_.end()) {
            return;
        }
        Packet out;
        out.from = packet.to;
        out.to = packet.from;
        out.echo = packet.echo;
        out.flags = Packet::ackFlag;
        out.sequence = packet.acknowledged;
        out.acknowledged = end;
        out.data = "answer to " + packet.data;
        found->second.lastAnswer = out;
        sendUdp(udp_, { .ip = packet.from.ip, .port = callerPort_ }, encode(out));
    });
}

} // namespace review
