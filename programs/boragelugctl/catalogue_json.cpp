#include "programs/boragelugctl/catalogue_json.h"

#include "core/hash.h"
#include "model/catalogue_text.h"

#include <vector>

#include <nlohmann/json.hpp>

namespace boragelug
{

namespace
{

using nlohmann::json;

using ValuesOutcome = Outcome<PlatformValues, std::string>;

constexpr std::size_t maxValueBytes = 1024UL * 1024;

std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

json toJson(const Zone &zone)
{
    return { { "id", zone.id.value }, { "name", zone.name }, { "region", zone.region } };
}

json toJson(const Service &service)
{
    return { { "id", service.id.value },
             { "name", service.name },
             { "slotsPerHost", service.slotsPerHost },
             { "connectionsPerHost", service.connectionsPerHost },
             { "slowStartMs", toMilliseconds(service.slowStart) } };
}

json toJson(const Limits &limits)
{
    return { { "requestsPerSecond", limits.requestsPerSecond },
             { "requestsInProgress", limits.requestsInProgress },
             { "newFlowsPerSecond", limits.newFlowsPerSecond },
             { "openFlows", limits.openFlows },
             { "bytesPerSecond", limits.bytesPerSecond } };
}

json toJson(const Entry &entry)
{
    return { { "name", entry.name.value },
             { "owner", entry.owner.value },
             { "service", entry.service.value },
             { "address", toString(entry.address) },
             { "kind", wordFor(entryKindWords, entry.kind) },
             { "importance", wordFor(importanceWords, entry.importance) },
             { "prefer", wordFor(preferenceWords, entry.prefer) },
             { "allowSpill", entry.allowSpill },
             { "maxDeadlineMs", toMilliseconds(entry.maxDeadline) },
             { "limits", toJson(entry.limits) } };
}

template<class Item>
json listToJson(const std::vector<Item> &items)
{
    json list = json::array();
    for (const Item &item : items) {
        list.push_back(toJson(item));
    }
    return list;
}

/// Adds a part; its version stays if the items are the same as before. Returns the version.
std::uint64_t addPart(
    const std::string &path, json items, std::uint64_t version, const PlatformValues &previous, PlatformValues &values)
{
    const auto old = previous.find(path);
    if (old != previous.end()) {
        const json before = json::parse(old->second);
        if (before.at("items") == items) {
            version = before.at("version").get<std::uint64_t>();
        }
    }
    values[path] = json { { "version", version }, { "items", std::move(items) } }.dump() + '\n';
    return version;
}

std::string entriesPath(std::size_t shard)
{
    return "/v1/parts/entries/" + std::to_string(shard);
}

/// Versions of all entry shards; 0 for one that is empty and always was.
json addEntries(const Catalogue &catalogue, std::size_t shards, const PlatformValues &previous, PlatformValues &values)
{
    std::vector<json> items(shards, json::array());
    for (const Entry &entry : catalogue.entries) {
        items[hashText(entry.name.value) % shards].push_back(toJson(entry));
    }
    json versions = json::array();
    for (std::size_t shard = 0; shard < shards; ++shard) {
        const std::string path = entriesPath(shard);
        const bool exists = !items[shard].empty() || previous.contains(path);
        versions.push_back(exists ? addPart(path, std::move(items[shard]), catalogue.version.value, previous, values)
                                  : 0);
    }
    return versions;
}

PlatformValues makeValues(const Catalogue &catalogue, std::size_t shards, const PlatformValues &previous)
{
    PlatformValues values;
    const std::uint64_t version = catalogue.version.value;
    const std::uint64_t zones = addPart("/v1/parts/zones", listToJson(catalogue.zones), version, previous, values);
    const std::uint64_t services =
        addPart("/v1/parts/services", listToJson(catalogue.services), version, previous, values);
    const auto oldIndex = previous.find("/v1/index");
    const json upstreams =
        oldIndex == previous.end() ? json::array() : json::parse(oldIndex->second).at("parts").at("upstreams");
    const json parts = { { "zones", zones },
                         { "services", services },
                         { "entries", addEntries(catalogue, shards, previous, values) },
                         { "upstreams", upstreams } };
    values["/v1/index"] = json { { "version", version }, { "parts", parts } }.dump() + '\n';
    return values;
}

} // namespace

Outcome<PlatformValues, std::string>
catalogueToPlatform(const Catalogue &catalogue, std::size_t shards, const PlatformValues &previous)
{
    try {
        PlatformValues values = makeValues(catalogue, shards, previous);
        const auto oldIndex = previous.find("/v1/index");
        const std::uint64_t served =
            oldIndex == previous.end() ? 0 : json::parse(oldIndex->second).at("version").get<std::uint64_t>();
        // Changes of upstreams raise the index version too, so it can be above that of the last catalogue.
        if (catalogue.version.value <= served && values != previous) {
            return ValuesOutcome::failure("version " + std::to_string(catalogue.version.value)
                                          + " must be above the served version " + std::to_string(served));
        }
        for (const auto &[path, value] : values) {
            if (value.size() > maxValueBytes) {
                return ValuesOutcome::failure(path + " exceeds 1 MiB; use more shards");
            }
        }
        return values;
    } catch (const json::exception &error) {
        return ValuesOutcome::failure("the previous values are malformed: " + std::string(error.what()));
    }
}

std::string catalogueToJson(const Catalogue &catalogue)
{
    const json object = { { "version", catalogue.version.value },
                          { "zones", listToJson(catalogue.zones) },
                          { "services", listToJson(catalogue.services) },
                          { "entries", listToJson(catalogue.entries) } };
    return object.dump(2) + '\n';
}

} // namespace boragelug
