// Hosts and consumers. Both speak flows as PROTOCOL.md describes them.
#pragma once

#include "net.h"

#include <algorithm>
#include <deque>
#include <set>
#include <utility>

namespace review
{

/// What callers and hosts see, in the order in which it happens.
class Record
{
public:
    explicit Record(const std::string &path)
        : file_(fopen(path.c_str(), "w"))
        , start_(Clock::now())
    { }
    ~Record() { fclose(file_); }
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    double seconds() const { return std::chrono::duration<double>(Clock::now() - start_).count(); }
    void line(const std::string &what) { fprintf(file_, "%8.3f s  %s\n", seconds(), what.c_str()); }

private:
    FILE *file_;
    Time start_;
};

constexpr auto firstRetransmission = Milliseconds(200);
constexpr auto longestRetransmission = Milliseconds(1600);

struct FlowEnds
{
    Address consumer;
    Address route;
    auto operator<=>(const FlowEnds &) const = default;
};

/// One lifetime of a host.
class Host
{
public:
    struct Settings
    {
        std::uint64_t id = 0;
        std::string service;
        std::string zone;
        Address address;
        std::uint64_t born = 0;
        std::uint16_t consumerPort = 0;
        Milliseconds work { 30 };
        /// Requests that it processes at the same time; further ones wait.
        std::size_t slots = 100;
        /// Requests that may wait. A host with no room for a further one is full.
        std::size_t queue = 1000;
    };
    struct Callbacks
    {
        /// A host began to work on the request of this id, which arrived for this route.
        std::function<void(const Host &, const std::string &id, const Address &route)> onRun;
        /// The first packet of a flow arrived from this VM, and the host accepts the flow.
        std::function<void(const Host &, const Address &vm, const Packet &)> onOpening;
    };

    Host(Loop &loop, Settings settings, Callbacks callbacks)
        : loop_(loop)
        , settings_(std::move(settings))
        , callbacks_(std::move(callbacks))
        , socket_(openSocket(SOCK_DGRAM, settings_.address))
        , listener_(openSocket(SOCK_STREAM, settings_.address))
    {
        if (isOpen()) {
            loop_.watch(socket_, POLLIN, [this] { receive(); });
            loop_.watch(listener_, POLLIN, [this] { answerStatusChecks(); });
        }
    }

    /// Sets how long the requests take that begin from now on.
    void setWork(Milliseconds work) { settings_.work = work; }

    /// Whether the flow is open at this host.
    bool holds(const FlowEnds &ends) const
    {
        const auto found = flows_.find(ends);
        return found != flows_.end() && found->second.open;
    }

    /// Ends the host: it discards its flows and leaves its address.
    void end()
    {
        flows_.clear();
        for (int *descriptor : { &socket_, &listener_ }) {
            loop_.unwatch(*descriptor);
            close(*descriptor);
            *descriptor = -1;
        }
    }

    bool isOpen() const { return socket_ >= 0 && listener_ >= 0; }
    const Settings &settings() const { return settings_; }
    std::string key() const
    {
        char digits[24];
        snprintf(digits, sizeof digits, "%010llx", static_cast<unsigned long long>(settings_.id));
        return std::string("servers/i-") + digits;
    }
    /// The host's entry in the store without its closing brace and its sequence.
    std::string entryWithoutSequence(const std::string &service, const std::string &state) const
    {
        return R"({"service":")" + service + R"(","address":")" + text(settings_.address) + R"(","zone":")"
            + settings_.zone + R"(","version":"v1","concurrency":3,"state":")" + state + R"(","cold_left_ms":0,"born":)"
            + std::to_string(settings_.born);
    }

private:
    struct Flow
    {
        bool open = false;
        std::uint32_t nextSeq = 0;
        std::uint32_t expected = 0;
        std::uint32_t echo = 0;
        std::uint32_t unacknowledged = 0;
        Packet sent;
        int retransmissions = 0;
    };

    void answerStatusChecks()
    {
        while (true) {
            const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (descriptor < 0) {
                return;
            }
            loop_.watch(descriptor, POLLIN, [this, descriptor] {
                char buffer[2048];
                const ssize_t size = recv(descriptor, buffer, sizeof buffer, 0);
                if (size > 0) {
                    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
                    send(descriptor, response.data(), response.size(), MSG_NOSIGNAL);
                    shutdown(descriptor, SHUT_WR);
                } else if (size == 0 || errno != EAGAIN) {
                    loop_.unwatch(descriptor);
                    close(descriptor);
                }
            });
        }
    }

    void receive()
    {
        char buffer[2048];
        while (true) {
            sockaddr_in from {};
            socklen_t length = sizeof from;
            const ssize_t size =
                recvfrom(socket_, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr *>(&from), &length);
            if (size < 0) {
                return;
            }
            const std::string datagram(buffer, static_cast<std::size_t>(size));
            Packet packet;
            if (datagram.size() < 8 || !decode(datagram.substr(8), packet) || packet.sum != keyedSum(packet)) {
                continue;
            }
            // Sends nothing if it isn't the intended host.
            const auto intended = take<std::uint64_t>(datagram, 0);
            if (intended == 0 || intended == settings_.id) {
                handle(packet, { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
            }
        }
    }

    void handle(const Packet &packet, const Address &vm)
    {
        const FlowEnds ends { packet.source, packet.destination };
        const auto found = flows_.find(ends);
        if (packet.has(Packet::synBit)) {
            if (packet.has(Packet::ackBit) || (found != flows_.end() && found->second.open) || isFull()) {
                return;
            }
            if (found == flows_.end() && callbacks_.onOpening) {
                callbacks_.onOpening(*this, vm, packet);
            }
            Flow &flow = flows_[ends];
            flow.expected = packet.seq + 1;
            flow.nextSeq = static_cast<std::uint32_t>(mix(settings_.id ^ mix(packet.seq)));
            flow.echo = packet.echo;
            reply(ends, flow, Packet::synBit | Packet::ackBit, {});
            return;
        }
        const bool opens = found != flows_.end() && packet.ack == found->second.nextSeq + 1;
        if (found == flows_.end() || (!found->second.open && !opens)) {
            if (!packet.has(Packet::rstBit)) {
                Flow none;
                none.nextSeq = packet.ack;
                none.expected = packet.seq;
                none.echo = packet.echo;
                reply(ends, none, Packet::rstBit, {});
            }
            return;
        }
        Flow &flow = found->second;
        if (!flow.open) {
            flow.open = true;
            ++flow.nextSeq;
        }
        flow.echo = packet.echo;
        if (packet.has(Packet::rstBit)) {
            flows_.erase(found);
            return;
        }
        if (packet.ack == flow.unacknowledged) {
            flow.sent.data.clear();
        }
        if (!packet.data.empty() && packet.seq == flow.expected) {
            flow.expected += static_cast<std::uint32_t>(packet.data.size());
            run(ends, packet.data);
        }
        if (packet.has(Packet::finBit)) {
            ++flow.expected;
            reply(ends, flow, Packet::ackBit | Packet::finBit, {});
            flows_.erase(found);
        }
    }

    void run(const FlowEnds &ends, const std::string &request)
    {
        const std::string name = "X-Boragelug-Request-Id: ";
        const auto at = request.find(name);
        const std::string id = at == std::string::npos
            ? std::string("none")
            : request.substr(at + name.size(), request.find('\r', at) - at - name.size());
        if (isFull()) {
            answer(ends,
                   "HTTP/1.1 503 Service Unavailable\r\nX-Boragelug-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        waiting_.emplace_back(ends, id);
        startWaiting();
        updateAcceptQueue();
    }

    bool isFull() const { return busySlots_ >= settings_.slots && waiting_.size() >= settings_.queue; }

    // A full host takes no connections either: its queue of new connections is full then, so that the kernel drops the
    // opening packets of further ones.
    void updateAcceptQueue()
    {
        if (isFull() == !fillers_.empty()) {
            return;
        }
        if (!isFull()) {
            for (const int filler : std::exchange(fillers_, {})) {
                close(filler);
            }
            listen(listener_, 128);
            loop_.watch(listener_, POLLIN, [this] { answerStatusChecks(); });
            return;
        }
        answerStatusChecks();
        loop_.unwatch(listener_);
        listen(listener_, 0);
        const sockaddr_in self = native(settings_.address);
        for (int i = 0; i < 4; ++i) {
            fillers_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
            connect(fillers_.back(), reinterpret_cast<const sockaddr *>(&self), sizeof self);
        }
    }

    void startWaiting()
    {
        while (busySlots_ < settings_.slots && !waiting_.empty()) {
            const auto [ends, id] = waiting_.front();
            waiting_.pop_front();
            ++busySlots_;
            if (callbacks_.onRun) {
                callbacks_.onRun(*this, id, ends.route);
            }
            loop_.after(settings_.work, [this, ends = ends, id = id] {
                --busySlots_;
                const std::string body = "answer to " + id;
                answer(ends,
                       "HTTP/1.1 200 OK\r\nX-Boragelug-Server-Stamp: " + std::to_string(settings_.id)
                           + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
                startWaiting();
                updateAcceptQueue();
            });
        }
    }

    void answer(const FlowEnds &ends, const std::string &response)
    {
        const auto found = flows_.find(ends);
        if (found == flows_.end()) {
            return;
        }
        Flow &flow = found->second;
        flow.sent = reply(ends, flow, Packet::ackBit, response);
        flow.nextSeq += static_cast<std::uint32_t>(flow.sent.data.size());
        flow.unacknowledged = flow.nextSeq;
        flow.retransmissions = 0;
        retransmitLater(ends, flow.unacknowledged, firstRetransmission);
    }

    void retransmitLater(const FlowEnds &ends, std::uint32_t unacknowledged, Milliseconds delay)
    {
        loop_.after(delay, [this, ends, unacknowledged, delay] {
            const auto found = flows_.find(ends);
            constexpr int mostRetransmissions = 8;
            if (found == flows_.end() || found->second.unacknowledged != unacknowledged
                || found->second.sent.data.empty() || ++found->second.retransmissions > mostRetransmissions) {
                return;
            }
            found->second.sent.echo = found->second.echo;
            sendDatagram(socket_, { ends.consumer.ip, settings_.consumerPort }, encode(found->second.sent));
            retransmitLater(ends, unacknowledged, std::min(delay * 2, longestRetransmission));
        });
    }

    Packet reply(const FlowEnds &ends, const Flow &flow, unsigned flags, const std::string &data)
    {
        Packet packet;
        packet.source = ends.route;
        packet.destination = ends.consumer;
        packet.echo = flow.echo;
        packet.seq = flow.nextSeq;
        packet.ack = flow.expected;
        packet.flags = flags;
        packet.data = data;
        sendDatagram(socket_, { ends.consumer.ip, settings_.consumerPort }, encode(packet));
        return packet;
    }

    Loop &loop_;
    Settings settings_;
    Callbacks callbacks_;
    int socket_;
    int listener_;
    std::map<FlowEnds, Flow> flows_;
    std::deque<std::pair<FlowEnds, std::string>> waiting_;
    std::size_t busySlots_ = 0;
    std::vector<int> fillers_;
};

/// A consumer that opens a flow for each request.
class Consumer
{
public:
    /// Sends a packet to the VM that the platform's routers choose.
    using Send = std::function<void(const std::string &)>;
    struct Counts
    {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;
        std::uint64_t reset = 0;
        std::uint64_t unanswered = 0;
    };

    Consumer(Loop &loop, const Address &address, Record &record, Send send)
        : loop_(loop)
        , address_(address)
        , record_(record)
        , send_(std::move(send))
        , socket_(openSocket(SOCK_DGRAM, address))
        , random_(address.ip)
    {
        if (isOpen()) {
            loop_.watch(socket_, POLLIN, [this] { receive(); });
        }
    }

    bool isOpen() const { return socket_ >= 0; }
    const Counts &counts() const { return counts_; }

    /// Called when the system resets a flow that is open for the consumer.
    std::function<void(const FlowEnds &ends, const std::string &id)> onSystemReset;

    /// Sends a request on a flow of its own, which stays open afterwards if @p staysOpen.
    void request(const Address &route, const std::string &id, bool staysOpen = false)
    {
        const std::uint16_t port = nextPort_;
        nextPort_ = nextPort_ >= 60000 ? 20000 : static_cast<std::uint16_t>(nextPort_ + 1);
        Flow &flow = flows_[port];
        flow = {};
        flow.route = route;
        flow.id = id;
        flow.number = ++lastFlow_;
        flow.staysOpen = staysOpen;
        flow.nextSeq = static_cast<std::uint32_t>(random_());
        ++counts_.sent;
        record_.line("sent request " + id + " for route " + text(route));
        sendSyn(port, flow, 0);
        const auto copy = [this, port, number = flow.number](std::uint32_t copies) {
            const auto found = flows_.find(port);
            if (found != flows_.end() && found->second.number == number && !found->second.open) {
                sendSyn(port, found->second, copies);
            }
        };
        loop_.after(Milliseconds(200), [copy] { copy(1); });
        loop_.after(Milliseconds(600), [copy] { copy(2); });
        loop_.after(Milliseconds(1400), [this, port, number = flow.number] { giveUp(port, number, false); });
        loop_.after(Milliseconds(2500), [this, port, number = flow.number] { giveUp(port, number, true); });
    }

    /// Ends of the flows that are open and wait for nothing.
    std::vector<FlowEnds> idleFlows() const
    {
        std::vector<FlowEnds> idle;
        for (const auto &[port, flow] : flows_) {
            if (flow.open && flow.unacknowledged.empty()) {
                idle.push_back({ { address_.ip, port }, flow.route });
            }
        }
        return idle;
    }

    /// Sends a further request on an idle flow.
    void requestAgain(std::uint16_t port, const std::string &id)
    {
        Flow &flow = flows_.at(port);
        flow.id = id;
        ++counts_.sent;
        record_.line("sent request " + id + " on the open flow of port " + std::to_string(port));
        sendRequest(port, flow);
        loop_.after(Milliseconds(2500), [this, port, number = flow.number] { giveUp(port, number, true); });
    }

private:
    struct Flow
    {
        Address route;
        std::string id;
        std::uint64_t number = 0;
        bool open = false;
        std::uint32_t nextSeq = 0;
        std::uint32_t expected = 0;
        std::uint32_t echo = 0;
        std::string unacknowledged;
        bool staysOpen = false;
    };

    void giveUp(std::uint16_t port, std::uint64_t number, bool open)
    {
        const auto found = flows_.find(port);
        if (found != flows_.end() && found->second.number == number && found->second.open == open
            && (!open || !found->second.unacknowledged.empty())) {
            ++counts_.unanswered;
            record_.line("no answer to request " + found->second.id);
            flows_.erase(found);
        }
    }

    Packet makePacket(std::uint16_t port, const Flow &flow, unsigned flags) const
    {
        Packet packet;
        packet.source = { address_.ip, port };
        packet.destination = flow.route;
        packet.echo = flow.echo;
        packet.seq = flow.nextSeq;
        packet.ack = flow.expected;
        packet.flags = flags;
        return packet;
    }

    void sendSyn(std::uint16_t port, const Flow &flow, std::uint32_t copies)
    {
        Packet packet = makePacket(port, flow, Packet::synBit);
        packet.ack = copies;
        send_(encode(packet));
    }

    void sendRequest(std::uint16_t port, Flow &flow)
    {
        flow.unacknowledged =
            "POST / HTTP/1.1\r\nHost: route\r\nX-Boragelug-Request-Id: " + flow.id + "\r\nContent-Length: 0\r\n\r\n";
        sendData(port, flow.number, firstRetransmission);
    }

    void sendData(std::uint16_t port, std::uint64_t number, Milliseconds delay)
    {
        const auto found = flows_.find(port);
        if (found == flows_.end() || found->second.number != number || found->second.unacknowledged.empty()) {
            return;
        }
        Packet packet = makePacket(port, found->second, Packet::ackBit);
        packet.data = found->second.unacknowledged;
        send_(encode(packet));
        loop_.after(
            delay, [this, port, number, delay] { sendData(port, number, std::min(delay * 2, longestRetransmission)); });
    }

    void receive()
    {
        char buffer[2048];
        while (true) {
            const ssize_t size = recv(socket_, buffer, sizeof buffer, 0);
            if (size < 0) {
                return;
            }
            Packet packet;
            if (decode(std::string(buffer, static_cast<std::size_t>(size)), packet)) {
                handle(packet);
            }
        }
    }

    void handle(const Packet &packet)
    {
        const bool isSystemReset = packet.sum == 0 && packet.has(Packet::rstBit);
        const auto found = flows_.find(packet.destination.port);
        if (found == flows_.end() || found->second.route != packet.source
            || (!isSystemReset && packet.sum != keyedSum(packet))) {
            return;
        }
        const std::uint16_t port = packet.destination.port;
        Flow &flow = found->second;
        if (packet.has(Packet::rstBit)) {
            constexpr std::uint32_t window = 76'800;
            const bool isNear = packet.seq - flow.expected <= window || flow.expected - packet.seq <= window;
            if (!flow.open || isNear) {
                ++counts_.reset;
                if (isSystemReset && flow.open && onSystemReset) {
                    onSystemReset({ { address_.ip, port }, flow.route }, flow.id);
                }
                record_.line("reset " + std::string(isSystemReset ? "by the system" : "by a host") + " of request "
                             + flow.id);
                flows_.erase(found);
            }
            return;
        }
        flow.echo = packet.echo;
        if (packet.has(Packet::synBit)) {
            if (!flow.open) {
                flow.open = true;
                flow.expected = packet.seq + 1;
                ++flow.nextSeq;
                sendRequest(port, flow);
            }
            return;
        }
        if (!flow.open || packet.data.empty() || packet.seq != flow.expected) {
            return;
        }
        flow.expected += static_cast<std::uint32_t>(packet.data.size());
        flow.nextSeq += static_cast<std::uint32_t>(flow.unacknowledged.size());
        ++counts_.served;
        record_.line("answered request " + flow.id + " with " + packet.data.substr(9, 3));
        flow.unacknowledged.clear();
        flow.number = ++lastFlow_;
        send_(encode(makePacket(port, flow, Packet::ackBit | (flow.staysOpen ? 0U : Packet::finBit))));
        if (!flow.staysOpen) {
            flows_.erase(found);
        }
    }

    Loop &loop_;
    Address address_;
    Record &record_;
    Send send_;
    int socket_;
    std::mt19937 random_;
    std::map<std::uint16_t, Flow> flows_;
    std::uint16_t nextPort_ = 20000;
    std::uint64_t lastFlow_ = 0;
    Counts counts_;
};

} // namespace review
