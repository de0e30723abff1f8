#pragma once

#include "model/directory_record.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace boragelug
{

/// Longest message between VMs about the directory: 8,000 entries need about 0.5 MB and 34,000 hosts 4 MB.
inline constexpr std::size_t maxRelayMessage = 8U << 20U;
/// Bytes of the length before each message.
inline constexpr std::size_t relayLengthBytes = 4;

/// A request as VMs send it.
struct RelayRequestMessage
{
    FollowRequest request;
    /// Returned with the answer; 0 from VMs that don't check it.
    std::uint64_t id = 0;
    /// The sender reads packed records.
    bool acceptsPacked = false;

    bool operator==(const RelayRequestMessage &) const = default;
};

/// An answer as VMs send it.
struct RelayAnswerMessage
{
    DirectoryChanges changes;
    /// Id of the request; 0 from VMs that don't return it.
    std::uint64_t requestId = 0;
};

/// Packs records for encodeRelayAnswer(). Thread-safe.
std::string packRelayRecords(const std::vector<DirectoryItem> &records);

/// A message with its length before it. Thread-safe.
std::vector<std::byte> encodeRelayRequest(const RelayRequestMessage &message);
/// The same for an answer, with @p packedRecords if they aren't empty. Thread-safe.
std::vector<std::byte> encodeRelayAnswer(const RelayAnswerMessage &message, const std::string &packedRecords = {});

/// Length of the message that follows these bytes; nothing if it is over maxRelayMessage. Thread-safe.
std::optional<std::size_t> decodeRelayLength(std::span<const std::byte, relayLengthBytes> bytes);

/// A message without its length; nothing if it isn't valid. Never throws. Thread-safe.
std::optional<RelayRequestMessage> decodeRelayRequest(std::span<const std::byte> bytes);
/// The same for an answer. Thread-safe.
std::optional<RelayAnswerMessage> decodeRelayAnswer(std::span<const std::byte> bytes);

} // namespace boragelug
