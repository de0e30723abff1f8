#include "drivers/yaml_tagged_settings.h"

#include "drivers/yaml_map.h"
#include "drivers/yaml_settings.h"

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t maxSettingsBytes = 64UL * 1024;
constexpr std::size_t maxRelays = 16;
constexpr double maxLinkMbps = 1e6;
constexpr double maxColdOverrun = 100;
constexpr double maxColdSlack = 1e6;
/// The platform sets bounds as it likes; only values that make no sense are refused.
constexpr Duration maxBound = 24h;

TaggedSettings readSettings(YamlMap &root)
{
    TaggedSettings settings;
    root.name("vm", settings.vm, Presence::Required);
    root.name("zone", settings.zone, Presence::Required);
    if (auto endpoints = root.map("endpoints", Presence::Required)) {
        endpoints->endpoint("packet", settings.packetEndpoint, Presence::Required);
        endpoints->endpoint("admin", settings.adminEndpoint, Presence::Required);
        Endpoint metrics;
        endpoints->endpoint("metrics", metrics, Presence::Optional);
        if (metrics != Endpoint {}) {
            settings.metricsEndpoint = metrics;
        }
        Endpoint relay;
        endpoints->endpoint("relay", relay, Presence::Optional);
        if (relay != Endpoint {}) {
            settings.relayEndpoint = relay;
        }
        endpoints->rejectUnknownKeys();
    }
    root.endpoints("relays", settings.relays, 0, maxRelays, Presence::Optional);
    root.endpoint("directory", settings.directoryEndpoint, Presence::Required);
    root.duration("stop_grace", settings.stopGrace, 0s, maxBound, Presence::Optional);
    root.duration("change_bound", settings.changeBound, 0s, maxBound, Presence::Optional);
    root.duration("evacuation_bound", settings.evacuationBound, 0s, maxBound, Presence::Optional);
    root.duration("lapse_grace", settings.lapseGrace, 0s, 1min, Presence::Optional);
    root.decimal("link_mbps", settings.linkMbps, 0, maxLinkMbps, Presence::Optional);
    root.boolean("learn_speeds", settings.learnSpeeds, Presence::Optional);
    root.decimal("cold_overrun", settings.coldOverrun, 0, maxColdOverrun, Presence::Optional);
    root.decimal("cold_slack", settings.coldSlack, 0, maxColdSlack, Presence::Optional);
    root.number("max_vms", settings.maxVms, 1, 100'000, Presence::Optional);
    root.number("event_entries", settings.eventRingEntries, 100, 1'000'000, Presence::Optional);
    root.number("flow_log_lines_per_second", settings.flowLogLinesPerSecond, 0, 10'000, Presence::Optional);
    root.choice("log_level", settings.logLevel, logLevelWords(), Presence::Optional);
    root.rejectUnknownKeys();
    return settings;
}

} // namespace

Outcome<TaggedSettings, Problems> parseTaggedSettings(const std::string &text, const std::string &file)
{
    YamlContext context { file, {}, {} };
    const auto document = parseYaml(text, context);
    if (!document) {
        return Outcome<TaggedSettings, Problems>::failure(std::move(context.problems));
    }
    YamlMap root(*document, "", context);
    TaggedSettings settings = readSettings(root);
    if (!context.problems.empty()) {
        return Outcome<TaggedSettings, Problems>::failure(std::move(context.problems));
    }
    return settings;
}

Outcome<TaggedSettings, Problems> loadTaggedSettings(const std::string &path)
{
    YamlContext context { path, {}, {} };
    const auto text = readTextFile(path, maxSettingsBytes, context);
    if (!text) {
        return Outcome<TaggedSettings, Problems>::failure(std::move(context.problems));
    }
    return parseTaggedSettings(*text, path);
}

} // namespace boragelug
