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

/// What came of an attempt to queue a request.
enum class EnqueueResult : std::uint8_t { Queued, QueueFull, DeadlineUnreachable };

/// How fast queued requests are served now.
struct ServiceRate
{
    /// Mean time of an attempt; 0 while nothing is known.
    Duration meanAttemptTime {};
    /// Attempts that can run at the same time.
    std::size_t slots = 1;
};

/**
 * Queues of one service on one VM: by class, and within a class by owner, all bounded.
 *
 * Critical goes first, but important gets at least 15 % and ordinary at least 5 % of the service while they have
 * queued requests. Owners of one class take turns. Requests that can no longer meet their deadline are given back as
 * shed, before any other is refused for lack of room.
 * Not synchronized: one thread at a time.
 */
class Admission
{
public:
    /// Bounds of one owner in one class, and of one class. Precondition: both are positive.
    Admission(std::size_t maxPerOwner, std::size_t maxPerClass)
        : maxPerOwner_(maxPerOwner)
        , maxPerClass_(maxPerClass)
    { }

    /// Queues @p item, or says why not. Requests displaced by it are appended to @p shed.
    EnqueueResult enqueue(Importance importance,
                          std::uint64_t owner,
                          QueuedRequest item,
                          ServiceRate rate,
                          TimePoint now,
                          std::vector<QueuedRequest> &shed);

    /// Puts a request back that was taken by pop(), ahead of its owner's others and regardless of the bounds.
    void pushFront(Importance importance, std::uint64_t owner, QueuedRequest item);

    /// The next request to serve. Those that can no longer meet their deadline are appended to @p shed instead.
    std::optional<QueuedRequest> pop(ServiceRate rate, TimePoint now, std::vector<QueuedRequest> &shed);

    /// Removes a request; false if it is not queued.
    bool remove(Importance importance, std::uint64_t owner, std::uint64_t request);

    /// Queued requests of all classes.
    std::size_t size() const;

    /// Estimated time until a request that arrives now in @p importance gets a slot.
    Duration expectedWait(Importance importance, std::uint64_t owner, ServiceRate rate) const;

private:
    struct ClassQueue
    {
        absl::flat_hash_map<std::uint64_t, std::vector<QueuedRequest>> byOwner;
        /// Owners with queued requests, in the order of their turns.
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
    /// Share of service that a class has been owed since it was last served ahead of its rank.
    std::array<double, 3> serviceCredit_ {};
};

} // namespace boragelug
