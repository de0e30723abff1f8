#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/flow_packet.h"
#include "routing/request_admission.h"
#include "routing/request_rejection.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <vector>

namespace boragelug
{

/// Bounds of WaitingRequests.
struct WaitingSettings
{
    /// Limit of queued requests; with one SYN each they need about 0.1 MB.
    std::size_t maxRequests = 512;
};

/// A queued packet with its bytes as received.
struct WaitingPacket
{
    FlowPacket head;
    std::vector<std::byte> bytes;
};

/// A request whose SYN is queued because its service is at its concurrency limit.
struct WaitingRequest
{
    WaitingRequestAttributes attributes;
    TimePoint queuedAt;
    WaitingPacket syn;
    /// The latest copy of the SYN that arrived.
    std::uint32_t lastSynCopy = 0;
};

/**
 * Queue of the requests whose service is at its concurrency limit.
 *
 * Only SYNs are queued: their flows aren't open anywhere. Requests that can still be answered in time are dequeued
 * first, late ones follow; both by priority, then in the order in which they were sent. Arrivals for which
 * isHopeless() shouldn't be added, so that those in time stay so. Does no I/O and reads no clock. Not synchronized: one
 * thread at a time; times must not go back.
 */
class WaitingRequests
{
public:
    explicit WaitingRequests(const WaitingSettings &settings);

    bool empty() const { return requests_.empty(); }
    bool isFull() const { return requests_.size() >= settings_.maxRequests; }
    std::size_t size() const { return requests_.size(); }

    /// Whether @p syn or another copy of it is queued.
    bool contains(const FlowPacket &syn) const;

    /// Queues a request with its SYN. Precondition: not full, and no copy of the SYN is queued.
    void add(const WaitingRequestAttributes &attributes,
             const FlowPacket &syn,
             std::span<const std::byte> bytes,
             TimePoint now);

    /// Records that a copy of a queued SYN arrived.
    void recordCopy(const FlowPacket &syn);

    /// Discards the queued SYN of the flow that @p packet, which is no SYN, belongs to: its caller has given the flow
    /// up or has opened it through another VM.
    void dropFlow(const FlowPacket &packet);

    /// Discards the queued request of an earlier flow on the same port as the flow that @p syn starts, if there is one.
    void dropEarlierFlow(const FlowPacket &syn);

    /// Services with queued requests.
    std::vector<ServiceId> services() const;

    /// Dequeues the next request of @p service that may go somewhere by @p room; std::nullopt if there is none.
    std::optional<WaitingRequest> takeNext(ServiceId service, const ServiceRoom &room, TimePoint now);

    /// The queued requests that would be dequeued before a new one with @p attributes.
    QueuedRequests countAhead(const WaitingRequestAttributes &attributes, TimePoint now) const;

    /// The queued requests of @p service that are at least as important as one of @p priority.
    QueuedRequests countAsImportant(ServiceId service, std::uint32_t priority) const;

    /// Dequeues the requests that have timed out.
    std::vector<WaitingRequest> takeExpired(TimePoint now);

private:
    using Requests = std::list<WaitingRequest>;

    Requests::iterator find(const FlowPacket &syn);
    WaitingRequest take(Requests::iterator request);

    WaitingSettings settings_;
    Requests requests_;
};

} // namespace boragelug
