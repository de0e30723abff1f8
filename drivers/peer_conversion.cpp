#include "drivers/peer_conversion.h"

#include "drivers/peer_item_conversion.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace boragelug
{
namespace
{

using namespace peer_conversion;

/// Converts each element; nothing if one can't be converted.
template<class To, class From, class Convert>
std::optional<std::vector<To>> convertAll(const std::vector<From> &from, Convert convert)
{
    std::vector<To> to;
    to.reserve(from.size());
    for (const From &element : from) {
        std::optional<To> converted = convert(element);
        if (!converted) {
            return std::nullopt;
        }
        to.push_back(std::move(*converted));
    }
    return to;
}

template<class To, class From, class Convert>
std::vector<To> writeAll(const std::vector<From> &from, Convert convert)
{
    std::vector<To> to;
    to.reserve(from.size());
    std::transform(from.begin(), from.end(), std::back_inserter(to), convert);
    return to;
}

wire::MemberUpdate writeUpdate(const MemberUpdate &update)
{
    wire::MemberUpdate out;
    out.vm = writeVm(update.vm);
    out.health = static_cast<std::int8_t>(update.health);
    out.refutation = toSigned(update.refutation);
    return out;
}

std::optional<MemberUpdate> readUpdate(const wire::MemberUpdate &update)
{
    const auto vm = readVm(update.vm);
    const auto health = readEnum(update.health, MemberHealth::Dead);
    if (!vm || !health) {
        return std::nullopt;
    }
    return MemberUpdate { .vm = *vm, .health = *health, .refutation = toUnsigned(update.refutation) };
}

wire::LoadItem writeLoad(const LoadDigest::Item &item)
{
    wire::LoadItem out;
    out.upstream = toSigned(item.upstream.value);
    out.incarnation = toSigned(item.incarnation.value);
    out.load = item.load;
    out.healthy = item.healthy;
    out.ageNanoseconds = item.age.count();
    return out;
}

std::optional<LoadDigest::Item> readLoad(const wire::LoadItem &item)
{
    if (!isAmount(item.load) || item.ageNanoseconds < 0) {
        return std::nullopt;
    }
    return LoadDigest::Item {
        .upstream = UpstreamId { toUnsigned(item.upstream) },
        .incarnation = Incarnation { toUnsigned(item.incarnation) },
        .load = item.load,
        .healthy = item.healthy,
        .age = Duration { item.ageNanoseconds },
    };
}

wire::FlowRecord writeFlow(const FlowRecord &record)
{
    wire::FlowRecord out;
    out.key = toSigned(record.key.value);
    out.serviceId = toSigned(record.service.value);
    out.upstream = toSigned(record.upstream.value);
    out.upstreamIncarnation = toSigned(record.upstreamIncarnation.value);
    return out;
}

std::optional<FlowRecord> readFlow(const wire::FlowRecord &record)
{
    return FlowRecord {
        .key = FlowKey { toUnsigned(record.key) },
        .service = ServiceId { toUnsigned(record.serviceId) },
        .upstream = UpstreamId { toUnsigned(record.upstream) },
        .upstreamIncarnation = Incarnation { toUnsigned(record.upstreamIncarnation) },
    };
}

wire::PartDigest writePart(const PartDigest &digest)
{
    wire::PartDigest out;
    out.part = toSigned(digest.part);
    out.version = toSigned(digest.version);
    out.contentHash = toSigned(digest.contentHash);
    return out;
}

std::optional<PartDigest> readPart(const wire::PartDigest &digest)
{
    return PartDigest {
        .part = toUnsigned(digest.part),
        .version = toUnsigned(digest.version),
        .contentHash = toUnsigned(digest.contentHash),
    };
}

wire::DemandItem writeDemand(const DemandReport::Item &item)
{
    wire::DemandItem out;
    out.entryHash = toSigned(item.entryHash);
    out.requestsPerSecond = item.requestsPerSecond;
    out.newFlowsPerSecond = item.newFlowsPerSecond;
    return out;
}

std::optional<DemandReport::Item> readDemand(const wire::DemandItem &item)
{
    if (!isAmount(item.requestsPerSecond) || !isAmount(item.newFlowsPerSecond)) {
        return std::nullopt;
    }
    return DemandReport::Item {
        .entryHash = toUnsigned(item.entryHash),
        .requestsPerSecond = item.requestsPerSecond,
        .newFlowsPerSecond = item.newFlowsPerSecond,
    };
}

/// Writes each alternative of PeerMessage into the union.
struct BodyWriter
{
    wire::Body body;

    void operator()(const Probe &message)
    {
        wire::Probe out;
        out.nonce = toSigned(message.nonce);
        out.catalogueVersion = toSigned(message.catalogueVersion.value);
        out.updates = writeAll<wire::MemberUpdate>(message.updates, writeUpdate);
        body.__set_probe(out);
    }

    void operator()(const ProbeAck &message)
    {
        wire::ProbeAck out;
        out.nonce = toSigned(message.nonce);
        out.subject = toSigned(message.subject.value);
        out.catalogueVersion = toSigned(message.catalogueVersion.value);
        out.updates = writeAll<wire::MemberUpdate>(message.updates, writeUpdate);
        body.__set_probeAck(out);
    }

    void operator()(const ProbeRequest &message)
    {
        wire::ProbeRequest out;
        out.nonce = toSigned(message.nonce);
        out.target = toSigned(message.target.value);
        body.__set_probeRequest(out);
    }

    void operator()(const ViewDigest &message)
    {
        wire::ViewDigest out;
        out.catalogueVersion = toSigned(message.catalogueVersion.value);
        out.parts = writeAll<wire::PartDigest>(message.parts, writePart);
        body.__set_viewDigest(out);
    }

    void operator()(const ViewPull &message)
    {
        wire::ViewPull out;
        out.part = toSigned(message.part);
        out.sinceVersion = toSigned(message.sinceVersion);
        body.__set_viewPull(out);
    }

    void operator()(const ViewDelta &message)
    {
        wire::ViewDelta out;
        out.part = toSigned(message.part);
        out.fromVersion = toSigned(message.fromVersion);
        out.toVersion = toSigned(message.toVersion);
        out.items = writeAll<wire::ViewItem>(message.items, writeItem);
        body.__set_viewDelta(out);
    }

    void operator()(const FlowEntries &message)
    {
        wire::FlowEntries out;
        out.hint = message.hint;
        out.records = writeAll<wire::FlowRecord>(message.records, writeFlow);
        body.__set_flowEntries(out);
    }

    void operator()(const LoadDigest &message)
    {
        wire::LoadDigest out;
        out.items = writeAll<wire::LoadItem>(message.items, writeLoad);
        body.__set_loadDigest(out);
    }

    void operator()(const SlotLease &message)
    {
        wire::SlotLease out;
        out.nonce = toSigned(message.nonce);
        out.upstream = toSigned(message.upstream.value);
        out.upstreamIncarnation = toSigned(message.upstreamIncarnation.value);
        out.count = toSigned(message.count);
        body.__set_slotLease(out);
    }

    void operator()(const SlotLeaseReply &message)
    {
        wire::SlotLeaseReply out;
        out.nonce = toSigned(message.nonce);
        out.upstream = toSigned(message.upstream.value);
        out.granted = toSigned(message.granted);
        out.validForNanoseconds = message.validFor.count();
        body.__set_slotLeaseReply(out);
    }

    void operator()(const DemandReport &message)
    {
        wire::DemandReport out;
        out.items = writeAll<wire::DemandItem>(message.items, writeDemand);
        body.__set_demandReport(out);
    }
};

std::optional<PeerMessage> read(const wire::Probe &body)
{
    auto updates = convertAll<MemberUpdate>(body.updates, readUpdate);
    if (!updates) {
        return std::nullopt;
    }
    return Probe {
        .nonce = toUnsigned(body.nonce),
        .catalogueVersion = CatalogueVersion { toUnsigned(body.catalogueVersion) },
        .updates = std::move(*updates),
    };
}

std::optional<PeerMessage> read(const wire::ProbeAck &body)
{
    auto updates = convertAll<MemberUpdate>(body.updates, readUpdate);
    if (!updates) {
        return std::nullopt;
    }
    return ProbeAck {
        .nonce = toUnsigned(body.nonce),
        .subject = VmId { toUnsigned(body.subject) },
        .catalogueVersion = CatalogueVersion { toUnsigned(body.catalogueVersion) },
        .updates = std::move(*updates),
    };
}

std::optional<PeerMessage> read(const wire::ProbeRequest &body)
{
    return ProbeRequest { .nonce = toUnsigned(body.nonce), .target = VmId { toUnsigned(body.target) } };
}

std::optional<PeerMessage> read(const wire::ViewDigest &body)
{
    auto parts = convertAll<PartDigest>(body.parts, readPart);
    if (!parts) {
        return std::nullopt;
    }
    return ViewDigest {
        .catalogueVersion = CatalogueVersion { toUnsigned(body.catalogueVersion) },
        .parts = std::move(*parts),
    };
}

std::optional<PeerMessage> read(const wire::ViewPull &body)
{
    return ViewPull { .part = toUnsigned(body.part), .sinceVersion = toUnsigned(body.sinceVersion) };
}

std::optional<PeerMessage> read(const wire::ViewDelta &body)
{
    auto items = convertAll<ViewItem>(body.items, readItem);
    if (!items) {
        return std::nullopt;
    }
    return ViewDelta {
        .part = toUnsigned(body.part),
        .fromVersion = toUnsigned(body.fromVersion),
        .toVersion = toUnsigned(body.toVersion),
        .items = std::move(*items),
    };
}

std::optional<PeerMessage> read(const wire::FlowEntries &body)
{
    auto records = convertAll<FlowRecord>(body.records, readFlow);
    if (!records) {
        return std::nullopt;
    }
    return FlowEntries { .hint = body.hint, .records = std::move(*records) };
}

std::optional<PeerMessage> read(const wire::LoadDigest &body)
{
    auto items = convertAll<LoadDigest::Item>(body.items, readLoad);
    if (!items) {
        return std::nullopt;
    }
    return LoadDigest { .items = std::move(*items) };
}

std::optional<PeerMessage> read(const wire::SlotLease &body)
{
    return SlotLease {
        .nonce = toUnsigned(body.nonce),
        .upstream = UpstreamId { toUnsigned(body.upstream) },
        .upstreamIncarnation = Incarnation { toUnsigned(body.upstreamIncarnation) },
        .count = toUnsigned(body.count),
    };
}

std::optional<PeerMessage> read(const wire::SlotLeaseReply &body)
{
    if (body.validForNanoseconds < 0) {
        return std::nullopt;
    }
    return SlotLeaseReply {
        .nonce = toUnsigned(body.nonce),
        .upstream = UpstreamId { toUnsigned(body.upstream) },
        .granted = toUnsigned(body.granted),
        .validFor = Duration { body.validForNanoseconds },
    };
}

std::optional<PeerMessage> read(const wire::DemandReport &body)
{
    auto items = convertAll<DemandReport::Item>(body.items, readDemand);
    if (!items) {
        return std::nullopt;
    }
    return DemandReport { .items = std::move(*items) };
}

} // namespace

wire::Body toWire(const PeerMessage &message)
{
    BodyWriter writer;
    std::visit(writer, message);
    return writer.body;
}

std::optional<PeerMessage> fromWire(const wire::Body &body)
{
    std::optional<PeerMessage> message;
    int members = 0;
    const auto take = [&](bool isSet, const auto &member) {
        if (isSet) {
            ++members;
            message = read(member);
        }
    };
    take(body.__isset.probe, body.probe);
    take(body.__isset.probeAck, body.probeAck);
    take(body.__isset.probeRequest, body.probeRequest);
    take(body.__isset.viewDigest, body.viewDigest);
    take(body.__isset.viewPull, body.viewPull);
    take(body.__isset.viewDelta, body.viewDelta);
    take(body.__isset.flowEntries, body.flowEntries);
    take(body.__isset.loadDigest, body.loadDigest);
    take(body.__isset.slotLease, body.slotLease);
    take(body.__isset.slotLeaseReply, body.slotLeaseReply);
    take(body.__isset.demandReport, body.demandReport);
    return members == 1 ? message : std::nullopt;
}

} // namespace boragelug
