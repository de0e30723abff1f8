#pragma once

#include <concepts>
#include <cstddef>
#include <span>
#include <vector>

namespace boragelug
{

/// Appends @p value in network byte order. Not synchronized.
template<std::unsigned_integral T>
void appendBigEndian(std::vector<std::byte> &out, T value)
{
    for (std::size_t i = sizeof(T); i > 0; --i) {
        out.push_back(static_cast<std::byte>((value >> (8 * (i - 1))) & 0xFFU));
    }
}

/// Reads a value in network byte order. Precondition: @p offset + sizeof(T) is within @p bytes. Thread-safe.
template<std::unsigned_integral T>
T readBigEndian(std::span<const std::byte> bytes, std::size_t offset)
{
    std::size_t value = 0;
    static_assert(sizeof(T) <= sizeof(value));
    for (const std::byte byte : bytes.subspan(offset, sizeof(T))) {
        value = (value << 8U) | std::to_integer<std::size_t>(byte);
    }
    return static_cast<T>(value);
}

} // namespace boragelug
