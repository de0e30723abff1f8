#include "node/refuse_reason_name.h"

namespace boragelug
{

std::string_view refuseReasonName(RefuseReason reason)
{
    switch (reason) {
    case RefuseReason::UnknownEntry:
        return "unknown_entry";
    case RefuseReason::NoView:
        return "no_view";
    case RefuseReason::NoUpstream:
        return "no_upstream";
    case RefuseReason::NoCapacity:
        return "no_capacity";
    case RefuseReason::FlowLimit:
        return "flow_limit";
    case RefuseReason::RateLimit:
        return "rate_limit";
    case RefuseReason::FlowInUse:
        return "flow_in_use";
    case RefuseReason::ServiceMismatch:
        return "service_mismatch";
    case RefuseReason::UpstreamReplaced:
        return "upstream_replaced";
    case RefuseReason::UpstreamRemoved:
        return "upstream_gone";
    case RefuseReason::UpstreamUnknown:
        return "upstream_unknown";
    case RefuseReason::EntryServiceChanged:
        return "entry_moved";
    case RefuseReason::ViewUnconfirmed:
        return "in_doubt";
    case RefuseReason::BadOption:
        return "bad_option";
    }
    return "unknown";
}

} // namespace boragelug
