#pragma once

#include "model/peer_message.h"
#include "model/view.h"
#include "requests/slot_owner.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace boragelug
{

/// A slot acquired for one attempt; return it with SlotTable::release.
struct AcquiredSlot
{
    UpstreamId upstream;
    Incarnation incarnation;
    /// Name of the lease under which the slot was borrowed; 0 for an own slot.
    std::uint64_t lease = 0;
};

/// Number of slots that a lender granted, possibly 0.
struct SlotGrant
{
    ServiceId service;
    std::uint32_t count = 0;
};

/**
 * The slots that one VM may use: those it owns by rendezvous hashing, minus those it has lent, plus those it borrowed.
 *
 * A slot that moves to this VM is used only after the lease time plus a margin, because its former owner may have lent
 * it or may still use it under an older view. Slots of hosts that are new in the view are exempt, unless the VMs
 * changed (as in the first view) or the process was suspended within that time.
 *
 * Not synchronized: one thread at a time.
 */
class SlotTable
{
public:
    /// Leases last for @p leaseTime at the borrower and for @p leaseTime plus @p margin at the lender.
    SlotTable(Duration leaseTime, Duration margin)
        : leaseTime_(leaseTime)
        , margin_(margin)
    { }

    /// Recomputes slot ownership for the hosts and VMs of @p view.
    void applyView(const View &view, TimePoint now);

    /// Slots of @p upstream that can be acquired at @p now for an attempt that ends by @p deadline.
    std::uint32_t available(UpstreamId upstream, TimePoint deadline, TimePoint now) const;

    /// Acquires a slot, preferring own slots; std::nullopt if none is available.
    std::optional<AcquiredSlot> acquire(UpstreamId upstream, TimePoint deadline, TimePoint now);

    /// Returns a slot. Slots of an earlier incarnation or an expired lease are ignored.
    void release(const AcquiredSlot &slot);

    /// Hosts of @p service on which this VM owns slots, or has borrowed slots since the current view was applied.
    const std::vector<UpstreamId> &upstreamsWithSlots(ServiceId service) const;

    /// The host of a slot and the VM that owns the slot.
    struct SlotOwnership
    {
        UpstreamId upstream;
        VmId owner;
    };

    /// Number of slots of @p service that @p vm owns, on hosts whose slots are split between VMs including this one.
    std::uint32_t ownedSlots(ServiceId service, VmId vm) const;

    /// Own slots of @p service that are lent at @p now to VMs of the zone that own fewer than @p fairShare.
    std::uint32_t lentBelowFairShare(ServiceId service, std::uint32_t fairShare, TimePoint now) const;

    /// Slots of @p service that belong to other VMs that own more of them than the average owner.
    const std::vector<SlotOwnership> &surplusSlots(ServiceId service) const;

    /// Handles a lease request from a peer: grants at most @p maxCount free own slots. A request that names an
    /// active loan only extends that loan, if @p mayRenew is true and the host's usable own slots cover all its loans.
    SlotLeaseReply lend(VmId from, const SlotLease &request, std::uint32_t maxCount, bool mayRenew, TimePoint now);

    /// Whether @p request asks to extend an active loan.
    bool isRenewal(VmId from, const SlotLease &request, TimePoint now) const;

    /// Service of @p upstream; std::nullopt if this VM shares no slots of it.
    std::optional<ServiceId> findService(UpstreamId upstream) const;

    /// Creates a lease request, to be sent to @p owner. The upper 56 bits of @p nonce name the lease, the lower 8 count
    /// its renewals. Precondition: the name is new and not 0, and the renewal count is 0.
    SlotLease borrow(std::uint64_t nonce, VmId owner, const Upstream &upstream, std::uint32_t count, TimePoint now);

    /// Creates renewal requests for leases of @p service of which less than half of the lease time remains.
    std::vector<OutgoingMessage> renew(ServiceId service, TimePoint now);

    /// Handles a lender's reply and returns the granted slots, possibly 0; std::nullopt if the reply matches no pending
    /// lease request of this VM.
    std::optional<SlotGrant> handleReply(VmId from, const SlotLeaseReply &reply, TimePoint now);

    /// Number of lease requests that are pending at @p now.
    std::size_t pendingRequests(TimePoint now);

    /// Handles a suspension of the process: discards borrowed slots, and stops the use of own slots until the lease
    /// time plus the margin has passed after the next view.
    void notifySuspension();

    /// Stops the use of own slots from @p time on, because the VM leaves and others take over its slots one lease time
    /// later.
    void retireAt(TimePoint time) { retireAt_ = time; }

    /// Own and borrowed slots of @p upstream that are in use by attempts of this VM.
    std::uint32_t inUse(UpstreamId upstream) const;

    /// Own and borrowed slots of @p service that this VM may use at @p now, whether in use or free.
    std::uint32_t usable(ServiceId service, TimePoint now) const;

    /// Own slots of @p service that are not lent at @p now, whether in use or free.
    std::uint32_t ownNotLent(ServiceId service, TimePoint now) const;

    /// Removes expired leases and loans.
    void expire(TimePoint now);

private:
    struct OwnedSlot
    {
        VmId owner;
        std::uint64_t score = 0;
        /// From this time on, no former owner or borrower can use the slot.
        TimePoint usableFrom;
        /// The slot is not used before this time, because the host is in slow start.
        TimePoint coldUntil;
    };
    struct Loan
    {
        VmId to;
        std::uint64_t name = 0;
        std::uint32_t count = 0;
        TimePoint expiresAt;
    };
    struct Lease
    {
        VmId lender;
        std::uint64_t nonce = 0;
        TimePoint nextRenewal;
        std::uint32_t count = 0;
        std::uint32_t inUse = 0;
        TimePoint expiresAt;
    };
    struct Host
    {
        Incarnation incarnation;
        ServiceId service;
        std::vector<OwnedSlot> slots;
        std::uint32_t ownInUse = 0;
        std::vector<Loan> lent;
        std::vector<Lease> borrowed;
        /// Value of viewCount_ for the last view that listed the host.
        std::uint64_t lastSeenInView = 0;
    };
    struct PendingRequest
    {
        std::uint64_t nonce = 0;
        VmId owner;
        UpstreamId upstream;
        Incarnation incarnation;
        ServiceId service;
        TimePoint sentAt;
    };
    /// VMs that share the slots of one zone, those of them that the current view added, and whether this VM is one.
    struct ZoneVms
    {
        std::vector<VmId> current;
        std::vector<VmId> added;
        bool includesSelf = false;
    };

    std::uint32_t ownUsable(const Host &host, TimePoint now) const;
    std::uint32_t ownFree(const Host &host, TimePoint now) const;
    const ZoneVms &zoneVms(const View &view, ZoneId zone, const std::vector<SlotVm> &previousVms);
    void updateHost(const View &view,
                    const UpstreamStatus &status,
                    const std::vector<SlotVm> &previousVms,
                    TimePoint takeoverTime,
                    TimePoint now);
    void updateSlot(
        OwnedSlot &slot, const ZoneVms &zone, UpstreamId upstream, std::uint32_t index, TimePoint usableFrom) const;
    void delayOwnSlots(TimePoint usableFrom);
    void indexHosts();
    void indexSurplus();

    Duration leaseTime_;
    Duration margin_;
    VmId self_;
    std::vector<SlotVm> vms_;
    absl::flat_hash_map<ZoneId, ZoneVms> zones_;
    /// From this time on, slots that moved in the last change of VMs can't be in use by former owners or borrowers.
    TimePoint movedSlotsUsableFrom_;
    std::uint64_t viewCount_ = 0;
    bool suspended_ = false;
    TimePoint retireAt_ = TimePoint::max();
    absl::flat_hash_map<UpstreamId, Host> hosts_;
    absl::flat_hash_map<ServiceId, std::vector<UpstreamId>> byService_;
    absl::flat_hash_map<ServiceId, std::map<VmId, std::uint32_t>> ownerCounts_;
    absl::flat_hash_map<ServiceId, std::vector<SlotOwnership>> surplus_;
    std::vector<PendingRequest> pendingRequests_;
};

} // namespace boragelug
