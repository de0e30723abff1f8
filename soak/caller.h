#pragma once

#include "core/random.h"
#include "core/time_point.h"
#include "platform/standins/wire.h"
#include "soak/promises.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace boragelug::soak
{

/// What callers asked for and got, since the last call to CallerFleet::takeCounts().
struct CallerCounts
{
    std::uint64_t asked = 0;
    std::uint64_t served = 0;
    std::uint64_t resets = 0;
};

/// All callers of one address: keeps a number of flows open, each with requests one after the other.
class CallerFleet
{
public:
    using Send = std::function<void(std::vector<std::byte>)>;

    /// @p send passes a packet to the fabric.
    CallerFleet(Ipv4Address address, std::uint64_t seed, Promises &promises, Send send);

    /// Opens flows until @p wanted are there, repeats what got no answer, and gives up what is too late. To be called
    /// every 20 ms. Entries of new flows are taken from @p entries.
    void tick(std::size_t wanted, const std::vector<Endpoint> &entries, TimePoint now);

    /// A packet for one of the callers arrived.
    void receive(const Packet &packet, TimePoint now);

    CallerCounts takeCounts();

private:
    enum class Phase : std::uint8_t { Opening, Waiting, Idle, Ended };

    struct Flow
    {
        Endpoint entry;
        Phase phase = Phase::Opening;
        std::uint32_t sent = 0;
        std::uint32_t received = 0;
        std::uint32_t tag = 0;
        TimePoint askedAt;
        TimePoint repeatAt;
        Duration repeatGap {};
        TimePoint nextRequest;
        unsigned requestsLeft = 0;
        unsigned copies = 0;
    };

    void open(std::uint16_t port, const Endpoint &entry, TimePoint now);
    void transmit(std::uint16_t port, const Flow &flow);
    void ask(std::uint16_t port, Flow &flow, TimePoint now);
    void finish(std::uint16_t port, Flow &flow);

    Ipv4Address address_;
    Random random_;
    Promises &promises_;
    Send send_;
    std::uint16_t nextPort_ = 1025;
    std::map<std::uint16_t, Flow> flows_;
    CallerCounts counts_;
};

} // namespace boragelug::soak
