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
constexpr std::size_t hashBytes64 = fieldHeader + 10;
constexpr std::size_t doubleBytes = fieldHeader + 8;
constexpr std::size_t boolBytes = fieldHeader;

// Thrift encodes integers as zigzag varints: one sign bit, seven bits per byte.
std::size_t number(std::uint64_t value)
{
    const auto bits = static_cast<std::size_t>(std::bit_width(value)) + 1;
    return fieldHeader + (bits + 6) / 7;
}

std::size_t text(const std::string &value)
{
    return number(value.size()) + value.size();
}

std::size_t duration(Duration value)
{
    return number(static_cast<std::uint64_t>(value.count() < 0 ? -value.count() : value.count()));
}

std::size_t endpoint(const Endpoint &value)
{
    return number(value.address.value) + number(value.port.value) + fieldHeader + structEnd;
}

std::size_t size(const Zone &zone)
{
    return number(zone.id.value) + text(zone.name) + text(zone.region) + structEnd;
}

std::size_t size(const Service &service)
{
    return number(service.id.value) + text(service.name) + number(service.slotsPerHost)
        + number(service.connectionsPerHost) + duration(service.slowStart) + structEnd;
}

std::size_t size(const Limits &limits)
{
    return number(limits.requestsPerSecond) + number(limits.requestsInProgress) + number(limits.newFlowsPerSecond)
        + number(limits.openFlows) + number(limits.bytesPerSecond) + fieldHeader + structEnd;
}

std::size_t size(const Entry &entry)
{
    constexpr std::size_t enums = 3 * (fieldHeader + 1);
    return text(entry.name.value) + text(entry.owner.value) + number(entry.service.value) + endpoint(entry.address)
        + enums + boolBytes + duration(entry.maxDeadline) + size(entry.limits) + structEnd;
}

std::size_t size(const Upstream &upstream)
{
    return number(upstream.id.value) + number(upstream.incarnation.value) + number(upstream.service.value)
        + number(upstream.zone.value) + endpoint(upstream.tunnelEndpoint) + endpoint(upstream.httpEndpoint)
        + number(static_cast<std::uint64_t>(upstream.state)) + structEnd;
}

std::size_t size(const MemberUpdate &update)
{
    const Vm &vm = update.vm;
    return number(vm.id.value) + number(vm.incarnation.value) + number(vm.zone.value) + endpoint(vm.packetEndpoint)
        + endpoint(vm.peerEndpoint) + 2 * (fieldHeader + 1) + number(update.refutation) + fieldHeader + 2 * structEnd;
}

std::size_t size(const PartDigest &digest)
{
    return number(digest.part) + number(digest.version) + hashBytes64 + structEnd;
}

std::size_t size(const ViewItem &item)
{
    return wireSize(item);
}

std::size_t size(const FlowRecord &record)
{
    return hashBytes64 + number(record.service.value) + number(record.upstream.value)
        + number(record.upstreamIncarnation.value) + structEnd;
}

std::size_t size(const LoadDigest::Item &item)
{
    return number(item.upstream.value) + number(item.incarnation.value) + doubleBytes + boolBytes + duration(item.age)
        + structEnd;
}

std::size_t size(const DemandReport::Item & /*item*/)
{
    return hashBytes64 + 2 * doubleBytes + structEnd;
}

template<class List>
std::size_t sum(const List &list)
{
    std::size_t total = listHeader;
    for (const auto &item : list) {
        total += size(item);
    }
    return total;
}

std::size_t body(const Probe &probe)
{
    return hashBytes64 + number(probe.catalogueVersion.value) + sum(probe.updates);
}

std::size_t body(const ProbeAck &ack)
{
    return hashBytes64 + number(ack.subject.value) + number(ack.catalogueVersion.value) + sum(ack.updates);
}

std::size_t body(const ProbeRequest &request)
{
    return hashBytes64 + number(request.target.value);
}

std::size_t body(const ViewDigest &digest)
{
    return number(digest.catalogueVersion.value) + sum(digest.parts);
}

std::size_t body(const ViewPull &pull)
{
    return number(pull.part) + number(pull.sinceVersion);
}

std::size_t body(const ViewDelta &delta)
{
    return number(delta.part) + number(delta.fromVersion) + number(delta.toVersion) + sum(delta.items);
}

std::size_t body(const FlowEntries &entries)
{
    return boolBytes + sum(entries.records);
}

std::size_t body(const LoadDigest &digest)
{
    return sum(digest.items);
}

std::size_t body(const SlotLease &lease)
{
    return hashBytes64 + number(lease.upstream.value) + number(lease.upstreamIncarnation.value) + number(lease.count);
}

std::size_t body(const SlotLeaseReply &reply)
{
    return hashBytes64 + number(reply.upstream.value) + number(reply.granted) + duration(reply.validFor);
}

std::size_t body(const DemandReport &report)
{
    return sum(report.items);
}

} // namespace

std::size_t wireSize(const ViewItem &item)
{
    constexpr std::size_t unionFraming = 2 * fieldHeader + structEnd;
    return number(item.version) + boolBytes + unionFraming
        + std::visit([](const auto &value) { return size(value); }, item.item) + structEnd;
}

std::size_t wireSize(const PeerMessage &message)
{
    constexpr std::size_t framing = 2;
    return envelopeBytes + framing + std::visit([](const auto &value) { return body(value); }, message);
}

} // namespace boragelug
