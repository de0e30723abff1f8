#pragma once

#include "drivers/event_recorder.h"
#include "drivers/prometheus_metrics.h"
#include "model/tagged_settings.h"
#include "node/tagged_node.h"
#include "programs/total_exporter.h"
#include "servers/admin_source.h"

namespace boragelug
{

/**
 * Shows a TaggedProcess to the admin server and exports the node's counters.
 *
 * Runs on the process's thread. References must outlive it.
 */
class TaggedAdmin : public AdminSource
{
public:
    TaggedAdmin(const TaggedSettings &settings,
                Incarnation incarnation,
                const TaggedNode &node,
                const EventRecorder &events,
                const Clock &clock,
                PrometheusMetrics &metrics);

    ReadinessReport readiness() const override;
    StatusReport status() const override;
    EventSelection events(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const override;
    Outcome<Explanation, std::string> explain(const ExplainQuery &query) const override;
    Outcome<CataloguePage, std::string> catalogue(const std::optional<Endpoint> &after,
                                                  std::size_t most) const override;
    std::string metrics() const override { return metrics_.exposition(); }

    /// Adds what the node counted since the last call. Call it once a second.
    void exportMetrics();

private:
    const TaggedSettings &settings_;
    Incarnation incarnation_;
    const TaggedNode &node_;
    const EventRecorder &events_;
    const Clock &clock_;
    PrometheusMetrics &metrics_;
    TotalExporter totals_;
};

/// Number of the VM with this name in events and reports. Thread-safe.
VmId vmNumber(const std::string &name);

} // namespace boragelug
