#pragma once

#include "core/event_ring.h"
#include "core/hybrid_clock.h"
#include "drivers/boost_log_sink.h"
#include "servers/clock.h"
#include "servers/event_sink.h"

#include <mutex>

namespace boragelug
{

/**
 * Stamps each event with the process's hybrid clock, keeps it in the ring and writes it to the log.
 *
 * The hybrid clock is kept here, because messages to peers must take their times from the same one. Thread-safe.
 */
class EventRecorder : public EventSink
{
public:
    /// @p clock must outlive the recorder, and so must @p log, which may be null for no log.
    EventRecorder(VmId vm, Incarnation incarnation, std::size_t ringEntries, const Clock &clock, BoostLogSink *log);

    void
    record(EventNumber number, std::uint64_t causeId, std::vector<std::pair<std::string, std::string>> fields) override;

    /// Time for a message that is about to be sent.
    HybridTime stampMessage();

    /// Takes over the time of a message that was received, so that later events here come after its sending.
    void receiveStamp(HybridTime remote);

    /// See EventRing::select().
    EventSelection select(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const;

private:
    const VmId vm_;
    const Incarnation incarnation_;
    const Clock &clock_;
    BoostLogSink *const log_;
    mutable std::mutex mutex_;
    HybridClock hybridClock_;
    EventRing ring_;
};

} // namespace boragelug
