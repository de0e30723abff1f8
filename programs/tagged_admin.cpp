#include "programs/tagged_admin.h"

#include "core/hash.h"
#include "routing/flow_tag.h"

#include <limits>
#include <map>
#include <utility>

namespace boragelug
{
namespace
{

constexpr std::size_t maxExplainedEvents = 200;

std::string serviceName(ServiceId service)
{
    return "service-" + std::to_string(service.value);
}

std::vector<ServiceStatus> countUpstreams(const TaggedNode &node)
{
    std::map<std::pair<std::uint64_t, std::uint64_t>, UpstreamUsage> used;
    for (const UpstreamUsage &use : node.router().usage()) {
        used[{ use.upstream.value, use.incarnation.value }] = use;
    }
    std::map<ServiceId, ServiceStatus> services;
    for (const DirectoryUpstream &status : node.view()->upstreams) {
        ServiceStatus &service = services[status.upstream.service];
        const bool active = status.upstream.state == UpstreamState::Active;
        const bool listed = status.listing != Listing::Gone;
        const auto use = used[{ status.upstream.id.value, status.upstream.incarnation.value }];
        service.active += listed && active && !use.ejected ? 1 : 0;
        service.ejected += listed && active && use.ejected ? 1 : 0;
        service.draining += listed && !active ? 1 : 0;
        service.leaving += listed ? 0 : 1;
        service.openFlows += use.openFlows;
    }
    std::vector<ServiceStatus> all;
    for (auto &[id, service] : services) {
        service.name = serviceName(id);
        all.push_back(std::move(service));
    }
    return all;
}

std::vector<UpstreamSlowness> slowUpstreams(const TaggedNode &node, TimePoint now)
{
    const std::vector<SlowUpstream> slowest = node.router().speeds().slowest(maxSlowShown, now);
    if (slowest.empty()) {
        return {};
    }
    std::map<FlowTag, const Upstream *> upstreams;
    for (const DirectoryUpstream &status : node.view()->upstreams) {
        upstreams[flowTagOf(status.upstream.id, status.upstream.incarnation)] = &status.upstream;
    }
    std::vector<UpstreamSlowness> all;
    for (const SlowUpstream &slow : slowest) {
        if (const auto found = upstreams.find(slow.upstream); found != upstreams.end()) {
            all.push_back({ found->second->id, serviceName(found->second->service), slow.slowness });
        }
    }
    return all;
}

} // namespace

VmId vmNumber(const std::string &name)
{
    // The time line keeps numbers of VMs in signed 64-bit fields.
    return VmId { hashText(name) & static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()) };
}

TaggedAdmin::TaggedAdmin(const TaggedSettings &settings,
                         Incarnation incarnation,
                         const TaggedNode &node,
                         const EventRecorder &events,
                         const Clock &clock,
                         PrometheusMetrics &metrics)
    : settings_(settings)
    , incarnation_(incarnation)
    , node_(node)
    , events_(events)
    , clock_(clock)
    , metrics_(metrics)
    , totals_(metrics)
{ }

ReadinessReport TaggedAdmin::readiness() const
{
    if (node_.isDraining()) {
        return { .state = Readiness::Draining, .reason = "forwards until the fabric no longer sends packets" };
    }
    if (!node_.isReady()) {
        return { .state = Readiness::Starting, .reason = "the directory has not been read yet" };
    }
    return { .state = Readiness::Ready, .reason = {} };
}

StatusReport TaggedAdmin::status() const
{
    StatusReport report;
    report.vm = vmNumber(settings_.vm);
    report.incarnation = incarnation_;
    report.zone = settings_.zone;
    report.readiness = readiness();
    if (!node_.view()) {
        return report;
    }
    const TimePoint now = clock_.now();
    report.catalogueVersion = node_.view()->version;
    report.viewGeneration = node_.view()->revision.value;
    report.viewAge = node_.viewAge(now).value_or(Duration {});
    report.platformReachable = node_.isFresh(now);
    report.openFlows = node_.router().trackedFlows();
    report.services = countUpstreams(node_);
    report.slowUpstreams = slowUpstreams(node_, now);
    const TaggedCounters &counters = node_.router().counters();
    for (std::size_t i = 0; i < taggedRefusalCount; ++i) {
        if (counters.resets.at(i) > 0) {
            report.refused.emplace_back(taggedRefusalName(static_cast<TaggedRefusal>(i)), counters.resets.at(i));
        }
    }
    return report;
}

EventSelection TaggedAdmin::events(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const
{
    return events_.select(filter, afterSequence, most);
}

Outcome<Explanation, std::string> TaggedAdmin::explain(const ExplainQuery &query) const
{
    using Result = Outcome<Explanation, std::string>;
    const auto *flow = std::get_if<FlowQuery>(&query);
    if (flow == nullptr) {
        return Result::failure("requests travel inside flows, which only their ends can read; ask for the flow");
    }
    EventFilter filter;
    filter.causeId = flow->key ? flow->key->value : flowCause(flow->caller, flow->entry);
    Explanation explanation;
    explanation.subject = causeText(*filter.causeId);
    explanation.events = events_.select(filter, 0, maxExplainedEvents).events;
    if (explanation.events.empty()) {
        return Result::failure("this VM has no event of the flow");
    }
    if (node_.view()) {
        explanation.catalogueVersion = node_.view()->version;
        explanation.viewGeneration = node_.view()->revision.value;
    }
    const EventNumber last = explanation.events.back().number;
    explanation.outcome = last == EventNumber::FlowPlaced ? "placed" : "refused";
    return explanation;
}

Outcome<CataloguePage, std::string> TaggedAdmin::catalogue(const std::optional<Endpoint> &after, std::size_t most) const
{
    const CatalogueMirror &catalogue = node_.catalogue();
    if (catalogue.version().value == 0) {
        return Outcome<CataloguePage, std::string>::failure("the directory's catalogue has not been read yet");
    }
    CataloguePage page;
    page.record.version = catalogue.version();
    page.record.flowIdleTimeout = catalogue.flowIdleTimeout();
    if (!after) {
        page.record.services = catalogue.services();
    }
    // One more than asked for tells whether entries follow.
    page.record.entries = catalogue.entriesAfter(after, most + 1);
    page.more = page.record.entries.size() > most;
    if (page.more) {
        page.record.entries.pop_back();
    }
    return page;
}

void TaggedAdmin::exportMetrics()
{
    metrics_.set("boragelug_ready", node_.isReady() ? 1 : 0, {});
    const TaggedCounters &counters = node_.router().counters();
    totals_.add("boragelug_packets_sent_total", counters.forwarded);
    totals_.add("boragelug_flows_placed_total", counters.placed);
    totals_.add("boragelug_flows_placed_remote_total", counters.placedRemote);
    totals_.add("boragelug_upstream_misses_total", counters.unansweredPackets);
    totals_.add("boragelug_flow_tag_mismatches_total", counters.tagMismatches);
    for (std::size_t i = 0; i < taggedRefusalCount; ++i) {
        const std::string reason(taggedRefusalName(static_cast<TaggedRefusal>(i)));
        totals_.add("boragelug_flows_refused_total", counters.resets.at(i), { { "reason", reason } });
        totals_.add("boragelug_packets_dropped_total", counters.dropped.at(i), { { "reason", reason } });
    }
    totals_.add("boragelug_requests_waited_total", node_.waitedRequests());
    metrics_.set("boragelug_requests_waiting", static_cast<double>(node_.waitingRequests()), {});
    for (const auto &[service, limit] : node_.router().admissionLimits()) {
        metrics_.set("boragelug_admission_limit", limit, { { "service", serviceName(service) } });
    }
    metrics_.set("boragelug_followers", static_cast<double>(node_.followers()), {});
    metrics_.set("boragelug_following", node_.isFollowing() ? 1 : 0, {});
    metrics_.set("boragelug_cold_upstreams", static_cast<double>(node_.router().coldUpstreams(clock_.now())), {});
    const std::size_t slow = node_.router().speeds().slowCount(clock_.now());
    metrics_.set("boragelug_slow_upstreams", static_cast<double>(slow), {});
    metrics_.set("boragelug_evacuated_zones", static_cast<double>(node_.evacuatedZones()), {});
    if (!node_.view()) {
        return;
    }
    const StatusReport report = status();
    metrics_.set("boragelug_catalogue_version", static_cast<double>(report.catalogueVersion.value), {});
    metrics_.set("boragelug_view_age_seconds", std::chrono::duration<double>(report.viewAge).count(), {});
    metrics_.set("boragelug_flow_table_entries", static_cast<double>(report.openFlows), {});
    for (const ServiceStatus &service : report.services) {
        const std::pair<std::string, std::string> name { "service", service.name };
        metrics_.set("boragelug_upstreams", service.active, { name, { "state", "active" } });
        metrics_.set("boragelug_upstreams", service.ejected, { name, { "state", "ejected" } });
        metrics_.set("boragelug_upstreams", service.draining, { name, { "state", "draining" } });
        metrics_.set("boragelug_upstreams", service.leaving, { name, { "state", "leaving" } });
    }
}

} // namespace boragelug
