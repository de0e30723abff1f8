#include "core/hybrid_clock.h"

#include <algorithm>

namespace boragelug
{

namespace
{

constexpr std::uint64_t maxAheadMicroseconds = 60'000'000;

} // namespace

HybridTime HybridClock::tick(std::uint64_t wallMicroseconds)
{
    if (wallMicroseconds > last_.wallMicroseconds) {
        last_ = { wallMicroseconds, 0 };
    } else {
        ++last_.counter;
    }
    return last_;
}

HybridTime HybridClock::receive(HybridTime remote, std::uint64_t wallMicroseconds)
{
    if (remote.wallMicroseconds > wallMicroseconds + maxAheadMicroseconds) {
        return tick(wallMicroseconds);
    }
    last_ = std::max(last_, remote);
    return tick(wallMicroseconds);
}

} // namespace boragelug
