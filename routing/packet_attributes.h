#pragma once

#include "core/ids.h"
#include "model/endpoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <variant>

namespace boragelug
{

/// Whether a packet starts a flow: a TCP SYN does, other TCP packets don't, and UDP doesn't tell.
enum class FlowStart : std::uint8_t { No, Yes, Unknown };

/// What a redirected packet is for.
enum class RedirectPhase : std::uint8_t {
    /// Looks for a VM that knows the flow, or for the primary that places it.
    Lookup,
    /// Carries a chosen upstream to the VMs that record it; the last of them sends the packet on.
    Replicate,
};

/// Bits of RedirectOption::flags.
enum RedirectFlag : std::uint8_t {
    /// The sender asks for an entry; without one the packet goes back to the last VM in the list.
    RedirectQuery = 1,
    /// The VMs that could know the flow don't; the primary places it.
    RedirectNotFound = 2,
    /// The packet came back to the VM that chose the upstream, because the last VM doesn't know that upstream.
    RedirectReturned = 4,
    /// The choice was made for this packet, so it replaces what the owners recorded for an earlier flow.
    RedirectPlaced = 8,
};

/// An upstream chosen for a flow; an id of 0 is none.
struct UpstreamChoice
{
    UpstreamId upstream;
    Incarnation incarnation;

    explicit operator bool() const { return upstream.value != 0; }
    bool operator==(const UpstreamChoice &) const = default;
};

/**
 * The Geneve option that a packet carries between VMs.
 *
 * At most 75 bytes with all fields; only @c vmCount of the VMs need to be encoded.
 */
struct RedirectOption
{
    /// Bounds lookups; replication is bounded by the VMs that are left in the list.
    static constexpr std::uint8_t maxLookups = 6;
    static constexpr std::size_t maxVms = maxLookups + 1;

    RedirectPhase phase = RedirectPhase::Lookup;
    std::uint8_t flags = 0;
    /// Redirects so far, in either phase.
    std::uint8_t hops = 0;
    std::uint8_t vmCount = 0;
    /// Lookup: the VM that received the packet from the fabric. Replicate: the VM that chose the upstream.
    VmId origin;
    /// Lookup: the VMs that had the packet, in order. Replicate: the VMs that still have to record the choice.
    std::array<VmId, maxVms> vms {};
    /// Lookup: an unconfirmed choice to use when no VM knows better. Replicate: the choice to record.
    UpstreamChoice choice;

    /// The used part of @c vms.
    std::span<const VmId> list() const { return std::span(vms).first(vmCount); }
    bool has(RedirectFlag flag) const { return (flags & flag) != 0; }
    bool operator==(const RedirectOption &) const = default;
};

/// What routing needs to know of one packet.
struct PacketAttributes
{
    /// Hash of service, protocol, caller and destination, with the service that this VM's view gives the entry.
    FlowKey key;
    /// Destination address of the inner packet, which names the catalogue entry.
    Endpoint entry;
    FlowStart flowStart = FlowStart::No;
    /// A TCP FIN or RST.
    bool endsFlow = false;
    /// Whether the packet came from another VM, with @c option; otherwise it came from the fabric.
    bool redirected = false;
    RedirectOption option;
    /// Size of the inner packet in bytes.
    std::uint32_t size = 0;
};

/// Why a packet was not sent on.
enum class RefuseReason : std::uint8_t {
    UnknownEntry, ///< No catalogue entry has the destination address.
    NoView, ///< No view has been applied yet.
    NoUpstream, ///< The service has no upstream that may take a new flow.
    NoCapacity, ///< All upstreams that may take the flow are full.
    FlowLimit, ///< The entry's share of open flows is used up.
    RateLimit, ///< The entry's share of new flows per second is used up.
    FlowInUse, ///< A SYN for a key whose last flow was active lately and whose upstream takes no new flows.
    ServiceMismatch, ///< The entry's service and that of the upstream or of the recorded flow differ.
    UpstreamReplaced, ///< The upstream now runs as a later incarnation.
    UpstreamRemoved, ///< The upstream is no longer listed.
    UpstreamUnknown, ///< The upstream isn't listed yet in any view that the packet met.
    EntryServiceChanged, ///< A packet of an unknown flow for an address whose service changed.
    ViewUnconfirmed, ///< The view is in doubt, so neither a guess nor a placement in another zone is made.
    BadOption, ///< The redirect option is inconsistent.
};

/// Number of values of RefuseReason.
inline constexpr std::size_t refuseReasonCount = static_cast<std::size_t>(RefuseReason::BadOption) + 1;

/// Sends the inner packet to an upstream as Geneve with the service's number as VNI.
struct SendToUpstream
{
    UpstreamId upstream;
    Endpoint tunnelEndpoint;
    ServiceId vni;
    /// No VM knew the flow; the upstream was derived from the view.
    bool hashFallback = false;
    /// This VM placed the flow with this packet.
    bool placed = false;
};

/// Sends the packet to another VM with @c option in place of any former one.
struct RedirectToVm
{
    VmId vm;
    Endpoint packetEndpoint;
    RedirectOption option;
    /// This VM placed the flow with this packet.
    bool placed = false;
};

/// Drops the packet.
struct RefusePacket
{
    RefuseReason reason = RefuseReason::UnknownEntry;
};

/// What to do with one packet.
using RoutingDecision = std::variant<SendToUpstream, RedirectToVm, RefusePacket>;

} // namespace boragelug
