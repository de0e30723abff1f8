#pragma once

#include "core/outcome.h"
#include "servers/peer_transport.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace boragelug
{

/// Secret shared by the fleet.
using PeerKey = std::array<std::byte, 32>;

/// Longest datagram between VMs; fits the smallest usual MTU with room for tunnels.
constexpr std::size_t maxPeerDatagram = 1200;

/// Who sends a message, and its position among all messages of this run of the sender.
struct PeerHeader
{
    VmId sender;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    HybridTime sentAt;

    bool operator==(const PeerHeader &) const = default;
};

/// A datagram that was opened.
struct OpenedMessage
{
    PeerHeader header;
    PeerMessage message;
};

/// Why a datagram from a peer is not accepted.
enum class PeerDropReason : std::uint8_t {
    Oversized,
    Truncated,
    BadAuthentication,
    BadFormat,
    BadValue,
    StaleIncarnation,
    Replayed,
    RateExceeded,
};

/// Name of a reason for logs and metric labels. Thread-safe.
std::string_view toString(PeerDropReason reason);

/// Serializes and authenticates a message. The result may be longer than maxPeerDatagram. Thread-safe.
std::vector<std::byte> sealPeerMessage(const PeerHeader &header, const PeerMessage &message, const PeerKey &key);

/// Checks length and HMAC, then decodes. Never reads beyond @p datagram and never throws. Thread-safe.
Outcome<OpenedMessage, PeerDropReason> openPeerMessage(std::span<const std::byte> datagram, const PeerKey &key);

/// Decodes the part before the HMAC, without authentication; openPeerMessage() calls it. Thread-safe.
Outcome<OpenedMessage, PeerDropReason> decodePeerEnvelope(std::span<const std::byte> bytes);

} // namespace boragelug
