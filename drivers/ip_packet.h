#pragma once

#include "core/outcome.h"
#include "model/endpoint.h"
#include "servers/tunnel_packet.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace boragelug
{

/// Why bytes are not an inner packet that this project accepts.
enum class IpPacketError : std::uint8_t {
    Truncated,
    NotIpv4,
    BadHeaderLength,
    BadTotalLength,
    BadChecksum,
    Fragment,
    UnsupportedProtocol,
};

/// Name of an error for logs and metric labels. Thread-safe.
std::string_view toString(IpPacketError error);

/**
 * Parses an IPv4 packet with TCP or UDP inside. Thread-safe.
 *
 * Fragments are refused, because only the first one carries the ports.
 */
Outcome<InnerPacket, IpPacketError> parseInnerPacket(std::span<const std::byte> bytes);

/// Largest payload of a UDP datagram over IPv4.
constexpr std::size_t maxUdpPayload = 65507;

/// Builds an IPv4 packet with a UDP datagram and both checksums. Precondition: at most maxUdpPayload bytes.
/// Thread-safe.
std::vector<std::byte>
buildUdpPacket(const Endpoint &source, const Endpoint &destination, std::span<const std::byte> payload);

/// Builds an IPv4 packet with a TCP segment and both checksums. Precondition: at most 65,495 bytes. Thread-safe.
std::vector<std::byte>
buildTcpPacket(const Endpoint &source, const Endpoint &destination, TcpFlags flags, std::span<const std::byte> payload);

} // namespace boragelug
