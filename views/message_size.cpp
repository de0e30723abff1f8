#include "views/message_size.h"

#include <bit>

namespace boragelug
{

namespace
{

// In Thrift's compact protocol a field header is one byte if the field id is less than 16 above the previous one, and a
// struct ends with one byte.
constexpr std::size_t fieldHeader = 1;
constexpr std::size_t structEnd = 1;
constexpr std::size_t listHeader = 6;
constexpr std::size_t hash64Bytes = fieldHeader + 10;
constexpr std::size_t doubleBytes = fieldHeader + 8;
constexpr std::size_t boolBytes = fieldHeader;

// Thrift encodes integers as zigzag varints: one sign bit, seven bits per byte.
std::size_t numberSize(std::uint64_t value)
{
    const auto bits = static_cast<std::size_t>(std::bit_width(value)) + 1;
    return fieldHeader + (bits + 6) / 7;
}

std::size_t textSize(const std::string &value)
{
    return numberSize(value.size()) + value.size();
}

std::size_t durationSize(Duration value)
{
    return numberSize(static_cast<std::uint64_t>(value.count() < 0 ? -value.count() : value.count()));
}

std::size_t endpointSize(const Endpoint &value)
{
    return numberSize(value.address.value) + numberSize(value.port.value) + fieldHeader + structEnd;
}

std::size_t size(const Zone &zone)
{
    return numberSize(zone.id.value) + textSize(zone.name) + textSize(zone.region) + structEnd;
}

std::size_t size(const Service &service)
{
    return numberSize(service.id.value) + textSize(service.name) + numberSize(service.slotsPerHost)
        + numberSize(service.connectionsPerHost) + durationSize(service.slowStart) + structEnd;
}

std::size_t size(const Limits &limits)
{
    return numberSize(limits.requestsPerSecond) + numberSize(limits.requestsInProgress)
        + numberSize(limits.newFlowsPerSecond) + numberSize(limits.openFlows) + numberSize(limits.bytesPerSecond)
        + fieldHeader + structEnd;
}

std::size_t size(const Entry &entry)
{
    constexpr std::size_t enums = 3 * (fieldHeader + 1);
    return textSize(entry.name.value) + textSize(entry.owner.value) + numberSize(entry.service.value)
        + endpointSize(entry.address) + enums + boolBytes + durationSize(entry.maxDeadline) + size(entry.limits)
        + structEnd;
}

std::size_t size(const Upstream &upstream)
{
    return numberSize(upstream.id.value) + numberSize(upstream.incarnation.value) + numberSize(upstream.service.value)
        + numberSize(upstream.zone.value) + endpointSize(upstream.tunnelEndpoint) + endpointSize(upstream.httpEndpoint)
        + numberSize(static_cast<std::uint64_t>(upstream.state)) + structEnd;
}

std::size_t size(const MemberUpdate &update)
{
    const Vm &vm = update.vm;
    return numberSize(vm.id.value) + numberSize(vm.incarnation.value) + numberSize(vm.zone.value)
        + endpointSize(vm.packetEndpoint) + endpointSize(vm.peerEndpoint) + 2 * (fieldHeader + 1)
        + numberSize(update.refutation) + fieldHeader + 2 * structEnd;
}

std::size_t size(const PartDigest &digest)
{
    return numberSize(digest.part) + numberSize(digest.version) + hash64Bytes + structEnd;
}

std::size_t size(const ViewItem &item)
{
    return wireSize(item);
}

std::size_t size(const FlowRecord &record)
{
    return hash64Bytes + numberSize(record.service.value) + numberSize(record.upstream.value)
        + numberSize(record.upstreamIncarnation.value) + structEnd;
}

std::size_t size(const LoadDigest::Item &item)
{
    return numberSize(item.upstream.value) + numberSize(item.incarnation.value) + doubleBytes + boolBytes
        + durationSize(item.age) + structEnd;
}

std::size_t size(const DemandReport::Item & /*item*/)
{
    return hash64Bytes + 2 * doubleBytes + structEnd;
}

template<class List>
std::size_t listSize(const List &list)
{
    std::size_t total = listHeader;
    for (const auto &item : list) {
        total += size(item);
    }
    return total;
}

std::size_t bodySize(const Probe &probe)
{
    return hash64Bytes + numberSize(probe.catalogueVersion.value) + listSize(probe.updates);
}

std::size_t bodySize(const ProbeAck &ack)
{
    return hash64Bytes + numberSize(ack.subject.value) + numberSize(ack.catalogueVersion.value) + listSize(ack.updates);
}

std::size_t bodySize(const ProbeRequest &request)
{
    return hash64Bytes + numberSize(request.target.value);
}

std::size_t bodySize(const ViewDigest &digest)
{
    return numberSize(digest.catalogueVersion.value) + listSize(digest.parts);
}

std::size_t bodySize(const ViewPull &pull)
{
    return numberSize(pull.part) + numberSize(pull.sinceVersion);
}

std::size_t bodySize(const ViewDelta &delta)
{
    return numberSize(delta.part) + numberSize(delta.fromVersion) + numberSize(delta.toVersion) + listSize(delta.items);
}

std::size_t bodySize(const FlowEntries &entries)
{
    return boolBytes + listSize(entries.records);
}

std::size_t bodySize(const LoadDigest &digest)
{
    return listSize(digest.items);
}

std::size_t bodySize(const SlotLease &lease)
{
    return hash64Bytes + numberSize(lease.upstream.value) + numberSize(lease.upstreamIncarnation.value)
        + numberSize(lease.count);
}

std::size_t bodySize(const SlotLeaseReply &reply)
{
    return hash64Bytes + numberSize(reply.upstream.value) + numberSize(reply.granted) + durationSize(reply.validFor);
}

std::size_t bodySize(const DemandReport &report)
{
    return listSize(report.items);
}

} // namespace

std::size_t wireSize(const ViewItem &item)
{
    constexpr std::size_t unionFraming = 2 * fieldHeader + structEnd;
    return numberSize(item.version) + boolBytes + unionFraming
        + std::visit([](const auto &value) { return size(value); }, item.item) + structEnd;
}

std::size_t wireSize(const PeerMessage &message)
{
    constexpr std::size_t framing = 2;
    return envelopeBytes + framing + std::visit([](const auto &value) { return bodySize(value); }, message);
}

} // namespace boragelug
