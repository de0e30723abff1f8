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
/// Readers and stand-bys per zone; each sends reports to the lower-ranked members every second.
constexpr std::size_t readerGroupSize = 6;

/// The @p count VMs of @p candidates that rank highest for @p zone by rendezvous hash, highest first. Thread-safe.
std::vector<VmId> rankReaders(ZoneId zone, std::span<const VmId> candidates, std::size_t count);

/**
 * Decides whether this VM watches the configuration service for its zone.
 *
 * A VM of the reader group is a reader while fewer than three higher-ranked members have reported themselves healthy
 * within the report timeout. A reader that dies, is suspended or gets old versions is therefore replaced within that
 * timeout, without waiting for failure detection. Not synchronized: one thread at a time.
 */
class ReaderSelection
{
public:
    /// A reader counts as failed if its last healthy report is older than this. Reports are sent every second.
    static constexpr Duration reportTimeout = std::chrono::milliseconds(3500);

    ReaderSelection(VmId self, ZoneId zone);

    /// Sets the live VMs of the zone, this VM included.
    void setCandidates(std::span<const VmId> candidates, TimePoint now);

    /// Handles a group member's report: whether its answers from the configuration service are current.
    void handleReport(VmId from, bool healthy, TimePoint now);

    /// Whether this VM should watch the configuration service now.
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
