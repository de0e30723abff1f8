#include "drivers/prometheus_metrics.h"

#include "drivers/metric_definitions.h"

#include <algorithm>
#include <functional>
#include <map>
#include <mutex>
#include <variant>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace boragelug
{

namespace
{

constexpr std::size_t maxMetrics = 300;
constexpr std::size_t maxLabels = 8;
constexpr std::size_t maxLabelValueLength = 128;
constexpr std::string_view lostUpdates = "boragelug_metric_updates_lost_total";

/// Upper bounds in seconds, from a tenth of the latency within a zone to the longest common deadline.
const prometheus::Histogram::BucketBoundaries latencyBuckets { 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005,
                                                               0.01,   0.025,   0.05,   0.1,   0.25,   0.5,
                                                               1,      2.5,     5,      10,    30,     60 };

bool isNameStart(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

bool isValidName(std::string_view name)
{
    return !name.empty() && name.size() <= 120 && isNameStart(name.front()) && !name.starts_with("__")
        && std::all_of(name.begin(), name.end(), [](char c) { return isNameStart(c) || (c >= '0' && c <= '9'); });
}

bool areValid(const MetricLabels &labels)
{
    return labels.size() <= maxLabels && std::all_of(labels.begin(), labels.end(), [](const auto &label) {
               // Histograms use "le" for their buckets.
               return isValidName(label.first) && label.first != "le";
           });
}

std::string cleanValue(std::string value)
{
    value.resize(std::min(value.size(), maxLabelValueLength));
    std::replace_if(
        value.begin(), value.end(), [](char c) { return c < ' ' || c > '~'; }, '?');
    return value;
}

MetricLabels cleanLabels(MetricLabels labels)
{
    for (auto &label : labels) {
        label.second = cleanValue(std::move(label.second));
    }
    return labels;
}

template<class T>
struct Metric
{
    prometheus::Family<T> *family = nullptr;
    std::size_t maxSeries = 0;
    std::map<MetricLabels, T *> series;
};

using AnyMetric = std::variant<Metric<prometheus::Counter>, Metric<prometheus::Gauge>, Metric<prometheus::Histogram>>;

prometheus::Family<prometheus::Counter> &
makeFamily(prometheus::Registry &registry, const MetricDefinition &definition, const prometheus::Counter *)
{
    return prometheus::BuildCounter()
        .Name(std::string(definition.name))
        .Help(std::string(definition.help))
        .Register(registry);
}

prometheus::Family<prometheus::Gauge> &
makeFamily(prometheus::Registry &registry, const MetricDefinition &definition, const prometheus::Gauge *)
{
    return prometheus::BuildGauge()
        .Name(std::string(definition.name))
        .Help(std::string(definition.help))
        .Register(registry);
}

prometheus::Family<prometheus::Histogram> &
makeFamily(prometheus::Registry &registry, const MetricDefinition &definition, const prometheus::Histogram *)
{
    return prometheus::BuildHistogram()
        .Name(std::string(definition.name))
        .Help(std::string(definition.help))
        .Register(registry);
}

template<class T>
T &makeSeries(prometheus::Family<T> &family, const MetricLabels &labels)
{
    const prometheus::Labels pairs(labels.begin(), labels.end());
    if constexpr (std::is_same_v<T, prometheus::Histogram>) {
        return family.Add(pairs, latencyBuckets);
    } else {
        return family.Add(pairs);
    }
}

template<class T>
void retainSeries(Metric<T> &metric, std::string_view label, const std::set<std::string> &values)
{
    std::erase_if(metric.series, [&](const auto &item) {
        const auto &[labels, series] = item;
        const auto found =
            std::find_if(labels.begin(), labels.end(), [&](const auto &pair) { return pair.first == label; });
        const bool outdated = found != labels.end() && found->second != "other" && !values.contains(found->second);
        if (outdated) {
            metric.family->Remove(series);
        }
        return outdated;
    });
}

} // namespace

struct PrometheusMetrics::Impl
{
    /// The series for these labels, or null if the update has to be dropped.
    template<class T>
    T *find(std::string_view name, const MetricLabels &labels, bool foldIntoOther)
    {
        Metric<T> *const metric = findMetric<T>(name);
        if (metric == nullptr) {
            return nullptr;
        }
        const auto found = metric->series.find(labels);
        return found != metric->series.end() ? found->second : addSeries(*metric, labels, foldIntoOther);
    }

    template<class T>
    T *addSeries(Metric<T> &metric, const MetricLabels &labels, bool foldIntoOther)
    {
        if (!areValid(labels)) {
            lose("invalid_label");
            return nullptr;
        }
        MetricLabels cleaned = cleanLabels(labels);
        const auto found = metric.series.find(cleaned);
        if (found != metric.series.end()) {
            return found->second;
        }
        if (metric.series.size() >= metric.maxSeries) {
            lose("too_many_series");
            return foldIntoOther ? otherSeries(metric, std::move(cleaned)) : nullptr;
        }
        return metric.series.emplace(cleaned, &makeSeries(*metric.family, cleaned)).first->second;
    }

    template<class T>
    Metric<T> *findMetric(std::string_view name)
    {
        auto found = metrics.find(name);
        if (found == metrics.end()) {
            if (!isValidName(name) || metrics.size() >= maxMetrics) {
                lose(metrics.size() >= maxMetrics ? "too_many_metrics" : "invalid_name");
                return nullptr;
            }
            const MetricDefinition definition = metricDefinition(name);
            Metric<T> metric { &makeFamily(registry, definition, static_cast<T *>(nullptr)), definition.maxSeries, {} };
            found = metrics.emplace(std::string(name), std::move(metric)).first;
        }
        auto *const metric = std::get_if<Metric<T>>(&found->second);
        if (metric == nullptr) {
            lose("other_type");
        }
        return metric;
    }

    /// The series beyond the bound, of which there is at most one; null for labels with other names.
    template<class T>
    T *otherSeries(Metric<T> &metric, MetricLabels labels)
    {
        for (auto &label : labels) {
            label.second = "other";
        }
        const auto found = metric.series.find(labels);
        if (found != metric.series.end()) {
            return found->second;
        }
        if (metric.series.size() > metric.maxSeries) {
            return nullptr;
        }
        return metric.series.emplace(labels, &makeSeries(*metric.family, labels)).first->second;
    }

    void lose(const char *reason)
    {
        auto *const counter = find<prometheus::Counter>(lostUpdates, { { "reason", reason } }, false);
        if (counter != nullptr) {
            counter->Increment();
        }
    }

    mutable std::mutex mutex;
    prometheus::Registry registry;
    std::map<std::string, AnyMetric, std::less<>> metrics;
};

PrometheusMetrics::PrometheusMetrics()
    : impl_(std::make_unique<Impl>())
{
    // Registered first, so that it exists when the bound on metrics is reached.
    impl_->findMetric<prometheus::Counter>(lostUpdates);
}

PrometheusMetrics::~PrometheusMetrics() = default;

void PrometheusMetrics::add(std::string_view counter, double amount, const MetricLabels &labels)
{
    const std::lock_guard lock(impl_->mutex);
    if (auto *const series = impl_->find<prometheus::Counter>(counter, labels, true)) {
        series->Increment(amount);
    }
}

void PrometheusMetrics::set(std::string_view gauge, double value, const MetricLabels &labels)
{
    const std::lock_guard lock(impl_->mutex);
    if (auto *const series = impl_->find<prometheus::Gauge>(gauge, labels, false)) {
        series->Set(value);
    }
}

void PrometheusMetrics::observe(std::string_view histogram, double seconds, const MetricLabels &labels)
{
    const std::lock_guard lock(impl_->mutex);
    if (auto *const series = impl_->find<prometheus::Histogram>(histogram, labels, true)) {
        series->Observe(seconds);
    }
}

void PrometheusMetrics::retain(std::string_view label, const std::set<std::string> &values)
{
    const std::lock_guard lock(impl_->mutex);
    for (auto &[name, metric] : impl_->metrics) {
        std::visit([&](auto &typed) { retainSeries(typed, label, values); }, metric);
    }
}

std::string PrometheusMetrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace boragelug
