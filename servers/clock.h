#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace boragelug
{

/// Reads the machine's clocks. Implementations are thread-safe.
class Clock
{
public:
    virtual ~Clock() = default;

    /// Time since boot, including sleep.
    virtual TimePoint now() const = 0;

    /// Wall-clock microseconds since 1970, for event times only.
    virtual std::uint64_t wallMicroseconds() const = 0;
};

} // namespace boragelug
