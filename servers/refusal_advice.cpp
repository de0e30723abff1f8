#include "servers/refusal_advice.h"

#include <array>
#include <utility>

namespace boragelug
{

namespace
{

constexpr std::array<std::pair<std::string_view, std::string_view>, 34> advices { {
    // Requests.
    { "queue_full", "Send less, raise the importance of the entry, or add upstreams to its service." },
    { "limit_reached", "Raise the entry's limits in the catalogue, or send less." },
    { "deadline_unreachable", "Give the request more time, or add upstreams: the queue is longer than the deadline." },
    { "deadline_passed", "Give the request more time." },
    { "cancelled", "Nothing: the caller withdrew the request." },
    { "draining", "Send the request again; another VM takes it." },
    { "no_upstream", "Check the service's upstreams under /status: all drain, are ejected or are gone." },
    { "upstream_refused", "Check the load of the service's upstreams; they refuse work." },
    { "unknown_entry", "Check the address: no entry of the catalogue has it." },
    { "missing_request_id", "Obtain a request id first; requests that aren't idempotent need one." },
    { "caller_chosen_id", "Obtain a request id from a VM; an own one is only valid for idempotent requests." },
    { "request_id_reused", "Obtain a new request id for each request." },
    { "invalid_timeout", "Send a timeout over 0 and within the entry's max_deadline." },
    { "records_full", "Raise tables.requests in the settings, or lower the entry's max_deadline." },
    { "connection_lost", "Check the upstream; it closed the connection while it had the request." },
    { "issuer_unreachable", "Check the VM that issued the request id; only it knows the outcome." },
    { "record_expired", "Ask for the outcome within the life of the request id." },
    { "answer_not_kept", "Ask for the outcome sooner; answers are kept for a short time only." },
    { "unverified_id", "Check that all VMs use the same key file." },
    { "drain_bound_reached", "Raise drain_bound in the settings above the longest request." },
    // Packets and flows.
    { "no_view", "Wait: the VM has no view yet. Check the platform's endpoints if it stays so." },
    { "no_capacity", "Add upstreams, raise connections_per_host, or set allow_spill on the entry." },
    { "flow_limit", "Raise limits.open_flows of the entry, or close flows." },
    { "rate_limit", "Raise limits.new_flows_per_second of the entry, or open flows more slowly." },
    { "flow_in_use", "Use another caller port: the last flow from this one is not over yet." },
    { "service_mismatch", "Nothing: the address now serves another service. The caller reconnects." },
    { "upstream_replaced", "Nothing: the upstream restarted. The caller reconnects." },
    { "upstream_gone", "Nothing: the upstream left the platform's list. The caller reconnects." },
    { "upstream_unknown", "Check the view age of this VM; it doesn't list the upstream yet." },
    { "entry_moved", "Nothing: the entry's service changed. The caller reconnects." },
    { "in_doubt", "Check the VM's peers and the platform: its view is in doubt, so it takes no risk." },
    { "bad_option", "Check that all VMs run the same version." },
    { "unsupported_protocol", "Use TCP or UDP." },
    { "fragment", "Lower the caller's packet size; fragments don't carry ports." },
} };

} // namespace

std::string_view refusalAdvice(std::string_view reason)
{
    for (const auto &[name, advice] : advices) {
        if (name == reason) {
            return advice;
        }
    }
    return "Look for the reason in docs/OPERATIONS.md.";
}

} // namespace boragelug
