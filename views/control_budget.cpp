#include "views/control_budget.h"

#include "views/message_size.h"

#include <cassert>
#include <utility>

namespace boragelug
{

namespace
{

// Four seconds at the default rate. A message queued for longer is outdated and has been sent again by then.
constexpr std::size_t maxQueueBytes = 16'384;
// One second at the default rate; a probe or its answer that is queued for longer arrives too late.
constexpr std::size_t maxProbeQueueBytes = 4096;

struct Classifier
{
    ControlPriority operator()(const ViewDigest & /*message*/) const { return ControlPriority::Catalogue; }
    ControlPriority operator()(const ViewPull & /*message*/) const { return ControlPriority::Catalogue; }
    ControlPriority operator()(const ViewDelta & /*message*/) const { return ControlPriority::Catalogue; }
    ControlPriority operator()(const FlowEntries &message) const
    {
        return message.hint ? ControlPriority::RouteHints : ControlPriority::FlowEntries;
    }
    ControlPriority operator()(const LoadDigest & /*message*/) const { return ControlPriority::Load; }
    ControlPriority operator()(const DemandReport & /*message*/) const { return ControlPriority::Load; }
    template<class ProbeOrLease>
    ControlPriority operator()(const ProbeOrLease & /*message*/) const
    {
        return ControlPriority::Probes;
    }
};

} // namespace

ControlPriority priorityOf(const PeerMessage &message)
{
    return std::visit(Classifier {}, message);
}

ControlBudget::ControlBudget(double bytesPerSecond, double burstBytes, TimePoint now)
    : bucket_(bytesPerSecond, burstBytes, now)
{
    assert(burstBytes >= static_cast<double>(maxDatagramBytes + networkHeaderBytes));
}

bool ControlBudget::enqueue(OutgoingMessage message, ControlPriority priority)
{
    const std::size_t bytes = wireSize(message.message) + networkHeaderBytes;
    Queue &queue = queues_[static_cast<std::size_t>(priority)];
    const std::size_t limit = priority == ControlPriority::Probes ? maxProbeQueueBytes : maxQueueBytes;
    bool keptAll = true;
    while (!queue.messages.empty() && queue.bytes + bytes > limit) {
        queue.bytes -= queue.messages.front().bytes;
        queue.messages.pop_front();
        ++dropped_;
        keptAll = false;
    }
    queue.bytes += bytes;
    queue.messages.push_back({ std::move(message), bytes });
    return keptAll;
}

std::vector<OutgoingMessage> ControlBudget::drain(TimePoint now)
{
    std::vector<OutgoingMessage> sent;
    for (Queue &queue : queues_) {
        while (!queue.messages.empty()) {
            Queued &next = queue.messages.front();
            if (!bucket_.take(static_cast<double>(next.bytes), now)) {
                return sent;
            }
            sentBytes_ += next.bytes;
            queue.bytes -= next.bytes;
            sent.push_back(std::move(next.message));
            queue.messages.pop_front();
        }
    }
    return sent;
}

void ControlBudget::clear(ControlPriority priority)
{
    queues_[static_cast<std::size_t>(priority)] = {};
}

bool ControlBudget::isWaiting(ControlPriority priority) const
{
    return !queues_[static_cast<std::size_t>(priority)].messages.empty();
}

std::size_t ControlBudget::queuedBytes() const
{
    std::size_t bytes = 0;
    for (const Queue &queue : queues_) {
        bytes += queue.bytes;
    }
    return bytes;
}

} // namespace boragelug
