#pragma once

#include <cstddef>
#include <span>
#include <string_view>

namespace boragelug
{

/// A documented metric.
struct MetricDefinition
{
    std::string_view name;
    std::string_view help;
    /// Bound on the label sets of this metric in one process.
    std::size_t maxSeries;
};

/// All documented metrics, sorted by name; docs/metrics.md describes the same ones.
std::span<const MetricDefinition> metricDefinitions();

/// Definition of @p name, or one with a general help text and bound. Thread-safe.
MetricDefinition metricDefinition(std::string_view name);

} // namespace boragelug
