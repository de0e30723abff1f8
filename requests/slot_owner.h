#pragma once

#include "model/view.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragelug
{

/// A VM that may own slots.
struct SlotVm
{
    VmId id;
    ZoneId zone;
};

/// VMs of the own region that are in state Live and not considered dead in @p view, always including the own VM.
/// Thread-safe.
std::vector<SlotVm> slotVms(const View &view);

/// Name of the region of @p zone; empty if the catalogue does not list the zone. Thread-safe.
std::string regionOf(const Catalogue &catalogue, ZoneId zone);

/// Rendezvous hash of @p vm for a slot: the VM with the highest value owns it. The same on all VMs. Thread-safe.
std::uint64_t slotScore(VmId vm, UpstreamId upstream, std::uint32_t slot);

/// VMs that share the slots of hosts in @p zone, in the order of @p vms: those of the zone, or all if it has none.
/// Thread-safe.
std::vector<VmId> slotCandidates(const std::vector<SlotVm> &vms, ZoneId zone);

/// Owner of slot @p slot of @p upstream: the VM with the highest score among those of the host's zone, or among all
/// @p vms if that zone has none. Precondition: @p vms is not empty. Thread-safe.
VmId slotOwner(const std::vector<SlotVm> &vms, UpstreamId upstream, ZoneId zone, std::uint32_t slot);

} // namespace boragelug
