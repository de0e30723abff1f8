#pragma once

#include "core/event.h"
#include "core/event_filter.h"
#include "programs/boragelugctl/options.h"

#include <cstddef>
#include <istream>
#include <string>
#include <vector>

namespace boragelug
{

/// Events of log files.
struct EventLog
{
    std::vector<Event> events;
    /// Lines that aren't events, such as those of other programs.
    std::size_t otherLines = 0;
};

/// Reads the lines that @p filter lets pass.
EventLog readEventLog(std::istream &in, const EventFilter &filter);

/// The same from files, "-" for standard input. Throws UsageError for a file that can't be read.
EventLog readEventLogs(const std::vector<std::string> &paths, const EventFilter &filter);

/// The filter that the options of `timeline` describe. Throws UsageError for a wrong value.
EventFilter filterFrom(const ParsedOptions &options);

/// What the lines about one flow show.
struct FlowExplanation
{
    /// Lines of the flow, of its upstreams, and of the VMs that carried it around that time, in their order.
    std::vector<Event> events;
    /// The likely cause in one sentence; says so if the lines don't show one.
    std::string cause;
};

/// Explains the flow with @p causeId from @p events of all VMs. Nothing was logged of it if no event is returned.
FlowExplanation explainFlow(const std::vector<Event> &events, std::uint64_t causeId);

} // namespace boragelug
