#pragma once

#include "model/catalogue.h"

#include <array>
#include <string_view>
#include <utility>

namespace boragelug
{

/// Words for the enumerations of the catalogue, the same in YAML, JSON, metrics and time lines.
inline constexpr std::array<std::pair<std::string_view, Importance>, 3> importanceWords { {
    { "critical", Importance::Critical },
    { "important", Importance::Important },
    { "ordinary", Importance::Ordinary },
} };
inline constexpr std::array<std::pair<std::string_view, Preference>, 2> preferenceWords { {
    { "flow_continuity", Preference::FlowContinuity },
    { "even_load", Preference::EvenLoad },
} };
inline constexpr std::array<std::pair<std::string_view, EntryKind>, 2> entryKindWords { {
    { "flows", EntryKind::Flows },
    { "requests", EntryKind::Requests },
} };

/// Word of @p value in @p words; "invalid" for a value out of range. Thread-safe.
template<class T, std::size_t Count>
constexpr std::string_view wordFor(const std::array<std::pair<std::string_view, T>, Count> &words, T value)
{
    for (const auto &[word, candidate] : words) {
        if (candidate == value) {
            return word;
        }
    }
    return "invalid";
}

} // namespace boragelug
