#include "drivers/ip_packet.h"

#include "drivers/byte_order.h"

#include <arpa/inet.h>
#include <netinet/ip.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <cassert>
#include <cstring>

namespace boragelug
{
namespace
{

constexpr std::uint8_t timeToLive = 64;

/// Header of type T at the start of @p bytes, which has at least sizeof(T) bytes.
template<class T>
T readHeader(std::span<const std::byte> bytes)
{
    T header;
    std::memcpy(&header, bytes.data(), sizeof(T));
    return header;
}

std::uint64_t sumWords(std::span<const std::byte> bytes)
{
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i + 1 < bytes.size(); i += 2) {
        sum += readBigEndian<std::uint16_t>(bytes, i);
    }
    if (bytes.size() % 2 == 1) {
        sum += std::to_integer<std::uint64_t>(bytes.back()) << 8U;
    }
    return sum;
}

std::uint16_t foldChecksum(std::uint64_t sum)
{
    while ((sum >> 16U) != 0) {
        sum = (sum & 0xFFFFU) + (sum >> 16U);
    }
    return static_cast<std::uint16_t>(~sum & 0xFFFFU);
}

std::uint16_t transportChecksum(const iphdr &ip, std::span<const std::byte> segment)
{
    const std::uint32_t source = ntohl(ip.saddr);
    const std::uint32_t destination = ntohl(ip.daddr);
    const std::uint64_t pseudoHeader = std::uint64_t { source >> 16U } + (source & 0xFFFFU) + (destination >> 16U)
        + (destination & 0xFFFFU) + ip.protocol + segment.size();
    return foldChecksum(pseudoHeader + sumWords(segment));
}

std::optional<IpPacketError> parseTcp(const iphdr &ip, std::span<const std::byte> segment, InnerPacket &packet)
{
    if (segment.size() < sizeof(tcphdr)) {
        return IpPacketError::Truncated;
    }
    const auto header = readHeader<tcphdr>(segment);
    const std::size_t headerSize = std::size_t { 4 } * header.doff;
    if (headerSize < sizeof(tcphdr) || headerSize > segment.size()) {
        return IpPacketError::BadHeaderLength;
    }
    if (transportChecksum(ip, segment) != 0) {
        return IpPacketError::BadChecksum;
    }
    packet.protocol = InnerProtocol::Tcp;
    packet.source.port = Port { ntohs(header.source) };
    packet.destination.port = Port { ntohs(header.dest) };
    packet.tcp = { .syn = header.syn != 0, .ack = header.ack != 0, .fin = header.fin != 0, .rst = header.rst != 0 };
    packet.payload = segment.subspan(headerSize);
    return std::nullopt;
}

std::optional<IpPacketError> parseUdp(const iphdr &ip, std::span<const std::byte> segment, InnerPacket &packet)
{
    if (segment.size() < sizeof(udphdr)) {
        return IpPacketError::Truncated;
    }
    const auto header = readHeader<udphdr>(segment);
    const std::size_t length = ntohs(header.len);
    if (length < sizeof(udphdr) || length > segment.size()) {
        return IpPacketError::BadTotalLength;
    }
    // A zero checksum means that the sender computed none (RFC 768).
    if (header.check != 0 && transportChecksum(ip, segment.first(length)) != 0) {
        return IpPacketError::BadChecksum;
    }
    packet.protocol = InnerProtocol::Udp;
    packet.source.port = Port { ntohs(header.source) };
    packet.destination.port = Port { ntohs(header.dest) };
    packet.payload = segment.subspan(sizeof(udphdr), length - sizeof(udphdr));
    return std::nullopt;
}

iphdr makeIpHeader(std::uint8_t protocol, Ipv4Address source, Ipv4Address destination, std::size_t segmentSize)
{
    iphdr ip {};
    ip.version = 4;
    ip.ihl = sizeof(iphdr) / 4;
    ip.tot_len = htons(static_cast<std::uint16_t>(sizeof(iphdr) + segmentSize));
    ip.frag_off = htons(IP_DF);
    ip.ttl = timeToLive;
    ip.protocol = protocol;
    ip.saddr = htonl(source.value);
    ip.daddr = htonl(destination.value);
    ip.check = htons(foldChecksum(sumWords(std::as_bytes(std::span(&ip, 1)))));
    return ip;
}

template<class Header>
std::vector<std::byte> assemble(const iphdr &ip, const Header &header, std::span<const std::byte> payload)
{
    std::vector<std::byte> out(sizeof(iphdr) + sizeof(Header) + payload.size());
    std::memcpy(out.data(), &ip, sizeof(iphdr));
    std::memcpy(out.data() + sizeof(iphdr), &header, sizeof(Header));
    if (!payload.empty()) {
        std::memcpy(out.data() + sizeof(iphdr) + sizeof(Header), payload.data(), payload.size());
    }
    return out;
}

void storeChecksum(std::vector<std::byte> &packet, std::size_t offset, std::uint16_t checksum)
{
    const std::uint16_t wire = htons(checksum);
    std::memcpy(packet.data() + sizeof(iphdr) + offset, &wire, sizeof(wire));
}

} // namespace

std::string_view toString(IpPacketError error)
{
    switch (error) {
    case IpPacketError::Truncated:
        return "truncated";
    case IpPacketError::NotIpv4:
        return "not_ipv4";
    case IpPacketError::BadHeaderLength:
        return "bad_header_length";
    case IpPacketError::BadTotalLength:
        return "bad_total_length";
    case IpPacketError::BadChecksum:
        return "bad_checksum";
    case IpPacketError::Fragment:
        return "fragment";
    case IpPacketError::UnsupportedProtocol:
        return "unsupported_protocol";
    }
    return "unknown";
}

Outcome<InnerPacket, IpPacketError> parseInnerPacket(std::span<const std::byte> bytes)
{
    using Result = Outcome<InnerPacket, IpPacketError>;
    if (bytes.size() < sizeof(iphdr)) {
        return Result::failure(IpPacketError::Truncated);
    }
    const auto ip = readHeader<iphdr>(bytes);
    const std::size_t headerSize = std::size_t { 4 } * ip.ihl;
    const std::size_t totalSize = ntohs(ip.tot_len);
    if (ip.version != 4) {
        return Result::failure(IpPacketError::NotIpv4);
    }
    if (headerSize < sizeof(iphdr) || headerSize > bytes.size()) {
        return Result::failure(IpPacketError::BadHeaderLength);
    }
    if (totalSize < headerSize || totalSize > bytes.size()) {
        return Result::failure(IpPacketError::BadTotalLength);
    }
    if (foldChecksum(sumWords(bytes.first(headerSize))) != 0) {
        return Result::failure(IpPacketError::BadChecksum);
    }
    if ((ntohs(ip.frag_off) & (IP_MF | IP_OFFMASK)) != 0) {
        return Result::failure(IpPacketError::Fragment);
    }
    InnerPacket packet;
    packet.source.address = Ipv4Address { ntohl(ip.saddr) };
    packet.destination.address = Ipv4Address { ntohl(ip.daddr) };
    const auto segment = bytes.subspan(headerSize, totalSize - headerSize);
    std::optional<IpPacketError> error = IpPacketError::UnsupportedProtocol;
    if (ip.protocol == IPPROTO_TCP) {
        error = parseTcp(ip, segment, packet);
    } else if (ip.protocol == IPPROTO_UDP) {
        error = parseUdp(ip, segment, packet);
    }
    return error ? Result::failure(*error) : Result(packet);
}

std::vector<std::byte>
buildUdpPacket(const Endpoint &source, const Endpoint &destination, std::span<const std::byte> payload)
{
    assert(payload.size() <= maxUdpPayload);
    const std::size_t segmentSize = sizeof(udphdr) + payload.size();
    const iphdr ip = makeIpHeader(IPPROTO_UDP, source.address, destination.address, segmentSize);
    udphdr header {};
    header.source = htons(source.port.value);
    header.dest = htons(destination.port.value);
    header.len = htons(static_cast<std::uint16_t>(segmentSize));
    std::vector<std::byte> out = assemble(ip, header, payload);
    const std::uint16_t checksum = transportChecksum(ip, std::span(out).subspan(sizeof(iphdr)));
    // RFC 768 sends a computed zero as all ones, since zero means no checksum.
    storeChecksum(out, offsetof(udphdr, check), checksum == 0 ? 0xFFFF : checksum);
    return out;
}

std::vector<std::byte>
buildTcpPacket(const Endpoint &source, const Endpoint &destination, TcpFlags flags, std::span<const std::byte> payload)
{
    assert(payload.size() <= 65495);
    const iphdr ip = makeIpHeader(IPPROTO_TCP, source.address, destination.address, sizeof(tcphdr) + payload.size());
    tcphdr header {};
    header.source = htons(source.port.value);
    header.dest = htons(destination.port.value);
    header.doff = sizeof(tcphdr) / 4;
    header.window = htons(0xFFFF);
    header.syn = flags.syn ? 1 : 0;
    header.ack = flags.ack ? 1 : 0;
    header.fin = flags.fin ? 1 : 0;
    header.rst = flags.rst ? 1 : 0;
    std::vector<std::byte> out = assemble(ip, header, payload);
    storeChecksum(out, offsetof(tcphdr, check), transportChecksum(ip, std::span(out).subspan(sizeof(iphdr))));
    return out;
}

} // namespace boragelug
