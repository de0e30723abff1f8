#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/endpoint.h"

#include <cstdint>

namespace boragelug
{

/// State of an upstream in the platform's list.
enum class UpstreamState : std::uint8_t { Active, Draining, Leaving };

/// An upstream host as the platform describes it.
struct Upstream
{
    UpstreamId id;
    Incarnation incarnation;
    ServiceId service;
    ZoneId zone;
    /// Where the host's kernel receives Geneve packets.
    Endpoint tunnelEndpoint;
    /// Where the host serves HTTP requests, health and load.
    Endpoint httpEndpoint;
    UpstreamState state = UpstreamState::Active;

    bool operator==(const Upstream &) const = default;
};

/// Load of an upstream as reported, with the time at which the report was made.
struct LoadReport
{
    UpstreamId upstream;
    Incarnation incarnation;
    /// Share of the host's capacity in use; over 1 is overload.
    double load = 0;
    bool healthy = true;
    TimePoint reportedAt;

    bool operator==(const LoadReport &) const = default;
};

} // namespace boragelug
