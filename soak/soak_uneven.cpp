#include "platform/standins/store_records.h"
#include "soak/soak_simulation.h"

#include <array>

namespace boragelug::soak
{
namespace
{

using namespace std::chrono_literals;

/// Zones of upstreams; all VMs are in the first one.
constexpr std::array<const char *, 2> zones { "kgd-north", "kgd-south" };
/// Consecutive ids in one zone, so that each zone has upstreams of each service.
constexpr std::uint64_t idsPerZone = 3;
/// Time of an answer in the mix with slow upstreams, and how many times longer a slow one takes.
constexpr Duration usualAnswerTime = 40ms;
constexpr int slowness = 5;

} // namespace

std::string SoakSimulation::zoneOf(std::uint64_t upstream) const
{
    return zones.at(plan_.mix == FaultMix::Uneven ? upstream / idsPerZone % zones.size() : 0);
}

std::optional<TimePoint> SoakSimulation::zoneEvacuatedAt(std::uint64_t upstream) const
{
    return evacuation_ && evacuation_->first == zoneOf(upstream) ? std::optional(evacuation_->second) : std::nullopt;
}

Duration SoakSimulation::answerDelay(std::uint64_t upstream) const
{
    const auto late = lateAnswers_.find(upstream);
    if (late != lateAnswers_.end() && now() < late->second.first) {
        return late->second.second;
    }
    return plan_.mix == FaultMix::Uneven ? usualAnswerTime : Duration {};
}

// The zone's upstreams keep their flows, so that nothing here excuses a reset.
void SoakSimulation::injectEvacuation(Random &random)
{
    if (evacuation_) {
        return;
    }
    const std::string zone = zones.at(random.below(zones.size()));
    const auto length = std::chrono::milliseconds(6000 + random.below(5000));
    const std::uint64_t kind = random.below(3);
    recordFault("evacuate " + zone + " for " + std::to_string(length.count()) + " ms"
                + (kind == 0       ? ""
                       : kind == 1 ? " with a slow store"
                                   : " with a silent store"));
    if (kind != 0 && store_->fault() == StoreFault::None) {
        store_->setFault(kind == 1 ? StoreFault::Slow : StoreFault::Silent);
        runAfter(std::chrono::milliseconds(500 + random.below(1000)), [this] {
            store_->setFault(StoreFault::None);
            invariants_.recordStoreDisturbance(now());
        });
    }
    evacuation_ = { zone, now() };
    if (plan_.sabotage != Sabotage::Withhold) {
        store_->set(evacuationKey(zone), "{}");
    }
    runAfter(length, [this, zone] {
        evacuation_.reset();
        store_->remove(evacuationKey(zone));
    });
}

void SoakSimulation::injectSlowness(Random &random)
{
    const auto length = std::chrono::milliseconds(2000 + random.below(4000));
    const double share = 0.1 + 0.1 * static_cast<double>(random.below(3));
    std::size_t affected = 0;
    for (const auto &upstream : upstreams_) {
        if (random.chance(share)) {
            ++affected;
            lateAnswers_[upstream->id()] = { now() + length, usualAnswerTime * slowness };
        }
    }
    recordFault(std::to_string(affected) + " upstreams are slow for " + std::to_string(length.count()) + " ms");
}

} // namespace boragelug::soak
