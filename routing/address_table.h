#pragma once

#include "core/token_bucket.h"
#include "model/endpoint.h"
#include "model/view.h"
#include "routing/flow_router.h"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <span>
#include <vector>

namespace boragelug
{

/// The properties of a catalogue entry that routing uses, and this VM's limits and counts for its address.
struct RoutedAddress
{
    Endpoint address;
    ServiceId service;
    Preference prefer = Preference::FlowContinuity;
    bool allowSpill = false;
    bool listed = false;
    /// Whether the views of this VM have listed the address with more than one service.
    bool serviceChanged = false;
    /// Range of the service's hosts in the router's list of PlacementHost.
    std::uint32_t firstHost = 0;
    std::uint32_t hostCount = 0;
    Duration slowStart {};
    EntryShare share;
    TokenBucket newFlows { 0, 0, TimePoint {} };
    /// Open flows of which this VM is the primary.
    std::uint64_t openFlows = 0;
};

/// Catalogue entries by address. A listed entry keeps its slot when the view changes. Not synchronized: one thread at a
/// time.
class AddressTable
{
public:
    using Slot = std::uint16_t;
    static constexpr Slot none = 0xffff;

    /// Applies the entries of @p catalogue; those beyond 65,535 addresses are ignored.
    void applyView(const Catalogue &catalogue);
    void setShare(const Endpoint &address, const EntryShare &share, TimePoint now);

    /// Slot of the listed entry with @p address, or @c none.
    Slot find(const Endpoint &address) const;
    RoutedAddress &at(Slot slot) { return addresses_[slot]; }
    const RoutedAddress &at(Slot slot) const { return addresses_[slot]; }
    std::span<RoutedAddress> all() { return addresses_; }

private:
    Slot resolve(const Endpoint &address);
    void removeUnused();

    std::vector<RoutedAddress> addresses_;
    std::vector<Slot> free_;
    absl::flat_hash_map<Endpoint, Slot> byAddress_;
};

} // namespace boragelug
