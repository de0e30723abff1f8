#pragma once

#include "core/random.h"
#include "core/time_point.h"
#include "platform/standins/wire.h"
#include "soak/invariant_checker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace boragelug::soak
{

/// Requests sent, responses and resets received since the last call to SimulatedCaller::takeCounts().
struct CallerCounts
{
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t resets = 0;
};

/// All callers of one address: keeps a number of flows open and sends requests one after another on each flow.
class SimulatedCaller
{
public:
    using Send = std::function<void(std::vector<std::byte>)>;

    /// @p send passes an encoded packet to the fabric. With probability @p longPauseChance, a flow pauses for some
    /// seconds between two requests.
    SimulatedCaller(
        Ipv4Address address, std::uint64_t seed, double longPauseChance, InvariantChecker &invariants, Send send);

    /// Opens flows to randomly chosen @p entries until there are @p targetFlows, retransmits unanswered packets and
    /// abandons flows whose timeout expired. Call it at least every 20 ms.
    void tick(std::size_t targetFlows, const std::vector<Endpoint> &entries, TimePoint now);

    /// Handles a packet that arrived for one of the flows.
    void receive(const Packet &packet, TimePoint now);

    /// Returns the counts and resets them to zero.
    CallerCounts takeCounts();

private:
    enum class Phase : std::uint8_t { Opening, Waiting, Idle, Ended };

    struct Flow
    {
        Endpoint entry;
        Phase phase = Phase::Opening;
        std::uint32_t nextSequence = 0;
        std::uint32_t expectedSequence = 0;
        std::uint32_t tag = 0;
        TimePoint requestStartedAt;
        TimePoint retransmitAt;
        Duration retransmitInterval {};
        TimePoint nextRequestAt;
        unsigned requestsLeft = 0;
        unsigned retransmissions = 0;
    };

    void openFlow(std::uint16_t port, const Endpoint &entry, TimePoint now);
    void transmit(std::uint16_t port, const Flow &flow);
    void sendRequest(std::uint16_t port, Flow &flow, TimePoint now);
    void closeFlow(std::uint16_t port, Flow &flow);

    Ipv4Address address_;
    Random random_;
    double longPauseChance_;
    InvariantChecker &invariants_;
    Send send_;
    std::uint16_t nextPort_ = 1025;
    std::map<std::uint16_t, Flow> flows_;
    CallerCounts counts_;
};

} // namespace boragelug::soak
