#include "routing/address_table.h"

#include <algorithm>

namespace boragelug
{

void AddressTable::applyView(const Catalogue &catalogue)
{
    for (RoutedAddress &address : addresses_) {
        address.listed = false;
    }
    absl::flat_hash_map<std::uint32_t, Duration> slowStarts;
    for (const Service &service : catalogue.services) {
        slowStarts.emplace(service.id.value, service.slowStart);
    }
    for (const Entry &entry : catalogue.entries) {
        const Slot slot = resolve(entry.address);
        if (slot == none) {
            continue;
        }
        RoutedAddress &address = addresses_[slot];
        if (address.service.value != 0 && address.service != entry.service) {
            address.serviceChanged = true;
        }
        address.listed = true;
        address.service = entry.service;
        address.prefer = entry.prefer;
        address.allowSpill = entry.allowSpill;
        const auto slowStart = slowStarts.find(entry.service.value);
        address.slowStart = slowStart == slowStarts.end() ? Duration::zero() : slowStart->second;
    }
    removeUnused();
}

void AddressTable::setShare(const Endpoint &address, const EntryShare &share, TimePoint now)
{
    const Slot slot = resolve(address);
    if (slot == none) {
        return;
    }
    RoutedAddress &entry = addresses_[slot];
    if (entry.share.newFlowsPerSecond != share.newFlowsPerSecond) {
        // The burst is the number of flows of one second, but at least one flow.
        entry.newFlows = TokenBucket(share.newFlowsPerSecond, std::max(1.0, share.newFlowsPerSecond), now);
    }
    entry.share = share;
}

AddressTable::Slot AddressTable::find(const Endpoint &address) const
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() || !addresses_[found->second].listed ? none : found->second;
}

AddressTable::Slot AddressTable::resolve(const Endpoint &address)
{
    const auto found = byAddress_.find(address);
    if (found != byAddress_.end()) {
        return found->second;
    }
    Slot slot = none;
    if (!free_.empty()) {
        slot = free_.back();
        free_.pop_back();
        addresses_[slot] = RoutedAddress {};
    } else if (addresses_.size() < none) {
        slot = static_cast<Slot>(addresses_.size());
        addresses_.emplace_back();
    } else {
        return none;
    }
    addresses_[slot].address = address;
    byAddress_.emplace(address, slot);
    return slot;
}

void AddressTable::removeUnused()
{
    for (auto it = byAddress_.begin(); it != byAddress_.end();) {
        const RoutedAddress &address = addresses_[it->second];
        // Only open flows refer to the slot, so it can be reused when the address has none.
        if (!address.listed && address.openFlows == 0) {
            free_.push_back(it->second);
            byAddress_.erase(it++);
        } else {
            ++it;
        }
    }
}

} // namespace boragelug
