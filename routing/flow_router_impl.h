#pragma once

#include "routing/address_table.h"
#include "routing/flow_router.h"
#include "routing/flow_table.h"
#include "routing/owner_history.h"
#include "routing/placement.h"
#include "routing/upstream_registry.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <optional>
#include <vector>

namespace boragelug
{

/**
 * State and processing steps of a FlowRouter.
 *
 * flow_router.cpp applies views, flow_lookup.cpp decides on packets, flow_owners.cpp places, records and
 * replicates, flow_handover.cpp does the background work.
 */
class FlowRouter::Impl
{
public:
    explicit Impl(const FlowRouterSettings &settings);

    void applyView(std::shared_ptr<const View> view, TimePoint now);
    RoutingDecision route(const PacketAttributes &attributes, TimePoint now);
    void receive(const FlowEntries &entries, VmId from, TimePoint now);
    std::vector<OutgoingMessage> tick(TimePoint now, std::size_t byteBudget);
    std::size_t handoverRemaining() const;
    RoutingGauges gauges() const;

    AddressTable addresses_;
    UpstreamRegistry upstreams_;
    RoutingCounters counters_;

private:
    using Slot = FlowTable::Slot;

    /// Another VM of the region. Needn't be a flow owner in this view: VMs with a different view may redirect packets
    /// to it too.
    struct Peer
    {
        ZoneId zone;
        Endpoint packetEndpoint;
        MemberHealth health = MemberHealth::Alive;

        bool operator==(const Peer &) const = default;
    };

    /// One packet, passed through the processing steps.
    struct Packet
    {
        const PacketAttributes &attributes;
        RedirectOption option;
        TimePoint now;
        FlowTick tick;
        std::uint32_t bucket;
        AddressTable::Slot address;
        const RoutedAddress &entry;
    };

    /// A flow entry that is queued for one peer.
    struct PendingRecord
    {
        VmId to;
        FlowKey key;
        bool hint = false;
    };

    /// Messages of one tick, limited by its byte budget.
    struct Outbox
    {
        std::vector<OutgoingMessage> messages;
        std::size_t budget = 0;
        std::size_t spent = 0;

        bool add(VmId to, const FlowRecord &record, bool hint);
    };

    void applyMembers(TimePoint now);
    void applyHosts(TimePoint now);

    RoutingDecision routeSyn(Packet &packet);
    std::optional<RoutingDecision> routeSynOfKnownFlow(Packet &packet, Slot slot);
    RoutingDecision routeNonSyn(Packet &packet);
    std::optional<RoutingDecision> routeKnownFlow(Packet &packet, Slot slot);
    std::optional<RoutingDecision> refuseOrErase(Packet &packet, Slot slot);
    RoutingDecision routeToNotYetListedUpstream(Packet &packet, Slot slot);
    RoutingDecision sendAsPrimary(Packet &packet, Slot slot);
    RoutingDecision sendFromCopy(Packet &packet, Slot slot);
    RoutingDecision continueLookup(Packet &packet);
    RoutingDecision handleExhaustedLookup(Packet &packet);
    RoutingDecision sendByHash(const Packet &packet);
    VmId nextLookupTarget(const Packet &packet);

    RoutingDecision place(Packet &packet);
    RoutingDecision handleReplication(Packet &packet);
    Slot recordChoice(Packet &packet, Slot slot, UpstreamRegistry::Slot upstream);
    RoutingDecision replicate(const Packet &packet, Slot slot, std::uint8_t flags, VmId querier);
    RoutingDecision redirectLookup(const Packet &packet, VmId target, std::uint8_t flags);
    RoutingDecision forwardToNext(const Packet &packet, RedirectOption option, Slot slot);
    RoutingDecision send(const RegisteredUpstream &upstream, bool hashFallback, bool placed);
    RoutingDecision refuse(RefuseReason reason);
    void addOwners(const Packet &packet, const RegisteredUpstream &upstream, RedirectOption &option);

    Slot insert(FlowKey key, UpstreamRegistry::Slot upstream, FlowState state, FlowTick tick);
    void setState(Slot slot, FlowState state, FlowTick tick);
    void setUpstream(FlowEntry &entry, UpstreamRegistry::Slot upstream);
    void erase(Slot slot);
    void releaseUpstream(const FlowEntry &entry);
    void handleEviction(const std::optional<FlowEntry> &entry);
    void count(FlowEntry &entry);
    void uncount(FlowEntry &entry);
    void adjustFlows(std::uint32_t upstream, int difference);
    void recordRedirect(const Packet &packet, FlowEntry &entry);

    void maintain(TimePoint now);
    void handOver(Outbox &outbox, TimePoint now);
    bool sendToNewOwners(Outbox &outbox, FlowEntry &entry, TimePoint now);
    bool isHandoverSender(const FlowEntry &entry, std::uint32_t bucket) const;
    void sendPending(Outbox &outbox, bool hints);
    FlowRecord recordOf(const FlowEntry &entry) const;

    VmId self() const { return view_->self; }
    bool reachable(VmId vm) const;
    bool isMember(VmId vm) const { return vm == self() || peers_.contains(vm); }
    /// First reachable VM of primary, secondary and third; this VM if none of them is reachable.
    VmId actingPrimary(std::uint32_t bucket) const;
    bool isActingPrimary(std::uint32_t bucket) const { return actsAsPrimary_[bucket]; }
    VmId previousPrimary(std::uint32_t bucket, TimePoint now);
    ZoneId zoneOf(VmId vm) const;

    FlowTable table_;
    OwnerHistory owners_;
    std::shared_ptr<const View> view_;
    /// For each bucket, whether this VM is its acting primary. Cached, since computing it takes several lookups per
    /// packet.
    std::vector<bool> actsAsPrimary_;
    absl::flat_hash_map<VmId, Peer> peers_;
    /// Whether the view lists all VMs of some zone of the region as dead or suspect, which is how a partition appears.
    bool zoneUnreachable_ = false;
    /// Hosts in the order of the view; the hosts of a service are contiguous.
    std::vector<PlacementHost> hosts_;
    std::vector<UpstreamRegistry::Slot> hostSlots_;
    /// Position in hosts_ of each registered upstream, or -1.
    std::vector<std::int32_t> hostOfUpstream_;
    std::size_t primaryFlows_ = 0;
    std::vector<PendingRecord> repairs_;
    std::vector<PendingRecord> hints_;
    Slot maintainCursor_ = 0;
    /// Owner table for which the last handover was completed; a handover is in progress while it isn't the current
    /// one.
    std::shared_ptr<const OwnerTable> handedOverOwners_;
    /// The next slot of the flow table to check for handover.
    Slot handoverCursor_ = 0;
};

} // namespace boragelug
