#include "drivers/view_file.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <iterator>
#include <optional>
#include <stdexcept>

namespace boragelug
{
namespace
{

using nlohmann::json;

/// Index of the value of @p key in @p names, which are in the order of the enumerators.
template<class E>
E readWord(const json &object, const char *key, std::initializer_list<std::string_view> names)
{
    const std::string word = object.value(key, std::string(*names.begin()));
    int index = 0;
    for (const std::string_view name : names) {
        if (word == name) {
            return static_cast<E>(index);
        }
        ++index;
    }
    throw std::invalid_argument(std::string(key) + " can't be " + word);
}

Endpoint readEndpoint(const json &object, const char *key)
{
    const auto endpoint = parseEndpoint(object.at(key).get<std::string>());
    if (!endpoint) {
        throw std::invalid_argument(std::string(key) + " isn't an address with a port");
    }
    return *endpoint;
}

Duration readMilliseconds(const json &object, const char *key, std::int64_t fallback)
{
    return std::chrono::milliseconds(object.value(key, fallback));
}

Zone readZone(const json &object)
{
    return { .id = ZoneId { object.at("id") }, .name = object.at("name"), .region = object.at("region") };
}

Service readService(const json &object)
{
    return {
        .id = ServiceId { object.at("id") },
        .name = object.at("name"),
        .slotsPerHost = object.at("slotsPerHost"),
        .connectionsPerHost = object.at("connectionsPerHost"),
        .slowStart = readMilliseconds(object, "slowStartMs", 0),
    };
}

Entry readEntry(const json &object)
{
    Entry entry;
    entry.name = EntryName { object.at("name") };
    entry.owner = OwnerName { object.at("owner") };
    entry.service = ServiceId { object.at("service") };
    entry.address = readEndpoint(object, "address");
    entry.kind = readWord<EntryKind>(object, "kind", { "flows", "requests" });
    entry.importance = readWord<Importance>(object, "importance", { "critical", "important", "ordinary" });
    entry.prefer = readWord<Preference>(object, "prefer", { "flow_continuity", "even_load" });
    entry.allowSpill = object.value("allowSpill", false);
    entry.maxDeadline = readMilliseconds(object, "maxDeadlineMs", 10'000);
    return entry;
}

Upstream readUpstream(const json &object)
{
    return {
        .id = UpstreamId { object.at("id") },
        .incarnation = Incarnation { object.at("incarnation") },
        .service = ServiceId { object.at("service") },
        .zone = ZoneId { object.at("zone") },
        .tunnelEndpoint = readEndpoint(object, "tunnel"),
        .httpEndpoint = readEndpoint(object, "http"),
        .state = readWord<UpstreamState>(object, "state", { "active", "draining", "leaving" }),
    };
}

Vm readVm(const json &object)
{
    return {
        .id = VmId { object.at("id") },
        .incarnation = Incarnation { object.at("incarnation") },
        .zone = ZoneId { object.at("zone") },
        .packetEndpoint = readEndpoint(object, "packet"),
        .peerEndpoint = readEndpoint(object, "peer"),
        .state = readWord<VmState>(object, "state", { "live", "leaving" }),
    };
}

template<class T>
std::vector<T> readAll(const json &object, const char *key, T (*read)(const json &))
{
    std::vector<T> items;
    for (const json &item : object.value(key, json::array())) {
        items.push_back(read(item));
    }
    return items;
}

} // namespace

Outcome<ViewFile, std::string> parseViewFile(const std::string &text)
{
    using Result = Outcome<ViewFile, std::string>;
    try {
        const json root = json::parse(text);
        ViewFile file;
        file.catalogue.version = CatalogueVersion { root.at("version") };
        file.catalogue.zones = readAll(root, "zones", readZone);
        file.catalogue.services = readAll(root, "services", readService);
        file.catalogue.entries = readAll(root, "entries", readEntry);
        file.upstreams = readAll(root, "upstreams", readUpstream);
        file.vms = readAll(root, "vms", readVm);
        return file;
    } catch (const std::exception &error) {
        return Result::failure(error.what());
    }
}

Outcome<ViewFile, std::string> loadViewFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Outcome<ViewFile, std::string>::failure("can't open " + path);
    }
    return parseViewFile({ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() });
}

std::string toJson(const Vm &vm)
{
    const json object {
        { "id", vm.id.value },
        { "incarnation", vm.incarnation.value },
        { "zone", vm.zone.value },
        { "packet", toString(vm.packetEndpoint) },
        { "peer", toString(vm.peerEndpoint) },
        { "state", vm.state == VmState::Live ? "live" : "leaving" },
    };
    return object.dump();
}

std::string toJson(const Upstream &upstream)
{
    constexpr const char *states[] = { "active", "draining", "leaving" };
    const json object {
        { "id", upstream.id.value },
        { "incarnation", upstream.incarnation.value },
        { "service", upstream.service.value },
        { "zone", upstream.zone.value },
        { "tunnel", toString(upstream.tunnelEndpoint) },
        { "http", toString(upstream.httpEndpoint) },
        { "state", states[static_cast<std::size_t>(upstream.state)] },
    };
    return object.dump();
}

} // namespace boragelug
