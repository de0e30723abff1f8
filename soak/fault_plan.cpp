#include "soak/fault_plan.h"

#include "core/random.h"

#include <array>

namespace boragelug::soak
{
namespace
{

constexpr std::uint64_t maxGapMilliseconds = 900;
/// Targets by weight: faults of VMs are twice as frequent as others.
constexpr std::array<FaultTarget, 7> targets { FaultTarget::Vm,       FaultTarget::Vm,        FaultTarget::Upstream,
                                               FaultTarget::Store,    FaultTarget::Catalogue, FaultTarget::Network,
                                               FaultTarget::Partition };

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length)
{
    Random random(seed);
    std::vector<PlannedFault> plan;
    Duration at {};
    while (at < length) {
        plan.push_back({ .at = at, .target = targets.at(random.below(targets.size())), .seed = random.next() });
        at += std::chrono::milliseconds(random.below(maxGapMilliseconds));
    }
    return plan;
}

} // namespace boragelug::soak
