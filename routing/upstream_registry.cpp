#include "routing/upstream_registry.h"

#include "core/hash.h"

namespace boragelug
{

std::size_t UpstreamRegistry::ChoiceHash::operator()(const UpstreamChoice &choice) const
{
    return combineHash(choice.upstream.value, choice.incarnation.value);
}

UpstreamRegistry::Slot UpstreamRegistry::resolve(const UpstreamChoice &choice, ServiceId service)
{
    const auto found = byChoice_.find(choice);
    if (found != byChoice_.end()) {
        return found->second;
    }
    Slot slot = static_cast<Slot>(slots_.size());
    if (free_.empty()) {
        slots_.emplace_back();
    } else {
        slot = free_.back();
        free_.pop_back();
        slots_[slot] = RegisteredUpstream {};
    }
    slots_[slot].choice = choice;
    slots_[slot].service = service;
    slots_[slot].presence = presenceOf(choice, UpstreamPresence::NotYetListed);
    byChoice_.emplace(choice, slot);
    return slot;
}

void UpstreamRegistry::applyView(std::span<const UpstreamStatus> upstreams)
{
    listed_.clear();
    listed_.reserve(upstreams.size());
    for (const UpstreamStatus &status : upstreams) {
        const Upstream &upstream = status.upstream;
        listed_.emplace(upstream.id.value, upstream.incarnation);
        RegisteredUpstream &registered = slots_[resolve({ upstream.id, upstream.incarnation }, upstream.service)];
        registered.presence = UpstreamPresence::Listed;
        registered.service = upstream.service;
        registered.zone = upstream.zone;
        registered.tunnelEndpoint = upstream.tunnelEndpoint;
        registered.state = upstream.state;
    }
    for (auto it = byChoice_.begin(); it != byChoice_.end();) {
        RegisteredUpstream &registered = slots_[it->second];
        const bool wasListed = registered.presence != UpstreamPresence::NotYetListed;
        registered.presence =
            presenceOf(it->first, wasListed ? UpstreamPresence::Removed : UpstreamPresence::NotYetListed);
        if (registered.presence != UpstreamPresence::Listed && registered.references == 0) {
            free_.push_back(it->second);
            byChoice_.erase(it++);
        } else {
            ++it;
        }
    }
}

UpstreamPresence UpstreamRegistry::presenceOf(const UpstreamChoice &choice, UpstreamPresence unlisted) const
{
    const auto found = listed_.find(choice.upstream.value);
    if (found == listed_.end()) {
        return unlisted;
    }
    if (choice.incarnation < found->second) {
        return UpstreamPresence::Replaced;
    }
    return choice.incarnation == found->second ? UpstreamPresence::Listed : UpstreamPresence::NotYetListed;
}

std::uint32_t UpstreamRegistry::primaryFlowsOn(UpstreamId upstream) const
{
    std::uint32_t total = 0;
    for (const auto &[choice, slot] : byChoice_) {
        if (choice.upstream == upstream) {
            total += slots_[slot].primaryFlows;
        }
    }
    return total;
}

} // namespace boragelug
