#pragma once

#include "model/peer_message.h"
#include "model/view.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace boragelug
{

/// Least value over the last one to two periods, so that a rise counts only after it has held for a period.
struct WindowedMinimum
{
    double current = 0;
    double previous = 0;
    double latest = 0;
    TimePoint periodStart;
};

/// Starts at @p value. Thread-safe for distinct objects, as are the two functions below.
WindowedMinimum startWindowedMinimum(double value, TimePoint now);

/// Notes that the value is @p value from @p now on.
void recordValue(WindowedMinimum &held, double value, Duration period, TimePoint now);

/// The least value noted within the last period.
double windowedMinimum(WindowedMinimum &held, Duration period, TimePoint now);

/// VMs over which limits are split, as one view shows them.
struct ShareMembers
{
    /// VMs of the region: live, leaving, suspected and unreachable ones alike.
    std::size_t regionSize = 1;
    /// VMs of the own zone that exchange shares with this VM, at most four.
    std::vector<VmId> partners;
};

/// Reads the members of the own region and the partners of the own zone from @p view. Thread-safe.
ShareMembers shareMembers(const View &view);

/**
 * One VM's shares of the limits of the entries that it serves, without a shared counter.
 *
 * The base share is limit / VMs of the region. Demand reports move at most half of it between partners of one zone,
 * pair by pair: what a partner gives up, the other may use, and both compute it from the same two reports. A rise is
 * used only after it has held for a period, a fall at once, and without recent reports nothing is received.
 * Not synchronized: one thread at a time.
 */
class LimitShares
{
public:
    /// @p hold is the time that a rise must hold. A VM starts with no share unless it is alone in its region.
    LimitShares(Duration hold, TimePoint now);

    /// Splits over the VMs of @p view from now on.
    void applyView(const View &view, TimePoint now);

    /// Share of @p limit that may be used at @p now, for the entry with this hash of its name.
    double rateShare(std::uint64_t entryHash, double limit, TimePoint now);

    /// Whole requests in progress of @p limit that may be used at @p now. The remainder of the division goes to VMs
    /// in the order of their rank for the entry; a VM may get none if the limit is below the number of VMs.
    std::uint32_t countShare(std::uint64_t entryHash, std::uint32_t limit, TimePoint now);

    /// A partner reported its demand; reports of others are ignored.
    void handleReport(VmId from, const DemandReport &report, TimePoint now);

    /// Notes the own demand in requests per second and returns the reports to send, one for each partner.
    std::vector<OutgoingMessage> reportDemand(const DemandReport &own, TimePoint now);

    /// Drops what was learned from partners: the process slept or its view is in doubt.
    void discardReports(TimePoint now);

    /// Entries and partners for which a transfer is kept; bounded by maxTransfers.
    std::size_t transferCount() const { return transfers_.size(); }

    static constexpr std::size_t maxTransfers = 1024;

private:
    struct TransferKey
    {
        std::uint64_t entryHash = 0;
        VmId partner;
        bool operator==(const TransferKey &) const = default;
        template<class H>
        friend H AbslHashValue(H state, const TransferKey &pair)
        {
            return H::combine(std::move(state), pair.entryHash, pair.partner.value);
        }
    };
    struct Transfer
    {
        double partnerDemand = 0;
        TimePoint lastContactAt;
        /// Signed share moved from the partner to this VM, in requests per second.
        WindowedMinimum moved;
        double limit = 0;
    };

    void update(const TransferKey &pair, Transfer &transfer, TimePoint now);
    double pairTransfer(double ownDemand, double partnerDemand, double base) const;

    Duration hold_;
    VmId self_;
    ShareMembers members_;
    std::vector<VmId> region_;
    WindowedMinimum fraction_;
    absl::flat_hash_map<std::uint64_t, double> ownDemand_;
    absl::flat_hash_map<std::uint64_t, double> limits_;
    absl::flat_hash_map<TransferKey, Transfer> transfers_;
};

} // namespace boragelug
