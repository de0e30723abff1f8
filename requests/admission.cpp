#include "requests/admission.h"

#include <algorithm>

namespace boragelug
{

namespace
{

/// Minimum fractions of the service by class. The 5 % of ordinary requests is the documented minimum; the 15 % of
/// important ones keeps stock feeds and scans running when critical requests alone would use the whole service.
constexpr std::array<double, 3> minServiceFraction { 0.80, 0.15, 0.05 };

/// Maximum credit, which limits how long a class can be served ahead of its priority.
constexpr double maxServiceCredit = 2.0;

bool cannotMeetDeadline(const QueuedRequest &item, Duration meanAttemptTime, TimePoint now)
{
    return item.deadline - now < meanAttemptTime || item.deadline <= now;
}

} // namespace

EnqueueResult Admission::enqueue(Importance importance,
                                 std::uint64_t owner,
                                 QueuedRequest item,
                                 ServiceRate rate,
                                 TimePoint now,
                                 std::vector<QueuedRequest> &shed)
{
    ClassQueue &queue = queueFor(importance);
    if (cannotMeetDeadline(item, rate.meanAttemptTime, now)) {
        return EnqueueResult::DeadlineUnreachable;
    }
    shedUnreachable(queue, owner, rate.meanAttemptTime, now, shed);
    if (item.deadline - now < expectedWait(importance, owner, rate) + rate.meanAttemptTime) {
        return EnqueueResult::DeadlineUnreachable;
    }
    const auto found = queue.byOwner.find(owner);
    const std::size_t queuedByOwner = found == queue.byOwner.end() ? 0 : found->second.size();
    if (queuedByOwner >= maxPerOwner_ || (queue.size >= maxPerClass_ && !makeRoom(queue, owner, shed))) {
        return EnqueueResult::QueueFull;
    }
    std::vector<QueuedRequest> &items = queue.byOwner[owner];
    if (items.empty()) {
        queue.roundRobin.push_back(owner);
    }
    items.push_back(item);
    ++queue.size;
    return EnqueueResult::Queued;
}

void Admission::pushFront(Importance importance, std::uint64_t owner, QueuedRequest item)
{
    ClassQueue &queue = queueFor(importance);
    std::vector<QueuedRequest> &items = queue.byOwner[owner];
    if (items.empty()) {
        queue.roundRobin.push_front(owner);
    }
    items.insert(items.begin(), item);
    ++queue.size;
}

std::optional<QueuedRequest> Admission::pop(ServiceRate rate, TimePoint now, std::vector<QueuedRequest> &shed)
{
    for (auto index = nextClass(); index; index = nextClass()) {
        ClassQueue &queue = classes_[*index];
        const QueuedRequest item = popRoundRobin(queue);
        if (cannotMeetDeadline(item, rate.meanAttemptTime, now)) {
            shed.push_back(item);
            continue;
        }
        for (std::size_t i = 0; i < classes_.size(); ++i) {
            const bool waits = i != *index && classes_[i].size > 0;
            serviceCredit_[i] =
                waits ? std::min(maxServiceCredit, serviceCredit_[i] + minServiceFraction[i]) : serviceCredit_[i];
        }
        serviceCredit_[*index] = std::max(0.0, serviceCredit_[*index] - (1.0 - minServiceFraction[*index]));
        return item;
    }
    return std::nullopt;
}

bool Admission::remove(Importance importance, std::uint64_t owner, std::uint64_t request)
{
    ClassQueue &queue = queueFor(importance);
    const auto found = queue.byOwner.find(owner);
    if (found == queue.byOwner.end()) {
        return false;
    }
    const auto erased = std::erase_if(found->second, [&](const auto &item) { return item.request == request; });
    queue.size -= erased;
    if (found->second.empty()) {
        dropOwner(queue, owner);
    }
    return erased > 0;
}

std::size_t Admission::size() const
{
    return classes_[0].size + classes_[1].size + classes_[2].size;
}

Duration Admission::expectedWait(Importance importance, std::uint64_t owner, ServiceRate rate) const
{
    const auto index = static_cast<std::size_t>(importance);
    const ClassQueue &queue = classes_[index];
    const auto found = queue.byOwner.find(owner);
    const std::size_t own = found == queue.byOwner.end() ? 0 : found->second.size();
    // Owners are served round robin: each request of this owner waits for one request of each other owner.
    std::size_t ahead = std::min(queue.size, own * std::max<std::size_t>(queue.roundRobin.size(), 1));
    for (std::size_t i = 0; i < index; ++i) {
        ahead += classes_[i].size;
    }
    const double slots = static_cast<double>(std::max<std::size_t>(rate.slots, 1));
    const double wait = static_cast<double>(rate.meanAttemptTime.count()) * static_cast<double>(ahead) / slots;
    return Duration { static_cast<Duration::rep>(wait) };
}

/// Sheds the newest request of the owner with the longest queue if that queue is longer than @p owner's, so that a
/// flood of requests of one owner can't fill the class queue for the others.
bool Admission::makeRoom(ClassQueue &queue, std::uint64_t owner, std::vector<QueuedRequest> &shed) const
{
    std::uint64_t longestOwner = owner;
    std::size_t longest = queue.byOwner.contains(owner) ? queue.byOwner.at(owner).size() + 1 : 1;
    for (const std::uint64_t other : queue.roundRobin) {
        const std::size_t length = queue.byOwner.at(other).size();
        if (length > longest) {
            longest = length;
            longestOwner = other;
        }
    }
    if (longestOwner == owner) {
        return false;
    }
    std::vector<QueuedRequest> &items = queue.byOwner.at(longestOwner);
    shed.push_back(items.back());
    items.pop_back();
    --queue.size;
    return true;
}

std::optional<std::size_t> Admission::nextClass()
{
    for (std::size_t i = classes_.size(); i-- > 0;) {
        if (classes_[i].size > 0 && serviceCredit_[i] >= 1.0 - minServiceFraction[i]) {
            return i;
        }
    }
    for (std::size_t i = 0; i < classes_.size(); ++i) {
        if (classes_[i].size > 0) {
            return i;
        }
    }
    return std::nullopt;
}

void Admission::shedUnreachable(
    ClassQueue &queue, std::uint64_t owner, Duration meanAttemptTime, TimePoint now, std::vector<QueuedRequest> &shed)
{
    const auto found = queue.byOwner.find(owner);
    if (found == queue.byOwner.end()) {
        return;
    }
    const std::size_t before = found->second.size();
    std::erase_if(found->second, [&](const QueuedRequest &item) {
        const bool late = cannotMeetDeadline(item, meanAttemptTime, now);
        if (late) {
            shed.push_back(item);
        }
        return late;
    });
    queue.size -= before - found->second.size();
    if (found->second.empty()) {
        dropOwner(queue, owner);
    }
}

void Admission::dropOwner(ClassQueue &queue, std::uint64_t owner)
{
    queue.byOwner.erase(owner);
    std::erase(queue.roundRobin, owner);
}

QueuedRequest Admission::popRoundRobin(ClassQueue &queue)
{
    const std::uint64_t owner = queue.roundRobin.front();
    queue.roundRobin.pop_front();
    std::vector<QueuedRequest> &items = queue.byOwner.at(owner);
    const QueuedRequest item = items.front();
    items.erase(items.begin());
    --queue.size;
    if (items.empty()) {
        queue.byOwner.erase(owner);
    } else {
        queue.roundRobin.push_back(owner);
    }
    return item;
}

} // namespace boragelug
