#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace boragelug
{

/// Readers per zone.
constexpr std::size_t readersPerZone = 3;
/// Readers and stand-bys per zone; they tell each other their state every second.
constexpr std::size_t readerGroupSize = 6;

/// The @p count VMs of @p candidates that rank highest for @p zone by rendezvous hash, highest first. Thread-safe.
std::vector<VmId> rankReaders(ZoneId zone, std::span<const VmId> candidates, std::size_t count);

/**
 * Decides whether this VM watches the platform for its zone.
 *
 * A VM of the reader group reads when fewer than three members that rank above it have lately reported that they read
 * well. A reader that dies, sleeps or gets old versions therefore loses its place within the report time-out, without
 * waiting for failure detection. Not synchronized: one thread at a time.
 */
class ReaderSelection
{
public:
    /// A reader without a good report for this long counts as failed; reports come every second.
    static constexpr Duration reportTimeout = std::chrono::milliseconds(3500);

    ReaderSelection(VmId self, ZoneId zone);

    /// Sets the live VMs of the zone, this VM included.
    void setCandidates(std::span<const VmId> candidates, TimePoint now);

    /// Takes a group member's report: whether its answers from the platform are good.
    void handleReport(VmId from, bool healthy, TimePoint now);

    /// Whether this VM should read now.
    bool isReader(TimePoint now) const;

    /// Readers and stand-bys, highest rank first.
    const std::vector<VmId> &group() const { return group_; }

    /// Whether this VM is in the group.
    bool isInGroup() const;

private:
    struct Report
    {
        TimePoint lastHealthyAt;
        bool failed = false;
    };

    VmId self_;
    ZoneId zone_;
    std::vector<VmId> group_;
    std::map<VmId, Report> reports_;
};

} // namespace boragelug
