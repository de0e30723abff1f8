#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace boragelug
{

/**
 * Identifies one request and the only process that may dispatch it.
 *
 * The expiry is a time of the issuer's boot clock and can't be interpreted by other VMs.
 */
struct RequestId
{
    VmId vm;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    TimePoint expiry;

    auto operator<=>(const RequestId &) const = default;
};

/// HMAC key for request ids; the same on all VMs of the fleet.
using RequestIdKey = std::array<std::byte, 32>;

/// Result of parsing and verifying a request id.
enum class RequestIdCheck : std::uint8_t {
    Valid,
    /// Does not have the form of an issued id; it may be a caller-chosen id.
    Foreign,
    /// Has the form of an issued id, but the HMAC does not match: it was altered or issued under another key.
    Unverified,
};

/// A parsed request id; @c id is valid only if @c check is Valid.
struct ParsedRequestId
{
    RequestIdCheck check = RequestIdCheck::Foreign;
    RequestId id;
};

/// Text form for an HTTP header field: "blg1-", four fields of 16 lower-case hex digits and an HMAC tag of 32 digits,
/// separated by '-'. Thread-safe.
std::string formatRequestId(const RequestId &id, const RequestIdKey &key);

/// Parses the exact text form and verifies its HMAC-SHA256 tag (first 128 bits) in constant time. A text that
/// deviates in length, separators, case or digits is Foreign. Thread-safe.
ParsedRequestId parseRequestId(std::string_view text, const RequestIdKey &key);

} // namespace boragelug
