#include "drivers/metric_definitions.h"

#include <algorithm>
#include <array>

namespace boragelug
{

namespace
{

constexpr std::size_t single = 1;
/// Reasons, states and classes are small fixed sets.
constexpr std::size_t perReason = 64;
/// A fleet at the target size has 8,000 entries.
constexpr std::size_t perEntry = 10'000;
constexpr std::size_t perService = 1'000;
constexpr std::size_t undocumented = 100;

constexpr std::array<MetricDefinition, 61> definitions { {
    { "boragelug_admin_requests_refused_total", "Requests that the admin server refused, by reason.", perReason },
    { "boragelug_admin_requests_total", "Requests that the admin server answered, by path.", perReason },
    { "boragelug_admission_limit", "Requests that this VM lets a service work on at once, by service.", perService },
    { "boragelug_attempts_cancelled_total", "Attempts at upstreams that were cancelled.", single },
    { "boragelug_attempts_total", "Attempts of requests at upstreams.", single },
    { "boragelug_catalogue_rejected_total", "Catalogues that were refused as a whole.", single },
    { "boragelug_catalogue_version", "Version of the catalogue in effect.", single },
    { "boragelug_cold_upstreams",
      "Cold upstreams of services that limit them, among those that may take flows.",
      single },
    { "boragelug_directory_calls_total", "Calls to the directory.", single },
    { "boragelug_directory_failures_total", "Failed calls to the directory, by reason.", perReason },
    { "boragelug_directory_listings_abandoned_total",
      "Listings of the directory that were abandoned because they were slow.",
      single },
    { "boragelug_directory_read_seconds", "Time of answers of the directory that don't wait for a change.", single },
    { "boragelug_entry_bytes_total", "Bytes forwarded, by entry.", perEntry },
    { "boragelug_entry_limit_share", "This VM's share of a limit, by entry and limit.", 5 * perEntry },
    { "boragelug_entry_use", "Use that a limit bounds, by entry and limit.", 5 * perEntry },
    { "boragelug_evacuated_zones", "Availability zones that are evacuated.", single },
    { "boragelug_flow_table_entries", "Flow entries held.", single },
    { "boragelug_flow_tag_mismatches_total",
      "Flows whose callers used the tag of another upstream than the flow's.",
      single },
    { "boragelug_flows_broken_total", "Established flows that lost their upstream.", single },
    { "boragelug_flows_evicted_total", "Flow entries evicted from a full table, by state.", perReason },
    { "boragelug_flows_open", "Open flows of which this VM is the primary, by service.", perService },
    { "boragelug_flows_placed_remote_total", "New flows placed in another availability zone.", single },
    { "boragelug_flows_placed_total", "New flows placed.", single },
    { "boragelug_flows_refused_total", "Packets of flows refused, by reason.", perReason },
    { "boragelug_followers", "VMs that learn of the directory from this one.", single },
    { "boragelug_followers_refused_total", "Connections of followers beyond the bound.", single },
    { "boragelug_following", "1 if this VM learns of the directory from another one, otherwise 0.", single },
    { "boragelug_handler_failures_total", "Exceptions that left a callback; the process went on.", single },
    { "boragelug_imbalance", "Load of the most loaded upstream divided by the mean, by service.", perService },
    { "boragelug_members", "Peers, by health.", perReason },
    { "boragelug_metric_updates_lost_total", "Updates of metrics that were folded or dropped, by reason.", perReason },
    { "boragelug_packet_send_failures_total", "Packets that the socket refused.", single },
    { "boragelug_packets_dropped_total", "Packets dropped, by reason.", perReason },
    { "boragelug_packets_guessed_total", "Packets of unknown flows sent by hash alone.", single },
    { "boragelug_packets_received_total", "Packets received from fabric and peers.", single },
    { "boragelug_packets_redirected_total", "Packets sent to another VM.", single },
    { "boragelug_packets_sent_total", "Packets sent to upstreams and peers.", single },
    { "boragelug_peer_bytes_sent_total", "Bytes of peer messages sent.", single },
    { "boragelug_peer_messages_dropped_total", "Peer messages dropped, by reason.", perReason },
    { "boragelug_peer_messages_received_total", "Valid peer messages received.", single },
    { "boragelug_peer_messages_sent_total", "Peer messages sent.", single },
    { "boragelug_peer_messages_unsent_total", "Peer messages that could not be sent, by reason.", perReason },
    { "boragelug_process_sleeps_total", "Pauses of the process of more than 2 s.", single },
    { "boragelug_ready", "1 if the process takes work, otherwise 0.", single },
    { "boragelug_relay_calls_total", "Calls to VMs that read the directory for others.", single },
    { "boragelug_request_duplicates_total", "Requests that arrived again and were not dispatched again.", single },
    { "boragelug_request_duration_seconds", "Time from arrival to outcome of requests, by importance.", perReason },
    { "boragelug_request_retries_total", "Further attempts of requests.", single },
    { "boragelug_requests_total", "Outcomes of requests, by entry and outcome.", 4 * perEntry },
    { "boragelug_requests_waited_total", "Requests that had to wait for room at their service.", single },
    { "boragelug_requests_waiting", "Requests that wait for room at their service.", single },
    { "boragelug_service_mismatch_total", "Packets refused because flow and upstream differ in service.", single },
    { "boragelug_slot_excess", "Slots in use beyond what hosts have, as known to this VM, by service.", perService },
    { "boragelug_slow_upstreams", "Upstreams that answer more slowly than the others of their service.", single },
    { "boragelug_upstream_checks_total", "Checks of the addresses of suspected upstreams.", single },
    { "boragelug_upstream_late_work_total",
      "New work sent to an upstream over 3 s after it was known to leave.",
      single },
    { "boragelug_upstream_misses_total", "Packets of callers that an upstream left without answer.", single },
    { "boragelug_upstreams", "Upstreams, by service and state.", 8 * perService },
    { "boragelug_view_age_seconds", "Time since the view was last confirmed.", single },
    { "boragelug_view_in_doubt", "1 while the view is in doubt, otherwise 0.", single },
    { "boragelug_work_interrupted_total", "Requests and flow entries that a planned stop left behind.", single },
} };

} // namespace

std::span<const MetricDefinition> metricDefinitions()
{
    return definitions;
}

MetricDefinition metricDefinition(std::string_view name)
{
    const auto found = std::lower_bound(
        definitions.begin(), definitions.end(), name, [](const MetricDefinition &definition, std::string_view value) {
            return definition.name < value;
        });
    if (found != definitions.end() && found->name == name) {
        return *found;
    }
    return { name, "No description.", undocumented };
}

} // namespace boragelug
