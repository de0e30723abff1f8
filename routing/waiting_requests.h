#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/flow_packet.h"

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
    /// Requests that wait at most; with one packet of 1.2 KB each they need about 0.6 MB.
    std::size_t maxRequests = 512;
    /// Packets kept of one request; callers have at most 16 in flight.
    std::size_t maxPackets = 16;
};

/// A packet with its bytes as they came.
struct WaitingPacket
{
    FlowPacket head;
    std::vector<std::byte> bytes;
};

/// What decides when a waiting request goes on.
struct WaitingRequestAttributes
{
    ServiceId service;
    /// When the caller sent the first packet, as far as it shows.
    TimePoint sentAt;
    /// From then on the answer comes later than the caller expects.
    TimePoint lateAt;
    /// From then on waiting is of no use.
    TimePoint expiresAt;
    /// 0 is the most important.
    std::uint32_t priority = 0;
};

/// A request whose first packets wait for room at its service.
struct WaitingRequest
{
    WaitingRequestAttributes attributes;
    TimePoint queuedAt;
    std::vector<WaitingPacket> packets;
};

/**
 * Requests that wait at a VM because their service is crowded.
 *
 * Those that can still be answered in time go first, the most important and of these the newest first: when not all can
 * be served in time, first come first served would make all of them late. Those that are late anyway follow in the
 * order in which they were sent. Does no I/O and reads no clock. Not synchronized: one thread at a time; times must not
 * go back.
 */
class WaitingRequests
{
public:
    explicit WaitingRequests(const WaitingSettings &settings);

    bool empty() const { return requests_.empty(); }
    bool isFull() const { return requests_.size() >= settings_.maxRequests; }
    std::size_t size() const { return requests_.size(); }

    /// Whether a request of the packet's flow waits.
    bool contains(const FlowPacket &packet) const;

    /// Precondition: not full, and no request of the flow waits.
    void add(const WaitingRequestAttributes &attributes,
             const FlowPacket &head,
             std::span<const std::byte> bytes,
             TimePoint now);

    /// Keeps a further packet of a flow that waits; copies of packets that are kept are dropped.
    void append(const FlowPacket &head, std::span<const std::byte> bytes);

    /// Drops the request of the packet's flow.
    void drop(const FlowPacket &packet);

    /// Services of which requests wait.
    std::vector<ServiceId> services() const;

    /// The request of @p service that goes next; nothing if none waits, or only late ones and @p lateToo is false.
    std::optional<WaitingRequest> takeNext(ServiceId service, bool includeLate, TimePoint now);

    /// Requests that have waited too long.
    std::vector<WaitingRequest> takeExpired(TimePoint now);

private:
    using Requests = std::list<WaitingRequest>;

    Requests::iterator find(const FlowPacket &packet);

    WaitingSettings settings_;
    Requests requests_;
};

} // namespace boragelug
