#include "core/random.h"

#include "core/hash.h"

#include <cassert>

namespace boragelug
{

namespace
{

constexpr std::uint64_t splitMixIncrement = 0x9e3779b97f4a7c15ULL;
constexpr double unitScale = 1.0 / 9007199254740992.0; // 2^-53, so that 53 bits fill [0, 1).

} // namespace

std::uint64_t Random::next()
{
    state_ += splitMixIncrement;
    return mix64(state_);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    assert(bound > 0);
    // The bias of a modulo is below 2^-32 for every bound used here.
    return next() % bound;
}

double Random::unit()
{
    return static_cast<double>(next() >> 11U) * unitScale;
}

} // namespace boragelug
