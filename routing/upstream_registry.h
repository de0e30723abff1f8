#pragma once

#include "core/ids.h"
#include "model/endpoint.h"
#include "model/view.h"
#include "routing/packet_attributes.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace boragelug
{

/// Whether the current view lists a recorded upstream.
enum class UpstreamPresence : std::uint8_t {
    NotYetListed, ///< Never listed, or listed with an earlier incarnation: the view is older than the flow entry.
    Listed,
    Removed, ///< Was listed and isn't listed any more.
    Replaced, ///< Listed with a later incarnation.
};

/// An incarnation of an upstream that flow entries or the view refer to.
struct RegisteredUpstream
{
    UpstreamChoice choice;
    UpstreamPresence presence = UpstreamPresence::NotYetListed;
    /// Service according to the view, or according to a peer while the upstream isn't listed.
    ServiceId service;
    ZoneId zone;
    Endpoint tunnelEndpoint;
    UpstreamState state = UpstreamState::Active;
    /// Number of flow entries that refer to it.
    std::uint32_t references = 0;
    /// Open flows on it of which this VM is the primary.
    std::uint32_t primaryFlows = 0;
    /// See PlacementHost.
    double workPerFlow = 1;
    TimePoint workPerFlowAsOf;
};

/**
 * Assigns slot numbers to incarnations of upstreams, so that a flow entry refers to its upstream in four bytes.
 *
 * Not synchronized: one thread at a time.
 */
class UpstreamRegistry
{
public:
    using Slot = std::uint32_t;

    /// Slot of @p choice, which is added as an upstream of @p service if it isn't registered.
    Slot resolve(const UpstreamChoice &choice, ServiceId service);

    /// Updates all registered upstreams from @p upstreams and removes unlisted ones that have no flow entries.
    void applyView(std::span<const UpstreamStatus> upstreams);

    RegisteredUpstream &at(Slot slot) { return slots_[slot]; }
    const RegisteredUpstream &at(Slot slot) const { return slots_[slot]; }
    /// Open flows on @p upstream, over all its incarnations, of which this VM is the primary.
    std::uint32_t primaryFlowsOn(UpstreamId upstream) const;
    std::size_t size() const { return byChoice_.size(); }

private:
    struct ChoiceHash
    {
        std::size_t operator()(const UpstreamChoice &choice) const;
    };

    UpstreamPresence presenceOf(const UpstreamChoice &choice, UpstreamPresence unlisted) const;

    /// Incarnation of each upstream in the view, by upstream id.
    absl::flat_hash_map<std::uint64_t, Incarnation> listed_;
    std::vector<RegisteredUpstream> slots_;
    std::vector<Slot> free_;
    absl::flat_hash_map<UpstreamChoice, Slot, ChoiceHash> byChoice_;
};

} // namespace boragelug
