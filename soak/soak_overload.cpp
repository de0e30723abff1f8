#include "soak/soak_simulation.h"

#include <chrono>

namespace boragelug::soak
{
namespace
{

using namespace std::chrono_literals;

/// Time after which the accept queue of an overloaded upstream fills, has room again, or stays as it is.
constexpr Duration acceptQueueInterval = 300ms;

} // namespace

bool SoakSimulation::isDroppedByOverload(std::uint64_t upstream)
{
    const auto found = overloads_.find(upstream);
    return found != overloads_.end() && packetRandom_.chance(found->second.packetDropChance);
}

// The upstreams keep all flows and serve what reaches them, so that nothing here excuses a reset.
void SoakSimulation::injectOverload(Random &random)
{
    if (!overloads_.empty()) {
        return;
    }
    const auto length = std::chrono::milliseconds(2000 + random.below(4000));
    const double share = 0.3 + 0.1 * static_cast<double>(random.below(6));
    for (const auto &upstream : upstreams_) {
        if (random.chance(share)) {
            overloads_[upstream->id()] = { .packetDropChance = 0.2 + 0.1 * static_cast<double>(random.below(5)),
                                           .connectionDropChance = 0.3 + 0.1 * static_cast<double>(random.below(6)) };
            lateAnswers_[upstream->id()] = { now() + length, std::chrono::milliseconds(300 + random.below(600)) };
        }
    }
    if (overloads_.empty()) {
        return;
    }
    recordFault(std::to_string(overloads_.size()) + " upstreams are overloaded for " + std::to_string(length.count())
                + " ms");
    changeAcceptQueues(now() + length, Random(random.next()));
}

void SoakSimulation::changeAcceptQueues(TimePoint end, Random random)
{
    const bool ended = now() >= end;
    for (const auto &[id, overload] : overloads_) {
        const bool ignores = random.chance(overload.connectionDropChance) && !ended;
        if (SimulatedUpstream *upstream = findUpstream(id)) {
            upstream->setIgnoresConnections(ignores);
        }
    }
    if (ended) {
        overloads_.clear();
        return;
    }
    runAfter(acceptQueueInterval, [this, end, random] { changeAcceptQueues(end, random); });
}

} // namespace boragelug::soak
