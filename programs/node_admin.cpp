#include "programs/node_admin.h"

#include "drivers/event_text.h"
#include "node/refuse_reason_name.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace boragelug
{
namespace
{

constexpr std::size_t maxExplainedEvents = 200;

void countMembers(const View &view, StatusReport &report)
{
    for (const Member &member : view.members) {
        if (member.vm.id == view.self) {
            continue;
        }
        report.membersAlive += member.health == MemberHealth::Alive ? 1 : 0;
        report.membersSuspect += member.health == MemberHealth::Suspect ? 1 : 0;
        report.membersDead += member.health == MemberHealth::Dead ? 1 : 0;
    }
}

void countUpstreams(const EntryNode &node, TimePoint now, StatusReport &report)
{
    std::map<ServiceId, ServiceStatus> services;
    std::map<ServiceId, std::uint64_t> mostFlows;
    std::map<ServiceId, std::uint64_t> activeFlows;
    for (const Service &service : node.view()->catalogue.services) {
        services[service.id].name = service.name;
    }
    for (const UpstreamStatus &status : node.view()->upstreams) {
        ServiceStatus &service = services[status.upstream.service];
        const bool active = status.upstream.state == UpstreamState::Active;
        const bool usable = status.usable && node.dispatcher().upstreamUsable(status.upstream.id, now);
        service.active += active && usable ? 1 : 0;
        service.ejected += active && !usable ? 1 : 0;
        service.draining += status.upstream.state == UpstreamState::Draining ? 1 : 0;
        service.leaving += status.upstream.state == UpstreamState::Leaving ? 1 : 0;
        const std::uint64_t flows = node.router().primaryFlowsOn(status.upstream.id);
        service.openFlows += flows;
        if (active && usable) {
            mostFlows[status.upstream.service] = std::max(mostFlows[status.upstream.service], flows);
            activeFlows[status.upstream.service] += flows;
        }
    }
    for (auto &[id, service] : services) {
        if (activeFlows[id] > 0) {
            const double mean = static_cast<double>(activeFlows[id]) / service.active;
            service.imbalance = static_cast<double>(mostFlows[id]) / mean;
        }
        report.services.push_back(std::move(service));
    }
}

void countRefusals(const EntryNode &node, StatusReport &report)
{
    const auto &refused = node.router().counters().refused;
    for (std::size_t i = 0; i < refused.size(); ++i) {
        if (refused[i] > 0) {
            report.refused.emplace_back(refuseReasonName(static_cast<RefuseReason>(i)), refused[i]);
        }
    }
}

} // namespace

NodeAdmin::NodeAdmin(const Settings &settings,
                     Incarnation incarnation,
                     const ProcessState &state,
                     const EventRecorder &events,
                     const Clock &clock,
                     PrometheusMetrics &metrics)
    : settings_(settings)
    , incarnation_(incarnation)
    , state_(state)
    , events_(events)
    , clock_(clock)
    , metrics_(metrics)
    , totals_(metrics)
{ }

ReadinessReport NodeAdmin::readiness() const
{
    if (state_.draining) {
        return { .state = Readiness::Draining, .reason = "finishes requests and hands over flow entries" };
    }
    if (state_.node == nullptr) {
        return { .state = Readiness::Starting, .reason = "the platform has not yet told the number of the zone" };
    }
    if (!state_.node->isReady()) {
        return { .state = Readiness::Starting, .reason = "no confirmed view yet" };
    }
    return { .state = Readiness::Ready, .reason = {} };
}

StatusReport NodeAdmin::status() const
{
    StatusReport report;
    report.vm = settings_.vm;
    report.incarnation = incarnation_;
    report.zone = settings_.zone;
    report.region = settings_.region;
    report.readiness = readiness();
    if (state_.node == nullptr || !state_.node->isReady()) {
        return report;
    }
    const EntryNode &node = *state_.node;
    const View &view = *node.view();
    const TimePoint now = clock_.now();
    report.catalogueVersion = view.catalogue.version;
    report.viewGeneration = view.generation;
    report.viewAge = now - view.publishedAt;
    report.inDoubt = view.unconfirmed;
    report.openFlows = node.router().gauges().primaryFlows;
    report.brokenFlows = node.router().counters().broken;
    report.guessedPackets = node.router().counters().hashFallbacks;
    countMembers(view, report);
    report.cutOff = report.membersAlive == 0 && report.membersSuspect + report.membersDead > 0;
    countUpstreams(node, now, report);
    countRefusals(node, report);
    return report;
}

EventSelection NodeAdmin::events(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const
{
    return events_.select(filter, afterSequence, most);
}

Outcome<Explanation, std::string> NodeAdmin::explain(const ExplainQuery &query) const
{
    using Result = Outcome<Explanation, std::string>;
    const auto *flow = std::get_if<FlowQuery>(&query);
    if (flow == nullptr || !flow->key) {
        return Result::failure("this VM explains flows by their key only, which events show as cause");
    }
    if (state_.node == nullptr || !state_.node->isReady()) {
        return Result::failure("this VM has no view yet");
    }
    EventFilter filter;
    filter.causeId = flow->key->value;
    Explanation explanation;
    explanation.subject = causeText(flow->key->value);
    explanation.catalogueVersion = state_.node->view()->catalogue.version;
    explanation.viewGeneration = state_.node->view()->generation;
    explanation.inDoubt = state_.node->view()->unconfirmed;
    explanation.events = events_.select(filter, 0, maxExplainedEvents).events;
    if (explanation.events.empty()) {
        return Result::failure("this VM has no event of the flow");
    }
    explanation.outcome = explanation.events.back().number == EventNumber::FlowRefused ? "refused" : "placed";
    return explanation;
}

void NodeAdmin::exportMetrics()
{
    metrics_.set("boragelug_ready", readiness().state == Readiness::Ready ? 1 : 0, {});
    if (state_.node == nullptr || !state_.node->isReady()) {
        return;
    }
    exportRouting();
    totals_.add("boragelug_request_duplicates_total", state_.node->dispatcher().counters().duplicates);
    totals_.add("boragelug_request_retries_total", state_.node->dispatcher().counters().retried);
    const StatusReport report = status();
    metrics_.set("boragelug_catalogue_version", static_cast<double>(report.catalogueVersion.value), {});
    metrics_.set("boragelug_view_in_doubt", report.inDoubt ? 1 : 0, {});
    metrics_.set("boragelug_view_age_seconds", std::chrono::duration<double>(report.viewAge).count(), {});
    metrics_.set("boragelug_members", report.membersAlive, { { "health", "alive" } });
    metrics_.set("boragelug_members", report.membersSuspect, { { "health", "suspect" } });
    metrics_.set("boragelug_members", report.membersDead, { { "health", "dead" } });
    for (const auto &[reason, count] : report.refused) {
        totals_.add("boragelug_flows_refused_total", count, { { "reason", reason } });
    }
    for (const ServiceStatus &service : report.services) {
        exportService(service);
    }
}

void NodeAdmin::exportRouting()
{
    const RoutingCounters &routing = state_.node->router().counters();
    const auto mismatch = static_cast<std::size_t>(RefuseReason::ServiceMismatch);
    totals_.add("boragelug_packets_redirected_total", routing.redirected);
    totals_.add("boragelug_packets_guessed_total", routing.hashFallbacks);
    totals_.add("boragelug_service_mismatch_total", routing.refused[mismatch]);
    totals_.add("boragelug_flows_placed_total", routing.placed);
    totals_.add("boragelug_flows_broken_total", routing.broken);
    totals_.add("boragelug_flows_evicted_total", routing.evictedTransient, { { "state", "transient" } });
    totals_.add("boragelug_flows_evicted_total", routing.evictedEstablished, { { "state", "established" } });
    metrics_.set("boragelug_flow_table_entries", static_cast<double>(state_.node->router().gauges().flows), {});
}

void NodeAdmin::exportService(const ServiceStatus &service)
{
    const std::pair<std::string, std::string> name { "service", service.name };
    metrics_.set("boragelug_flows_open", static_cast<double>(service.openFlows), { name });
    metrics_.set("boragelug_imbalance", service.imbalance, { name });
    metrics_.set("boragelug_upstreams", service.active, { name, { "state", "active" } });
    metrics_.set("boragelug_upstreams", service.ejected, { name, { "state", "ejected" } });
    metrics_.set("boragelug_upstreams", service.draining, { name, { "state", "draining" } });
    metrics_.set("boragelug_upstreams", service.leaving, { name, { "state", "leaving" } });
}

} // namespace boragelug
