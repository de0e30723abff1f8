#include "requests/slot_owner.h"

#include "core/hash.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace boragelug
{

std::string regionOf(const Catalogue &catalogue, ZoneId zone)
{
    const auto found = std::ranges::find(catalogue.zones, zone, &Zone::id);
    return found == catalogue.zones.end() ? std::string() : found->region;
}

std::uint64_t slotScore(VmId vm, UpstreamId upstream, std::uint32_t slot)
{
    return combineHash(combineHash(upstream.value, slot), mix64(vm.value));
}

std::vector<VmId> slotCandidates(const std::vector<SlotVm> &vms, ZoneId zone)
{
    const bool zoneHasVm = std::ranges::find(vms, zone, &SlotVm::zone) != vms.end();
    std::vector<VmId> candidates;
    for (const SlotVm &vm : vms) {
        if (!zoneHasVm || vm.zone == zone) {
            candidates.push_back(vm.id);
        }
    }
    return candidates;
}

std::vector<SlotVm> slotVms(const View &view)
{
    std::map<ZoneId, bool> inRegion;
    const std::string region = regionOf(view.catalogue, view.selfZone);
    for (const Zone &zone : view.catalogue.zones) {
        inRegion[zone.id] = zone.region == region;
    }
    std::vector<SlotVm> vms { { view.self, view.selfZone } };
    for (const Member &member : view.members) {
        const auto zone = inRegion.find(member.vm.zone);
        const bool sameRegion = member.vm.zone == view.selfZone || (zone != inRegion.end() && zone->second);
        const bool serves = member.vm.state == VmState::Live && member.health != MemberHealth::Dead;
        if (member.vm.id != view.self && sameRegion && serves) {
            vms.push_back({ member.vm.id, member.vm.zone });
        }
    }
    std::ranges::sort(vms, {}, &SlotVm::id);
    return vms;
}

VmId slotOwner(const std::vector<SlotVm> &vms, UpstreamId upstream, ZoneId zone, std::uint32_t slot)
{
    assert(!vms.empty());
    const bool zoneHasVm = std::ranges::find(vms, zone, &SlotVm::zone) != vms.end();
    VmId owner = vms.front().id;
    std::uint64_t best = 0;
    for (const SlotVm &vm : vms) {
        const std::uint64_t score = slotScore(vm.id, upstream, slot);
        if ((!zoneHasVm || vm.zone == zone) && score >= best) {
            owner = vm.id;
            best = score;
        }
    }
    return owner;
}

} // namespace boragelug
