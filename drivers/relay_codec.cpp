#include "drivers/relay_codec.h"

#include "drivers/byte_order.h"
#include "drivers/packed_bytes.h"
#include "drivers/speed_codec.h"
#include "gen/relay_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <limits>
#include <memory>
#include <utility>

namespace boragelug
{
namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

template<class Message>
std::string serialize(const Message &message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

std::vector<std::byte> withLength(const std::string &message)
{
    std::vector<std::byte> out;
    out.reserve(relayLengthBytes + message.size());
    for (std::size_t i = 0; i < relayLengthBytes; ++i) {
        out.push_back(static_cast<std::byte>((message.size() >> (8 * (relayLengthBytes - 1 - i))) & 0xFFU));
    }
    const auto bytes = std::as_bytes(std::span(message));
    out.insert(out.end(), bytes.begin(), bytes.end());
    return out;
}

/// Reads a message that fills @p bytes exactly.
template<class Message>
std::optional<Message> read(std::span<const std::byte> bytes)
{
    // Thrift doesn't write to an observed buffer, although it takes a pointer to non-const.
    auto *data = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(bytes.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(data,
                                                        static_cast<std::uint32_t>(bytes.size()),
                                                        TMemoryBuffer::OBSERVE,
                                                        std::make_shared<TConfiguration>(maxRelayMessage));
    constexpr auto sizeLimit = static_cast<std::int32_t>(maxRelayMessage);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, sizeLimit, sizeLimit);
    Message message;
    try {
        message.read(&protocol);
    } catch (const std::exception &) {
        return std::nullopt;
    }
    return buffer->available_read() == 0 ? std::optional(std::move(message)) : std::nullopt;
}

wire::RelayEndpoint toWire(const Endpoint &endpoint)
{
    wire::RelayEndpoint out;
    out.address = static_cast<std::int32_t>(endpoint.address.value);
    out.port = endpoint.port.value;
    return out;
}

Endpoint fromWire(const wire::RelayEndpoint &endpoint)
{
    return { .address = { static_cast<std::uint32_t>(endpoint.address) },
             .port = { static_cast<std::uint16_t>(endpoint.port) } };
}

std::int64_t toWire(std::uint64_t number)
{
    return static_cast<std::int64_t>(number);
}

std::uint64_t fromWire(std::int64_t number)
{
    return static_cast<std::uint64_t>(number);
}

wire::RelayUpstream toWire(const DirectoryItem &item, const UpstreamRecord &record)
{
    wire::RelayUpstream out;
    out.key = item.key;
    out.revision = toWire(item.revision.value);
    out.id = toWire(record.id.value);
    out.incarnation = toWire(record.incarnation.value);
    out.serviceName = record.service;
    out.zoneName = record.zone;
    out.address = toWire(record.address);
    out.slots = static_cast<std::int32_t>(record.slots);
    out.draining = record.state != UpstreamState::Active;
    out.coldNanoseconds = record.coldLeft.count();
    return out;
}

DirectoryItem fromWire(const wire::RelayUpstream &in)
{
    UpstreamRecord record { .id = UpstreamId { fromWire(in.id) },
                            .incarnation = Incarnation { fromWire(in.incarnation) },
                            .service = in.serviceName,
                            .zone = in.zoneName,
                            .address = fromWire(in.address),
                            .slots = static_cast<std::uint32_t>(in.slots),
                            .state = in.draining ? UpstreamState::Draining : UpstreamState::Active,
                            .coldLeft = Duration(in.coldNanoseconds) };
    return { .key = in.key, .revision = { fromWire(in.revision) }, .content = std::move(record) };
}

wire::RelayEntry toWire(const EntryRecord &entry)
{
    wire::RelayEntry out;
    out.name = entry.name.value;
    out.address = toWire(entry.address);
    for (const ServiceShare &share : entry.services) {
        wire::RelayShare part;
        part.serviceName = share.service;
        part.weight = static_cast<std::int32_t>(share.weight);
        out.services.push_back(std::move(part));
    }
    out.idempotent = entry.idempotent;
    out.objectiveNanoseconds = entry.latencyObjective.count();
    out.timeoutNanoseconds = entry.timeout.count();
    out.priority = static_cast<std::int32_t>(entry.priority);
    return out;
}

EntryRecord fromWire(const wire::RelayEntry &in)
{
    EntryRecord entry { .name = EntryName { in.name },
                        .address = fromWire(in.address),
                        .services = {},
                        .idempotent = in.idempotent,
                        .latencyObjective = Duration(in.objectiveNanoseconds),
                        .timeout = Duration(in.timeoutNanoseconds),
                        .priority = static_cast<std::uint32_t>(in.priority) };
    for (const wire::RelayShare &part : in.services) {
        entry.services.push_back({ .service = part.serviceName, .weight = static_cast<std::uint32_t>(part.weight) });
    }
    return entry;
}

void setServices(const std::vector<ServiceRecord> &services, wire::RelayCatalogue &out)
{
    if (services.empty()) {
        return;
    }
    out.__isset.services = true;
    for (const ServiceRecord &service : services) {
        wire::RelayService limited;
        limited.name = service.name;
        limited.coldStartNanoseconds = service.coldStart.count();
        limited.coldRequestsPerSecond = service.coldRequestsPerSecond;
        out.services.push_back(std::move(limited));
    }
}

/// Leaves out services with impossible values.
std::vector<ServiceRecord> fromWire(const std::vector<wire::RelayService> &services)
{
    std::vector<ServiceRecord> out;
    for (const wire::RelayService &service : services) {
        const bool hasLimit = std::isfinite(service.coldRequestsPerSecond) && service.coldRequestsPerSecond > 0;
        if (hasLimit && service.coldStartNanoseconds >= 0) {
            out.push_back({ .name = service.name,
                            .coldStart = Duration(service.coldStartNanoseconds),
                            .coldRequestsPerSecond = service.coldRequestsPerSecond });
        }
    }
    return out;
}

wire::RelayCatalogue toWire(const DirectoryItem &item, const CatalogueDelta &delta)
{
    wire::RelayCatalogue out;
    out.key = item.key;
    out.revision = toWire(item.revision.value);
    out.version = toWire(delta.version.value);
    out.__set_baseVersion(toWire(delta.base.value));
    for (const EntryRecord &entry : delta.changed) {
        out.entries.push_back(toWire(entry));
    }
    out.__isset.removed = true;
    for (const Endpoint &address : delta.removed) {
        out.removed.push_back(toWire(address));
    }
    if (delta.flowIdleTimeout) {
        out.__set_flowIdleNanoseconds(delta.flowIdleTimeout->count());
    }
    setServices(delta.services, out);
    return out;
}

wire::RelayCatalogue toWire(const DirectoryItem &item, const CatalogueRecord &record)
{
    wire::RelayCatalogue out;
    out.key = item.key;
    out.revision = toWire(item.revision.value);
    out.version = toWire(record.version.value);
    out.entries.reserve(record.entries.size());
    for (const EntryRecord &entry : record.entries) {
        out.entries.push_back(toWire(entry));
    }
    if (record.flowIdleTimeout) {
        out.__set_flowIdleNanoseconds(record.flowIdleTimeout->count());
    }
    setServices(record.services, out);
    return out;
}

/// Nothing if an entry has no service to go to.
std::optional<DirectoryItem> fromWire(const wire::RelayCatalogue &in)
{
    std::vector<EntryRecord> entries;
    entries.reserve(in.entries.size());
    for (const wire::RelayEntry &entry : in.entries) {
        entries.push_back(fromWire(entry));
        const auto &services = entries.back().services;
        const auto hasNoWeight = [](const ServiceShare &share) { return share.weight == 0; };
        if (services.empty() || std::any_of(services.begin(), services.end(), hasNoWeight)) {
            return std::nullopt;
        }
    }
    std::optional<Duration> flowIdleTimeout;
    if (in.__isset.flowIdleNanoseconds) {
        flowIdleTimeout = Duration(in.flowIdleNanoseconds);
    }
    const CatalogueVersion version { fromWire(in.version) };
    DirectoryItem item { .key = in.key, .revision = { fromWire(in.revision) }, .content = RemovedRecord {} };
    if (!in.__isset.baseVersion) {
        item.content = CatalogueRecord { .version = version,
                                         .entries = std::move(entries),
                                         .flowIdleTimeout = flowIdleTimeout,
                                         .services = fromWire(in.services) };
        return item;
    }
    CatalogueDelta delta { .base = { fromWire(in.baseVersion) },
                           .version = version,
                           .changed = std::move(entries),
                           .removed = {},
                           .flowIdleTimeout = flowIdleTimeout,
                           .services = fromWire(in.services) };
    for (const wire::RelayEndpoint &address : in.removed) {
        delta.removed.push_back(fromWire(address));
    }
    item.content = std::move(delta);
    return item;
}

wire::RelayEvacuation toWire(const DirectoryItem &item, const EvacuationRecord &record)
{
    wire::RelayEvacuation out;
    out.key = item.key;
    out.revision = toWire(item.revision.value);
    out.zoneName = record.zone;
    return out;
}

/// Adds @p items to the lists of a RelayRecords or RelayAnswer.
template<class Lists>
void addRecords(const std::vector<DirectoryItem> &items, Lists &out)
{
    for (const DirectoryItem &item : items) {
        if (const auto *upstream = std::get_if<UpstreamRecord>(&item.content)) {
            out.upstreams.push_back(toWire(item, *upstream));
        } else if (const auto *catalogue = std::get_if<CatalogueRecord>(&item.content)) {
            out.__set_catalogue(toWire(item, *catalogue));
        } else if (const auto *delta = std::get_if<CatalogueDelta>(&item.content)) {
            out.__set_catalogue(toWire(item, *delta));
        } else if (const auto *evacuation = std::get_if<EvacuationRecord>(&item.content)) {
            out.__isset.evacuations = true;
            out.evacuations.push_back(toWire(item, *evacuation));
        } else {
            wire::RelayRemoval removal;
            removal.key = item.key;
            removal.revision = toWire(item.revision.value);
            out.removals.push_back(std::move(removal));
        }
    }
}

/// Appends the records of a RelayRecords or RelayAnswer to @p items; false if one is invalid.
template<class Lists>
bool takeRecords(const Lists &in, std::vector<DirectoryItem> &items)
{
    if (in.__isset.catalogue) {
        auto catalogue = fromWire(in.catalogue);
        if (!catalogue) {
            return false;
        }
        items.push_back(std::move(*catalogue));
    }
    for (const wire::RelayUpstream &upstream : in.upstreams) {
        items.push_back(fromWire(upstream));
    }
    for (const wire::RelayEvacuation &evacuation : in.evacuations) {
        items.push_back({ .key = evacuation.key,
                          .revision = { fromWire(evacuation.revision) },
                          .content = EvacuationRecord { .zone = evacuation.zoneName } });
    }
    for (const wire::RelayRemoval &removal : in.removals) {
        items.push_back(
            { .key = removal.key, .revision = { fromWire(removal.revision) }, .content = RemovedRecord {} });
    }
    return true;
}

} // namespace

std::string packRelayRecords(const std::vector<DirectoryItem> &records)
{
    wire::RelayRecords out;
    addRecords(records, out);
    return packBytes(serialize(out));
}

std::vector<std::byte> encodeRelayRequest(const RelayRequestMessage &message)
{
    const FollowRequest &request = message.request;
    wire::RelayRequest out;
    out.after = toWire(request.after.value);
    out.waitNanoseconds = request.wait.count();
    out.listening = toWire(request.listening);
    out.__set_zoneName(request.zone);
    out.__set_catalogueVersion(toWire(request.catalogue.value));
    out.__set_acceptsPacked(message.acceptsPacked);
    out.__set_requestId(toWire(message.id));
    if (!request.speeds.empty()) {
        out.__set_packedSpeeds(packSpeedObservations(request.speeds));
    }
    return withLength(serialize(out));
}

std::vector<std::byte> encodeRelayAnswer(const RelayAnswerMessage &message, const std::string &packedRecords)
{
    const DirectoryChanges &changes = message.changes;
    wire::RelayAnswer out;
    out.asOf = toWire(changes.asOf.value);
    out.ageNanoseconds = changes.age.count();
    out.__set_requestId(toWire(message.requestId));
    if (changes.complete) {
        out.__set_complete(true);
    }
    if (changes.sinceOutage) {
        out.__set_outageNanoseconds(changes.sinceOutage->count());
    }
    if (changes.elsewhere) {
        out.__set_elsewhere(toWire(*changes.elsewhere));
    }
    if (changes.slowUpstreams) {
        out.__set_packedSlowUpstreams(packSlowUpstreams(*changes.slowUpstreams));
    }
    addRecords(changes.items, out);
    if (!packedRecords.empty()) {
        out.__set_packed(packedRecords);
    }
    return withLength(serialize(out));
}

std::optional<std::size_t> decodeRelayLength(std::span<const std::byte, relayLengthBytes> bytes)
{
    const auto length = readBigEndian<std::uint32_t>(bytes, 0);
    return length <= maxRelayMessage ? std::optional<std::size_t>(length) : std::nullopt;
}

std::optional<RelayRequestMessage> decodeRelayRequest(std::span<const std::byte> bytes)
{
    const auto in = read<wire::RelayRequest>(bytes);
    if (!in || in->waitNanoseconds < 0) {
        return std::nullopt;
    }
    auto speeds = unpackSpeedObservations(in->packedSpeeds);
    if (!speeds) {
        return std::nullopt;
    }
    return RelayRequestMessage { .request = { .after = { fromWire(in->after) },
                                              .catalogue = { fromWire(in->catalogueVersion) },
                                              .wait = Duration(in->waitNanoseconds),
                                              .listening = fromWire(in->listening),
                                              .zone = in->zoneName,
                                              .speeds = std::move(*speeds) },
                                 .id = fromWire(in->requestId),
                                 .acceptsPacked = in->acceptsPacked };
}

std::optional<RelayAnswerMessage> decodeRelayAnswer(std::span<const std::byte> bytes)
{
    const auto in = read<wire::RelayAnswer>(bytes);
    if (!in || in->ageNanoseconds < 0) {
        return std::nullopt;
    }
    RelayAnswerMessage message;
    message.requestId = fromWire(in->requestId);
    DirectoryChanges &changes = message.changes;
    changes.asOf = DirectoryRevision { fromWire(in->asOf) };
    changes.age = Duration(in->ageNanoseconds);
    changes.complete = in->__isset.complete && in->complete;
    if (in->__isset.outageNanoseconds) {
        changes.sinceOutage = Duration(in->outageNanoseconds);
    }
    if (in->__isset.elsewhere) {
        changes.elsewhere = fromWire(in->elsewhere);
    }
    if (in->__isset.packedSlowUpstreams) {
        auto slow = unpackSlowUpstreams(in->packedSlowUpstreams);
        if (!slow) {
            return std::nullopt;
        }
        changes.slowUpstreams = std::make_shared<const std::vector<SlowUpstream>>(std::move(*slow));
    }
    if (!takeRecords(*in, changes.items)) {
        return std::nullopt;
    }
    if (!in->__isset.packed) {
        return message;
    }
    const auto unpacked = unpackBytes(in->packed, maxRelayMessage);
    const auto records = unpacked ? read<wire::RelayRecords>(std::as_bytes(std::span(*unpacked))) : std::nullopt;
    return records && takeRecords(*records, changes.items) ? std::optional(std::move(message)) : std::nullopt;
}

} // namespace boragelug
