#include "drivers/counting_metric_sink.h"

#include <algorithm>

namespace boragelug
{

void CountingMetricSink::add(std::string_view counter, double amount, const MetricLabels &labels)
{
    change(counter, labels, amount, false);
}

void CountingMetricSink::set(std::string_view gauge, double value, const MetricLabels &labels)
{
    change(gauge, labels, value, true);
}

void CountingMetricSink::observe(std::string_view histogram, double, const MetricLabels &labels)
{
    change(histogram, labels, 1, false);
}

double CountingMetricSink::value(const std::string &name, const std::string &label) const
{
    const std::lock_guard lock(mutex_);
    const auto found = values_.find(name);
    if (found == values_.end()) {
        return 0;
    }
    double sum = 0;
    for (const auto &[labels, amount] : found->second) {
        const bool matches = label.empty()
            || std::any_of(labels.begin(), labels.end(), [&](const auto &pair) { return pair.second == label; });
        sum += matches ? amount : 0;
    }
    return sum;
}

void CountingMetricSink::change(std::string_view name, const MetricLabels &labels, double amount, bool replace)
{
    const std::lock_guard lock(mutex_);
    double &value = values_[std::string(name)][labels];
    value = replace ? amount : value + amount;
}

} // namespace boragelug
