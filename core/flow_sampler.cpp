#include "core/flow_sampler.h"

#include "core/hash.h"

#include <algorithm>
#include <utility>

namespace boragelug
{
namespace
{

constexpr Duration period = std::chrono::seconds(1);
/// Bounds the second in which the rate jumps.
constexpr double burstFactor = 2;

/// Uniform in [0, 1) and the same on all VMs, so that they keep the same flows.
double position(std::uint64_t flow)
{
    constexpr unsigned droppedBits = 11;
    return static_cast<double>(mix64(flow) >> droppedBits) / static_cast<double>(std::uint64_t { 1 } << 53U);
}

} // namespace

FlowSampler::FlowSampler(double linesPerSecond)
    : budget_(linesPerSecond)
{ }

bool FlowSampler::admit(std::uint64_t flow, TimePoint now)
{
    if (now - second_ >= period) {
        const double offered = now - second_ < period * 2 ? static_cast<double>(offered_) : 0;
        share_ = offered <= budget_ ? 1 : budget_ / offered;
        second_ = now;
        offered_ = 0;
        admitted_ = 0;
    }
    ++offered_;
    const bool admitted = position(flow) < share_ && static_cast<double>(admitted_) < budget_ * burstFactor;
    admitted_ += admitted ? 1 : 0;
    leftOut_ += admitted ? 0 : 1;
    return admitted;
}

std::uint64_t FlowSampler::takeLeftOut()
{
    return std::exchange(leftOut_, 0);
}

} // namespace boragelug
