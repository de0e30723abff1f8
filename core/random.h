#pragma once

#include <cstdint>

namespace boragelug
{

/**
 * Seeded pseudo-random generator (SplitMix64).
 *
 * The same seed gives the same sequence on every machine, unlike the standard distributions.
 * Not synchronized: one thread at a time.
 */
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : state_(seed)
    { }

    /// The next 64 random bits.
    std::uint64_t next();

    /// A value in [0, bound). Precondition: bound > 0.
    std::uint64_t below(std::uint64_t bound);

    /// A value in [0, 1).
    double unit();

    /// True with probability @p probability.
    bool chance(double probability) { return unit() < probability; }

private:
    std::uint64_t state_;
};

} // namespace boragelug
