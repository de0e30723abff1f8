#include "drivers/platform_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <set>
#include <utility>

namespace boragelug
{

namespace
{

using Json = nlohmann::json;

constexpr std::uint64_t maxServiceId = (1U << 24U) - 1; // A Geneve VNI has 24 bits.
constexpr std::uint64_t maxDurationMs = 24ULL * 3600 * 1000;
constexpr std::size_t maxNameLength = 255;

// Ends the decoding of one value; never leaves this file.
struct Malformed
{
    std::string reason;
};

constexpr std::array kinds { std::pair { "flows", EntryKind::Flows }, std::pair { "requests", EntryKind::Requests } };
constexpr std::array importances { std::pair { "critical", Importance::Critical },
                                   std::pair { "important", Importance::Important },
                                   std::pair { "ordinary", Importance::Ordinary } };
constexpr std::array preferences { std::pair { "flow_continuity", Preference::FlowContinuity },
                                   std::pair { "even_load", Preference::EvenLoad } };
constexpr std::array upstreamStates { std::pair { "active", UpstreamState::Active },
                                      std::pair { "draining", UpstreamState::Draining },
                                      std::pair { "leaving", UpstreamState::Leaving } };
constexpr std::array vmStates { std::pair { "live", VmState::Live }, std::pair { "leaving", VmState::Leaving } };

const Json &member(const Json &object, const char *name)
{
    if (!object.is_object()) {
        throw Malformed { std::string("not an object where '") + name + "' is expected" };
    }
    const auto it = object.find(name);
    if (it == object.end()) {
        throw Malformed { std::string("'") + name + "' is missing" };
    }
    return *it;
}

std::uint64_t unsignedValue(const Json &value, const char *name, std::uint64_t max)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        throw Malformed { std::string("'") + name + "' is not a number up to " + std::to_string(max) };
    }
    return value.get<std::uint64_t>();
}

template<class Number>
Number number(const Json &object, const char *name, std::uint64_t max = std::numeric_limits<Number>::max())
{
    return static_cast<Number>(unsignedValue(member(object, name), name, max));
}

std::string text(const Json &object, const char *name)
{
    const Json &value = member(object, name);
    if (!value.is_string() || value.get_ref<const std::string &>().empty()
        || value.get_ref<const std::string &>().size() > maxNameLength) {
        throw Malformed { std::string("'") + name + "' is not a text of 1 to 255 bytes" };
    }
    return value.get<std::string>();
}

bool boolean(const Json &object, const char *name)
{
    const Json &value = member(object, name);
    if (!value.is_boolean()) {
        throw Malformed { std::string("'") + name + "' is neither true nor false" };
    }
    return value.get<bool>();
}

Duration milliseconds(const Json &object, const char *name)
{
    return std::chrono::milliseconds(number<std::uint64_t>(object, name, maxDurationMs));
}

Endpoint endpoint(const Json &object, const char *name)
{
    const std::optional<Endpoint> parsed = parseEndpoint(text(object, name));
    if (!parsed) {
        throw Malformed { std::string("'") + name + "' is not an address with a port" };
    }
    return *parsed;
}

template<class Table>
auto choice(const Json &object, const char *name, const Table &table)
{
    const std::string value = text(object, name);
    for (const auto &[word, meaning] : table) {
        if (value == word) {
            return meaning;
        }
    }
    throw Malformed { std::string("'") + name + "' has the unknown value '" + value + "'" };
}

template<class Table, class Value>
const char *word(const Table &table, Value value)
{
    const auto it = std::find_if(table.begin(), table.end(), [value](const auto &row) { return row.second == value; });
    return it == table.end() ? "" : it->first;
}

Zone readZone(const Json &json)
{
    return { { number<std::uint16_t>(json, "id") }, text(json, "name"), text(json, "region") };
}

Service readService(const Json &json)
{
    return { { number<std::uint32_t>(json, "id", maxServiceId) },
             text(json, "name"),
             number<std::uint32_t>(json, "slotsPerHost"),
             number<std::uint32_t>(json, "connectionsPerHost"),
             milliseconds(json, "slowStartMs") };
}

Limits readLimits(const Json &json)
{
    Limits limits;
    limits.requestsPerSecond = number<std::uint32_t>(json, "requestsPerSecond");
    limits.requestsInProgress = number<std::uint32_t>(json, "requestsInProgress");
    limits.newFlowsPerSecond = number<std::uint32_t>(json, "newFlowsPerSecond");
    limits.openFlows = number<std::uint64_t>(json, "openFlows");
    limits.bytesPerSecond = number<std::uint64_t>(json, "bytesPerSecond");
    return limits;
}

Entry readEntry(const Json &json)
{
    Entry entry;
    entry.name = { text(json, "name") };
    entry.owner = { text(json, "owner") };
    entry.service = { number<std::uint32_t>(json, "service", maxServiceId) };
    entry.address = endpoint(json, "address");
    entry.kind = choice(json, "kind", kinds);
    entry.importance = choice(json, "importance", importances);
    entry.prefer = choice(json, "prefer", preferences);
    entry.allowSpill = boolean(json, "allowSpill");
    entry.maxDeadline = milliseconds(json, "maxDeadlineMs");
    entry.limits = readLimits(member(json, "limits"));
    return entry;
}

Upstream readUpstream(const Json &json)
{
    Upstream upstream;
    upstream.id = { number<std::uint64_t>(json, "id") };
    upstream.incarnation = { number<std::uint64_t>(json, "incarnation") };
    upstream.service = { number<std::uint32_t>(json, "service", maxServiceId) };
    upstream.zone = { number<std::uint16_t>(json, "zone") };
    upstream.tunnelEndpoint = endpoint(json, "tunnel");
    upstream.httpEndpoint = endpoint(json, "http");
    upstream.state = choice(json, "state", upstreamStates);
    return upstream;
}

Vm readVm(const Json &json)
{
    Vm vm;
    vm.id = { number<std::uint64_t>(json, "id") };
    vm.incarnation = { number<std::uint64_t>(json, "incarnation") };
    vm.zone = { number<std::uint16_t>(json, "zone") };
    vm.packetEndpoint = endpoint(json, "packet");
    vm.peerEndpoint = endpoint(json, "peer");
    vm.state = choice(json, "state", vmStates);
    return vm;
}

PartItem readItem(std::uint16_t part, const Json &json)
{
    if (part == parts::zones) {
        return readZone(json);
    }
    if (part == parts::services) {
        return readService(json);
    }
    return parts::isEntries(part) ? PartItem(readEntry(json)) : PartItem(readUpstream(json));
}

// Text that names an item within its part.
std::string nameOf(const PartItem &item)
{
    if (const auto *entry = std::get_if<Entry>(&item)) {
        return entry->name.value;
    }
    if (const auto *upstream = std::get_if<Upstream>(&item)) {
        return std::to_string(upstream->id.value);
    }
    if (const auto *service = std::get_if<Service>(&item)) {
        return std::to_string(service->id.value);
    }
    return std::to_string(std::get<Zone>(item).id.value);
}

const Json &array(const Json &object, const char *name, std::size_t maxSize)
{
    const Json &value = member(object, name);
    if (!value.is_array() || value.size() > maxSize) {
        throw Malformed { std::string("'") + name + "' is not a list of at most " + std::to_string(maxSize)
                          + " items" };
    }
    return value;
}

void addShards(const Json &versions, std::uint16_t first, std::uint64_t newest, std::vector<PartVersion> &out)
{
    std::uint16_t part = first;
    for (const Json &version : versions) {
        const std::uint64_t value = unsignedValue(version, "version of a part", newest);
        if (value != 0) {
            out.push_back({ part, value });
        }
        ++part;
    }
}

// Runs a decoder on parsed JSON and turns everything that it throws into a reason.
template<class Value, class Decoder>
Outcome<Value, std::string> decode(std::string_view text, Decoder decoder)
{
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded()) {
        return Outcome<Value, std::string>::failure("not JSON");
    }
    try {
        return Outcome<Value, std::string>(decoder(json));
    } catch (const Malformed &malformed) {
        return Outcome<Value, std::string>::failure(malformed.reason);
    }
}

std::uint64_t positiveVersion(const Json &json)
{
    const auto version = number<std::uint64_t>(json, "version");
    if (version == 0) {
        throw Malformed { "'version' is 0" };
    }
    return version;
}

PlatformIndex readIndex(const Json &json)
{
    PlatformIndex index;
    index.version = { positiveVersion(json) };
    const Json &all = member(json, "parts");
    const std::uint64_t newest = index.version.value;
    index.parts.push_back({ parts::zones, number<std::uint64_t>(all, "zones", newest) });
    index.parts.push_back({ parts::services, number<std::uint64_t>(all, "services", newest) });
    addShards(array(all, "entries", parts::maxEntryShards), parts::firstEntries, newest, index.parts);
    addShards(array(all, "upstreams", parts::maxUpstreamShards), parts::firstUpstreams, newest, index.parts);
    return index;
}

PartContent readPart(std::uint16_t part, const Json &json)
{
    constexpr std::size_t maxItems = 20'000;
    PartContent content { part, positiveVersion(json), {} };
    std::set<std::string> names;
    for (const Json &item : array(json, "items", maxItems)) {
        content.items.push_back(readItem(part, item));
        if (!names.insert(nameOf(content.items.back())).second) {
            throw Malformed { "'" + nameOf(content.items.back()) + "' appears twice" };
        }
    }
    return content;
}

VmList readVmList(ZoneId zone, const Json &json)
{
    constexpr std::size_t maxVms = 8192;
    VmList list { zone, positiveVersion(json), {} };
    std::set<VmId> ids;
    for (const Json &item : array(json, "vms", maxVms)) {
        const Vm vm = readVm(item);
        if (vm.zone != zone) {
            throw Malformed { "VM " + std::to_string(vm.id.value) + " is of another zone" };
        }
        if (!ids.insert(vm.id).second) {
            throw Malformed { "VM " + std::to_string(vm.id.value) + " appears twice" };
        }
        list.vms.push_back(vm);
    }
    return list;
}

std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

Json write(const Zone &zone)
{
    return { { "id", zone.id.value }, { "name", zone.name }, { "region", zone.region } };
}

Json write(const Service &service)
{
    return { { "id", service.id.value },
             { "name", service.name },
             { "slotsPerHost", service.slotsPerHost },
             { "connectionsPerHost", service.connectionsPerHost },
             { "slowStartMs", toMs(service.slowStart) } };
}

Json write(const Limits &limits)
{
    return { { "requestsPerSecond", limits.requestsPerSecond },
             { "requestsInProgress", limits.requestsInProgress },
             { "newFlowsPerSecond", limits.newFlowsPerSecond },
             { "openFlows", limits.openFlows },
             { "bytesPerSecond", limits.bytesPerSecond } };
}

Json write(const Entry &entry)
{
    return { { "name", entry.name.value },
             { "owner", entry.owner.value },
             { "service", entry.service.value },
             { "address", toString(entry.address) },
             { "kind", word(kinds, entry.kind) },
             { "importance", word(importances, entry.importance) },
             { "prefer", word(preferences, entry.prefer) },
             { "allowSpill", entry.allowSpill },
             { "maxDeadlineMs", toMs(entry.maxDeadline) },
             { "limits", write(entry.limits) } };
}

Json write(const Upstream &upstream)
{
    return { { "id", upstream.id.value },
             { "incarnation", upstream.incarnation.value },
             { "service", upstream.service.value },
             { "zone", upstream.zone.value },
             { "tunnel", toString(upstream.tunnelEndpoint) },
             { "http", toString(upstream.httpEndpoint) },
             { "state", word(upstreamStates, upstream.state) } };
}

Json write(const Vm &vm)
{
    return { { "id", vm.id.value },
             { "incarnation", vm.incarnation.value },
             { "zone", vm.zone.value },
             { "packet", toString(vm.packetEndpoint) },
             { "peer", toString(vm.peerEndpoint) },
             { "state", word(vmStates, vm.state) } };
}

void setShard(Json &versions, std::size_t shard, std::uint64_t version)
{
    while (versions.size() <= shard) {
        versions.push_back(0);
    }
    versions[shard] = version;
}

} // namespace

std::string platformPath(const PlatformCall &call)
{
    switch (call.resource) {
    case PlatformResource::Index:
        return "/v1/index";
    case PlatformResource::VmList:
        return "/v1/vms/" + std::to_string(call.zone.value);
    case PlatformResource::Part:
        break;
    }
    if (call.part == parts::zones) {
        return "/v1/parts/zones";
    }
    if (call.part == parts::services) {
        return "/v1/parts/services";
    }
    if (parts::isEntries(call.part)) {
        return "/v1/parts/entries/" + std::to_string(call.part - parts::firstEntries);
    }
    return "/v1/parts/upstreams/" + std::to_string(call.part - parts::firstUpstreams);
}

Outcome<PlatformIndex, std::string> decodeIndex(std::string_view json)
{
    return decode<PlatformIndex>(json, readIndex);
}

Outcome<PartContent, std::string> decodePart(std::uint16_t part, std::string_view json)
{
    return decode<PartContent>(json, [part](const Json &parsed) { return readPart(part, parsed); });
}

Outcome<VmList, std::string> decodeVmList(ZoneId zone, std::string_view json)
{
    return decode<VmList>(json, [zone](const Json &parsed) { return readVmList(zone, parsed); });
}

std::string encode(const PlatformIndex &index)
{
    Json all = { { "zones", 0 }, { "services", 0 }, { "entries", Json::array() }, { "upstreams", Json::array() } };
    for (const PartVersion &part : index.parts) {
        if (part.part == parts::zones) {
            all["zones"] = part.version;
        } else if (part.part == parts::services) {
            all["services"] = part.version;
        } else if (parts::isEntries(part.part)) {
            setShard(all["entries"], part.part - parts::firstEntries, part.version);
        } else if (parts::isUpstreams(part.part)) {
            setShard(all["upstreams"], part.part - parts::firstUpstreams, part.version);
        }
    }
    return Json { { "version", index.version.value }, { "parts", all } }.dump();
}

std::string encode(const PartContent &content)
{
    Json items = Json::array();
    for (const PartItem &item : content.items) {
        items.push_back(std::visit([](const auto &value) { return write(value); }, item));
    }
    return Json { { "version", content.version }, { "items", items } }.dump();
}

std::string encode(const VmList &list)
{
    Json vms = Json::array();
    for (const Vm &vm : list.vms) {
        vms.push_back(write(vm));
    }
    return Json { { "version", list.version }, { "vms", vms } }.dump();
}

} // namespace boragelug
