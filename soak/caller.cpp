#include "soak/caller.h"

#include <utility>

namespace boragelug::soak
{
namespace
{

using namespace std::chrono_literals;

// Times of callers as the platform's protocol states them.
constexpr Duration firstRepeat = 200ms;
constexpr Duration secondSyn = 400ms;
constexpr Duration openingLimit = 1400ms;
constexpr Duration maxRepeat = 1600ms;
constexpr Duration requestLimit = 2500ms;
constexpr std::size_t requestBytes = 120;

} // namespace

CallerFleet::CallerFleet(Ipv4Address address, std::uint64_t seed, Promises &promises, Send send)
    : address_(address)
    , random_(seed)
    , promises_(promises)
    , send_(std::move(send))
{ }

void CallerFleet::open(std::uint16_t port, const Endpoint &entry, TimePoint now)
{
    Flow flow;
    flow.entry = entry;
    flow.sent = static_cast<std::uint32_t>(random_.next());
    flow.askedAt = now;
    flow.repeatAt = now + firstRepeat;
    flow.repeatGap = secondSyn;
    flow.requestsLeft = 1 + static_cast<unsigned>(random_.below(20));
    ++counts_.asked;
    transmit(port, flow);
    flows_[port] = flow;
}

void CallerFleet::transmit(std::uint16_t port, const Flow &flow)
{
    Packet packet;
    packet.from = { .address = address_, .port = Port { port } };
    packet.to = flow.entry;
    packet.tag = flow.tag;
    packet.syn = flow.phase == Phase::Opening;
    packet.ack = !packet.syn;
    packet.sequence = flow.sent;
    packet.acknowledged = packet.syn ? flow.copies : flow.received;
    packet.data.resize(flow.phase == Phase::Waiting ? requestBytes : 0);
    packet.fin = flow.phase == Phase::Ended;
    send_(encode(packet));
}

void CallerFleet::ask(std::uint16_t port, Flow &flow, TimePoint now)
{
    flow.phase = Phase::Waiting;
    flow.askedAt = now;
    flow.repeatAt = now + firstRepeat;
    flow.repeatGap = firstRepeat * 2;
    transmit(port, flow);
}

void CallerFleet::finish(std::uint16_t port, Flow &flow)
{
    flow.phase = Phase::Ended;
    transmit(port, flow);
    promises_.flowEnded({ { .address = address_, .port = Port { port } }, flow.entry });
}

void CallerFleet::tick(std::size_t wanted, const std::vector<Endpoint> &entries, TimePoint now)
{
    for (auto it = flows_.begin(); it != flows_.end();) {
        auto &[port, flow] = *it;
        const bool late = now - flow.askedAt > (flow.phase == Phase::Opening ? openingLimit : requestLimit);
        if (flow.phase == Phase::Ended || (late && flow.phase != Phase::Idle)) {
            promises_.flowEnded({ { .address = address_, .port = Port { port } }, flow.entry });
            it = flows_.erase(it);
            continue;
        }
        if (flow.phase == Phase::Idle && now >= flow.nextRequest) {
            ++counts_.asked;
            ask(port, flow, now);
        } else if (flow.phase != Phase::Idle && now >= flow.repeatAt) {
            ++flow.copies;
            transmit(port, flow);
            flow.repeatAt = now + flow.repeatGap;
            flow.repeatGap = std::min(flow.repeatGap * 2, Duration(maxRepeat));
        }
        ++it;
    }
    while (flows_.size() < wanted) {
        open(nextPort_, entries[random_.below(entries.size())], now);
        nextPort_ = nextPort_ == 65'000 ? 1025 : static_cast<std::uint16_t>(nextPort_ + 1);
    }
}

void CallerFleet::receive(const Packet &packet, TimePoint now)
{
    const auto found = flows_.find(packet.to.port.value);
    if (packet.sum != 0 && packet.sum != checksum(packet)) {
        promises_.changedBytes("at a caller", now);
        return;
    }
    if (found == flows_.end() || found->second.entry != packet.from) {
        return;
    }
    auto &[port, flow] = *found;
    if (packet.reset) {
        ++counts_.resets;
        if (packet.sum == 0 && flow.phase != Phase::Opening) {
            promises_.systemReset({ packet.to, packet.from }, now);
        }
        flows_.erase(found);
        return;
    }
    flow.tag = packet.tag;
    if (flow.phase == Phase::Opening && packet.syn) {
        flow.received = packet.sequence + 1;
        flow.sent += 1;
        ask(port, flow, flow.askedAt);
        return;
    }
    if (flow.phase != Phase::Waiting || packet.data.empty() || packet.sequence != flow.received) {
        return;
    }
    ++counts_.served;
    flow.received += static_cast<std::uint32_t>(packet.data.size());
    flow.sent += requestBytes;
    if (--flow.requestsLeft == 0) {
        finish(port, flow);
        return;
    }
    flow.phase = Phase::Idle;
    transmit(port, flow);
    flow.nextRequest = now + std::chrono::milliseconds(20 + random_.below(400));
}

CallerCounts CallerFleet::takeCounts()
{
    return std::exchange(counts_, {});
}

} // namespace boragelug::soak
