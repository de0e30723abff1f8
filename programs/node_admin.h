#pragma once

#include "drivers/event_recorder.h"
#include "drivers/prometheus_metrics.h"
#include "model/settings.h"
#include "node/entry_node.h"
#include "programs/total_exporter.h"
#include "servers/admin_source.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace boragelug
{

/// What an EntryProcess knows of itself.
struct ProcessState
{
    /// Null until the platform told the zone's number.
    const EntryNode *node = nullptr;
    bool draining = false;
};

/**
 * Shows an EntryProcess to the admin server and exports the node's counters.
 *
 * Runs on the process's thread. References must outlive it.
 */
class NodeAdmin : public AdminSource
{
public:
    NodeAdmin(const Settings &settings,
              Incarnation incarnation,
              const ProcessState &state,
              const EventRecorder &events,
              const Clock &clock,
              PrometheusMetrics &metrics);

    ReadinessReport readiness() const override;
    StatusReport status() const override;
    EventSelection events(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const override;
    Outcome<Explanation, std::string> explain(const ExplainQuery &query) const override;
    std::string metrics() const override { return metrics_.exposition(); }

    /// Adds what the node counted since the last call. Call it once a second.
    void exportMetrics();

private:
    void exportRouting();
    void exportService(const ServiceStatus &service);

    const Settings &settings_;
    Incarnation incarnation_;
    const ProcessState &state_;
    const EventRecorder &events_;
    const Clock &clock_;
    PrometheusMetrics &metrics_;
    TotalExporter totals_;
};

} // namespace boragelug
