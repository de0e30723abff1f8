#pragma once

#include "routing/waiting_requests.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <vector>

namespace boragelug
{

/// A packet that arrived before the VM had a view.
struct HeldPacket
{
    WaitingPacket packet;
    TimePoint arrivedAt;
    /// SYN: the latest copy of it that arrived.
    std::uint32_t lastSynCopy = 0;
};

/**
 * Packets that arrive while a VM has no view yet. Callers retransmit at growing intervals, so that dropping these
 * packets would delay their requests for longer than the start takes.
 *
 * Does no I/O and reads no clock. Not synchronized: one thread at a time; times must not go back.
 */
class HeldPackets
{
public:
    /// Holds at most @p maxPackets; with 1.2 KB each, 2,000 need 2.4 MB.
    explicit HeldPackets(std::size_t maxPackets)
        : maxPackets_(maxPackets)
    { }

    bool empty() const { return packets_.empty(); }
    std::size_t size() const { return packets_.size(); }

    /// Holds the packet, unless a copy of it is held already. Returns false if the limit is reached.
    bool add(const FlowPacket &head, std::span<const std::byte> bytes, TimePoint now);

    /// Removes and returns all packets in the order of their arrival.
    std::vector<HeldPacket> takeAll();

private:
    /// Caller, entry, sequence number, length, and flags of a packet: the same for all copies.
    using Identity = std::tuple<Endpoint, Endpoint, std::uint32_t, std::uint16_t, bool, bool>;

    std::size_t maxPackets_;
    std::vector<HeldPacket> packets_;
    absl::flat_hash_map<Identity, std::size_t> positions_;
};

} // namespace boragelug
