#include "drivers/event_recorder.h"

namespace boragelug
{

EventRecorder::EventRecorder(
    VmId vm, Incarnation incarnation, std::size_t ringEntries, const Clock &clock, BoostLogSink *log)
    : vm_(vm)
    , incarnation_(incarnation)
    , clock_(clock)
    , log_(log)
    , ring_(ringEntries)
{ }

void EventRecorder::record(EventNumber number,
                           std::uint64_t causeId,
                           std::vector<std::pair<std::string, std::string>> fields)
{
    const std::lock_guard lock(mutex_);
    const HybridTime time = hybridClock_.tick(clock_.wallMicroseconds());
    const Event &stored = ring_.add(Event { time, vm_, incarnation_, 0, number, causeId, std::move(fields) });
    if (log_ != nullptr) {
        log_->write(stored, clock_.now());
    }
}

HybridTime EventRecorder::stampMessage()
{
    const std::lock_guard lock(mutex_);
    return hybridClock_.tick(clock_.wallMicroseconds());
}

void EventRecorder::receiveStamp(HybridTime remote)
{
    const std::lock_guard lock(mutex_);
    hybridClock_.receive(remote, clock_.wallMicroseconds());
}

EventSelection EventRecorder::select(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const
{
    const std::lock_guard lock(mutex_);
    return ring_.select(filter, afterSequence, most);
}

} // namespace boragelug
