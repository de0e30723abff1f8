#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace boragelug
{

/// Bijective finalizer of SplitMix64. Thread-safe.
constexpr std::uint64_t mix64(std::uint64_t value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Mixes two values into one hash; the order matters. Thread-safe.
constexpr std::uint64_t combineHash(std::uint64_t left, std::uint64_t right)
{
    return mix64(left * 0x9e3779b97f4a7c15ULL + right);
}

/// XXH3 hash of @p bytes, the same on every machine. Thread-safe.
std::uint64_t hashBytes(std::span<const std::byte> bytes, std::uint64_t seed = 0);

/// XXH3 hash of @p text, the same on every machine. Thread-safe.
std::uint64_t hashText(std::string_view text, std::uint64_t seed = 0);

} // namespace boragelug
