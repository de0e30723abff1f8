#pragma once

#include "core/outcome.h"
#include "servers/admin_source.h"

#include <string>
#include <string_view>

namespace boragelug
{

/// JSON of /status. Thread-safe.
std::string statusToJson(const StatusReport &report);

/// Reads what statusToJson() writes; a reason if @p text is anything else. Thread-safe.
Outcome<StatusReport, std::string> statusFromJson(std::string_view text);

/// JSON of /explain, with an advice on refusals. Thread-safe.
std::string explanationToJson(const Explanation &explanation);

/// Words "starting", "ready", "draining" and "broken". Thread-safe.
std::string_view readinessName(Readiness readiness);

} // namespace boragelug
