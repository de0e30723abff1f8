#pragma once

#include "core/time_point.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace boragelug
{

/// Parameters of the adaptive limit of requests that one VM has in progress at one service.
struct AdmissionSettings
{
    /// If false, every request is forwarded at once.
    bool enabled = true;
    /// Lower bound of the limit: with two, one slow request doesn't block a VM with few callers.
    double minLimit = 2;
    /// Mean latency of answers, as a fraction of the entry's latency objective, above which the limit shrinks.
    /// Latencies of single requests spread by half of their mean, so that at this threshold most still meet the
    /// objective.
    double shrinkThreshold = 0.65;
    /// The limit also shrinks when the mean latency exceeds this multiple of the lowest recent mean: the rest is time
    /// in the queues of upstreams, where requests can no longer be reordered.
    double maxLatencyGrowth = 2;
    /// Lower bound of the threshold by maxLatencyGrowth, as a fraction of the objective. The rest of the objective is
    /// the time for which requests may wait at the VM; see lateAfterRatio. Applies too until the lowest mean is known.
    double minShrinkThreshold = 0.5;
    /// The limit grows while the mean latency is below this fraction of the threshold above which it shrinks.
    double growThresholdRatio = 0.92;
    /// Time constant with which the lowest mean rises towards the present one, so that a service that has become slower
    /// isn't limited for long. It falls at once.
    Duration lowestMeanTimeConstant = std::chrono::seconds(60);
    /// Largest growth of the limit per answer, and while as many answers arrive as the limit allows requests. The
    /// latter is the same for all limits, so that the limits of VMs with equal load approach each other.
    double growthStep = 0.25;
    double growthPerRound = 1.5;
    /// The limit is multiplied by this when it shrinks.
    double shrinkFactor = 0.9;
    /// Weight of one answer in the moving average: about the last ten count.
    double sampleWeight = 0.1;
    /// Weight of one answer in the longer average whose lowest value is the lowest mean: about the last fifty count.
    /// The lowest value of the short average would be well below the mean latency without load.
    double lowestMeanSampleWeight = 0.02;
    /// A request that takes longer than this multiple of its objective no longer counts as in progress: its upstream
    /// may be silent, and the answer is late already.
    double expiryFactor = 1.5;
    /// Requests that will be late anyway are forwarded only below this fraction of the limit. The rest is reserved for
    /// requests of this and other VMs that can still be answered in time.
    double lateLimitRatio = 0.75;
    /// A request that has waited for this fraction of its objective will be late: at minShrinkThreshold, serving it
    /// takes the rest.
    double lateAfterRatio = 0.5;
    /// Times since a caller's first SYN: of its two retransmissions, and after which a SYN is no longer forwarded.
    /// Callers abandon opening a flow after 1.4 s, so that a SYN forwarded later than openingTimeout would open a flow
    /// that no caller uses.
    Duration firstSynCopyDelay = std::chrono::milliseconds(200);
    Duration secondSynCopyDelay = std::chrono::milliseconds(600);
    /// A copy of a SYN that doesn't arrive for this long after it is due went to another VM.
    Duration synCopyMargin = std::chrono::milliseconds(100);
    Duration openingTimeout = std::chrono::milliseconds(1200);
    /// New requests are rejected while those queued take longer than this to serve. Callers whose SYNs time out open
    /// other flows, which look like new requests and displace those: at half of openingTimeout, at most half as many
    /// SYNs time out as requests are served.
    Duration maxBacklog = std::chrono::milliseconds(600);
    /// Request timeout of callers at an entry for which the catalogue holds none.
    Duration defaultTimeout = std::chrono::seconds(2);
    /// The latency of one answer counts in the mean as at most this multiple of its objective: one slow upstream
    /// doesn't mean that the service is overloaded.
    double maxLatencyRatio = 2;
};

/**
 * Adaptive limit of a VM's requests in progress at one service, controlled by the latency of answers.
 *
 * Upstreams queue requests beyond their slots, first in, first out. When a service is overloaded, as after an outage of
 * all VMs, those queues make every answer late. Requests above the limit wait at the VM instead, which can choose their
 * order. The limit grows additively while the mean latency is well below the objective and near its lowest recent
 * value, and shrinks by a factor when the mean is too high. Does no I/O and reads no clock. Not synchronized: one
 * thread at a time; times must not go back.
 */
class ServiceAdmission
{
public:
    /// Identifies a request in progress; 0 is none.
    using Ticket = std::uint64_t;

    /// @p initialLimit applies until answers change it; it is raised to AdmissionSettings::minLimit.
    ServiceAdmission(const AdmissionSettings &settings, double initialLimit);

    /// Whether one more request may be forwarded now; @p late says that it can no longer be answered in time.
    bool isBelowLimit(bool late, TimePoint now);

    /// Raises the limit to @p limit, if it is lower.
    void raiseLimit(double limit) { limit_ = std::max(limit_, limit); }

    /// Counts a request that is forwarded; @p objective is its entry's latency objective.
    Ticket begin(Duration objective, TimePoint now);

    /// Ends a request whose answer arrived, and adapts the limit to its latency. @p slowness is the known latency of
    /// its upstream as a multiple of that of the service's other upstreams. @p lowestMeanElsewhere is the lowest recent
    /// mean latency of upstreams that do the same work but count for other limits, as a fraction of the objective.
    void
    finish(Ticket ticket, TimePoint now, double slowness = 1, std::optional<double> lowestMeanElsewhere = std::nullopt);

    /// Ends a request that gets no answer from this service; the limit is unchanged.
    void abandon(Ticket ticket);

    /// Mean latency of recent answers as a fraction of their objectives.
    double meanLatencyRatio() const { return meanLatencyRatio_; }
    /// Lowest recent mean latency as a fraction of the objectives; std::nullopt until enough answers were counted, and
    /// after AdmissionSettings::lowestMeanTimeConstant without an answer.
    std::optional<double> lowestMean(TimePoint now) const;
    double limit() const { return limit_; }
    std::size_t inProgress() const { return requests_.size(); }

private:
    struct Request
    {
        TimePoint startedAt;
        Duration objective {};
    };

    void evictExpired(TimePoint now);
    void addSample(double latencyRatio, std::optional<double> lowestMeanElsewhere, TimePoint now);
    void updateLowestMean(double latencyRatio, TimePoint now);
    /// Mean latency above which the limit shrinks, as a fraction of the objective.
    double shrinkThreshold(std::optional<double> lowestMeanElsewhere) const;

    AdmissionSettings settings_;
    double limit_;
    /// Moving average of the latency of answers as a fraction of their objectives.
    double meanLatencyRatio_ = 0;
    /// Average over more answers than meanLatencyRatio_, and its lowest recent value, which is known after
    /// lowestMeanSamples answers.
    double longMean_ = 0;
    std::optional<double> lowestMean_;
    TimePoint lowestMeanUpdatedAt_;
    std::uint32_t answers_ = 0;
    /// Answers since the limit last shrank; it shrinks again only after limit_ of them.
    std::uint32_t answersSinceShrink_ = 0;
    Ticket lastTicket_ = 0;
    std::map<Ticket, Request> requests_;
};

} // namespace boragelug
