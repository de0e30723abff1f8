#pragma once

#include "core/hybrid_clock.h"
#include "core/ids.h"
#include "core/time_point.h"
#include "model/catalogue.h"
#include "model/upstream.h"
#include "model/vm.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace boragelug
{

/// What a VM says of a member, piggybacked on probes.
struct MemberUpdate
{
    Vm vm;
    MemberHealth health = MemberHealth::Alive;
    /// How many suspicions the VM has refuted in this incarnation; orders updates about one incarnation.
    std::uint32_t refutation = 0;
};

/// Asks whether the receiver is alive.
struct Probe
{
    std::uint64_t nonce = 0;
    CatalogueVersion catalogueVersion;
    std::vector<MemberUpdate> updates;
};

/// Answers a probe, directly or for the VM that a ProbeRequest named.
struct ProbeAck
{
    std::uint64_t nonce = 0;
    /// The VM that is alive; differs from the sender for an indirect probe.
    VmId subject;
    CatalogueVersion catalogueVersion;
    std::vector<MemberUpdate> updates;
};

/// Asks the receiver to probe @c target and pass the answer on.
struct ProbeRequest
{
    std::uint64_t nonce = 0;
    VmId target;
};

/// Version and content hash of one part of the view.
struct PartDigest
{
    std::uint16_t part = 0;
    std::uint64_t version = 0;
    std::uint64_t contentHash = 0;
};

/// What the sender holds, part by part.
struct ViewDigest
{
    CatalogueVersion catalogueVersion;
    std::vector<PartDigest> parts;
};

/// Asks for everything in @c part that is newer than @c sinceVersion.
struct ViewPull
{
    std::uint16_t part = 0;
    std::uint64_t sinceVersion = 0;
};

/// A changed or removed item of the view.
struct ViewItem
{
    std::uint64_t version = 0;
    bool removed = false;
    std::variant<Zone, Service, Entry, Upstream> item;
};

/// Changed items of one part.
struct ViewDelta
{
    std::uint16_t part = 0;
    std::uint64_t fromVersion = 0;
    std::uint64_t toVersion = 0;
    std::vector<ViewItem> items;
};

/// A flow and the upstream that it goes to.
struct FlowRecord
{
    FlowKey key;
    ServiceId service;
    UpstreamId upstream;
    Incarnation upstreamIncarnation;
};

/// Flow entries handed to a new owner, or to a VM that caches them.
struct FlowEntries
{
    bool hint = false;
    std::vector<FlowRecord> records;
};

/// Load of hosts as one poller saw it; ages count from the sending of the message.
struct LoadDigest
{
    struct Item
    {
        UpstreamId upstream;
        Incarnation incarnation;
        double load = 0;
        bool healthy = true;
        Duration age {};
    };
    std::vector<Item> items;
};

/// Asks the owner of slots of a host to lend @c count of them.
struct SlotLease
{
    std::uint64_t nonce = 0;
    UpstreamId upstream;
    Incarnation upstreamIncarnation;
    std::uint32_t count = 0;
};

/// Answers a SlotLease; the borrower stops using the slots @c validFor after it sent its SlotLease.
struct SlotLeaseReply
{
    std::uint64_t nonce = 0;
    UpstreamId upstream;
    std::uint32_t granted = 0;
    Duration validFor {};
};

/// Demand that a VM saw for limited entries, from which peers compute shares.
struct DemandReport
{
    struct Item
    {
        std::uint64_t entryHash = 0;
        double requestsPerSecond = 0;
        double newFlowsPerSecond = 0;
    };
    std::vector<Item> items;
};

/// Any message between VMs.
using PeerMessage = std::variant<Probe,
                                 ProbeAck,
                                 ProbeRequest,
                                 ViewDigest,
                                 ViewPull,
                                 ViewDelta,
                                 FlowEntries,
                                 LoadDigest,
                                 SlotLease,
                                 SlotLeaseReply,
                                 DemandReport>;

/// A message for one peer.
struct OutgoingMessage
{
    VmId to;
    PeerMessage message;
};

} // namespace boragelug
