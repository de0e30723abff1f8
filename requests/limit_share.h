#pragma once

#include "model/peer_message.h"
#include "model/view.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace boragelug
{

/// Minimum of a value over the last one to two periods. An increase takes effect only after it has persisted for a full
/// period, a decrease at once.
struct WindowedMinimum
{
    double current = 0;
    double previous = 0;
    double latest = 0;
    TimePoint periodStart;
};

/// Creates a minimum that starts at @p value. Thread-safe for distinct objects, as are the two functions below.
WindowedMinimum startWindowedMinimum(double value, TimePoint now);

/// Records that the value is @p value from @p now on.
void recordValue(WindowedMinimum &minimum, double value, Duration period, TimePoint now);

/// Minimum of the values recorded in the current and the previous period.
double windowedMinimum(WindowedMinimum &minimum, Duration period, TimePoint now);

/// VMs between which limits are split, according to one view.
struct ShareMembers
{
    /// Number of listed VMs of the region, including leaving, suspect and unreachable ones.
    std::size_t regionSize = 1;
    /// VMs of the own zone with which this VM exchanges shares, at most four.
    std::vector<VmId> partners;
};

/// Reads the members of the own region and the partners of the own zone from @p view. Thread-safe.
ShareMembers shareMembers(const View &view);

/**
 * One VM's shares of the limits of the entries that it serves, computed without a shared counter.
 *
 * The base share is the limit divided by the number of VMs in the region. Demand reports move at most half of it
 * between partners of one zone, pair by pair: one partner may use what the other gives up, and both compute the
 * transfer from the same two reports. An increase is used only after it has persisted for a period, a decrease at once.
 * A VM uses no share of a partner from which it has no recent report.
 *
 * Not synchronized: one thread at a time.
 */
class LimitShares
{
public:
    /// @p increaseDelay is the time for which an increase must persist before it is used. A VM starts with no share
    /// unless it is alone in its region.
    LimitShares(Duration increaseDelay, TimePoint now);

    /// Splits the limits between the VMs of @p view from now on.
    void applyView(const View &view, TimePoint now);

    /// This VM's share of the rate @p limit at @p now, for the entry whose name has this hash.
    double rateShare(std::uint64_t entryHash, double limit, TimePoint now);

    /// This VM's share of the @p limit on concurrent requests at @p now, as a whole number. The remainder of the
    /// division goes to VMs in the order of their hash for the entry; a VM may get 0 if the limit is below the number
    /// of VMs.
    std::uint32_t countShare(std::uint64_t entryHash, std::uint32_t limit, TimePoint now);

    /// Handles a partner's demand report; reports from other VMs are ignored.
    void handleReport(VmId from, const DemandReport &report, TimePoint now);

    /// Records the own demand in requests per second and returns the reports to send, one for each partner.
    std::vector<OutgoingMessage> reportDemand(const DemandReport &own, TimePoint now);

    /// Discards the partners' reports, because the process was suspended or its view is unconfirmed. Shares that were
    /// given to partners stay with them.
    void discardReports(TimePoint now);

    /// Number of pairs of entry and partner with a transfer; at most maxTransfers.
    std::size_t transferCount() const { return transfers_.size(); }

    static constexpr std::size_t maxTransfers = 1024;

private:
    struct TransferKey
    {
        std::uint64_t entryHash = 0;
        VmId partner;
        bool operator==(const TransferKey &) const = default;
        template<class H>
        friend H AbslHashValue(H state, const TransferKey &key)
        {
            return H::combine(std::move(state), key.entryHash, key.partner.value);
        }
    };
    struct Transfer
    {
        double partnerDemand = 0;
        TimePoint lastContactAt;
        /// Share moved from the partner to this VM, in requests per second; negative in the other direction.
        WindowedMinimum transferred;
        double limit = 0;
    };

    void updateTransfer(const TransferKey &key, Transfer &transfer, TimePoint now);
    double pairTransfer(double ownDemand, double partnerDemand, double base) const;

    Duration increaseDelay_;
    VmId self_;
    ShareMembers members_;
    std::vector<VmId> region_;
    WindowedMinimum fraction_;
    absl::flat_hash_map<std::uint64_t, double> ownDemand_;
    absl::flat_hash_map<std::uint64_t, double> limits_;
    absl::flat_hash_map<TransferKey, Transfer> transfers_;
};

} // namespace boragelug
