#pragma once

#include "core/time_point.h"
#include "drivers/http_call.h"
#include "model/endpoint.h"
#include "servers/platform.h"

#include <asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace boragelug
{

/// Settings of an HttpPlatform.
struct HttpPlatformSettings
{
    /// Replicas of the configuration service, tried in turn; after a failure the next call uses the next one.
    std::vector<Endpoint> servers;
    /// Time for a call beyond its wait.
    Duration timeout = std::chrono::seconds(5);
    /// Larger values are refused; the platform's own limit is 1 MB.
    std::size_t maxValueBytes = 1U << 20U;
};

/// Translates one complete response to @p call. Never fails by exception: a bad value becomes PlatformError::Malformed.
/// @p retryAfter is the field of that name, or empty. Thread-safe.
PlatformAnswer
translateResponse(const PlatformCall &call, unsigned status, std::string_view retryAfter, std::string_view body);

/**
 * Platform over HTTP/1.1, one connection per call: docs/platform.md describes the protocol.
 *
 * Not synchronized: use it from the thread that runs the io_context. Calls in progress when it is destroyed end without
 * an answer.
 */
class HttpPlatform final : public Platform
{
public:
    /// @p context must outlive this. Precondition: there is at least one server.
    HttpPlatform(asio::io_context &context, HttpPlatformSettings settings);
    ~HttpPlatform() override;

    void call(const PlatformCall &call, Done done) override;
    void cancel(std::uint64_t callId) override;

private:
    struct Exchange
    {
        std::shared_ptr<HttpCall> http;
        Done done;
    };

    void handleResult(const PlatformCall &call, const HttpCall::Result &result);
    void finish(std::uint64_t callId, PlatformAnswer answer);

    asio::io_context &context_;
    HttpPlatformSettings settings_;
    std::size_t nextServer_ = 0;
    std::map<std::uint64_t, Exchange> exchanges_;
    /// Expires with this object, so that posted work knows.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace boragelug
