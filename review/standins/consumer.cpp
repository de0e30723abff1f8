#include "consumer.h"

#include <algorithm>
#include <array>

#include <sys/socket.h>

namespace review
{
namespace
{

constexpr double firstCopy = 0.2;
constexpr double secondCopy = 0.6;
constexpr double openingTimeout = 1.4;
constexpr double retransmission = 0.2;
constexpr double maxRetransmission = 1.6;
/// The consumer's time budget for a request.
constexpr double budget = 3;
/// A reset of an open flow counts if it is this near to the last acknowledgement.
constexpr std::uint32_t resetWindow = 76'800;

} // namespace

Consumer::Consumer(Loop &loop, Record &record, Fleet &fleet)
    : loop_(loop)
    , record_(record)
    , fleet_(fleet)
    , ip_(fleet.ip(20, 1))
    , fd_(bindUdp({ .ip = ip_, .port = fleet.ports().data }))
{
    loop_.watch(fd_, [this] { receive(); });
}

std::shared_ptr<ConsumerFlow> Consumer::open(const std::string &name, const Address &entry, int machine)
{
    const auto flow = std::make_shared<ConsumerFlow>();
    flow->name = name;
    flow->self = { .ip = ip_, .port = nextPort_++ };
    flow->entry = entry;
    flow->machine = machine;
    flow->sequence = flow->self.port * 7919U;
    flow->sentAt = loop_.now();
    flows_[flow->self.port] = flow;
    record_.line("consumer: opens %s to %s", name.c_str(), text(entry).c_str());
    sendSyn(flow, 0);
    loop_.after(firstCopy, [this, flow] { sendSyn(flow, 1); });
    loop_.after(secondCopy, [this, flow] { sendSyn(flow, 2); });
    loop_.after(openingTimeout, [this, flow] {
        if (!flow->opened && !flow->ended) {
            flow->ended = true;
            record_.line("consumer: %s never opened", flow->name.c_str());
        }
    });
    return flow;
}

void Consumer::send(ConsumerFlow &flow, std::uint8_t flags, std::uint32_t acknowledged, const std::string &data)
{
    Packet out;
    out.from = flow.self;
    out.to = flow.entry;
    out.echo = flow.echo;
    out.flags = flags;
    out.sequence = flow.sequence;
    out.acknowledged = acknowledged;
    out.data = data;
    const Fleet::Machine *machine = flow.machine >= 0 ? &fleet_.machines()[static_cast<std::size_t>(flow.machine)]
                                                      : fleet_.route(flow.self, flow.entry);
    if (machine != nullptr) {
        flow.lastMachine = machine->name;
        sendUdp(fd_, { .ip = machine->ip, .port = fleet_.ports().data }, encode(out));
    }
}

void Consumer::sendSyn(const std::shared_ptr<ConsumerFlow> &flow, std::uint32_t copies)
{
    if (!flow->opened && !flow->ended) {
        send(*flow, Packet::synFlag, copies, "");
    }
}

void Consumer::request(const std::shared_ptr<ConsumerFlow> &flow)
{
    if (!flow->opened || flow->ended || !flow->answered) {
        return;
    }
    flow->answered = false;
    ++flow->requests;
    flow->request = "request " + flow->name + "." + std::to_string(flow->requests);
    record_.line("consumer: sends %s", flow->request.c_str());
    sendData(flow, flow->requests, retransmission);
    loop_.after(budget, [this, flow, number = flow->requests] {
        if (!flow->answered && flow->requests == number && !flow->ended) {
            flow->ended = true;
            record_.line("consumer: no answer to %s in time", flow->request.c_str());
        }
    });
}

void Consumer::sendData(const std::shared_ptr<ConsumerFlow> &flow, std::uint64_t request, double timeout)
{
    if (flow->answered || flow->ended || flow->requests != request) {
        return;
    }
    send(*flow, Packet::ackFlag, flow->acknowledged, flow->request);
    loop_.after(timeout,
                [this, flow, request, timeout] { sendData(flow, request, std::min(timeout * 2, maxRetransmission)); });
}

void Consumer::finish(const std::shared_ptr<ConsumerFlow> &flow)
{
    if (flow->opened && !flow->ended) {
        flow->ended = true;
        send(*flow, Packet::finFlag | Packet::ackFlag, flow->acknowledged, "");
    }
}

void Consumer::receive()
{
    std::array<char, 2048> buffer {};
    ssize_t size = 0;
    while ((size = recv(fd_, buffer.data(), buffer.size(), 0)) > 0) {
        const auto packet = decode({ buffer.data(), static_cast<std::size_t>(size) });
        const auto flow = packet ? flows_.find(packet->to.port) : flows_.end();
        if (flow == flows_.end() || packet->from != flow->second->entry) {
            continue;
        }
        const bool ownReset = packet->has(Packet::resetFlag) && packet->sum == 0 && packet->data.empty();
        if (!ownReset && packet->sum != keyedSum(*packet)) {
            record_.line("consumer: %s got a packet that its sender didn't write so", flow->second->name.c_str());
            continue;
        }
        handle(flow->second, *packet);
    }
}

void Consumer::handle(const std::shared_ptr<ConsumerFlow> &flow, const Packet &packet)
{
    if (flow->ended) {
        return;
    }
    if (packet.has(Packet::resetFlag)) {
        const std::uint32_t distance = packet.sequence - flow->acknowledged + resetWindow;
        if (flow->opened && distance > 2 * resetWindow) {
            return;
        }
        flow->ended = true;
        flow->resetAt = loop_.now();
        (packet.sum == 0 ? flow->resetBySystem : flow->resetByHost) = true;
        record_.line("consumer: %s, %s, is reset by %s; last packet went to %s; %s",
                     flow->name.c_str(),
                     flow->opened ? "open" : "not open",
                     packet.sum == 0 ? "the system" : "a host",
                     flow->lastMachine.c_str(),
                     flow->answered ? "no request in progress" : flow->request.c_str());
        return;
    }
    if (packet.has(Packet::synFlag)) {
        if (!flow->opened) {
            flow->opened = true;
            flow->openedAt = loop_.now();
            flow->echo = packet.echo;
            ++flow->sequence;
            flow->acknowledged = packet.sequence + 1;
            send(*flow, Packet::ackFlag, flow->acknowledged, "");
        }
        return;
    }
    // Only packets of the host at which the flow is open are in order.
    if (!flow->opened || packet.sequence != flow->acknowledged) {
        return;
    }
    flow->echo = packet.echo;
    if (!packet.data.empty()) {
        flow->acknowledged += static_cast<std::uint32_t>(packet.data.size());
        if (!flow->answered && packet.data == "answer to " + flow->request) {
            flow->answered = true;
            record_.line("consumer: %s", packet.data.c_str());
            ++flow->answers;
            flow->sequence += static_cast<std::uint32_t>(flow->request.size());
        }
        send(*flow, Packet::ackFlag, flow->acknowledged, "");
    }
}

} // namespace review
