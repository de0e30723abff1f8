#pragma once

#include "drivers/admin_codec.h"
#include "servers/admin_source.h"

namespace boragelug
{

/// Most events that one answer to /events holds; callers continue with "after".
inline constexpr std::size_t maxEventsPerAnswer = 2000;

/// Most entries that one answer to /catalogue holds; callers continue with "after". A whole catalogue of 32,000 entries
/// fits into the requests that the server accepts at once.
inline constexpr std::size_t maxEntriesPerAnswer = 1000;

/// Answers a request from @p source. Refuses unknown paths and parameters with what would be valid. Call on the thread
/// that the source expects.
AdminAnswer answerAdminRequest(const AdminRequest &request, const AdminSource &source);

/// Reads a flow as "PROTOCOL,CALLER,ENTRY" with endpoints, or as 16 hexadecimal digits of its key. Thread-safe.
std::optional<FlowQuery> parseFlowQuery(std::string_view text);

} // namespace boragelug
