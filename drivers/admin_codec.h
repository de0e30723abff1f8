#pragma once

#include "core/outcome.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// A request to the admin server, with its target taken apart.
struct AdminRequest
{
    std::string path;
    /// Decoded query parameters.
    std::map<std::string, std::string, std::less<>> query;
};

/// An answer of the admin server.
struct AdminAnswer
{
    int status = 200;
    std::string contentType;
    std::string body;
};

/// Longest request that the admin server reads, which includes the longest /explain query.
inline constexpr std::size_t maxAdminRequest = 8192;

/// What has been read of a request so far.
enum class AdminReadState : std::uint8_t { NeedsMore, Complete, Refused };

/// Result of parsing the bytes read so far.
struct AdminReadResult
{
    AdminReadState state = AdminReadState::NeedsMore;
    /// Set if the state is Complete.
    AdminRequest request;
    /// Set if the state is Refused.
    AdminAnswer refusal;
};

/// Parses the start of a connection as one HTTP/1.1 GET request without a body. Refuses other methods, bodies,
/// malformed targets and more than maxAdminRequest bytes. Thread-safe.
AdminReadResult readAdminRequest(std::string_view bytes);

/// The whole message for @p answer; the connection is to be closed after it. Thread-safe.
std::string encodeAdminAnswer(const AdminAnswer &answer);

/// The request for @p target at @p host, which asks for the connection to be closed. Thread-safe.
std::string encodeAdminRequest(std::string_view target, std::string_view host);

/// Decodes an answer that was read up to the end of the connection. A reason if it is malformed or cut off.
/// Thread-safe.
Outcome<AdminAnswer, std::string> decodeAdminAnswer(std::string_view bytes, std::size_t maxBody);

/// An answer in plain text with a line end. Thread-safe.
AdminAnswer textAnswer(int status, std::string_view text);

/// Percent-encodes @p text for a query value. Thread-safe.
std::string encodeQueryValue(std::string_view text);

/// Splits and decodes a request target; nothing if it is malformed. Thread-safe.
std::optional<AdminRequest> parseTarget(std::string_view target);

} // namespace boragelug
