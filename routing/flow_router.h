#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/endpoint.h"
#include "model/peer_message.h"
#include "model/view.h"
#include "routing/packet_attributes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace boragelug
{

/// Settings of a FlowRouter, fixed at its construction.
struct FlowRouterSettings
{
    /// Capacity of the flow table in entries; their memory, at most 64 bytes each, is allocated up front.
    std::size_t maxFlows = 400'000;
    /// Seeds the flow table's hash; the same seed and inputs give the same decisions.
    std::uint64_t seed = 1;
};

/// This VM's share of an entry's limits; 0 means unlimited.
struct EntryShare
{
    std::uint64_t openFlows = 0;
    double newFlowsPerSecond = 0;
};

/// Counters since the start of a FlowRouter.
struct RoutingCounters
{
    std::uint64_t sent = 0;
    std::uint64_t redirected = 0;
    std::uint64_t placed = 0;
    std::uint64_t spilled = 0;
    std::uint64_t hashFallbacks = 0;
    /// Packets that replicated a choice to other owners.
    std::uint64_t replicated = 0;
    /// Flow entries received from peers, other than hints: repairs and entries that were handed over.
    std::uint64_t repairsReceived = 0;
    std::uint64_t hintsReceived = 0;
    std::uint64_t recordsRejected = 0;
    std::uint64_t handoverRecordsSent = 0;
    std::uint64_t hintRecordsSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t evictedTransient = 0;
    std::uint64_t evictedEstablished = 0;
    std::uint64_t expired = 0;
    /// Established flows whose upstream was removed or replaced, counted by their primary.
    std::uint64_t broken = 0;
    std::array<std::uint64_t, refuseReasonCount> refused {};
};

/// Current sizes of a FlowRouter.
struct RoutingGauges
{
    std::size_t flows = 0;
    std::size_t establishedFlows = 0;
    /// Open flows of which this VM is the primary.
    std::size_t primaryFlows = 0;
    std::size_t tableBytes = 0;
    /// Fraction of the table that has been checked for handover to the current owners; 1 when complete.
    double handoverProgress = 1;
};

/**
 * Decides how each packet is forwarded, and holds this VM's flow table.
 *
 * Does no I/O and reads no clock: views, packets, messages and time are arguments. Times must not decrease.
 * Not synchronized: one thread at a time.
 */
class FlowRouter
{
public:
    /// Allocates all memory of the flow table. Precondition: settings.maxFlows is in [16, 2^24).
    explicit FlowRouter(const FlowRouterSettings &settings);
    ~FlowRouter();
    FlowRouter(FlowRouter &&) noexcept;
    FlowRouter &operator=(FlowRouter &&) noexcept;
    FlowRouter(const FlowRouter &) = delete;
    FlowRouter &operator=(const FlowRouter &) = delete;

    /// Replaces the view. Precondition: @p view isn't null and its vectors are sorted as documented there.
    void applyView(std::shared_ptr<const View> view, TimePoint now);

    /// Sets this VM's share of the limits of the entry with address @p entry; an entry without a share is unlimited.
    void setEntryShare(const Endpoint &entry, const EntryShare &share, TimePoint now);

    /// Decides how one packet is forwarded. Doesn't allocate memory for a flow that is in the table.
    RoutingDecision route(const PacketAttributes &attributes, TimePoint now);

    /// Records flow entries received from @p from; entries from VMs that aren't members are rejected and counted.
    void receive(const FlowEntries &entries, VmId from, TimePoint now);

    /// Does bounded background work and returns messages of at most @p byteBudget encoded bytes in total.
    /// To be called about ten times a second. Unused budget isn't carried over.
    std::vector<OutgoingMessage> tick(TimePoint now, std::size_t byteBudget);

    /// Upper bound of the number of flow entries that still have to be sent to new owners; a leaving VM may exit at 0.
    std::size_t handoverRemaining() const;

    /// Open flows on @p upstream, over all its incarnations, of which this VM is the primary.
    std::uint32_t primaryFlowsOn(UpstreamId upstream) const;

    const RoutingCounters &counters() const;
    RoutingGauges gauges() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace boragelug
