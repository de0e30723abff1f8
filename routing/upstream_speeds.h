#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/endpoint.h"
#include "model/speed_report.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace boragelug
{

/// Parameters of UpstreamSpeeds.
struct SpeedSettings
{
    /// If false, all upstreams count as equally fast, and nothing is reported.
    bool enabled = false;
    /// Time constant with which observations lose weight.
    Duration memory = std::chrono::milliseconds(1500);
    /// Number of answers that an upstream without any counts as having given at the usual speed: a single slow answer
    /// proves little, because the work of requests differs.
    double priorAnswers = 1;
    /// An upstream counts as slow above this multiple of the usual latency. Averages of a few answers differ by less.
    double slowThreshold = 1.6;
    /// The usual latency of a service is that of the upstream at this quantile of its upstreams, so that it holds while
    /// most of them are slow.
    double usualQuantile = 0.25;
    /// Upstreams with fewer recent answers don't count for the usual latency of their service.
    double minAnswersToCompare = 3;
    /// One answer counts as at most this multiple of the usual latency of its entry.
    double maxLatencyRatio = 12;
    /// An upstream that is found silent counts as having given this many answers at maxLatencyRatio.
    std::uint32_t silenceAnswers = 8;
    /// Answers of an upstream that is slower than this aren't expected later: it may be silent.
    double maxExpectedSlowness = 6;
    /// Weight of one answer in the usual latency of an entry, which doesn't count before there are minEntryAnswers.
    double entrySampleWeight = 0.02;
    std::uint32_t minEntryAnswers = 8;
    /// The list of a relay counts for this long. Relays answer about twice a second.
    Duration listRetention = std::chrono::seconds(3);
    /// Slowness in a list is a multiple of this, so that the list changes less often.
    double listStep = 0.25;
    /// Observations that could not be reported for this long are discarded.
    Duration reportRetention = std::chrono::seconds(2);
    /// An estimate weighs at most this many answers, so that those of an upstream with many requests are replaced
    /// quickly, and an absurd report is forgotten within seconds.
    double maxWeight = 8;
    /// Limit of the entries whose usual latency is known; beyond it, all are learned anew.
    std::size_t maxEntries = 20'000;
    /// takeChange() reports an upstream from this slowness on, and again once it no longer counts as slow.
    double reportedSlowness = 2;
    /// Smallest time between two changes that are reported.
    Duration changeInterval = std::chrono::milliseconds(200);
    /// Limit of the upstreams in one report or list, which are sent about twice a second.
    std::size_t maxReported = 200;
    /// Interval at which estimates are updated.
    Duration updateInterval = std::chrono::milliseconds(100);
};

/**
 * Learns which upstreams are slower than the others of their service, from the latency of answers on this VM and on the
 * VMs that share their observations with it through relays.
 *
 * A VM that follows a relay reports its observations, and takes the relay's list of slow upstreams. A VM without a
 * fresh list uses its own observations. Does no I/O and reads no clock. Not synchronized: one thread at a time; times
 * must not go back.
 */
class UpstreamSpeeds
{
public:
    explicit UpstreamSpeeds(const SpeedSettings &settings);

    /// Replaces the upstreams that are known; observations of others are discarded.
    void setUpstreams(std::span<const std::pair<FlowTag, ServiceId>> upstreams);

    /// Records an answer that a caller of this VM got @p latency after its request was forwarded.
    void recordAnswer(FlowTag upstream, const Endpoint &entry, Duration latency, TimePoint now);

    /// Records that an active check found @p upstream silent: it counts as slow as an upstream can be, whatever it
    /// answered before.
    void recordSilence(FlowTag upstream, TimePoint now);

    /// Adds the observations of a follower. Those of unknown upstreams and invalid ones are ignored.
    void addObservations(std::span<const SpeedObservation> observations, TimePoint now);

    /// Recent observations of this VM and its followers that were not taken yet, for the relay that this VM follows.
    /// Those of the upstreams with most answers, if there are more than SpeedSettings::maxReported; the others remain.
    std::vector<SpeedObservation> takeObservations(TimePoint now);

    /// Replaces the list of slow upstreams by that of the relay. Invalid values are ignored.
    void setSlowUpstreams(std::span<const SlowUpstream> upstreams, TimePoint now);

    /// The slowest upstreams, for the followers of this VM, with slowness in steps of SpeedSettings::listStep.
    std::vector<SlowUpstream> slowUpstreams(TimePoint now);

    /// At most @p most of the slowest upstreams as of the last update, the slowest first.
    std::vector<SlowUpstream> slowest(std::size_t most, TimePoint now) const;

    /// Number of upstreams that count as slow.
    std::size_t slowCount(TimePoint now) const { return known(now).size(); }

    /// The next upstream that has become slow, or fast again (slowness 1), for the log. Changes that come faster than
    /// SpeedSettings::changeInterval are returned later, or not at all if they were undone.
    std::optional<SlowUpstream> takeChange(TimePoint now);

    /// Latency of @p upstream as a multiple of that of the others of its service; 1 if it is not slower or unknown.
    double slowness(FlowTag upstream, TimePoint now);

    /// The multiple of the usual latency after which an answer of @p upstream is expected.
    double expectedSlowness(FlowTag upstream, TimePoint now)
    {
        const double known = slowness(upstream, now);
        return known <= settings_.maxExpectedSlowness ? known : 1;
    }

private:
    struct Estimate
    {
        ServiceId service;
        /// Recent answers, and the sum of their latencies as multiples of what is usual at their entries; both lose
        /// weight with time.
        double answers = 0;
        double latencySum = 0;
        TimePoint updatedAt;
        /// Observations that were not reported yet.
        std::uint32_t unreportedAnswers = 0;
        double unreportedSum = 0;
        /// When the first of them was made.
        TimePoint unreportedSince;
    };

    struct EntryLatency
    {
        double usualSeconds = 0;
        std::uint32_t answers = 0;
    };

    using Slowness = absl::flat_hash_map<FlowTag, double>;

    /// Latency of an answer as a multiple of what is usual at its entry; 0 while that is unknown.
    double latencyRatio(const Endpoint &entry, Duration latency);
    void add(Estimate &estimate, std::uint32_t answers, double latencySum, TimePoint now);
    void fade(Estimate &estimate, TimePoint now) const;
    /// Computes which upstreams are slow, at most once in SpeedSettings::updateInterval.
    void update(TimePoint now);
    absl::flat_hash_map<ServiceId, double> usualRatios() const;
    bool hasFreshList(TimePoint now) const;
    const Slowness &known(TimePoint now) const { return hasFreshList(now) ? listed_ : observed_; }

    SpeedSettings settings_;
    absl::flat_hash_map<FlowTag, Estimate> estimates_;
    absl::flat_hash_map<Endpoint, EntryLatency> entries_;
    /// Slow upstreams by this VM's and its followers' observations, and by the relay's list.
    Slowness observed_;
    Slowness listed_;
    /// Those that were returned by takeChange() as slow.
    absl::flat_hash_set<FlowTag> reportedSlow_;
    TimePoint nextChange_;
    TimePoint nextUpdate_;
    /// When the relay's list was received; the epoch if there was none.
    TimePoint listedAt_;
};

} // namespace boragelug
