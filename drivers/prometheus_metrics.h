#pragma once

#include "servers/metric_sink.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace boragelug
{

/**
 * Keeps metrics in a prometheus-cpp registry and renders them as text.
 *
 * Label sets are bounded for each metric, because label values can come from callers and catalogues: beyond the
 * bound, counters and histograms count on in a series whose label values are all "other", and gauges are dropped.
 * Names that are invalid, or used for another type, are dropped. What was folded or dropped is counted in
 * boragelug_metric_updates_lost_total. Thread-safe.
 */
class PrometheusMetrics : public MetricSink
{
public:
    PrometheusMetrics();
    ~PrometheusMetrics() override;
    PrometheusMetrics(const PrometheusMetrics &) = delete;
    PrometheusMetrics &operator=(const PrometheusMetrics &) = delete;

    void add(std::string_view counter, double amount, const MetricLabels &labels) override;
    void set(std::string_view gauge, double value, const MetricLabels &labels) override;
    void observe(std::string_view histogram, double seconds, const MetricLabels &labels) override;

    /// Removes all series that have @p label with a value not in @p values, such as those of removed entries.
    void retain(std::string_view label, const std::set<std::string> &values);

    /// All metrics in the Prometheus text format, version 0.0.4.
    std::string exposition() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace boragelug
