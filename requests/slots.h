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

/// A slot taken for one attempt; give it back with SlotTable::release.
struct AcquiredSlot
{
    UpstreamId upstream;
    Incarnation incarnation;
    /// Name of the lease that the slot was borrowed under; 0 for an own slot.
    std::uint64_t lease = 0;
};

/// What a lender granted.
struct SlotGrant
{
    ServiceId service;
    std::uint32_t count = 0;
};

/**
 * The slots that one VM may use: its own by rendezvous hash, less those lent, and those borrowed.
 *
 * A slot that becomes this VM's is used only after the longest lease plus a margin, because its former owner may have
 * lent it or may be using it on an older view. Hosts that this VM sees start are exempt.
 * Not synchronized: one thread at a time.
 */
class SlotTable
{
public:
    /// Leases run for @p leaseTime at the borrower and for @p margin longer at the lender.
    SlotTable(Duration leaseTime, Duration margin)
        : leaseTime_(leaseTime)
        , margin_(margin)
    { }

    /// Recomputes ownership for the hosts and VMs of @p view.
    void applyView(const View &view, TimePoint now);

    /// Slots of @p upstream that can be taken at @p now for an attempt that ends by @p deadline.
    std::uint32_t available(UpstreamId upstream, TimePoint deadline, TimePoint now) const;

    /// Takes a slot, an own one first; nothing if none is available.
    std::optional<AcquiredSlot> acquire(UpstreamId upstream, TimePoint deadline, TimePoint now);

    /// Gives back a slot. A slot of a past incarnation or an ended lease is ignored.
    void release(const AcquiredSlot &hold);

    /// Hosts of @p service of which this VM has or had slots in the current view.
    const std::vector<UpstreamId> &upstreamsWithSlots(ServiceId service) const;

    /// A slot and its owner.
    struct SlotOwnership
    {
        UpstreamId upstream;
        VmId owner;
    };

    /// Slots of @p service in the own zone that @p vm owns.
    std::uint32_t ownedSlots(ServiceId service, VmId vm) const;

    /// Own slots of @p service lent at @p now to VMs of the zone that own fewer than @p fair.
    std::uint32_t lentBelowFairShare(ServiceId service, std::uint32_t fair, TimePoint now) const;

    /// Slots of @p service whose owners, other than this VM, own more than the average of the zone.
    const std::vector<SlotOwnership> &surplusSlots(ServiceId service) const;

    /// Answers a peer that asks for slots: grants free own ones, at most @p most. A running loan of the same name is
    /// extended instead if @p mayRenew.
    SlotLeaseReply lend(VmId from, const SlotLease &request, std::uint32_t most, bool mayRenew, TimePoint now);

    /// Whether @p request asks to extend a running loan.
    bool isRenewal(VmId from, const SlotLease &request, TimePoint now) const;

    /// Service of @p upstream, if this VM may own slots of it.
    std::optional<ServiceId> findService(UpstreamId upstream) const;

    /// Starts to borrow; the message goes to the owner. The upper 56 bits of @p nonce name the lease, the others count
    /// its renewals. Precondition: the name is new and not 0, and the count is 0.
    SlotLease borrow(std::uint64_t nonce, VmId owner, const Upstream &upstream, std::uint32_t count, TimePoint now);

    /// Requests to extend leases of @p service that have run for half of their time.
    std::vector<OutgoingMessage> renew(ServiceId service, TimePoint now);

    /// A lender replied. Returns what it granted, perhaps none; nothing if the reply matches no open request from this
    /// VM.
    std::optional<SlotGrant> handleReply(VmId from, const SlotLeaseReply &reply, TimePoint now);

    /// Requests to borrow that are still open at @p now.
    std::size_t openRequests(TimePoint now);

    /// Drops borrowed slots and stops the use of own ones until the next view, from which they count as new.
    void notifySuspension();

    /// Stops the use of own slots at @p when: the VM leaves, and others take its slots over a lease later.
    void retireAt(TimePoint when) { retireAt_ = when; }

    /// Own and borrowed use of @p upstream by attempts of this VM.
    std::uint32_t inUse(UpstreamId upstream) const;

    /// Slots of all hosts of @p service that this VM may use at @p now, taken or not.
    std::uint32_t usable(ServiceId service, TimePoint now) const;

    /// Own slots of all hosts of @p service at @p now that are not lent, taken or not.
    std::uint32_t ownNotLent(ServiceId service, TimePoint now) const;

    /// Forgets leases that have ended.
    void expire(TimePoint now);

private:
    struct OwnedSlot
    {
        VmId owner;
        std::uint64_t score = 0;
        /// From then on no former owner or borrower can use the slot.
        TimePoint usableFrom;
        /// Until then the host ramps up without this slot.
        TimePoint coldUntil;
    };
    struct Loan
    {
        VmId to;
        std::uint64_t name = 0;
        std::uint32_t count = 0;
        TimePoint until;
    };
    struct Lease
    {
        VmId lender;
        std::uint64_t nonce = 0;
        TimePoint nextRenewal;
        std::uint32_t count = 0;
        std::uint32_t inUse = 0;
        TimePoint until;
    };
    struct Host
    {
        Incarnation incarnation;
        ServiceId service;
        std::vector<OwnedSlot> slots;
        std::uint32_t ownInUse = 0;
        std::vector<Loan> lent;
        std::vector<Lease> borrowed;
        std::uint64_t lastSeenInView = 0;
    };
    struct OpenRequest
    {
        std::uint64_t nonce = 0;
        VmId owner;
        UpstreamId upstream;
        Incarnation incarnation;
        ServiceId service;
        TimePoint sentAt;
    };
    /// VMs that share the slots of one zone, and those new among them in this view.
    struct ZoneVms
    {
        std::vector<VmId> now;
        std::vector<VmId> added;
        bool mine = false;
    };

    std::uint32_t ownUsable(const Host &host, TimePoint now) const;
    std::uint32_t ownFree(const Host &host, TimePoint now) const;
    const ZoneVms &zoneVms(const View &view, ZoneId zone, const std::vector<SlotVm> &before);
    void updateHost(const View &view,
                    const UpstreamStatus &status,
                    const std::vector<SlotVm> &before,
                    TimePoint waited,
                    TimePoint now);
    void
    updateSlot(OwnedSlot &slot, const ZoneVms &zone, UpstreamId upstream, std::uint32_t index, TimePoint ready) const;
    void restartOwnSlots(TimePoint usableFrom);
    void indexHosts();
    void indexSurplus();

    Duration leaseTime_;
    Duration margin_;
    VmId self_;
    std::vector<SlotVm> vms_;
    absl::flat_hash_map<ZoneId, ZoneVms> zones_;
    /// From then on no change of VMs leaves a slot with two users.
    TimePoint membersSettled_;
    std::uint64_t viewCount_ = 0;
    bool suspended_ = false;
    TimePoint retireAt_ = TimePoint::max();
    absl::flat_hash_map<UpstreamId, Host> hosts_;
    absl::flat_hash_map<ServiceId, std::vector<UpstreamId>> byService_;
    absl::flat_hash_map<ServiceId, std::map<VmId, std::uint32_t>> ownerCounts_;
    absl::flat_hash_map<ServiceId, std::vector<SlotOwnership>> surplus_;
    std::vector<OpenRequest> open_;
};

} // namespace boragelug
