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

/// Whether a packet starts a flow: Yes for a TCP SYN, No for other TCP packets, Unknown for UDP.
enum class FlowStart : std::uint8_t { No, Yes, Unknown };

/// Purpose of a redirected packet.
enum class RedirectPhase : std::uint8_t {
    /// Searches for a VM that has an entry for the flow, or for the primary, which places the flow.
    Lookup,
    /// Replicates a chosen upstream to the VMs in the list; the last of them sends the packet to the upstream.
    Replicate,
};

/// Bits of RedirectOption::flags.
enum RedirectFlag : std::uint8_t {
    /// Queries the receiver for the flow; if it has no entry, it returns the packet to the last VM in the list.
    RedirectQuery = 1,
    /// No VM that was queried has an entry for the flow, so the primary places it.
    RedirectNotFound = 2,
    /// The packet was returned to the VM that chose the upstream, because the view of the last VM in the list doesn't
    /// list that upstream.
    RedirectReturned = 4,
    /// The flow was placed for this packet, so the choice overwrites entries that owners hold for an earlier flow.
    RedirectPlaced = 8,
};

/// The upstream chosen for a flow; an id of 0 means none.
struct UpstreamChoice
{
    UpstreamId upstream;
    Incarnation incarnation;

    explicit operator bool() const { return upstream.value != 0; }
    bool operator==(const UpstreamChoice &) const = default;
};

/**
 * The Geneve option of a packet that one VM redirects to another.
 *
 * At most 75 bytes with all fields; only the first @c vmCount VMs need to be encoded.
 */
struct RedirectOption
{
    /// Maximum number of lookup redirects; replication is bounded by the length of the list.
    static constexpr std::uint8_t maxLookups = 6;
    static constexpr std::size_t maxVms = maxLookups + 1;

    RedirectPhase phase = RedirectPhase::Lookup;
    std::uint8_t flags = 0;
    /// Number of redirects so far, over both phases.
    std::uint8_t hops = 0;
    std::uint8_t vmCount = 0;
    /// Lookup: the VM that received the packet from the fabric. Replicate: the VM that chose the upstream.
    VmId origin;
    /// Lookup: the VMs that the packet has visited, in order. Replicate: the VMs that still have to record the choice.
    std::array<VmId, maxVms> vms {};
    /// Lookup: choice from an unconfirmed copy, used if no other VM has an entry. Replicate: the choice to record.
    UpstreamChoice choice;

    /// The first @c vmCount elements of @c vms.
    std::span<const VmId> list() const { return std::span(vms).first(vmCount); }
    bool has(RedirectFlag flag) const { return (flags & flag) != 0; }
    bool operator==(const RedirectOption &) const = default;
};

/// Attributes of a packet that routing depends on.
struct PacketAttributes
{
    /// Hash of service, protocol, caller and destination; the service is the one that this VM's view lists for the
    /// entry.
    FlowKey key;
    /// Destination address of the inner packet, by which the catalogue entry is looked up.
    Endpoint entry;
    FlowStart flowStart = FlowStart::No;
    /// Whether the packet is a TCP FIN or RST.
    bool endsFlow = false;
    /// Whether another VM redirected the packet, with @c option; otherwise it was received from the fabric.
    bool redirected = false;
    RedirectOption option;
    /// Size of the inner packet in bytes.
    std::uint32_t size = 0;
};

/// Why a packet was dropped.
enum class RefuseReason : std::uint8_t {
    UnknownEntry, ///< No catalogue entry has the destination address.
    NoView, ///< No view has been applied yet.
    NoUpstream, ///< The service has no upstream that accepts new flows.
    NoCapacity, ///< All upstreams that could accept the flow are at capacity.
    FlowLimit, ///< The entry has reached this VM's share of its limit of open flows.
    RateLimit, ///< The entry has reached this VM's share of its limit of new flows per second.
    FlowInUse, ///< A SYN reuses the key of a recently active flow whose upstream doesn't accept new flows.
    ServiceMismatch, ///< The entry's service differs from that of the upstream or of the recorded flow.
    UpstreamReplaced, ///< The view lists a later incarnation of the upstream.
    UpstreamRemoved, ///< The upstream is no longer listed.
    UpstreamUnknown, ///< None of the VMs that handled the packet has the upstream in its view yet.
    EntryServiceChanged, ///< The packet belongs to no known flow, and its entry's service has changed.
    /// The packet needs the hash fallback while the view is unconfirmed or a zone of the region is unreachable, or
    /// placement in another zone while the view is unconfirmed.
    ViewUnconfirmed,
    BadOption, ///< The redirect option is inconsistent.
};

/// Number of values of RefuseReason.
inline constexpr std::size_t refuseReasonCount = static_cast<std::size_t>(RefuseReason::BadOption) + 1;

/// Sends the inner packet to an upstream, encapsulated in Geneve with the service id as VNI.
struct SendToUpstream
{
    UpstreamId upstream;
    Endpoint tunnelEndpoint;
    ServiceId vni;
    /// No VM had an entry for the flow, so the upstream was selected by hashing over the view.
    bool hashFallback = false;
    /// This VM placed the flow with this packet.
    bool placed = false;
};

/// Redirects the packet to another VM, with @c option in place of the option that it arrived with.
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

/// How one packet is forwarded.
using RoutingDecision = std::variant<SendToUpstream, RedirectToVm, RefusePacket>;

} // namespace boragelug
