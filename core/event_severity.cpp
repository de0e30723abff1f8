#include "core/event_severity.h"

#include <charconv>

namespace boragelug
{

namespace
{

/// One more than the highest number that the numbering scheme of core/event.h allows.
constexpr std::uint16_t endOfEventNumbers = 800;

bool exists(std::uint16_t number)
{
    return eventName(static_cast<EventNumber>(number)) != "unknown_event";
}

} // namespace

EventSeverity severityOf(EventNumber number)
{
    switch (number) {
    case EventNumber::SettingsRejected:
    case EventNumber::HandlerFailed:
    case EventNumber::CatalogueRejected:
        return EventSeverity::Error;
    case EventNumber::ProcessSlept:
    case EventNumber::CatalogueStale:
    case EventNumber::PlatformUnreachable:
    case EventNumber::MemberSuspected:
    case EventNumber::MemberDead:
    case EventNumber::ViewInDoubt:
    case EventNumber::FlowRefused:
    case EventNumber::FlowGuessed:
    case EventNumber::FlowEvicted:
    case EventNumber::PacketDropped:
    case EventNumber::FlowUnanswered:
    case EventNumber::FlowTagDiffers:
    case EventNumber::RequestUnknown:
    case EventNumber::UpstreamEjected:
    case EventNumber::UpstreamSlow:
    case EventNumber::UpstreamLapsed:
    case EventNumber::RecordUnreadable:
    case EventNumber::ZoneEvacuated:
    case EventNumber::PeerMessageDropped:
    case EventNumber::PeerBudgetExhausted:
        return EventSeverity::Warning;
    case EventNumber::FlowPlaced:
    case EventNumber::FlowHandedOver:
    case EventNumber::RequestAccepted:
    case EventNumber::RequestDispatched:
    case EventNumber::RequestAnswered:
    case EventNumber::RequestForwarded:
    case EventNumber::RequestCancelled:
    case EventNumber::OperatorQuery:
        return EventSeverity::Debug;
    default:
        return EventSeverity::Info;
    }
}

std::string_view severityName(EventSeverity severity)
{
    switch (severity) {
    case EventSeverity::Debug:
        return "debug";
    case EventSeverity::Info:
        return "info";
    case EventSeverity::Warning:
        return "warning";
    case EventSeverity::Error:
        return "error";
    }
    return "invalid";
}

bool isFrequent(EventNumber number)
{
    const auto value = static_cast<std::uint16_t>(number);
    return (value >= 300 && value < 500) || number == EventNumber::PeerMessageDropped;
}

std::optional<EventNumber> parseEventNumber(std::string_view text)
{
    std::uint16_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error == std::errc() && end == text.data() + text.size()) {
        return exists(number) ? std::optional(static_cast<EventNumber>(number)) : std::nullopt;
    }
    for (std::uint16_t candidate = 0; candidate < endOfEventNumbers; ++candidate) {
        if (exists(candidate) && eventName(static_cast<EventNumber>(candidate)) == text) {
            return static_cast<EventNumber>(candidate);
        }
    }
    return std::nullopt;
}

} // namespace boragelug
