#include "soak/invariant_checker.h"

#include <algorithm>

namespace boragelug::soak
{

bool InvariantChecker::isUndisturbed(std::size_t vm, TimePoint now) const
{
    const auto found = lastVmDisturbance_.find(vm);
    return (found == lastVmDisturbance_.end() || now - found->second > bounds_.undisturbedTime)
        && now - lastStoreDisturbance_ > bounds_.undisturbedTime;
}

bool InvariantChecker::isUpstreamUndisturbed(std::uint64_t upstream, TimePoint now) const
{
    const auto found = lastUpstreamDisturbance_.find(upstream);
    return found == lastUpstreamDisturbance_.end() || now - found->second > bounds_.undisturbedTime;
}

void InvariantChecker::recordWrongService(const std::string &expectedService, const std::string &service, TimePoint now)
{
    report("service", "a packet for " + expectedService + " reached an upstream of " + service, now);
}

void InvariantChecker::checkNewFlow(std::size_t vm, const Withdrawals &withdrawals, TimePoint now)
{
    const auto &[drainingSince, entryRemovedAt, zoneEvacuatedAt] = withdrawals;
    if (!isUndisturbed(vm, now)) {
        return;
    }
    if (drainingSince && now - *drainingSince > bounds_.drain) {
        report("drain", "a draining upstream received a new flow through VM " + std::to_string(vm), now);
    }
    if (entryRemovedAt && now - *entryRemovedAt > bounds_.change) {
        report("change", "a removed entry received a new flow through VM " + std::to_string(vm), now);
    }
    if (zoneEvacuatedAt && now - *zoneEvacuatedAt > bounds_.evacuation) {
        report("evacuation", "an evacuated zone received a new flow through VM " + std::to_string(vm), now);
    }
}

void InvariantChecker::recordUpstreamStopped(std::uint64_t upstream)
{
    std::erase_if(flows_, [&](const auto &flow) { return flow.second.upstream == upstream; });
}

void InvariantChecker::checkFlowPacket(const FlowEndpoints &flow, std::uint64_t upstream, TimePoint now)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end()) {
        return;
    }
    if (found->second.upstream == upstream) {
        found->second.misroutedPackets = 0;
    } else if (++found->second.misroutedPackets >= bounds_.misroutedPacketThreshold
               && isUpstreamUndisturbed(found->second.upstream, now)) {
        report("flow", "packets of an open flow reach another host than its living one", now);
    }
}

void InvariantChecker::checkLoadBalancerReset(const FlowEndpoints &flow, TimePoint now)
{
    const auto found = flows_.find(flow);
    if (found != flows_.end() && isUpstreamUndisturbed(found->second.upstream, now)) {
        report("reset",
               "an open flow of running upstream " + std::to_string(found->second.upstream)
                   + " was reset: " + toString(flow.first),
               now);
    }
}

void InvariantChecker::checkUpstreamReset(const FlowEndpoints &flow, std::uint64_t upstream, TimePoint now)
{
    const auto found = flows_.find(flow);
    if (found != flows_.end() && found->second.upstream != upstream && isUpstreamUndisturbed(upstream, now)
        && isUpstreamUndisturbed(found->second.upstream, now)) {
        report("owner",
               "upstream " + std::to_string(upstream) + " reset flow " + toString(flow.first)
                   + ", which is open at running upstream " + std::to_string(found->second.upstream),
               now);
    }
}

void InvariantChecker::report(const std::string &invariant, const std::string &detail, TimePoint now)
{
    const auto known = std::find_if(
        violations_.begin(), violations_.end(), [&](const Violation &v) { return v.invariant == invariant; });
    if (known != violations_.end()) {
        ++known->count;
        return;
    }
    violations_.push_back({ .at = now - start_, .invariant = invariant, .detail = detail });
}

} // namespace boragelug::soak
