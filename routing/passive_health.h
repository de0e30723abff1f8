#pragma once

#include "core/time_point.h"

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
    /// Unanswered packets since the last progress; one is counted per packet that a flow has in flight.
    std::uint32_t consecutiveUnanswered = 0;
    /// Ejected until then: gets no new flows while another upstream is left.
    TimePoint ejectedUntil;
    /// Ejections without progress in between.
    std::uint32_t consecutiveEjections = 0;
    /// When the last active check of the upstream's address was requested.
    TimePoint checkRequestedAt;
    /// When a check found that nothing answers at the upstream's address; the epoch if none did since the last
    /// progress.
    TimePoint silentSince;
};

/// Thresholds of passive health checks and outlier ejection.
struct PassiveHealthSettings
{
    /// Unanswered packets in a row that eject an upstream. Datagrams get lost now and then, so that a single one proves
    /// nothing.
    std::uint32_t unansweredToEject = 2;
    /// Duration of the first ejection; doubles with each consecutive ejection up to the maximum.
    Duration baseEjectionTime = std::chrono::milliseconds(800);
    Duration maxEjectionTime = std::chrono::seconds(4);
    /// How long an unanswered packet makes an upstream suspect, so that placement prefers others.
    Duration unansweredRetention = std::chrono::seconds(2);
    /// Least interval between two active checks of an upstream, since each has a cost.
    Duration checkInterval = std::chrono::seconds(1);
    /// How long the result of an active check counts.
    Duration checkResultRetention = std::chrono::milliseconds(2500);
    /// Another upstream of the zone must have made progress within this time before now; otherwise the network path to
    /// the zone may be impaired.
    Duration zoneProgressWindow = std::chrono::milliseconds(400);
};

/// Records that a caller acknowledged new data of the upstream.
void recordProgress(PassiveHealth &health, TimePoint now);

/// Records a packet that the upstream did not answer; may eject the upstream.
void recordUnanswered(PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether the upstream is ejected from placement now.
bool isEjected(const PassiveHealth &health, TimePoint now);

/// Whether an active check of the upstream's address is due now; if so, marks it as requested.
bool beginCheckIfDue(PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Records the result of the check that was requested at PassiveHealth::checkRequestedAt.
void recordCheckResult(PassiveHealth &health, bool answered, TimePoint now);

/// Whether flows and a recent active check agree that the upstream is silent.
bool isSilent(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether the upstream left a packet unanswered recently and made no progress since.
bool isSuspect(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

} // namespace boragelug
