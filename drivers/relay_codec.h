#pragma once

#include "model/directory_record.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace boragelug
{

/// Longest message between VMs about the directory: 8,000 entries need about 0.5 MB and 34,000 hosts 4 MB.
inline constexpr std::size_t maxRelayMessage = 8U << 20U;
/// Bytes of the length before each message.
inline constexpr std::size_t relayLengthBytes = 4;

/// A message with its length before it. Thread-safe.
std::vector<std::byte> encodeRelayRequest(const FollowRequest &request);
/// The same for an answer. Thread-safe.
std::vector<std::byte> encodeRelayAnswer(const DirectoryChanges &changes);

/// Length of the message that follows these bytes; nothing if it is over maxRelayMessage. Thread-safe.
std::optional<std::size_t> decodeRelayLength(std::span<const std::byte, relayLengthBytes> bytes);

/// A message without its length; nothing if it isn't valid. Never throws. Thread-safe.
std::optional<FollowRequest> decodeRelayRequest(std::span<const std::byte> bytes);
/// The same for an answer. Thread-safe.
std::optional<DirectoryChanges> decodeRelayAnswer(std::span<const std::byte> bytes);

} // namespace boragelug
