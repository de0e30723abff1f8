#pragma once

#include "core/outcome.h"
#include "servers/tunnel_packet.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace boragelug
{

/// Why a datagram is not a Geneve packet that this project accepts.
enum class GeneveError : std::uint8_t {
    Truncated,
    BadVersion,
    ControlPacket,
    NotIpv4,
    BadOptionLength,
    UnknownCriticalOption,
    DuplicateOption,
    BadOptionValue,
    EmptyPayload,
};

/// Name of an error for logs and metric labels. Thread-safe.
std::string_view toString(GeneveError error);

/// Largest VNI, which has 24 bits.
constexpr std::uint32_t maxVni = 0xFFFFFF;

/**
 * Encodes @p packet as one RFC 8926 datagram payload. Thread-safe.
 *
 * Precondition: the service is at most maxVni.
 */
std::vector<std::byte> encodeGeneve(const TunnelPacket &packet);

/// Decodes one datagram payload; unknown options that aren't critical are skipped. Thread-safe.
Outcome<TunnelPacket, GeneveError> decodeGeneve(std::span<const std::byte> datagram);

} // namespace boragelug
