#include "drivers/yaml_settings.h"

#include "drivers/yaml_map.h"

#include <filesystem>
#include <limits>

namespace boragelug
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t maxSettingsBytes = 64UL * 1024;
constexpr std::size_t maxPlatformEndpoints = 16;
/// Three answers are compared at a start; more seeds only help when some of them are gone.
constexpr std::size_t maxSeedPeers = 32;
constexpr std::uint64_t maxVm = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t maxZone = std::numeric_limits<std::uint16_t>::max();
/// The design page limits control traffic to 5 KB/s for each VM.
constexpr std::uint64_t maxControlBytesPerSecond = 5UL * 1024;
/// A VM below this rate can't send its bounded number of probes.
constexpr std::uint64_t minControlBytesPerSecond = 512;

constexpr LogLevelWords logLevels { {
    { "debug", LogLevel::Debug },
    { "info", LogLevel::Info },
    { "warning", LogLevel::Warning },
    { "error", LogLevel::Error },
} };

void readEndpoints(YamlMap &root, Settings &settings)
{
    if (auto endpoints = root.map("endpoints", Presence::Required)) {
        endpoints->endpoint("packet", settings.packetEndpoint, Presence::Required);
        endpoints->endpoint("peer", settings.peerEndpoint, Presence::Required);
        endpoints->endpoint("admin", settings.adminEndpoint, Presence::Required);
        endpoints->rejectUnknownKeys();
    }
    root.endpoints("platform", settings.platformEndpoints, 1, maxPlatformEndpoints, Presence::Required);
    root.endpoint("fabric", settings.fabricEndpoint, Presence::Required);
}

void readSeedPeers(YamlMap &root, Settings &settings)
{
    for (YamlMap &item : root.maps("seed_peers", maxSeedPeers, Presence::Optional)) {
        SeedPeer peer;
        item.number("vm", peer.vm.value, 1, maxVm, Presence::Required);
        item.number("zone_number", peer.zone.value, 1, maxZone, Presence::Required);
        item.endpoint("packet", peer.packetEndpoint, Presence::Required);
        item.endpoint("peer", peer.peerEndpoint, Presence::Required);
        item.rejectUnknownKeys();
        settings.seedPeers.push_back(peer);
    }
}

void readTables(YamlMap &root, Settings &settings)
{
    if (auto tables = root.map("tables", Presence::Optional)) {
        tables->number("flows", settings.flowTableEntries, 1000, 4'000'000, Presence::Optional);
        tables->number("requests", settings.requestRecords, 100, 1'000'000, Presence::Optional);
        tables->number("events", settings.eventRingEntries, 100, 1'000'000, Presence::Optional);
        tables->rejectUnknownKeys();
    }
}

Settings readSettings(YamlMap &root)
{
    Settings settings;
    root.number("vm", settings.vm.value, 1, maxVm, Presence::Required);
    root.name("zone", settings.zone, Presence::Required);
    root.name("region", settings.region, Presence::Required);
    root.number("zone_number", settings.zoneNumber.value, 1, maxZone, Presence::Optional);
    readEndpoints(root, settings);
    readSeedPeers(root, settings);
    root.text("key_file", settings.keyFile, Presence::Required);
    root.number("control_bytes_per_second",
                settings.controlBytesPerSecond,
                minControlBytesPerSecond,
                maxControlBytesPerSecond,
                Presence::Optional);
    readTables(root, settings);
    root.duration("drain_bound", settings.drainBound, 1s, 1h, Presence::Optional);
    root.choice("log_level", settings.logLevel, logLevels, Presence::Optional);
    root.rejectUnknownKeys();
    return settings;
}

/// Packet and peer sockets are both UDP, so they can't share an endpoint.
void checkEndpoints(const Settings &settings, YamlContext &context)
{
    if (context.problems.empty() && settings.packetEndpoint == settings.peerEndpoint) {
        const auto [line, column] = context.positions["endpoints.peer"];
        context.problems.push_back({ context.file,
                                     line,
                                     column,
                                     "endpoints.peer",
                                     "must differ from endpoints.packet, which is also a UDP socket" });
    }
}

} // namespace

Outcome<Settings, Problems> parseSettings(const std::string &text, const std::string &file)
{
    YamlContext context { file, {}, {} };
    const auto document = parseYaml(text, context);
    if (!document) {
        return Outcome<Settings, Problems>::failure(std::move(context.problems));
    }
    YamlMap root(*document, "", context);
    Settings settings = readSettings(root);
    checkEndpoints(settings, context);
    if (!context.problems.empty()) {
        return Outcome<Settings, Problems>::failure(std::move(context.problems));
    }
    return settings;
}

Outcome<Settings, Problems> loadSettings(const std::string &path)
{
    YamlContext context { path, {}, {} };
    const auto text = readTextFile(path, maxSettingsBytes, context);
    if (!text) {
        return Outcome<Settings, Problems>::failure(std::move(context.problems));
    }
    auto settings = parseSettings(*text, path);
    if (settings) {
        const std::filesystem::path keyFile(settings->keyFile);
        settings.value().keyFile = (std::filesystem::path(path).parent_path() / keyFile).string();
    }
    return settings;
}

const LogLevelWords &logLevelWords()
{
    return logLevels;
}

std::string_view logLevelName(LogLevel level)
{
    for (const auto &[name, value] : logLevels) {
        if (value == level) {
            return name;
        }
    }
    return "unknown";
}

} // namespace boragelug
