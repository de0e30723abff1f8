#include "drivers/yaml_catalogue.h"

#include "drivers/yaml_map.h"
#include "model/catalogue_text.h"
#include "model/validation.h"

#include <algorithm>
#include <limits>
#include <set>
#include <tuple>

namespace boragelug
{

namespace
{

using namespace std::chrono_literals;

using CatalogueOutcome = Outcome<Catalogue, Problems>;

constexpr std::size_t maxCatalogueBytes = 16UL * 1024 * 1024;

Zone readZone(YamlMap &map)
{
    Zone zone;
    map.number("id", zone.id.value, 1, 65535, Presence::Required);
    map.name("name", zone.name, Presence::Required);
    map.name("region", zone.region, Presence::Required);
    map.rejectUnknownKeys();
    return zone;
}

Service readService(YamlMap &map)
{
    Service service;
    constexpr std::uint64_t most = std::numeric_limits<std::uint32_t>::max();
    // Ranges of numbers are left to validateCatalogue(), which explains them better.
    map.number("id", service.id.value, 0, most, Presence::Required);
    map.name("name", service.name, Presence::Required);
    map.number("slots_per_host", service.slotsPerHost, 0, most, Presence::Optional);
    map.number("connections_per_host", service.connectionsPerHost, 0, most, Presence::Optional);
    map.duration("slow_start", service.slowStart, 0s, 1h, Presence::Optional);
    map.rejectUnknownKeys();
    return service;
}

Limits readLimits(YamlMap &entry)
{
    Limits limits;
    if (auto map = entry.map("limits", Presence::Optional)) {
        map->number("requests_per_second", limits.requestsPerSecond, 0, maxRequestsPerSecond, Presence::Optional);
        map->number("requests_in_progress", limits.requestsInProgress, 0, maxRequestsInProgress, Presence::Optional);
        map->number("new_flows_per_second", limits.newFlowsPerSecond, 0, maxNewFlowsPerSecond, Presence::Optional);
        map->number("open_flows", limits.openFlows, 0, maxOpenFlows, Presence::Optional);
        map->number("bytes_per_second", limits.bytesPerSecond, 0, maxBytesPerSecond, Presence::Optional);
        map->rejectUnknownKeys();
    }
    return limits;
}

Entry readEntry(YamlMap &map, const std::map<std::string, ServiceId> &services)
{
    Entry entry;
    map.name("name", entry.name.value, Presence::Required);
    map.name("owner", entry.owner.value, Presence::Required);
    std::string service;
    map.name("service", service, Presence::Required);
    const auto found = services.find(service);
    if (found != services.end()) {
        entry.service = found->second;
    } else if (!service.empty()) {
        map.fail("service", "names the unknown service '" + service + "'; it must be under services");
    }
    map.endpoint("address", entry.address, Presence::Required);
    map.choice("kind", entry.kind, entryKindWords, Presence::Required);
    map.choice("importance", entry.importance, importanceWords, Presence::Required);
    map.choice("prefer", entry.prefer, preferenceWords, Presence::Required);
    map.boolean("allow_spill", entry.allowSpill, Presence::Optional);
    map.duration("max_deadline", entry.maxDeadline, 0s, 1h, Presence::Optional);
    entry.limits = readLimits(map);
    map.rejectUnknownKeys();
    return entry;
}

Catalogue readCatalogue(YamlMap &root)
{
    Catalogue catalogue;
    root.number("version", catalogue.version.value, 1, std::numeric_limits<std::int64_t>::max(), Presence::Required);
    for (YamlMap &map : root.maps("zones", maxZones, Presence::Required)) {
        catalogue.zones.push_back(readZone(map));
    }
    std::map<std::string, ServiceId> services;
    for (YamlMap &map : root.maps("services", maxServices, Presence::Required)) {
        catalogue.services.push_back(readService(map));
        services.emplace(catalogue.services.back().name, catalogue.services.back().id);
    }
    for (YamlMap &map : root.maps("entries", maxEntries, Presence::Required)) {
        catalogue.entries.push_back(readEntry(map, services));
    }
    root.rejectUnknownKeys();
    return catalogue;
}

/// Position of @p key, or of the nearest mapping around it if the key itself is not in the file.
TextPosition positionOf(std::string key, const YamlContext &context)
{
    while (true) {
        const auto found = context.positions.find(key);
        if (found != context.positions.end()) {
            return found->second;
        }
        const auto dot = key.rfind('.');
        if (dot == std::string::npos) {
            return {};
        }
        key.resize(dot);
    }
}

/// Adds what validation finds, except at keys that were already refused while reading.
void addValidationProblems(const Catalogue &catalogue, YamlContext &context)
{
    std::set<std::string> refused;
    for (const Problem &problem : context.problems) {
        refused.insert(problem.key);
    }
    for (Problem &problem : validateCatalogue(catalogue)) {
        if (refused.contains(problem.key)) {
            continue;
        }
        const auto [line, column] = positionOf(problem.key, context);
        problem.file = context.file;
        problem.line = line;
        problem.column = column;
        context.problems.push_back(std::move(problem));
    }
    std::stable_sort(context.problems.begin(), context.problems.end(), [](const Problem &a, const Problem &b) {
        return std::tie(a.line, a.column) < std::tie(b.line, b.column);
    });
}

} // namespace

Outcome<Catalogue, Problems> parseCatalogue(const std::string &text, const std::string &file)
{
    YamlContext context { file, {}, {} };
    const auto document = parseYaml(text, context);
    if (!document) {
        return CatalogueOutcome::failure(std::move(context.problems));
    }
    YamlMap root(*document, "", context);
    Catalogue catalogue = readCatalogue(root);
    addValidationProblems(catalogue, context);
    if (!context.problems.empty()) {
        return CatalogueOutcome::failure(std::move(context.problems));
    }
    return catalogue;
}

Outcome<Catalogue, Problems> loadCatalogue(const std::string &path)
{
    YamlContext context { path, {}, {} };
    const auto text = readTextFile(path, maxCatalogueBytes, context);
    if (!text) {
        return CatalogueOutcome::failure(std::move(context.problems));
    }
    return parseCatalogue(*text, path);
}

} // namespace boragelug
