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

/// A catalogue entry as routing uses it, with this VM's state for its address.
struct RoutedAddress
{
    Endpoint address;
    ServiceId service;
    Preference prefer = Preference::FlowContinuity;
    bool allowSpill = false;
    bool listed = false;
    /// Whether another service had the address before, as far as this VM knows.
    bool serviceChanged = false;
    /// Hosts of the service in the placement hosts.
    std::uint32_t firstHost = 0;
    std::uint32_t hostCount = 0;
    Duration slowStart {};
    EntryShare share;
    TokenBucket newFlows { 0, 0, TimePoint {} };
    /// Open flows of which this VM is the primary.
    std::uint64_t openFlows = 0;
};

/// Entries by address; numbers stay the same over views. Not synchronized: one thread at a time.
class AddressTable
{
public:
    using Slot = std::uint16_t;
    static constexpr Slot none = 0xffff;

    /// Takes over the entries of @p catalogue; those beyond 65,535 addresses are left out.
    void applyView(const Catalogue &catalogue);
    void setShare(const Endpoint &address, const EntryShare &share, TimePoint now);

    /// Slot of the listed entry at @p address, or none.
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
