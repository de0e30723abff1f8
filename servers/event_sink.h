#pragma once

#include "core/event.h"

#include <string>
#include <utility>
#include <vector>

namespace boragelug
{

/// Receives numbered events for the log and the time line. Implementations are thread-safe.
class EventSink
{
public:
    virtual ~EventSink() = default;

    /// Records an event. @p causeId groups events of one flow, request or change; 0 is none.
    virtual void
    record(EventNumber number, std::uint64_t causeId, std::vector<std::pair<std::string, std::string>> fields) = 0;
};

} // namespace boragelug
