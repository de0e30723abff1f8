#pragma once

#include "model/catalogue.h"
#include "model/problem.h"

#include <cstdint>
#include <string_view>

namespace boragelug
{

/// Highest service number: a Geneve VNI has 24 bits.
inline constexpr std::uint32_t maxServiceId = (1U << 24U) - 1;

/// Highest limits that an entry may ask for; above them a value is taken to be a mistake.
inline constexpr std::uint32_t maxRequestsPerSecond = 10'000'000;
inline constexpr std::uint32_t maxRequestsInProgress = 10'000'000;
inline constexpr std::uint32_t maxNewFlowsPerSecond = 10'000'000;
inline constexpr std::uint64_t maxOpenFlows = 1'000'000'000;
inline constexpr std::uint64_t maxBytesPerSecond = 10'000'000'000'000;

/// Bounds on the size of a catalogue, about four times the target size of the design page.
inline constexpr std::size_t maxZones = 64;
inline constexpr std::size_t maxServices = 32'000;
inline constexpr std::size_t maxEntries = 32'000;

/// All mistakes in @p catalogue, in its order; empty if it may be adopted. Problems carry a key such as
/// "entries[3].service" and no file. Thread-safe.
Problems validateCatalogue(const Catalogue &catalogue);

/// Mistakes in the zone and region of a VM's settings against @p catalogue; empty if they fit. Thread-safe.
Problems validatePlace(const Catalogue &catalogue, std::string_view zone, std::string_view region);

} // namespace boragelug
