#pragma once

#include <compare>
#include <cstdint>

namespace boragelug
{

/// A hybrid logical time: wall-clock microseconds, then a counter that orders events within one microsecond.
struct HybridTime
{
    std::uint64_t wallMicroseconds = 0;
    std::uint32_t counter = 0;

    auto operator<=>(const HybridTime &) const = default;
};

/**
 * Hybrid logical clock: orders causally related events over VMs whose wall clocks differ.
 *
 * Takes wall time as an argument. Not synchronized: one thread at a time.
 */
class HybridClock
{
public:
    /// Time of a local event or a sent message at @p wallMicroseconds.
    HybridTime tick(std::uint64_t wallMicroseconds);

    /// Time of receiving a message stamped @p remote. A remote time over one minute ahead is ignored, so
    /// that one VM with a wrong clock can't move the fleet's.
    HybridTime receive(HybridTime remote, std::uint64_t wallMicroseconds);

    /// The latest time given out.
    HybridTime last() const { return last_; }

private:
    HybridTime last_;
};

} // namespace boragelug
