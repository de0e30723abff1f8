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

/// How a recorded upstream stands in the current view.
enum class UpstreamPresence : std::uint8_t {
    NotYetListed, ///< Not listed so far, or listed with an earlier incarnation: the view lags.
    Listed,
    Removed, ///< Was listed and isn't any more.
    Replaced, ///< Listed with a later incarnation.
};

/// An incarnation of an upstream that flows or the view refer to.
struct RegisteredUpstream
{
    UpstreamChoice choice;
    UpstreamPresence presence = UpstreamPresence::NotYetListed;
    /// Service in the view, or as a peer named it while the upstream isn't listed.
    ServiceId service;
    ZoneId zone;
    Endpoint tunnelEndpoint;
    UpstreamState state = UpstreamState::Active;
    /// Flow entries that refer to it.
    std::uint32_t references = 0;
    /// Open flows placed on it of which this VM is the primary.
    std::uint32_t primaryFlows = 0;
    /// See PlacementHost.
    double workPerFlow = 1;
    TimePoint workPerFlowAsOf;
};

/**
 * Small numbers for incarnations of upstreams, so that a flow entry needs four bytes for its upstream.
 *
 * Not synchronized: one thread at a time.
 */
class UpstreamRegistry
{
public:
    using Slot = std::uint32_t;

    /// Slot of @p choice, added as upstream of @p service if new.
    Slot resolve(const UpstreamChoice &choice, ServiceId service);

    /// Updates all standings from @p upstreams and forgets unlisted ones without flows.
    void applyView(std::span<const UpstreamStatus> upstreams);

    RegisteredUpstream &at(Slot slot) { return slots_[slot]; }
    const RegisteredUpstream &at(Slot slot) const { return slots_[slot]; }
    /// Flows of this VM as primary on @p upstream over all incarnations.
    std::uint32_t primaryFlowsOn(UpstreamId upstream) const;
    std::size_t size() const { return byChoice_.size(); }

private:
    struct ChoiceHash
    {
        std::size_t operator()(const UpstreamChoice &choice) const;
    };

    UpstreamPresence presenceOf(const UpstreamChoice &choice, UpstreamPresence unlisted) const;

    /// Incarnations in the view.
    absl::flat_hash_map<std::uint64_t, Incarnation> listed_;
    std::vector<RegisteredUpstream> slots_;
    std::vector<Slot> free_;
    absl::flat_hash_map<UpstreamChoice, Slot, ChoiceHash> byChoice_;
};

} // namespace boragelug
