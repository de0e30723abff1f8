#pragma once

#include "model/peer_message.h"

#include <cstddef>

namespace boragelug
{

/// Maximum size of a datagram between VMs, without IP and UDP headers.
constexpr std::size_t maxDatagramBytes = 1200;
/// Size of a message's envelope: sender, incarnation, sequence number, hybrid time, HMAC-SHA256 and Thrift framing.
constexpr std::size_t envelopeBytes = 96;
/// Size of IP and UDP headers, which count against the control budget.
constexpr std::size_t networkHeaderBytes = 28;

/// Upper bound of an item's size in Thrift's compact protocol. Thread-safe.
std::size_t wireSize(const ViewItem &item);

/// Upper bound of the size of a message's datagram, including the envelope. Thread-safe.
std::size_t wireSize(const PeerMessage &message);

} // namespace boragelug
