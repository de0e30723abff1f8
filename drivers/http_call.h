#pragma once

#include "core/outcome.h"
#include "core/time_point.h"
#include "drivers/platform_http_codec.h"
#include "model/endpoint.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boragelug
{

/// Why an HTTP call brought no response.
enum class HttpCallError : std::uint8_t { Unreachable, TimedOut, Malformed, TooLarge };

/// A failed HTTP call.
struct HttpCallFailure
{
    HttpCallError error = HttpCallError::Unreachable;
    std::string detail;
};

/// Bounds of an HttpCall.
struct HttpCallLimits
{
    /// From the start to the first byte of the response.
    Duration timeout = std::chrono::seconds(5);
    /// From one piece of the response to the next: a large one over a slow link is late, but not lost.
    Duration stallTimeout = std::chrono::seconds(5);
    /// From the start to the open connection. An opening packet that is lost is sent again after a second only.
    Duration connectTimeout = std::chrono::seconds(5);
    std::size_t maxBodyBytes = 1U << 20U;
};

/**
 * One HTTP/1.1 call on one connection.
 *
 * Runs on the io_context's thread and keeps itself alive until it ends.
 */
class HttpCall : public std::enable_shared_from_this<HttpCall>
{
public:
    using Result = Outcome<PlatformHttpResponse, HttpCallFailure>;
    /// Receives the result, exactly once, never from within start().
    using Done = std::function<void(const Result &)>;

    /// Starts a call; @p request gets the fields Host and Connection. @p context must outlive the call.
    static std::shared_ptr<HttpCall> start(asio::io_context &context,
                                           const Endpoint &server,
                                           PlatformHttpRequest request,
                                           const HttpCallLimits &limits,
                                           Done done);

    /// Ends the call without a result; does nothing if it has ended.
    void abandon();

    /// Bytes of the response that have arrived.
    std::size_t receivedBytes() const { return receivedBytes_; }

private:
    HttpCall(asio::io_context &context, const HttpCallLimits &limits, Done done);

    void open(const Endpoint &server);
    void expectBytes(Duration timeout);
    void sendRequest();
    void readMore();
    void advance(HttpProgress progress);
    void fail(HttpCallError error, std::string detail);
    void end(const Result &result);
    void close();

    HttpCallLimits limits_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    asio::steady_timer connectTimer_;
    PlatformResponseReader reader_;
    Done done_;
    std::string request_;
    std::size_t receivedBytes_ = 0;
    std::array<char, 16'384> buffer_ {};
};

} // namespace boragelug
