#pragma once

#include "model/speed_report.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragelug
{

/// Bytes of one observation: tag (4), answers (2), mean latency (2); all in network byte order.
inline constexpr std::size_t speedObservationBytes = 8;
/// Bytes of one slow upstream: tag (4), slowness (2); all in network byte order.
inline constexpr std::size_t slowUpstreamBytes = 6;

/**
 * Packs observations for a request to a relay. Those without answers or latency are left out. Answers beyond 65,535 are
 * reduced to that; mean latencies are rounded to 1/1024 of the usual one, and reduced to 64 times that. Thread-safe.
 */
std::string packSpeedObservations(const std::vector<SpeedObservation> &observations);

/// Reverses packSpeedObservations(); nothing if the length or a number isn't valid. Thread-safe.
std::optional<std::vector<SpeedObservation>> unpackSpeedObservations(std::string_view bytes);

/**
 * Packs a relay's list of slow upstreams. Those whose slowness isn't above 1 are left out; slowness is rounded to
 * hundredths, and reduced to 655.35. Thread-safe.
 */
std::string packSlowUpstreams(const std::vector<SlowUpstream> &upstreams);

/// Reverses packSlowUpstreams(); nothing if the length or a number isn't valid. Thread-safe.
std::optional<std::vector<SlowUpstream>> unpackSlowUpstreams(std::string_view bytes);

} // namespace boragelug
