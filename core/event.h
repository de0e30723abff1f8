#pragma once

#include "core/hybrid_clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace boragelug
{

/**
 * Numbered events. Numbers are never reused; docs/events.md explains each.
 *
 * 1xx process, 2xx view, 3xx flow, 4xx request, 5xx upstream, 6xx peer message, 7xx operator.
 */
enum class EventNumber : std::uint16_t {
    ProcessStarted = 100,
    ProcessReady = 101,
    ProcessDraining = 102,
    ProcessStopped = 103,
    ProcessSlept = 104,
    SettingsReloaded = 105,
    SettingsRejected = 106,
    HandlerFailed = 107,
    CatalogueAdopted = 200,
    CatalogueRejected = 201,
    CatalogueStale = 202,
    PlatformUnreachable = 203,
    PlatformReachable = 204,
    ReaderRoleTaken = 205,
    ReaderRoleLeft = 206,
    MemberJoined = 210,
    MemberSuspected = 211,
    MemberDead = 212,
    MemberLeaving = 213,
    ViewInDoubt = 214,
    ViewCertain = 215,
    RecordUnreadable = 216,
    DirectoryCallFailed = 217,
    RelayFollowed = 218,
    RelayLost = 219,
    ZoneEvacuated = 220,
    ZoneRestored = 221,
    FlowPlaced = 300,
    FlowRefused = 301,
    FlowGuessed = 302,
    FlowHandedOver = 303,
    FlowEvicted = 304,
    PacketDropped = 305,
    FlowUnanswered = 306,
    FlowWaits = 307,
    FlowReleased = 308,
    FlowTagDiffers = 310,
    RequestAccepted = 400,
    RequestDispatched = 401,
    RequestAnswered = 402,
    RequestRefused = 403,
    RequestUnknown = 404,
    RequestRetried = 405,
    RequestForwarded = 406,
    RequestCancelled = 407,
    AnswerDiscarded = 408,
    UpstreamAppeared = 500,
    UpstreamDraining = 501,
    UpstreamGone = 502,
    UpstreamEjected = 503,
    UpstreamRecovered = 504,
    UpstreamLapsed = 505,
    UpstreamChecked = 506,
    UpstreamSlow = 507,
    UpstreamFast = 508,
    PeerMessageDropped = 600,
    PeerBudgetExhausted = 601,
    OperatorQuery = 700,
};

/// Name of an event as logs and time lines show it. Thread-safe.
std::string_view eventName(EventNumber number);

/// A cause id or another 64-bit id as 16 hexadecimal digits, as all outputs show it. Thread-safe.
std::string causeText(std::uint64_t causeId);

/// One thing that happened in one process.
struct Event
{
    HybridTime time;
    VmId vm;
    Incarnation incarnation;
    /// Position in this process's sequence of events, from 1.
    std::uint64_t sequence = 0;
    EventNumber number = EventNumber::ProcessStarted;
    /// Groups the events of one flow, request or view change; 0 is none.
    std::uint64_t causeId = 0;
    std::vector<std::pair<std::string, std::string>> fields;
};

} // namespace boragelug
