#pragma once

#include "core/time_point.h"
#include "core/token_bucket.h"

#include <cstddef>
#include <cstdint>

namespace boragelug
{

/**
 * Passive health check of one upstream from the packets of its callers. Answers don't pass through the load balancer,
 * but a caller's acknowledgements show that they arrive, and its retransmissions that they don't.
 */
struct PassiveHealth
{
    TimePoint lastProgressAt;
    TimePoint lastUnansweredAt;
    /// When a caller last retransmitted data; unlike a SYN, data isn't ignored by an upstream that is full.
    TimePoint lastUnansweredDataAt;
    /// When the upstream last progressed after an unanswered packet or a failed check.
    TimePoint refutedAt;
    /// Unanswered packets since the last progress. Retransmitted data of a flow counts once until the flow progresses.
    std::uint32_t consecutiveUnanswered = 0;
    /// Ejected until then: gets no new flows while another upstream is left.
    TimePoint ejectedUntil;
    /// Ejections since the last progress; each doubles the duration of the next.
    std::uint32_t consecutiveEjections = 0;
    /// When the last active check of the upstream's address was requested, and whether the budget of early checks was
    /// charged for it.
    TimePoint checkRequestedAt;
    bool checkIsEarly = false;
    /// When an active check of the upstream's address failed; the epoch if the last check succeeded or the upstream
    /// made progress since.
    TimePoint silentSince;
    /// Checks that failed one after the other since the last progress.
    std::uint32_t consecutiveFailedChecks = 0;
    /// Since when requests are in progress without progress of any flow; the epoch if none is in progress.
    TimePoint waitingSince;
    /// Time after which the requests in progress are overdue.
    Duration answerTimeout {};
};

/// Thresholds of passive health checks and outlier ejection.
struct PassiveHealthSettings
{
    /// Number of consecutive unanswered packets that eject an upstream. A single one proves nothing, because datagrams
    /// get lost now and then.
    std::uint32_t unansweredToEject = 2;
    /// Number of consecutive unanswered packets after which an upstream's address is checked actively, whatever the
    /// budget of early checks.
    std::uint32_t unansweredToCheck = 2;
    /// Rate in checks per second, and burst, of early checks that find an upstream alive. An early check follows the
    /// first unanswered packet: in a large fleet, a VM has one or two flows at an upstream, so that a second packet
    /// comes too late. But requests that take longer than the callers' retransmission timeout look the same.
    double falseAlarmsPerSecond = 0.2;
    double falseAlarmBurst = 4;
    /// Duration of the first ejection; doubles with each consecutive ejection up to the maximum.
    Duration baseEjectionTime = std::chrono::milliseconds(800);
    Duration maxEjectionTime = std::chrono::seconds(4);
    /// How long an unanswered packet makes an upstream suspect, so that placement prefers others.
    Duration unansweredRetention = std::chrono::seconds(2);
    /// Least interval between two active checks of an upstream, since each has a cost.
    Duration checkInterval = std::chrono::seconds(1);
    /// How long the result of an active check counts.
    Duration checkResultRetention = std::chrono::milliseconds(2500);
    /// A request is overdue after this time and after this many times the mean latency of its service's answers.
    Duration minAnswerTimeout = std::chrono::milliseconds(300);
    int meanLatenciesToAnswer = 3;
};

/// Records that a request began at the upstream, whose service answers in @p meanLatency.
void recordRequest(PassiveHealth &health, const PassiveHealthSettings &settings, Duration meanLatency, TimePoint now);

/// Records that no request is in progress at the upstream.
void recordIdle(PassiveHealth &health);

/// Whether requests at the upstream are overdue, and no flow made progress while they waited. Flows that moved to
/// another VM seem to wait, so that this alone is no evidence that the upstream is silent.
bool isLeftWaiting(const PassiveHealth &health, TimePoint now);

/// Records that a caller acknowledged new data of the upstream.
void recordProgress(PassiveHealth &health, TimePoint now);

/// What a packet without an answer was.
enum class UnansweredKind : std::uint8_t { Syn, Data };

/// Records a packet that the upstream did not answer; may eject the upstream.
void recordUnanswered(PassiveHealth &health, UnansweredKind kind, const PassiveHealthSettings &settings, TimePoint now);

/// Whether the upstream is ejected from placement now.
bool isEjected(const PassiveHealth &health, TimePoint now);

/// What makes an active check of an upstream necessary.
enum class CheckCause : std::uint8_t {
    UnansweredPacket, ///< A caller retransmitted a packet.
    StalledRequest, ///< A request has no answer, though its packets were acknowledged.
    StalledOpening, ///< A SYN has no answer, though its caller did not retransmit it yet.
};

/**
 * Limits the active checks that single unanswered packets and stalled requests lead to.
 *
 * Each check costs the upstream two connections. A check that finds its upstream silent is returned to the budget, so
 * that a crash of many upstreams is detected at once. Not synchronized: one thread at a time.
 */
class EarlyCheckBudget
{
public:
    explicit EarlyCheckBudget(const PassiveHealthSettings &settings)
        : tokens_(settings.falseAlarmsPerSecond, settings.falseAlarmBurst, TimePoint {})
    { }

    /// Takes one check, if one is left.
    bool take(TimePoint now) { return tokens_.take(1, now); }

    /// Returns the check of an upstream that was found silent.
    void giveBack(TimePoint now) { tokens_.put(1, now); }

private:
    TokenBucket tokens_;
};

/// Whether an active check of the upstream's address is due now; if so, marks it as requested.
bool beginCheckIfDue(PassiveHealth &health,
                     CheckCause cause,
                     EarlyCheckBudget &budget,
                     const PassiveHealthSettings &settings,
                     TimePoint now);

/// Records the result of the check that was requested at PassiveHealth::checkRequestedAt.
void recordCheckResult(PassiveHealth &health, bool answered, EarlyCheckBudget &budget, TimePoint now);

/// Whether a recent active check of the upstream failed, and no flow made progress since the check was requested.
bool isSilent(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether the upstream left a packet unanswered recently and made no progress since.
bool isSuspect(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether the upstream left data unanswered recently and made no progress since.
bool hasUnansweredData(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether the upstream progressed after an unanswered packet or a failed check, as recently as check results count.
bool wasRefuted(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

} // namespace boragelug
