#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <vector>

namespace boragelug::soak
{

/// What a fault affects.
enum class FaultTarget : std::uint8_t {
    Vm, ///< A VM's process is killed, paused, reloaded or stopped.
    Upstream, ///< An upstream crashes or drains.
    Store,
    Catalogue, ///< An entry is added or removed.
    Network, ///< Packets to the VMs are lost, duplicated and delayed.
    Partition, ///< One VM is cut off in one direction: from callers, or from upstreams.
    PlannedVm, ///< A VM's process is stopped by SIGTERM and started again, or its settings are reloaded.
    Lifetime, ///< An upstream starts again under its id, or its record is replaced by a late or foreign one.
    Answers, ///< Some upstreams answer late.
    Reachability, ///< A running upstream loses its record, ignores checks, or another record names its address.
    Path, ///< Packets of a VM to the store or an upstream, or of an upstream to callers, are lost.
    Overload, ///< Many upstreams answer late and drop some of the packets and connections that reach them.
    Evacuation, ///< A zone is evacuated for some seconds, also while the store is slow or unavailable.
    Slowness ///< Some upstreams take several times as long as usual to answer.
};

/// Which faults a plan consists of.
enum class FaultMix : std::uint8_t {
    Unplanned, ///< Crashes, outages and planned work.
    Planned, ///< Planned work on VMs, upstreams and the catalogue.
    LateAnswers, ///< Planned work while upstreams answer late.
    Records, ///< Planned work while upstreams start again under their ids, and odd records are written.
    Reachability, ///< Planned work while upstreams are cut off from the store or from checks.
    Paths, ///< The same, and single paths between VMs, upstreams, callers and the store are cut.
    Overload, ///< Planned work on VMs while many upstreams are overloaded.
    Uneven ///< Planned work in two zones, one of which is evacuated at times, while some upstreams are slow.
};

/// One fault of a plan. What exactly happens is drawn from the fault's own seed, so that it doesn't depend on the
/// faults before it.
struct PlannedFault
{
    /// Since the start of the time with faults.
    Duration at {};
    FaultTarget target = FaultTarget::Vm;
    std::uint64_t seed = 0;

    bool operator==(const PlannedFault &) const = default;
};

/// The faults of a run whose time with faults has the given @p length, ordered by time. The same arguments give the
/// same plan on every machine and under every load. Thread-safe.
std::vector<PlannedFault> planFaults(std::uint64_t seed, Duration length, FaultMix mix = FaultMix::Unplanned);

} // namespace boragelug::soak
