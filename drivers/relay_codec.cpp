#include "drivers/relay_codec.h"

#include "drivers/byte_order.h"
#include "gen/relay_types.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
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
std::vector<std::byte> write(const Message &message)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    message.write(&protocol);
    std::uint8_t *data = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&data, &size);
    std::vector<std::byte> out;
    out.reserve(relayLengthBytes + size);
    for (std::size_t i = 0; i < relayLengthBytes; ++i) {
        out.push_back(static_cast<std::byte>((size >> (8 * (relayLengthBytes - 1 - i))) & 0xFFU));
    }
    const auto bytes = std::as_bytes(std::span(data, size));
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
    return out;
}

/// Nothing if an entry has no service to go to.
std::optional<DirectoryItem> fromWire(const wire::RelayCatalogue &in)
{
    CatalogueRecord record;
    record.version = CatalogueVersion { fromWire(in.version) };
    record.entries.reserve(in.entries.size());
    for (const wire::RelayEntry &entry : in.entries) {
        record.entries.push_back(fromWire(entry));
        if (record.entries.back().services.empty()) {
            return std::nullopt;
        }
        for (const ServiceShare &share : record.entries.back().services) {
            if (share.weight == 0) {
                return std::nullopt;
            }
        }
    }
    if (in.__isset.flowIdleNanoseconds) {
        record.flowIdleTimeout = Duration(in.flowIdleNanoseconds);
    }
    return DirectoryItem { .key = in.key, .revision = { fromWire(in.revision) }, .content = std::move(record) };
}

} // namespace

std::vector<std::byte> encodeRelayRequest(const FollowRequest &request)
{
    wire::RelayRequest out;
    out.after = toWire(request.after.value);
    out.waitNanoseconds = request.wait.count();
    out.listening = toWire(request.listening);
    out.__set_zoneName(request.zone);
    return write(out);
}

std::vector<std::byte> encodeRelayAnswer(const DirectoryChanges &changes)
{
    wire::RelayAnswer out;
    out.asOf = toWire(changes.asOf.value);
    out.ageNanoseconds = changes.age.count();
    if (changes.sinceOutage) {
        out.__set_outageNanoseconds(changes.sinceOutage->count());
    }
    if (changes.elsewhere) {
        out.__set_elsewhere(toWire(*changes.elsewhere));
    }
    for (const DirectoryItem &item : changes.items) {
        if (const auto *upstream = std::get_if<UpstreamRecord>(&item.content)) {
            out.upstreams.push_back(toWire(item, *upstream));
        } else if (const auto *catalogue = std::get_if<CatalogueRecord>(&item.content)) {
            out.__set_catalogue(toWire(item, *catalogue));
        } else {
            wire::RelayRemoval removal;
            removal.key = item.key;
            removal.revision = toWire(item.revision.value);
            out.removals.push_back(std::move(removal));
        }
    }
    return write(out);
}

std::optional<std::size_t> decodeRelayLength(std::span<const std::byte, relayLengthBytes> bytes)
{
    const auto length = readBigEndian<std::uint32_t>(bytes, 0);
    return length <= maxRelayMessage ? std::optional<std::size_t>(length) : std::nullopt;
}

std::optional<FollowRequest> decodeRelayRequest(std::span<const std::byte> bytes)
{
    const auto in = read<wire::RelayRequest>(bytes);
    if (!in || in->waitNanoseconds < 0) {
        return std::nullopt;
    }
    return FollowRequest { .after = { fromWire(in->after) },
                           .wait = Duration(in->waitNanoseconds),
                           .listening = fromWire(in->listening),
                           .zone = in->zoneName };
}

std::optional<DirectoryChanges> decodeRelayAnswer(std::span<const std::byte> bytes)
{
    const auto in = read<wire::RelayAnswer>(bytes);
    if (!in || in->ageNanoseconds < 0) {
        return std::nullopt;
    }
    DirectoryChanges changes;
    changes.asOf = DirectoryRevision { fromWire(in->asOf) };
    changes.age = Duration(in->ageNanoseconds);
    if (in->__isset.outageNanoseconds) {
        changes.sinceOutage = Duration(in->outageNanoseconds);
    }
    if (in->__isset.elsewhere) {
        changes.elsewhere = fromWire(in->elsewhere);
    }
    if (in->__isset.catalogue) {
        auto catalogue = fromWire(in->catalogue);
        if (!catalogue) {
            return std::nullopt;
        }
        changes.items.push_back(std::move(*catalogue));
    }
    for (const wire::RelayUpstream &upstream : in->upstreams) {
        changes.items.push_back(fromWire(upstream));
    }
    for (const wire::RelayRemoval &removal : in->removals) {
        changes.items.push_back(
            { .key = removal.key, .revision = { fromWire(removal.revision) }, .content = RemovedRecord {} });
    }
    return changes;
}

} // namespace boragelug
