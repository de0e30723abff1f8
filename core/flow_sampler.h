#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace boragelug
{

/**
 * Bounds log lines of flows so that either all lines of a flow are written in a second or none.
 *
 * The share of flows follows the offered lines of the second before. Not synchronized: one thread at a time; times must
 * not go back.
 */
class FlowSampler
{
public:
    /// Admits about @p linesPerSecond lines, and never more than twice as many in one second.
    explicit FlowSampler(double linesPerSecond);

    /// Whether a line of the flow with this hash is to be written.
    bool admit(std::uint64_t flow, TimePoint now);

    /// Lines left out since the last call.
    std::uint64_t takeLeftOut();

private:
    double budget_;
    double share_ = 1;
    TimePoint second_;
    std::uint64_t offered_ = 0;
    std::uint64_t admitted_ = 0;
    std::uint64_t leftOut_ = 0;
};

} // namespace boragelug
