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

/// Where an outcome goes: the caller's address and its own token, by way of the VM that forwarded the request if any.
struct ReplyAddress
{
    Endpoint caller;
    std::uint64_t token = 0;
    std::optional<VmId> forwardedBy;
    /// The entry that the caller used; the source address of the outcome.
    Endpoint entry {};

    bool operator==(const ReplyAddress &) const = default;
};

/// A request as it arrived from a caller or a forwarding VM.
struct CallerRequest
{
    /// Address of the entry that the caller used.
    Endpoint entry;
    /// Request id from the header field: issued, chosen by the caller (idempotent requests only), or empty.
    std::string idText;
    bool idempotent = false;
    /// Time the caller still waits; shortened to the entry's longest deadline.
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

/// Why nothing certain can be said of a request.
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
    /// Value of Retry-After, if the upstream sent one.
    std::optional<Duration> retryAfter;
    /// False if the message ended before its announced length.
    bool complete = true;
    Payload payload;
};

/// The upstream executed the request; the caller receives its whole answer.
struct AnsweredOutcome
{
    std::shared_ptr<const UpstreamAnswer> answer;
};

/// The request was not executed, for certain.
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

/// What became of a request; there is no fourth case.
using RequestOutcome = std::variant<AnsweredOutcome, RefusedOutcome, UnknownOutcome>;

/// Names one attempt: the request's number within this process, and the attempt's number within the request from 1.
struct AttemptId
{
    std::uint64_t request = 0;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId &) const = default;
};

/// How an attempt ended without an answer.
enum class AttemptFailure : std::uint8_t {
    /// No byte of the request was sent (no connection in time, or sendBy had passed).
    NotSent,
    /// The upstream refused the connection.
    RefusedByUpstream,
    /// The connection ended or became useless after at least one byte of the request was sent.
    ConnectionLost,
};

/// Name of a reason for logs and header fields. Thread-safe.
std::string_view refusalReasonName(RefusalReason reason);

/// Which of the three outcomes it is: "answered", "refused" or "unknown". Thread-safe.
std::string_view outcomeName(const RequestOutcome &outcome);

/// Name of a reason for logs and header fields. Thread-safe.
std::string_view unknownReasonName(UnknownReason reason);

} // namespace boragelug
