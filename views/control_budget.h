#pragma once

#include "core/token_bucket.h"
#include "model/peer_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace boragelug
{

/// Priorities of control messages when the budget is short, highest first.
enum class ControlPriority : std::uint8_t { Probes, Catalogue, Leaving, FlowEntries, Load, RouteHints };

/// The priority of a message according to its type. Thread-safe.
ControlPriority priorityOf(const PeerMessage &message);

/**
 * Token bucket for all control messages of a VM, in bytes including IP and UDP headers.
 *
 * Each priority has a bounded queue. A full queue drops its oldest message, because that is the most outdated. A
 * message is never sent before one of a higher priority. Not synchronized: one thread at a time.
 */
class ControlBudget
{
public:
    /// Precondition: @p burstBytes is at least the size of the largest datagram with headers.
    ControlBudget(double bytesPerSecond, double burstBytes, TimePoint now);

    /// Queues a message. False if older messages were dropped to make room.
    bool enqueue(OutgoingMessage message, ControlPriority priority);

    /// Dequeues the messages that the budget allows to send at @p now, in order of priority.
    std::vector<OutgoingMessage> drain(TimePoint now);

    /// Discards all queued messages of @p priority.
    void clear(ControlPriority priority);

    /// Whether messages of @p priority are queued.
    bool isWaiting(ControlPriority priority) const;

    /// Bytes queued in all priorities.
    std::size_t queuedBytes() const;

    /// Bytes sent since process start, including IP and UDP headers.
    std::uint64_t sentBytes() const { return sentBytes_; }

    /// Messages dropped by full queues since process start.
    std::uint64_t dropped() const { return dropped_; }

private:
    struct Queued
    {
        OutgoingMessage message;
        std::size_t bytes = 0;
    };
    struct Queue
    {
        std::deque<Queued> messages;
        std::size_t bytes = 0;
    };

    TokenBucket bucket_;
    std::array<Queue, 6> queues_;
    std::uint64_t sentBytes_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace boragelug
