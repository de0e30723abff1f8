#pragma once

#include "servers/metric_sink.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace boragelug
{

/// Turns totals that others count into counters of a metric sink. Not synchronized: one thread at a time.
class TotalExporter
{
public:
    /// @p metrics must outlive the exporter.
    explicit TotalExporter(MetricSink &metrics)
        : metrics_(metrics)
    { }

    /// Adds what the total gained since the last call for the same name and labels.
    void add(const std::string &counter, std::uint64_t total, const MetricLabels &labels = {});

private:
    MetricSink &metrics_;
    std::map<std::pair<std::string, MetricLabels>, std::uint64_t> exported_;
};

} // namespace boragelug
