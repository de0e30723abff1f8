#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/endpoint.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace boragelug
{

/// Message bytes shared between records, actions and drivers without copies.
using Payload = std::shared_ptr<const std::string>;

/// Destination of an outcome: the caller's address and its token, via the forwarding VM if the request was forwarded.
struct ReplyAddress
{
    Endpoint caller;
    std::uint64_t token = 0;
    std::optional<VmId> forwardedBy;
    /// Address of the entry that the caller used, which becomes the source address of the outcome.
    Endpoint entry {};

    bool operator==(const ReplyAddress &) const = default;
};

/// A request as received from a caller or a forwarding VM.
struct CallerRequest
{
    /// Address of the entry that the caller used.
    Endpoint entry;
    /// Request id from the header field: issued by a VM, chosen by the caller (idempotent requests only), or empty.
    std::string idText;
    bool idempotent = false;
    /// Remaining time that the caller waits for the outcome; limited to the entry's maximum deadline.
    Duration timeout {};
    Payload payload;
    ReplyAddress replyTo;
};

/// Why a request was not executed.
enum class RefusalReason : std::uint8_t {
    QueueFull,
    LimitReached,
    DeadlineUnreachable,
    DeadlinePassed,
    Cancelled,
    Draining,
    NoUpstream,
    UpstreamRefused,
    UnknownEntry,
    MissingRequestId,
    CallerChosenId,
    RequestIdReused,
    InvalidTimeout,
    RecordsFull,
};

/// Why it is not known whether a request was executed.
enum class UnknownReason : std::uint8_t {
    DeadlinePassed,
    ConnectionLost,
    Cancelled,
    IssuerUnreachable,
    RecordExpired,
    AnswerNotKept,
    UnverifiedId,
    DrainBoundReached,
};

/// The complete answer of an upstream.
struct UpstreamAnswer
{
    int status = 0;
    /// Value of the Retry-After header field; std::nullopt if the upstream sent none.
    std::optional<Duration> retryAfter;
    /// False if the response ended before its announced length.
    bool complete = true;
    Payload payload;
};

/// The upstream executed the request; the caller receives the complete answer.
struct AnsweredOutcome
{
    std::shared_ptr<const UpstreamAnswer> answer;
};

/// The request is guaranteed not to have been executed.
struct RefusedOutcome
{
    RefusalReason reason = RefusalReason::QueueFull;
    Duration retryAfter {};
};

/// The request may or may not have been executed.
struct UnknownOutcome
{
    UnknownReason reason = UnknownReason::DeadlinePassed;
};

/// Result of a request. Every request ends with exactly one of these three outcomes.
using RequestOutcome = std::variant<AnsweredOutcome, RefusedOutcome, UnknownOutcome>;

/// Identifies one attempt by the request's number within this process and the attempt's number within the request,
/// which starts at 1.
struct AttemptId
{
    std::uint64_t request = 0;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/// How an attempt ended without an answer.
enum class AttemptFailure : std::uint8_t {
    /// No byte of the request was sent: the connection was not established in time, or sendBy had passed.
    NotSent,
    /// The upstream refused the connection.
    RefusedByUpstream,
    /// The connection was closed or became unusable after at least one byte of the request was sent.
    ConnectionLost,
};

/// Name of @p reason for logs and header fields. Thread-safe.
std::string_view refusalReasonName(RefusalReason reason);

/// Name of the kind of @p outcome: "answered", "refused" or "unknown". Thread-safe.
std::string_view outcomeName(const RequestOutcome &outcome);

/// Name of @p reason for logs and header fields. Thread-safe.
std::string_view unknownReasonName(UnknownReason reason);

} // namespace boragelug
