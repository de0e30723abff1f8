#pragma once

#include "core/time_point.h"
#include "model/endpoint.h"
#include "model/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/// What a process of a fabric with flow tags reads from its settings file. Immutable after loading.
struct TaggedSettings
{
    /// Name of this VM, unique in the fleet.
    std::string vm;
    /// Name of the availability zone.
    std::string zone;
    /// Receives packets from the fabric (UDP).
    Endpoint packetEndpoint;
    /// Serves /readyz, /metrics and the other operator paths (TCP).
    Endpoint adminEndpoint;
    /// Serves the same once more where the monitoring system expects it (TCP).
    std::optional<Endpoint> metricsEndpoint;
    /// The directory that holds catalogue and upstreams (TCP).
    Endpoint directoryEndpoint;
    /// Serves VMs that follow this one (TCP), and tells them apart.
    std::optional<Endpoint> relayEndpoint;
    /// VMs that read the directory for the others; empty if each reads for itself.
    std::vector<Endpoint> relays;
    /// Time between the stop signal and the moment at which the process is killed.
    Duration stopGrace = std::chrono::seconds(6);
    /// A change of the directory has to be in force on every VM within this time.
    Duration changeBound = std::chrono::seconds(3);
    /// An evacuation of a zone has to be in force on every VM within this time; zero if only changeBound applies.
    Duration evacuationBound {};
    /// How long records may take to come back after an outage of the directory.
    Duration lapseGrace = std::chrono::milliseconds(2500);
    /// Bandwidth of the VM's network link in Mbit/s; 0 if unknown.
    double linkMbps = 0;
    /// Upstreams that turn out to be slower than the others of their service get fewer flows.
    bool learnSpeeds = false;
    /// All VMs together open at most the catalogue's figure times coldOverrun plus coldSlack flows a second at a cold
    /// upstream, in fleets of at most maxVms.
    double coldOverrun = 1;
    double coldSlack = 0;
    std::uint32_t maxVms = 300;
    std::uint32_t eventRingEntries = 2000;
    std::uint32_t flowLogLinesPerSecond = 20;
    LogLevel logLevel = LogLevel::Info;

    bool operator==(const TaggedSettings &) const = default;
};

} // namespace boragelug
