#pragma once

#include <cstdint>

namespace boragelug
{

/// Maximum distance in bytes between a packet and the record of its flow, of which a VM may have seen only parts.
inline constexpr std::uint32_t maxSequenceGap = 1U << 20U;

/// Whether the TCP sequence number @p left is after @p right, modulo 2^32. Thread-safe.
inline bool isAfter(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

/// Whether two TCP sequence numbers are at most @p distance apart, modulo 2^32. Thread-safe.
inline bool isNear(std::uint32_t left, std::uint32_t right, std::uint32_t distance)
{
    return left - right <= distance || right - left <= distance;
}

} // namespace boragelug
