#include "core/event.h"

#include <array>
#include <cstdio>

namespace boragelug
{

std::string_view eventName(EventNumber number)
{
    switch (number) {
    case EventNumber::ProcessStarted:
        return "process_started";
    case EventNumber::ProcessReady:
        return "process_ready";
    case EventNumber::ProcessDraining:
        return "process_draining";
    case EventNumber::ProcessStopped:
        return "process_stopped";
    case EventNumber::ProcessSlept:
        return "process_slept";
    case EventNumber::SettingsReloaded:
        return "settings_reloaded";
    case EventNumber::SettingsRejected:
        return "settings_rejected";
    case EventNumber::HandlerFailed:
        return "handler_failed";
    case EventNumber::CatalogueAdopted:
        return "catalogue_adopted";
    case EventNumber::CatalogueRejected:
        return "catalogue_rejected";
    case EventNumber::CatalogueStale:
        return "catalogue_stale";
    case EventNumber::PlatformUnreachable:
        return "platform_unreachable";
    case EventNumber::PlatformReachable:
        return "platform_reachable";
    case EventNumber::ReaderRoleTaken:
        return "reader_role_taken";
    case EventNumber::ReaderRoleLeft:
        return "reader_role_left";
    case EventNumber::MemberJoined:
        return "member_joined";
    case EventNumber::MemberSuspected:
        return "member_suspected";
    case EventNumber::MemberDead:
        return "member_dead";
    case EventNumber::MemberLeaving:
        return "member_leaving";
    case EventNumber::ViewInDoubt:
        return "view_in_doubt";
    case EventNumber::ViewCertain:
        return "view_certain";
    case EventNumber::RecordUnreadable:
        return "record_unreadable";
    case EventNumber::DirectoryCallFailed:
        return "directory_call_failed";
    case EventNumber::RelayFollowed:
        return "relay_followed";
    case EventNumber::RelayLost:
        return "relay_lost";
    case EventNumber::ZoneEvacuated:
        return "zone_evacuated";
    case EventNumber::ZoneRestored:
        return "zone_restored";
    case EventNumber::FlowPlaced:
        return "flow_placed";
    case EventNumber::FlowRefused:
        return "flow_refused";
    case EventNumber::FlowGuessed:
        return "flow_guessed";
    case EventNumber::FlowHandedOver:
        return "flow_handed_over";
    case EventNumber::FlowEvicted:
        return "flow_evicted";
    case EventNumber::PacketDropped:
        return "packet_dropped";
    case EventNumber::FlowUnanswered:
        return "flow_unanswered";
    case EventNumber::FlowWaits:
        return "flow_waits";
    case EventNumber::FlowReleased:
        return "flow_released";
    case EventNumber::FlowTagDiffers:
        return "flow_tag_differs";
    case EventNumber::RequestAccepted:
        return "request_accepted";
    case EventNumber::RequestDispatched:
        return "request_dispatched";
    case EventNumber::RequestAnswered:
        return "request_answered";
    case EventNumber::RequestRefused:
        return "request_refused";
    case EventNumber::RequestUnknown:
        return "request_unknown";
    case EventNumber::RequestRetried:
        return "request_retried";
    case EventNumber::RequestForwarded:
        return "request_forwarded";
    case EventNumber::RequestCancelled:
        return "request_cancelled";
    case EventNumber::AnswerDiscarded:
        return "answer_discarded";
    case EventNumber::UpstreamAppeared:
        return "upstream_appeared";
    case EventNumber::UpstreamDraining:
        return "upstream_draining";
    case EventNumber::UpstreamGone:
        return "upstream_gone";
    case EventNumber::UpstreamEjected:
        return "upstream_ejected";
    case EventNumber::UpstreamRecovered:
        return "upstream_recovered";
    case EventNumber::UpstreamLapsed:
        return "upstream_lapsed";
    case EventNumber::UpstreamChecked:
        return "upstream_checked";
    case EventNumber::UpstreamSlow:
        return "upstream_slow";
    case EventNumber::UpstreamFast:
        return "upstream_fast";
    case EventNumber::PeerMessageDropped:
        return "peer_message_dropped";
    case EventNumber::PeerBudgetExhausted:
        return "peer_budget_exhausted";
    case EventNumber::OperatorQuery:
        return "operator_query";
    }
    return "unknown_event";
}

std::string causeText(std::uint64_t causeId)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(causeId));
    return text.data();
}

} // namespace boragelug
