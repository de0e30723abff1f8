#include "requests/request.h"

namespace boragelug
{

std::string_view refusalReasonName(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::QueueFull:
        return "queue_full";
    case RefusalReason::LimitReached:
        return "limit_reached";
    case RefusalReason::DeadlineUnreachable:
        return "deadline_unreachable";
    case RefusalReason::DeadlinePassed:
        return "deadline_passed";
    case RefusalReason::Cancelled:
        return "cancelled";
    case RefusalReason::Draining:
        return "draining";
    case RefusalReason::NoUpstream:
        return "no_upstream";
    case RefusalReason::UpstreamRefused:
        return "upstream_refused";
    case RefusalReason::UnknownEntry:
        return "unknown_entry";
    case RefusalReason::MissingRequestId:
        return "missing_request_id";
    case RefusalReason::CallerChosenId:
        return "caller_chosen_id";
    case RefusalReason::RequestIdReused:
        return "request_id_reused";
    case RefusalReason::InvalidTimeout:
        return "invalid_timeout";
    case RefusalReason::RecordsFull:
        return "records_full";
    }
    return "unknown_reason";
}

std::string_view unknownReasonName(UnknownReason reason)
{
    switch (reason) {
    case UnknownReason::DeadlinePassed:
        return "deadline_passed";
    case UnknownReason::ConnectionLost:
        return "connection_lost";
    case UnknownReason::Cancelled:
        return "cancelled";
    case UnknownReason::IssuerUnreachable:
        return "issuer_unreachable";
    case UnknownReason::RecordExpired:
        return "record_expired";
    case UnknownReason::AnswerNotKept:
        return "answer_not_kept";
    case UnknownReason::UnverifiedId:
        return "unverified_id";
    case UnknownReason::DrainBoundReached:
        return "drain_bound_reached";
    }
    return "unknown_reason";
}

std::string_view outcomeName(const RequestOutcome &outcome)
{
    if (std::holds_alternative<AnsweredOutcome>(outcome)) {
        return "answered";
    }
    return std::holds_alternative<RefusedOutcome>(outcome) ? "refused" : "unknown";
}

} // namespace boragelug
