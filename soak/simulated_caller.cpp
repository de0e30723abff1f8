#include "soak/simulated_caller.h"

#include "routing/sequence_number.h"

#include <utility>

namespace boragelug::soak
{
namespace
{

using namespace std::chrono_literals;

// Retransmission intervals and timeouts of callers, as the platform's protocol defines them.
constexpr Duration initialRetransmitInterval = 200ms;
constexpr Duration secondSynInterval = 400ms;
constexpr Duration openTimeout = 1400ms;
constexpr Duration maxRetransmitInterval = 1600ms;
constexpr Duration requestTimeout = 2500ms;
constexpr std::size_t requestBytes = 120;
// Long pauses end before the idle timeout of flows.
constexpr Duration minLongPause = 3s;
constexpr std::uint64_t longPauseSpreadMilliseconds = 7000;
// Callers ignore a reset of an open flow whose sequence number is further from their acknowledgement.
constexpr std::uint32_t resetWindow = 76'800;

} // namespace

SimulatedCaller::SimulatedCaller(
    Ipv4Address address, std::uint64_t seed, double longPauseChance, InvariantChecker &invariants, Send send)
    : address_(address)
    , random_(seed)
    , longPauseChance_(longPauseChance)
    , invariants_(invariants)
    , send_(std::move(send))
{ }

void SimulatedCaller::openFlow(std::uint16_t port, const Endpoint &entry, TimePoint now)
{
    Flow flow;
    flow.entry = entry;
    flow.nextSequence = static_cast<std::uint32_t>(random_.next());
    flow.requestStartedAt = now;
    flow.retransmitAt = now + initialRetransmitInterval;
    flow.retransmitInterval = secondSynInterval;
    flow.requestsLeft = 1 + static_cast<unsigned>(random_.below(20));
    ++counts_.requests;
    transmit(port, flow);
    flows_[port] = flow;
}

void SimulatedCaller::transmit(std::uint16_t port, const Flow &flow)
{
    Packet packet;
    packet.from = { .address = address_, .port = Port { port } };
    packet.to = flow.entry;
    packet.tag = flow.tag;
    packet.syn = flow.phase == Phase::Opening;
    packet.ack = !packet.syn;
    packet.sequence = flow.nextSequence;
    // A SYN carries the number of its retransmissions in place of an acknowledgement number.
    packet.acknowledged = packet.syn ? flow.retransmissions : flow.expectedSequence;
    packet.data.resize(flow.phase == Phase::Waiting ? requestBytes : 0);
    packet.fin = flow.phase == Phase::Ended;
    send_(encode(packet));
}

void SimulatedCaller::sendRequest(std::uint16_t port, Flow &flow, TimePoint now)
{
    flow.phase = Phase::Waiting;
    flow.requestStartedAt = now;
    flow.retransmitAt = now + initialRetransmitInterval;
    flow.retransmitInterval = initialRetransmitInterval * 2;
    transmit(port, flow);
}

void SimulatedCaller::closeFlow(std::uint16_t port, Flow &flow)
{
    flow.phase = Phase::Ended;
    transmit(port, flow);
    invariants_.recordFlowEnded({ { .address = address_, .port = Port { port } }, flow.entry });
}

void SimulatedCaller::tick(std::size_t targetFlows, const std::vector<Endpoint> &entries, TimePoint now)
{
    for (auto it = flows_.begin(); it != flows_.end();) {
        auto &[port, flow] = *it;
        const bool timedOut =
            now - flow.requestStartedAt > (flow.phase == Phase::Opening ? openTimeout : requestTimeout);
        if (flow.phase == Phase::Ended || (timedOut && flow.phase != Phase::Idle)) {
            invariants_.recordFlowEnded({ { .address = address_, .port = Port { port } }, flow.entry });
            it = flows_.erase(it);
            continue;
        }
        if (flow.phase == Phase::Idle && now >= flow.nextRequestAt) {
            ++counts_.requests;
            sendRequest(port, flow, now);
        } else if (flow.phase != Phase::Idle && now >= flow.retransmitAt) {
            ++flow.retransmissions;
            transmit(port, flow);
            flow.retransmitAt = now + flow.retransmitInterval;
            flow.retransmitInterval = std::min(flow.retransmitInterval * 2, Duration(maxRetransmitInterval));
        }
        ++it;
    }
    while (flows_.size() < targetFlows) {
        openFlow(nextPort_, entries[random_.below(entries.size())], now);
        nextPort_ = nextPort_ == 65'000 ? 1025 : static_cast<std::uint16_t>(nextPort_ + 1);
    }
}

void SimulatedCaller::receive(const Packet &packet, TimePoint now)
{
    const auto found = flows_.find(packet.to.port.value);
    // Resets that the load balancer sends have checksum 0, which checksum() never returns.
    if (packet.sum != 0 && packet.sum != checksum(packet)) {
        invariants_.recordCorruptedPacket("corrupted packet at a caller", now);
        return;
    }
    if (found == flows_.end() || found->second.entry != packet.from) {
        return;
    }
    auto &[port, flow] = *found;
    if (packet.reset) {
        const bool isNearAcknowledgement = isNear(packet.sequence, flow.expectedSequence, resetWindow);
        if (packet.sum == 0 && flow.phase != Phase::Opening && !isNearAcknowledgement) {
            return;
        }
        ++counts_.resets;
        if (packet.sum == 0 && flow.phase != Phase::Opening) {
            invariants_.checkLoadBalancerReset({ packet.to, packet.from }, now);
        }
        flows_.erase(found);
        return;
    }
    flow.tag = packet.tag;
    if (flow.phase == Phase::Opening && packet.syn) {
        flow.expectedSequence = packet.sequence + 1;
        flow.nextSequence += 1;
        // The timeout of the first request and its first retransmission count from the first SYN.
        sendRequest(port, flow, flow.requestStartedAt);
        return;
    }
    if (flow.phase != Phase::Waiting || packet.data.empty() || packet.sequence != flow.expectedSequence) {
        return;
    }
    ++counts_.served;
    flow.expectedSequence += static_cast<std::uint32_t>(packet.data.size());
    flow.nextSequence += requestBytes;
    if (--flow.requestsLeft == 0) {
        closeFlow(port, flow);
        return;
    }
    flow.phase = Phase::Idle;
    transmit(port, flow);
    flow.nextRequestAt = now + std::chrono::milliseconds(20 + random_.below(400));
    if (longPauseChance_ > 0 && random_.chance(longPauseChance_)) {
        flow.nextRequestAt += minLongPause + std::chrono::milliseconds(random_.below(longPauseSpreadMilliseconds));
    }
}

CallerCounts SimulatedCaller::takeCounts()
{
    return std::exchange(counts_, {});
}

} // namespace boragelug::soak
