#include "routing/waiting_requests.h"

#include "routing/sequence_number.h"

#include <algorithm>
#include <utility>

namespace boragelug
{
namespace
{

bool isSamePort(const FlowPacket &left, const FlowPacket &right)
{
    return left.caller == right.caller && left.entry == right.entry;
}

// Flows on the same port have unrelated sequence numbers. Copies of a SYN have the same one.
bool isCopy(const FlowPacket &left, const FlowPacket &right)
{
    return isSamePort(left, right) && left.sequence == right.sequence;
}

bool isLate(const WaitingRequestAttributes &attributes, TimePoint now)
{
    return now >= attributes.lateAt;
}

bool precedes(const WaitingRequestAttributes &left, const WaitingRequestAttributes &right, TimePoint now)
{
    const bool leftLate = isLate(left, now);
    if (leftLate != isLate(right, now)) {
        return !leftLate;
    }
    if (left.priority != right.priority) {
        return left.priority < right.priority;
    }
    return leftLate ? left.sentAt < right.sentAt : left.sentAt > right.sentAt;
}

template<class Predicate>
QueuedRequests countIf(const std::list<WaitingRequest> &requests, const Predicate &counts)
{
    QueuedRequests counted;
    for (const WaitingRequest &request : requests) {
        if (counts(request.attributes)) {
            ++counted.count;
            counted.objectives += request.attributes.objective;
        }
    }
    return counted;
}

} // namespace

WaitingRequests::WaitingRequests(const WaitingSettings &settings)
    : settings_(settings)
{ }

WaitingRequests::Requests::iterator WaitingRequests::find(const FlowPacket &syn)
{
    return std::find_if(requests_.begin(), requests_.end(), [&](const WaitingRequest &request) {
        return isCopy(request.syn.head, syn);
    });
}

bool WaitingRequests::contains(const FlowPacket &syn) const
{
    return std::any_of(requests_.begin(), requests_.end(), [&](const WaitingRequest &request) {
        return isCopy(request.syn.head, syn);
    });
}

void WaitingRequests::add(const WaitingRequestAttributes &attributes,
                          const FlowPacket &syn,
                          std::span<const std::byte> bytes,
                          TimePoint now)
{
    requests_.push_back({ .attributes = attributes,
                          .queuedAt = now,
                          .syn = { .head = syn, .bytes = { bytes.begin(), bytes.end() } },
                          .lastSynCopy = syn.synCopies });
}

void WaitingRequests::recordCopy(const FlowPacket &syn)
{
    const auto request = find(syn);
    if (request != requests_.end()) {
        request->lastSynCopy = std::max(request->lastSynCopy, syn.synCopies);
    }
}

void WaitingRequests::dropFlow(const FlowPacket &packet)
{
    std::erase_if(requests_, [&](const WaitingRequest &request) {
        const FlowPacket &syn = request.syn.head;
        return isSamePort(syn, packet) && isNear(syn.sequence, packet.sequence, maxSequenceGap);
    });
}

void WaitingRequests::dropEarlierFlow(const FlowPacket &syn)
{
    std::erase_if(requests_, [&](const WaitingRequest &request) {
        return isSamePort(request.syn.head, syn) && !isCopy(request.syn.head, syn);
    });
}

std::vector<ServiceId> WaitingRequests::services() const
{
    std::vector<ServiceId> all;
    for (const WaitingRequest &request : requests_) {
        if (std::find(all.begin(), all.end(), request.attributes.service) == all.end()) {
            all.push_back(request.attributes.service);
        }
    }
    return all;
}

std::optional<WaitingRequest> WaitingRequests::takeNext(ServiceId service, const ServiceRoom &room, TimePoint now)
{
    auto next = requests_.end();
    for (auto it = requests_.begin(); it != requests_.end(); ++it) {
        if (it->attributes.service == service && room.allows(ZoneId {}, isLate(it->attributes, now))
            && (next == requests_.end() || precedes(it->attributes, next->attributes, now))) {
            next = it;
        }
    }
    return next != requests_.end() ? std::optional(take(next)) : std::nullopt;
}

QueuedRequests WaitingRequests::countAhead(const WaitingRequestAttributes &attributes, TimePoint now) const
{
    return countIf(requests_, [&](const WaitingRequestAttributes &queued) {
        return queued.service == attributes.service && !precedes(attributes, queued, now);
    });
}

QueuedRequests WaitingRequests::countAsImportant(ServiceId service, std::uint32_t priority) const
{
    return countIf(requests_, [&](const WaitingRequestAttributes &queued) {
        return queued.service == service && queued.priority <= priority;
    });
}

WaitingRequest WaitingRequests::take(Requests::iterator request)
{
    WaitingRequest taken = std::move(*request);
    requests_.erase(request);
    return taken;
}

std::vector<WaitingRequest> WaitingRequests::takeExpired(TimePoint now)
{
    std::vector<WaitingRequest> expired;
    for (auto it = requests_.begin(); it != requests_.end();) {
        if (now >= it->attributes.expiresAt) {
            expired.push_back(std::move(*it));
            it = requests_.erase(it);
        } else {
            ++it;
        }
    }
    return expired;
}

} // namespace boragelug
