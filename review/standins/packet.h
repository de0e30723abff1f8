#pragma once

#include "loop.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace review
{

/// A packet as PROTOCOL.md describes it.
struct Packet
{
    static constexpr std::uint8_t ackFlag = 1;
    static constexpr std::uint8_t synFlag = 2;
    static constexpr std::uint8_t resetFlag = 8;
    static constexpr std::uint8_t finFlag = 32;

    std::uint32_t sum = 0;
    std::uint32_t echo = 0;
    Address to;
    Address from;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint8_t flags = 0;
    std::string data;

    bool has(std::uint8_t flag) const { return (flags & flag) != 0; }
};

/// The keyed sum over all fields but "echo", "pad" and BOUNCED.
std::uint32_t keyedSum(const Packet &packet);

/// Encodes @p packet with its keyed sum.
std::string encode(const Packet &packet);

/// std::nullopt if @p bytes are no packet.
std::optional<Packet> decode(std::string_view bytes);

std::uint64_t readNumber(std::string_view bytes, std::size_t offset, std::size_t size);

/// Whether @p left is before @p right; sequence numbers wrap around.
inline bool isBefore(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) < 0;
}

} // namespace review
