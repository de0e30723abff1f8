#pragma once

#include "core/time_point.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace boragelug
{

/// Bounds of the requests that one VM keeps in progress at one service.
struct AdmissionSettings
{
    /// Without this, every request goes on at once.
    bool enabled = true;
    /// Least number in progress: one request and the next, so that a slow one doesn't stop a VM with few callers.
    double minLimit = 2;
    /// Mean time of answers, as a part of the entry's latency objective, above which the limit shrinks. Times of single
    /// requests spread by half of their mean, so that most still meet the objective.
    double shrinkThreshold = 0.65;
    /// Mean below which the limit grows.
    double growThreshold = 0.6;
    /// Growth for each answer at most; a limit of 16 doubles in the time of about a hundred answers.
    double growthStep = 0.25;
    /// Part of the limit that stays when it shrinks.
    double shrinkFactor = 0.9;
    /// Weight of one answer in the mean: about the last ten count.
    double sampleWeight = 0.1;
    /// A request that takes longer than so many objectives doesn't count as in progress: its host may be silent, and
    /// its caller is late already.
    double expiryFactor = 1.5;
    /// Part of the limit up to which requests go on that will be late anyway: the rest is kept for those that can still
    /// be answered in time, also of other VMs.
    double lateLimitRatio = 0.75;
    /// A request that has waited for this part of its objective will be late: serving it takes the rest.
    double lateAfterRatio = 0.6;
    /// When callers send the copies of a SYN, counted from the first one. They give up opening a flow after 1.4 s; a
    /// SYN that goes on later than the last time opens a flow that nobody uses.
    Duration firstSynCopyDelay = std::chrono::milliseconds(200);
    Duration secondSynCopyDelay = std::chrono::milliseconds(600);
    Duration openingTimeout = std::chrono::milliseconds(1200);
    /// When callers give up a request of an entry without a timeout.
    Duration defaultTimeout = std::chrono::seconds(2);
    /// Answers that take longer than so many objectives count as this many: one slow host isn't a crowded service.
    double maxLatencyRatio = 2;
};

/**
 * Limits a VM's requests in progress at one service by the time that answers take.
 *
 * Hosts queue what they can't work on at once, first come first served. When a service is overloaded, as after an
 * outage of all VMs, those queues make every answer late. Requests above the limit wait at the VM instead, which can
 * choose the order. The limit grows with each answer that comes well in time and shrinks by a part when the mean
 * doesn't. Does no I/O and reads no clock. Not synchronized: one thread at a time; times must not go back.
 */
class ServiceAdmission
{
public:
    /// Identifies a request in progress; 0 is none.
    using Ticket = std::uint64_t;

    /// @p firstLimit holds until answers show more.
    ServiceAdmission(const AdmissionSettings &settings, double initialLimit);

    /// Whether one more request may go on now; @p late says that it can't be answered in time any more.
    bool isBelowLimit(bool late, TimePoint now);

    /// A request goes on; @p objective is its entry's latency objective.
    Ticket begin(Duration objective, TimePoint now);

    /// Its answer arrived.
    void finish(Ticket ticket, TimePoint now);

    /// It won't be answered, or not at this service.
    void abandon(Ticket ticket);

    /// Mean time of the last answers as a part of their objectives.
    double meanLatencyRatio() const { return meanLatencyRatio_; }
    double limit() const { return limit_; }
    std::size_t inProgress() const { return requests_.size(); }

private:
    struct Request
    {
        TimePoint startedAt;
        Duration objective {};
    };

    void evictExpired(TimePoint now);
    void addSample(double share);

    AdmissionSettings settings_;
    double limit_;
    /// Mean time of answers as a part of their objectives.
    double meanLatencyRatio_ = 0;
    /// Answers since the limit last shrank; it shrinks at most once in the time of as many answers as it allows.
    std::uint32_t answersSinceShrink_ = 0;
    Ticket lastTicket_ = 0;
    std::map<Ticket, Request> requests_;
};

} // namespace boragelug
