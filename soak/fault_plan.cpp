#include "soak/fault_plan.h"

#include "core/random.h"

#include <array>
#include <span>

namespace boragelug::soak
{
namespace
{

constexpr std::uint64_t maxGapMilliseconds = 900;
/// Targets by weight: faults of VMs are twice as frequent as others.
constexpr std::array<FaultTarget, 7> targets { FaultTarget::Vm,       FaultTarget::Vm,        FaultTarget::Upstream,
                                               FaultTarget::Store,    FaultTarget::Catalogue, FaultTarget::Network,
                                               FaultTarget::Partition };
constexpr std::array<FaultTarget, 4> plannedTargets {
    FaultTarget::PlannedVm, FaultTarget::PlannedVm, FaultTarget::Upstream, FaultTarget::Catalogue
};
constexpr std::array<FaultTarget, 3> lateAnswerTargets { FaultTarget::PlannedVm,
                                                         FaultTarget::PlannedVm,
                                                         FaultTarget::Answers };
constexpr std::array<FaultTarget, 4> recordTargets {
    FaultTarget::PlannedVm, FaultTarget::Lifetime, FaultTarget::Lifetime, FaultTarget::Catalogue
};
constexpr std::array<FaultTarget, 4> reachabilityTargets {
    FaultTarget::PlannedVm, FaultTarget::Reachability, FaultTarget::Reachability, FaultTarget::Upstream
};
constexpr std::array<FaultTarget, 4> pathTargets {
    FaultTarget::PlannedVm, FaultTarget::Path, FaultTarget::Path, FaultTarget::Reachability
};
constexpr std::array<FaultTarget, 2> overloadTargets { FaultTarget::PlannedVm, FaultTarget::Overload };
/// VMs are restarted less often, so that some stay undisturbed for long enough to check evacuations.
constexpr std::array<FaultTarget, 6> unevenTargets { FaultTarget::PlannedVm,  FaultTarget::Upstream,
                                                     FaultTarget::Evacuation, FaultTarget::Slowness,
                                                     FaultTarget::Slowness,   FaultTarget::Slowness };

std::span<const FaultTarget> targetsOf(FaultMix mix)
{
    switch (mix) {
    case FaultMix::Unplanned:
        return targets;
    case FaultMix::Planned:
        return plannedTargets;
    case FaultMix::LateAnswers:
        return lateAnswerTargets;
    case FaultMix::Records:
        return recordTargets;
    case FaultMix::Reachability:
        return reachabilityTargets;
    case FaultMix::Paths:
        return pathTargets;
    case FaultMix::Overload:
        return overloadTargets;
    case FaultMix::Uneven:
        return unevenTargets;
    }
    return targets;
}

} // namespace

std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length, FaultMix mix)
{
    const std::span<const FaultTarget> chosen = targetsOf(mix);
    Random random(seed);
    std::vector<PlannedFault> plan;
    Duration at {};
    while (at < length) {
        plan.push_back({ .at = at, .target = chosen[random.below(chosen.size())], .seed = random.next() });
        at += std::chrono::milliseconds(random.below(maxGapMilliseconds));
    }
    return plan;
}

} // namespace boragelug::soak
