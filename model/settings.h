#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragelug
{

/// Least severe log lines that are written.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// A VM that a process asks for views before it knows the platform's list.
struct SeedPeer
{
    VmId vm;
    ZoneId zone;
    Endpoint packetEndpoint;
    Endpoint peerEndpoint;

    bool operator==(const SeedPeer &) const = default;
};

/// What one process reads from its settings file. Immutable after loading.
struct Settings
{
    VmId vm;
    /// Name of the availability zone.
    std::string zone;
    /// Number of the zone in the catalogue. Without it (0) the process asks the platform, so it can't start while the
    /// platform is down.
    ZoneId zoneNumber;
    std::string region;

    /// Receives Geneve packets from the fabric and from peers (UDP).
    Endpoint packetEndpoint;
    /// Receives Thrift messages from peers (UDP).
    Endpoint peerEndpoint;
    /// Serves /healthz, /metrics and the other operator paths (TCP).
    Endpoint adminEndpoint;
    /// Replicas of the configuration service, tried in turn. Never empty.
    std::vector<Endpoint> platformEndpoints;
    /// Peers to fetch views from while the platform is down. May be empty.
    std::vector<SeedPeer> seedPeers;
    /// Where datagrams to callers are sent.
    Endpoint fabricEndpoint;

    /// File with the fleet's HMAC key; relative names were resolved against the folder of the settings file.
    std::string keyFile;

    std::uint32_t controlBytesPerSecond = 4096;
    std::uint32_t flowTableEntries = 400'000;
    std::uint32_t requestRecords = 20'000;
    std::uint32_t eventRingEntries = 16'384;

    /// Longest time from the start of a graceful shutdown to the exit of the process.
    Duration drainBound = std::chrono::seconds(30);
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const Settings &) const = default;
};

} // namespace boragelug
