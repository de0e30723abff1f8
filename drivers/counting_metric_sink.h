#pragma once

#include "servers/metric_sink.h"

#include <map>
#include <mutex>
#include <string>

namespace boragelug
{

/// Keeps metrics in memory, for programs that don't export them and for tests. Thread-safe.
class CountingMetricSink : public MetricSink
{
public:
    void add(std::string_view counter, double amount, const MetricLabels &labels) override;
    void set(std::string_view gauge, double value, const MetricLabels &labels) override;
    void observe(std::string_view histogram, double seconds, const MetricLabels &labels) override;

    /// Value of the counter or gauge @p name, or observations of the histogram; with @p label, of the series that has
    /// this label value, otherwise of all series together.
    double value(const std::string &name, const std::string &label = {}) const;

private:
    void change(std::string_view name, const MetricLabels &labels, double amount, bool replace);

    mutable std::mutex mutex_;
    std::map<std::string, std::map<MetricLabels, double>> values_;
};

} // namespace boragelug
