#pragma once

#include "core/time_point.h"
#include "model/catalogue.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace boragelug
{

/// A request that waits for a slot.
struct QueuedRequest
{
    std::uint64_t request = 0;
    TimePoint deadline;
};

/// Result of Admission::enqueue.
enum class EnqueueResult : std::uint8_t { Queued, QueueFull, DeadlineUnreachable };

/// Current service rate for queued requests.
struct ServiceRate
{
    /// Mean duration of an attempt; 0 before the first sample.
    Duration meanAttemptTime {};
    /// Attempts that can run at the same time.
    std::size_t slots = 1;
};

/**
 * Bounded request queues of one service on one VM, by importance class and within a class by owner.
 *
 * Critical requests have priority, but important ones get at least 15 % and ordinary ones at least 5 % of the service
 * while they have queued requests. Owners of one class are served round robin. Before a request is refused because a
 * queue is full, those of its owner and class that can no longer meet their deadline are shed.
 *
 * Not synchronized: one thread at a time.
 */
class Admission
{
public:
    /// Sets the maximum queue length of one owner in one class, and of one class. Precondition: both are positive.
    Admission(std::size_t maxPerOwner, std::size_t maxPerClass)
        : maxPerOwner_(maxPerOwner)
        , maxPerClass_(maxPerClass)
    { }

    /// Queues @p item or returns why it was not queued. Requests that are removed to make room, or can no longer meet
    /// their deadline, are appended to @p shed.
    EnqueueResult enqueue(Importance importance,
                          std::uint64_t owner,
                          QueuedRequest item,
                          ServiceRate rate,
                          TimePoint now,
                          std::vector<QueuedRequest> &shed);

    /// Puts back a request that pop() returned, ahead of its owner's other requests and regardless of the limits.
    void pushFront(Importance importance, std::uint64_t owner, QueuedRequest item);

    /// Removes and returns the next request to serve. Requests that can no longer meet their deadline are appended to
    /// @p shed instead.
    std::optional<QueuedRequest> pop(ServiceRate rate, TimePoint now, std::vector<QueuedRequest> &shed);

    /// Removes a request; false if it is not queued.
    bool remove(Importance importance, std::uint64_t owner, std::uint64_t request);

    /// Number of queued requests of all classes.
    std::size_t size() const;

    /// Estimated time until a request that arrives now in @p importance gets a slot.
    Duration expectedWait(Importance importance, std::uint64_t owner, ServiceRate rate) const;

private:
    struct ClassQueue
    {
        absl::flat_hash_map<std::uint64_t, std::vector<QueuedRequest>> byOwner;
        /// Owners with queued requests, in round-robin order.
        std::deque<std::uint64_t> roundRobin;
        std::size_t size = 0;
    };

    ClassQueue &queueFor(Importance importance) { return classes_[static_cast<std::size_t>(importance)]; }
    bool makeRoom(ClassQueue &queue, std::uint64_t owner, std::vector<QueuedRequest> &shed) const;
    std::optional<std::size_t> nextClass();
    static void shedUnreachable(ClassQueue &queue,
                                std::uint64_t owner,
                                Duration meanAttemptTime,
                                TimePoint now,
                                std::vector<QueuedRequest> &shed);
    static void dropOwner(ClassQueue &queue, std::uint64_t owner);
    static QueuedRequest popRoundRobin(ClassQueue &queue);

    std::size_t maxPerOwner_;
    std::size_t maxPerClass_;
    std::array<ClassQueue, 3> classes_;
    /// Credit that each class with queued requests gains when another is served. With enough credit, a class is served
    /// ahead of its priority.
    std::array<double, 3> serviceCredit_ {};
};

} // namespace boragelug
