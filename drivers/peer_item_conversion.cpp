#include "drivers/peer_item_conversion.h"

#include <limits>
#include <utility>

namespace boragelug::peer_conversion
{
namespace
{

wire::Endpoint writeEndpoint(const Endpoint &endpoint)
{
    wire::Endpoint out;
    out.address = toSigned(endpoint.address.value);
    out.port = endpoint.port.value;
    return out;
}

std::optional<Endpoint> readEndpoint(const wire::Endpoint &endpoint)
{
    if (endpoint.port < 0 || endpoint.port > std::numeric_limits<std::uint16_t>::max()) {
        return std::nullopt;
    }
    return Endpoint {
        .address = Ipv4Address { toUnsigned(endpoint.address) },
        .port = Port { static_cast<std::uint16_t>(endpoint.port) },
    };
}

wire::Limits writeLimits(const Limits &limits)
{
    wire::Limits out;
    out.requestsPerSecond = toSigned(limits.requestsPerSecond);
    out.requestsInProgress = toSigned(limits.requestsInProgress);
    out.newFlowsPerSecond = toSigned(limits.newFlowsPerSecond);
    out.openFlows = toSigned(limits.openFlows);
    out.bytesPerSecond = toSigned(limits.bytesPerSecond);
    return out;
}

Limits readLimits(const wire::Limits &limits)
{
    return {
        .requestsPerSecond = toUnsigned(limits.requestsPerSecond),
        .requestsInProgress = toUnsigned(limits.requestsInProgress),
        .newFlowsPerSecond = toUnsigned(limits.newFlowsPerSecond),
        .openFlows = toUnsigned(limits.openFlows),
        .bytesPerSecond = toUnsigned(limits.bytesPerSecond),
    };
}

/// Writes each kind of item into the union.
struct ItemWriter
{
    wire::ItemBody body;

    void operator()(const Zone &zone)
    {
        wire::Zone out;
        out.id = toSigned(zone.id.value);
        out.name = zone.name;
        out.region = zone.region;
        body.__set_zoneItem(out);
    }

    void operator()(const Service &service)
    {
        wire::Service out;
        out.id = toSigned(service.id.value);
        out.name = service.name;
        out.slotsPerHost = toSigned(service.slotsPerHost);
        out.connectionsPerHost = toSigned(service.connectionsPerHost);
        out.slowStartNanoseconds = service.slowStart.count();
        body.__set_serviceItem(out);
    }

    void operator()(const Entry &entry)
    {
        wire::Entry out;
        out.name = entry.name.value;
        out.owner = entry.owner.value;
        out.serviceId = toSigned(entry.service.value);
        out.address = writeEndpoint(entry.address);
        out.kind = static_cast<std::int8_t>(entry.kind);
        out.importance = static_cast<std::int8_t>(entry.importance);
        out.prefer = static_cast<std::int8_t>(entry.prefer);
        out.allowSpill = entry.allowSpill;
        out.maxDeadlineNanoseconds = entry.maxDeadline.count();
        out.limits = writeLimits(entry.limits);
        body.__set_entryItem(out);
    }

    void operator()(const Upstream &upstream)
    {
        wire::Upstream out;
        out.id = toSigned(upstream.id.value);
        out.incarnation = toSigned(upstream.incarnation.value);
        out.serviceId = toSigned(upstream.service.value);
        out.zone = toSigned(upstream.zone.value);
        out.tunnelEndpoint = writeEndpoint(upstream.tunnelEndpoint);
        out.httpEndpoint = writeEndpoint(upstream.httpEndpoint);
        out.state = static_cast<std::int8_t>(upstream.state);
        body.__set_upstreamItem(out);
    }
};

std::optional<Entry> readEntry(const wire::Entry &entry)
{
    const auto address = readEndpoint(entry.address);
    const auto kind = readEnum(entry.kind, EntryKind::Requests);
    const auto importance = readEnum(entry.importance, Importance::Ordinary);
    const auto prefer = readEnum(entry.prefer, Preference::EvenLoad);
    if (!address || !kind || !importance || !prefer) {
        return std::nullopt;
    }
    return Entry {
        .name = EntryName { entry.name },
        .owner = OwnerName { entry.owner },
        .service = ServiceId { toUnsigned(entry.serviceId) },
        .address = *address,
        .kind = *kind,
        .importance = *importance,
        .prefer = *prefer,
        .allowSpill = entry.allowSpill,
        .maxDeadline = Duration { entry.maxDeadlineNanoseconds },
        .limits = readLimits(entry.limits),
    };
}

std::optional<Upstream> readUpstream(const wire::Upstream &upstream)
{
    const auto tunnelEndpoint = readEndpoint(upstream.tunnelEndpoint);
    const auto httpEndpoint = readEndpoint(upstream.httpEndpoint);
    const auto state = readEnum(upstream.state, UpstreamState::Leaving);
    if (!tunnelEndpoint || !httpEndpoint || !state) {
        return std::nullopt;
    }
    return Upstream {
        .id = UpstreamId { toUnsigned(upstream.id) },
        .incarnation = Incarnation { toUnsigned(upstream.incarnation) },
        .service = ServiceId { toUnsigned(upstream.serviceId) },
        .zone = ZoneId { toUnsigned(upstream.zone) },
        .tunnelEndpoint = *tunnelEndpoint,
        .httpEndpoint = *httpEndpoint,
        .state = *state,
    };
}

Zone readZone(const wire::Zone &zone)
{
    return { .id = ZoneId { toUnsigned(zone.id) }, .name = zone.name, .region = zone.region };
}

Service readService(const wire::Service &service)
{
    return {
        .id = ServiceId { toUnsigned(service.id) },
        .name = service.name,
        .slotsPerHost = toUnsigned(service.slotsPerHost),
        .connectionsPerHost = toUnsigned(service.connectionsPerHost),
        .slowStart = Duration { service.slowStartNanoseconds },
    };
}

} // namespace

wire::Vm writeVm(const Vm &vm)
{
    wire::Vm out;
    out.id = toSigned(vm.id.value);
    out.incarnation = toSigned(vm.incarnation.value);
    out.zone = toSigned(vm.zone.value);
    out.packetEndpoint = writeEndpoint(vm.packetEndpoint);
    out.peerEndpoint = writeEndpoint(vm.peerEndpoint);
    out.state = static_cast<std::int8_t>(vm.state);
    return out;
}

std::optional<Vm> readVm(const wire::Vm &vm)
{
    const auto packetEndpoint = readEndpoint(vm.packetEndpoint);
    const auto peerEndpoint = readEndpoint(vm.peerEndpoint);
    const auto state = readEnum(vm.state, VmState::Leaving);
    if (!packetEndpoint || !peerEndpoint || !state) {
        return std::nullopt;
    }
    return Vm {
        .id = VmId { toUnsigned(vm.id) },
        .incarnation = Incarnation { toUnsigned(vm.incarnation) },
        .zone = ZoneId { toUnsigned(vm.zone) },
        .packetEndpoint = *packetEndpoint,
        .peerEndpoint = *peerEndpoint,
        .state = *state,
    };
}

wire::ViewItem writeItem(const ViewItem &item)
{
    ItemWriter writer;
    std::visit(writer, item.item);
    wire::ViewItem out;
    out.version = toSigned(item.version);
    out.removed = item.removed;
    out.item = writer.body;
    return out;
}

std::optional<ViewItem> readItem(const wire::ViewItem &item)
{
    ViewItem out { .version = toUnsigned(item.version), .removed = item.removed, .item = {} };
    const auto &isSet = item.item.__isset;
    if (int { isSet.zoneItem } + int { isSet.serviceItem } + int { isSet.entryItem } + int { isSet.upstreamItem }
        != 1) {
        return std::nullopt;
    }
    if (isSet.zoneItem) {
        out.item = readZone(item.item.zoneItem);
    } else if (isSet.serviceItem) {
        out.item = readService(item.item.serviceItem);
    } else if (isSet.entryItem) {
        const auto entry = readEntry(item.item.entryItem);
        if (!entry) {
            return std::nullopt;
        }
        out.item = *entry;
    } else {
        const auto upstream = readUpstream(item.item.upstreamItem);
        if (!upstream) {
            return std::nullopt;
        }
        out.item = *upstream;
    }
    return out;
}

} // namespace boragelug::peer_conversion
