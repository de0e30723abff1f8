#pragma once

#include <cstdint>

namespace boragelug
{

/// Whether @p left comes after @p right on the circle of sequence numbers. Thread-safe.
inline bool isAfter(std::uint32_t left, std::uint32_t right)
{
    return static_cast<std::int32_t>(left - right) > 0;
}

} // namespace boragelug
