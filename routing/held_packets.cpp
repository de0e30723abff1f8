#include "routing/held_packets.h"

#include <algorithm>
#include <utility>

namespace boragelug
{

bool HeldPackets::add(const FlowPacket &head, std::span<const std::byte> bytes, TimePoint now)
{
    const Identity identity { head.caller, head.entry, head.sequence, head.dataBytes, head.syn, head.fin };
    if (const auto known = positions_.find(identity); known != positions_.end()) {
        HeldPacket &held = packets_[known->second];
        held.lastSynCopy = std::max(held.lastSynCopy, head.synCopies);
        return true;
    }
    if (packets_.size() >= maxPackets_) {
        return false;
    }
    positions_.emplace(identity, packets_.size());
    packets_.push_back({ .packet = { .head = head, .bytes = { bytes.begin(), bytes.end() } },
                         .arrivedAt = now,
                         .lastSynCopy = head.synCopies });
    return true;
}

std::vector<HeldPacket> HeldPackets::takeAll()
{
    positions_.clear();
    return std::exchange(packets_, {});
}

} // namespace boragelug
