#pragma once

#include "core/outcome.h"
#include "core/time_point.h"
#include "requests/request.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// Header fields and targets of messages between callers, VMs and upstreams, besides the standard ones.
namespace http_names
{

/// Request id, in both directions (draft-ietf-httpapi-idempotency-key-header).
constexpr std::string_view requestId = "Idempotency-Key";
/// Milliseconds that the sender still waits for the answer.
constexpr std::string_view timeout = "Boragelug-Timeout-Ms";
/// A caller's own number for a message, returned with its outcome.
constexpr std::string_view token = "Boragelug-Token";
/// "answered", "refused" or "unknown".
constexpr std::string_view outcome = "Boragelug-Outcome";
/// Why a request was refused or its outcome is unknown.
constexpr std::string_view reason = "Boragelug-Reason";
/// POST to it obtains a request id in the field Idempotency-Key of the answer, which has status 201.
constexpr std::string_view idTarget = "/.well-known/boragelug/request-id";
/// POST with an Idempotency-Key to it says that the caller no longer waits. There is no answer.
constexpr std::string_view cancelTarget = "/.well-known/boragelug/cancel";

} // namespace http_names

/// What a caller's message asks for.
enum class CallerIntent : std::uint8_t { Request, IssueId, Cancel };

/// The parts of a caller's message that a VM needs.
struct CallerMessage
{
    CallerIntent intent = CallerIntent::Request;
    std::string method;
    std::string target;
    std::string host;
    std::string requestId;
    std::uint64_t token = 0;
    /// Nothing if the caller set none.
    std::optional<Duration> timeout;
    /// Whether RFC 9110 defines the method as idempotent.
    bool idempotent = false;
    std::string body;
};

/// Why bytes are not a message that this project accepts.
enum class HttpError : std::uint8_t { BadSyntax, Incomplete, TooLarge, TrailingBytes, BadField };

/// Name of an error for logs and metric labels. Thread-safe.
std::string_view toString(HttpError error);

/// Longest message in a datagram; leaves room for IP, UDP and Geneve headers and for added fields.
constexpr std::size_t maxHttpMessage = 60'000;

/// Decodes one HTTP/1.1 request that fills @p datagram. Thread-safe.
Outcome<CallerMessage, HttpError> decodeCallerMessage(std::string_view datagram);

/// Encodes a caller's message; @c intent is not used. Thread-safe.
std::string encodeCallerMessage(const CallerMessage &message);

/// A caller's message with its timeout replaced by @p remaining, as sent to upstreams and issuers. Thread-safe.
Outcome<std::string, HttpError> withRemainingTime(std::string_view datagram, Duration remaining);

/// What a caller receives.
struct CallerAnswer
{
    int status = 0;
    std::string requestId;
    std::uint64_t token = 0;
    std::string outcome;
    std::string reason;
    std::optional<Duration> retryAfter;
    std::string body;
};

/// Encodes the outcome of a request: the upstream's answer, or a status with outcome and reason. Thread-safe.
std::string encodeOutcome(const std::string &requestId, std::uint64_t token, const RequestOutcome &outcome);

/// Encodes the answer to a request for an id. Thread-safe.
std::string encodeIssuedId(const std::string &requestId, std::uint64_t token);

/// Decodes one HTTP/1.1 response that fills @p datagram. Thread-safe.
Outcome<CallerAnswer, HttpError> decodeCallerAnswer(std::string_view datagram);

/// The outcome that another VM encoded with encodeOutcome(). Thread-safe.
Outcome<RequestOutcome, HttpError> decodeOutcome(std::string_view datagram);

/**
 * Reads one HTTP/1.1 response from a stream.
 *
 * Accepts only responses with a Content-Length, since otherwise a cut connection looks like the end of the answer.
 * Not synchronized: one thread at a time.
 */
class UpstreamAnswerReader
{
public:
    enum class State : std::uint8_t { NeedsMore, Complete, Bad };

    /// @p answersHead: the request's method is HEAD, so that no body follows the header.
    explicit UpstreamAnswerReader(bool answersHead = false);
    ~UpstreamAnswerReader();
    UpstreamAnswerReader(UpstreamAnswerReader &&) noexcept;
    UpstreamAnswerReader &operator=(UpstreamAnswerReader &&) noexcept;

    /// Takes the next bytes of the stream. After Complete or Bad, further calls change nothing.
    State feed(std::string_view bytes);

    /// The answer; its payload is the whole response. Precondition: feed() returned Complete.
    UpstreamAnswer answer() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace boragelug
