#pragma once

#include "core/event.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace boragelug
{

/// An event for the process's event sink.
struct ViewEvent
{
    EventNumber number = EventNumber::CatalogueAdopted;
    /// Groups the events with one cause: a catalogue version or the id of a VM or upstream; 0 if there is none.
    std::uint64_t causeId = 0;
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace boragelug
