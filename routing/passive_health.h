#pragma once

#include "core/time_point.h"

#include <cstdint>

namespace boragelug
{

/**
 * What the callers' packets tell about one upstream. Answers pass the system by, but a caller's acknowledgements show
 * that they arrive, and its repeated packets show that they don't.
 */
struct PassiveHealth
{
    TimePoint lastProgressAt;
    TimePoint lastUnansweredAt;
    /// Flows that got no answer since the last progress.
    std::uint32_t consecutiveUnanswered = 0;
    /// No new flows are placed until then, except one trial at a time.
    TimePoint ejectedUntil;
    /// Times that the upstream was avoided without progress in between.
    std::uint32_t consecutiveEjections = 0;
    /// When a check of the host's address was asked for last.
    TimePoint checkRequestedAt;
    /// When a check found that nothing answers at the host's address; the epoch if none did since the last progress.
    TimePoint silentSince;
};

/// Times and counts of the judgement of upstreams.
struct PassiveHealthSettings
{
    /// Datagrams are lost now and then, so that a single miss proves nothing.
    std::uint32_t unansweredToEject = 2;
    /// How long a suspected upstream gets no new flows; doubles each time up to the maximum.
    Duration baseEjectionTime = std::chrono::milliseconds(800);
    Duration maxEjectionTime = std::chrono::seconds(4);
    /// How long a single miss makes other upstreams preferable.
    Duration unansweredRetention = std::chrono::seconds(2);
    /// Pause between two checks of a suspected upstream, since each has a price.
    Duration checkInterval = std::chrono::seconds(1);
    /// How long the result of a check counts.
    Duration checkResultRetention = std::chrono::milliseconds(2500);
    /// Another upstream of the zone has to have made progress this lately; otherwise the way to the zone may be harmed.
    Duration zoneProgressWindow = std::chrono::milliseconds(400);
};

/// A caller acknowledged something new of the upstream.
void recordProgress(PassiveHealth &health, TimePoint now);

/// A flow's packet stayed without answer.
void recordUnanswered(PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether the upstream is to get no new flows now.
bool isEjected(const PassiveHealth &health, TimePoint now);

/// Whether the upstream's address is to be checked now; the caller then does so.
bool beginCheckIfDue(PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Takes the result of a check that was asked for at UpstreamSignals::checkAskedAt.
void recordCheckResult(PassiveHealth &health, bool answered, TimePoint now);

/// Whether flows and a check agree that the upstream is silent.
bool isSilent(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

/// Whether a recent miss speaks against the upstream.
bool isSuspect(const PassiveHealth &health, const PassiveHealthSettings &settings, TimePoint now);

} // namespace boragelug
