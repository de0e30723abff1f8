#include "views/part_state.h"

#include "core/hash.h"

#include <algorithm>

namespace boragelug
{

namespace
{

// Limit of tombstones per part. At 20,000 changes a day over 640 parts, 64 cover more than a day.
constexpr std::size_t maxTombstones = 64;

class Hasher
{
public:
    Hasher &add(std::uint64_t value)
    {
        state_ = combineHash(state_, value);
        return *this;
    }

    Hasher &add(const std::string &text) { return add(hashText(text)); }

    Hasher &add(const Endpoint &endpoint) { return add(endpoint.address.value).add(endpoint.port.value); }

    Hasher &add(Duration duration) { return add(static_cast<std::uint64_t>(duration.count())); }

    std::uint64_t value() const { return state_; }

private:
    std::uint64_t state_ = 0;
};

std::uint64_t hashOf(const Zone &zone)
{
    return Hasher().add(1U).add(zone.id.value).add(zone.name).add(zone.region).value();
}

std::uint64_t hashOf(const Service &service)
{
    return Hasher()
        .add(2U)
        .add(service.id.value)
        .add(service.name)
        .add(service.slotsPerHost)
        .add(service.connectionsPerHost)
        .add(service.slowStart)
        .value();
}

std::uint64_t hashOf(const Entry &entry)
{
    const Limits &limits = entry.limits;
    return Hasher()
        .add(3U)
        .add(entry.name.value)
        .add(entry.owner.value)
        .add(entry.service.value)
        .add(entry.address)
        .add(static_cast<std::uint64_t>(entry.kind))
        .add(static_cast<std::uint64_t>(entry.importance))
        .add(static_cast<std::uint64_t>(entry.prefer))
        .add(entry.allowSpill ? 1U : 0U)
        .add(entry.maxDeadline)
        .add(limits.requestsPerSecond)
        .add(limits.requestsInProgress)
        .add(limits.newFlowsPerSecond)
        .add(limits.openFlows)
        .add(limits.bytesPerSecond)
        .value();
}

std::uint64_t hashOf(const Upstream &upstream)
{
    return Hasher()
        .add(4U)
        .add(upstream.id.value)
        .add(upstream.incarnation.value)
        .add(upstream.service.value)
        .add(upstream.zone.value)
        .add(upstream.tunnelEndpoint)
        .add(upstream.httpEndpoint)
        .add(static_cast<std::uint64_t>(upstream.state))
        .value();
}

std::uint64_t keyOf(const Zone &zone)
{
    return zone.id.value;
}

std::uint64_t keyOf(const Service &service)
{
    return service.id.value;
}

std::uint64_t keyOf(const Entry &entry)
{
    return hashText(entry.name.value);
}

std::uint64_t keyOf(const Upstream &upstream)
{
    return upstream.id.value;
}

bool byKey(const StoredItem &left, const StoredItem &right)
{
    return left.key < right.key;
}

const StoredItem *findItem(const PartState *state, std::uint64_t key)
{
    if (state == nullptr) {
        return nullptr;
    }
    const auto it =
        std::lower_bound(state->items.begin(), state->items.end(), key, [](const StoredItem &item, std::uint64_t k) {
            return item.key < k;
        });
    return it != state->items.end() && it->key == key ? &*it : nullptr;
}

void sortAndKeepLast(std::vector<StoredItem> &items)
{
    std::stable_sort(items.begin(), items.end(), byKey);
    const auto sameKey = [](const StoredItem &left, const StoredItem &right) { return left.key == right.key; };
    // unique() keeps the first item of each key; in reverse order, that is the last one.
    const auto kept = std::unique(items.rbegin(), items.rend(), sameKey);
    items.erase(items.begin(), kept.base());
}

void addTombstones(PartState &next, const PartState &previous)
{
    next.tombstones = previous.tombstones;
    next.deltaFloor = previous.deltaFloor;
    for (const StoredItem &old : previous.items) {
        if (findItem(&next, old.key) == nullptr) {
            next.tombstones.push_back({ old.key, next.version, old.item });
        }
    }
    std::erase_if(next.tombstones, [&next](const Tombstone &t) { return findItem(&next, t.key) != nullptr; });
    if (next.tombstones.size() > maxTombstones) {
        const auto excess = static_cast<std::ptrdiff_t>(next.tombstones.size() - maxTombstones);
        next.deltaFloor = next.tombstones[static_cast<std::size_t>(excess) - 1].version;
        next.tombstones.erase(next.tombstones.begin(), next.tombstones.begin() + excess);
    }
}

} // namespace

std::uint64_t itemKey(const PartItem &item)
{
    return std::visit([](const auto &value) { return keyOf(value); }, item);
}

std::uint64_t itemHash(const PartItem &item)
{
    return std::visit([](const auto &value) { return hashOf(value); }, item);
}

bool matchesPart(const PartItem &item, std::uint16_t part)
{
    if (part == parts::zones) {
        return std::holds_alternative<Zone>(item);
    }
    if (part == parts::services) {
        return std::holds_alternative<Service>(item);
    }
    if (parts::isEntries(part)) {
        return std::holds_alternative<Entry>(item);
    }
    return parts::isUpstreams(part) && std::holds_alternative<Upstream>(item);
}

PartState replaceItems(const PartState *previous, std::vector<PartItem> items, std::uint64_t version)
{
    PartState next;
    next.version = version;
    next.items.reserve(items.size());
    for (PartItem &item : items) {
        const std::uint64_t key = itemKey(item);
        next.items.push_back({ key, version, std::move(item) });
    }
    sortAndKeepLast(next.items);
    for (StoredItem &stored : next.items) {
        const StoredItem *old = findItem(previous, stored.key);
        if (old != nullptr && old->item == stored.item) {
            stored.version = old->version;
        }
        next.contentHash ^= itemHash(stored.item);
    }
    if (previous != nullptr) {
        addTombstones(next, *previous);
    } else {
        next.deltaFloor = version;
    }
    return next;
}

ViewDelta deltaSince(const PartState &state, std::uint16_t part, std::uint64_t sinceVersion)
{
    const bool whole = sinceVersion < state.deltaFloor;
    ViewDelta delta { part, whole ? 0 : sinceVersion, state.version, {} };
    for (const StoredItem &stored : state.items) {
        if (whole || stored.version > sinceVersion) {
            delta.items.push_back({ stored.version, false, stored.item });
        }
    }
    if (whole) {
        return delta;
    }
    for (const Tombstone &tombstone : state.tombstones) {
        if (tombstone.version > sinceVersion) {
            delta.items.push_back({ tombstone.version, true, tombstone.item });
        }
    }
    return delta;
}

std::uint64_t summaryTerm(std::uint16_t part, std::uint64_t contentHash)
{
    return contentHash == 0 ? 0 : combineHash(part, contentHash);
}

std::uint64_t summaryHash(const PartMap &parts)
{
    std::uint64_t sum = 0;
    for (const auto &[part, state] : parts) {
        sum ^= summaryTerm(part, state->contentHash);
    }
    return sum;
}

} // namespace boragelug
