#include "drivers/http_platform.h"

#include "drivers/platform_http_codec.h"
#include "drivers/platform_json.h"

#include <asio/post.hpp>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <string>
#include <utility>

namespace boragelug
{

namespace
{

PlatformAnswer failure(std::uint64_t callId, PlatformError error, std::string detail, Duration retryAfter = {})
{
    return { callId, PlatformFailure { error, std::move(detail), retryAfter } };
}

// Only the form in seconds (RFC 9110) is understood; a date says nothing without a common clock.
Duration parseRetryAfter(std::string_view text)
{
    constexpr unsigned maxSeconds = 3600;
    unsigned seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (error != std::errc {} || end != text.data() + text.size()) {
        return {};
    }
    return std::chrono::seconds(std::min(seconds, maxSeconds));
}

template<class Decoded>
PlatformAnswer fromDecoded(std::uint64_t callId, Decoded decoded)
{
    if (!decoded) {
        return failure(callId, PlatformError::Malformed, decoded.lastReason());
    }
    return { callId, std::move(decoded.value()) };
}

PlatformAnswer decodeBody(const PlatformCall &call, std::string_view body)
{
    switch (call.resource) {
    case PlatformResource::Index:
        return fromDecoded(call.id, decodeIndex(body));
    case PlatformResource::Part:
        return fromDecoded(call.id, decodePart(call.part, body));
    case PlatformResource::VmList:
        return fromDecoded(call.id, decodeVmList(call.zone, body));
    }
    return failure(call.id, PlatformError::Malformed, "unknown resource");
}

PlatformHttpRequest makeRequest(const PlatformCall &call)
{
    PlatformHttpRequest request;
    request.target = platformPath(call);
    request.fields["Accept"] = "application/json";
    if (call.knownVersion != 0) {
        request.fields["If-None-Match"] = "\"" + std::to_string(call.knownVersion) + "\"";
    }
    const auto wait = std::chrono::duration_cast<std::chrono::seconds>(call.wait).count();
    if (wait > 0) {
        request.fields["Prefer"] = "wait=" + std::to_string(wait);
    }
    return request;
}

PlatformAnswer translateResponse(const PlatformCall &call, const PlatformHttpResponse &response)
{
    const auto retryAfter = response.fields.find("retry-after");
    return boragelug::translateResponse(call,
                                        response.status,
                                        retryAfter == response.fields.end() ? std::string_view() : retryAfter->second,
                                        response.body);
}

PlatformAnswer translateFailure(std::uint64_t callId, const HttpCallFailure &reason)
{
    switch (reason.error) {
    case HttpCallError::Unreachable:
        return failure(callId, PlatformError::Unreachable, reason.detail);
    case HttpCallError::TimedOut:
        return failure(callId, PlatformError::TimedOut, reason.detail);
    case HttpCallError::Malformed:
        return failure(callId, PlatformError::Malformed, reason.detail);
    case HttpCallError::TooLarge:
        return failure(callId, PlatformError::TooLarge, reason.detail);
    }
    return failure(callId, PlatformError::Malformed, reason.detail);
}

} // namespace

PlatformAnswer
translateResponse(const PlatformCall &call, unsigned status, std::string_view retryAfter, std::string_view body)
{
    constexpr unsigned ok = 200;
    constexpr unsigned notModified = 304;
    constexpr unsigned notFound = 404;
    constexpr unsigned tooManyRequests = 429;
    constexpr unsigned firstServerError = 500;
    if (status == ok) {
        return decodeBody(call, body);
    }
    if (status == notModified && call.knownVersion != 0) {
        return { call.id, PlatformUnchanged {} };
    }
    const std::string detail = "status " + std::to_string(status);
    if (status == notFound) {
        return failure(call.id, PlatformError::NotFound, detail);
    }
    if (status == tooManyRequests) {
        return failure(call.id, PlatformError::Throttled, detail, parseRetryAfter(retryAfter));
    }
    if (status >= firstServerError) {
        return failure(call.id, PlatformError::ServerFailure, detail, parseRetryAfter(retryAfter));
    }
    return failure(call.id, PlatformError::Malformed, detail);
}

HttpPlatform::HttpPlatform(asio::io_context &context, HttpPlatformSettings settings)
    : context_(context)
    , settings_(std::move(settings))
{
    assert(!settings_.servers.empty());
}

HttpPlatform::~HttpPlatform()
{
    for (const auto &[id, exchange] : exchanges_) {
        exchange.http->abandon();
    }
}

void HttpPlatform::call(const PlatformCall &call, Done done)
{
    assert(!exchanges_.contains(call.id));
    HttpCallLimits limits;
    limits.timeout = call.wait + settings_.timeout;
    limits.connectTimeout = settings_.timeout;
    limits.maxBodyBytes = settings_.maxValueBytes;
    auto http = HttpCall::start(context_,
                                settings_.servers[nextServer_],
                                makeRequest(call),
                                limits,
                                [this, call](const HttpCall::Result &result) { handleResult(call, result); });
    exchanges_.emplace(call.id, Exchange { std::move(http), std::move(done) });
}

void HttpPlatform::handleResult(const PlatformCall &call, const HttpCall::Result &result)
{
    PlatformAnswer answer = result ? translateResponse(call, *result) : translateFailure(call.id, result.lastReason());
    const auto *failed = std::get_if<PlatformFailure>(&answer.result);
    if (failed != nullptr && failed->error != PlatformError::NotFound) {
        nextServer_ = (nextServer_ + 1) % settings_.servers.size();
    }
    finish(call.id, std::move(answer));
}

void HttpPlatform::finish(std::uint64_t callId, PlatformAnswer answer)
{
    const auto found = exchanges_.find(callId);
    if (found == exchanges_.end()) {
        return;
    }
    const Done done = std::move(found->second.done);
    exchanges_.erase(found);
    done(std::move(answer));
}

void HttpPlatform::cancel(std::uint64_t callId)
{
    const auto found = exchanges_.find(callId);
    if (found == exchanges_.end()) {
        return;
    }
    found->second.http->abandon();
    asio::post(context_, [this, callId, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            finish(callId, failure(callId, PlatformError::Cancelled, "cancelled"));
        }
    });
}

} // namespace boragelug
