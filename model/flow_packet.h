#pragma once

#include "core/strong_type.h"
#include "model/endpoint.h"

#include <cstdint>

namespace boragelug
{

/// Value that the fabric's packets carry for the system: both ends of a flow hand back the last one they received.
using FlowTag = StrongType<struct FlowTagTag, std::uint32_t>;

/// FlowPacket::synCopies of the last copy of a SYN that callers send.
inline constexpr std::uint32_t lastSynCopy = 2;

/// The head of one packet from a caller.
struct FlowPacket
{
    Endpoint caller;
    Endpoint entry;
    /// 0 in the first packet of a flow.
    FlowTag tag;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint16_t dataBytes = 0;
    /// SYN: copies of it that the caller sent before this one.
    std::uint32_t synCopies = 0;
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool reset = false;

    bool operator==(const FlowPacket &) const = default;
};

} // namespace boragelug
