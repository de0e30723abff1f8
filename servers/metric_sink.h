#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragelug
{

/// Label names and values of one time series.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

/// Receives metrics. Names and units follow the Prometheus conventions. Implementations are thread-safe.
class MetricSink
{
public:
    virtual ~MetricSink() = default;

    /// Adds @p amount to a counter. Precondition: @p amount is not negative.
    virtual void add(std::string_view counter, double amount, const MetricLabels &labels = {}) = 0;

    /// Sets a gauge.
    virtual void set(std::string_view gauge, double value, const MetricLabels &labels = {}) = 0;

    /// Adds an observation in seconds to a histogram.
    virtual void observe(std::string_view histogram, double seconds, const MetricLabels &labels = {}) = 0;
};

} // namespace boragelug
