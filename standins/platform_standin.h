#pragma once

#include "drivers/platform_http_codec.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace boragelug
{

/// What the stand-in does wrong, for the next @c times requests.
enum class PlatformFault : std::uint8_t {
    None,
    Slow,
    Throttle,
    ServerError,
    OlderVersion,
    Truncate,
    Huge,
    CutWatch,
    NeverFire,
    Close
};

/// Name of a fault for the control resource: "none", "slow", "throttle" and so on.
PlatformFault parsePlatformFault(const std::string &name);

/**
 * Stands in for the platform in tests: serves versioned values over HTTP/1.1 with ETag and blocking watches.
 *
 * Values change through set() or PUT requests; POST /control/fault with "NAME TIMES" injects faults. Not synchronized:
 * use it from the thread that runs the io_context.
 */
class PlatformStandin
{
public:
    /// Listens on loopback; @p port 0 lets the kernel choose.
    PlatformStandin(asio::io_context &context, std::uint16_t port);
    ~PlatformStandin();

    std::uint16_t port() const { return port_; }

    /// Sets the value of a path and releases watches. The version is the body's "version" member.
    void set(const std::string &path, std::string body);

    /// Injects @p fault into the next @p times requests.
    void injectFault(PlatformFault fault, std::size_t times);

    /// Stops listening and cuts all connections.
    void shutDown();

    /// Listens again on the same port.
    void restart();

    /// How long the fault Slow waits.
    std::chrono::milliseconds slowResponseDelay { 200 };

    /// GET requests served so far.
    std::size_t requests() const { return requests_; }

private:
    class Session;
    struct Value
    {
        std::string etag;
        std::string body;
        std::string olderEtag;
        std::string olderBody;
    };

    void listen();
    void accept();
    PlatformHttpResponse responseFor(const std::string &path, const std::string &etag, bool older) const;
    PlatformFault consumeFault();
    bool handleControlRequest(const PlatformHttpRequest &request);

    asio::io_context &context_;
    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::map<std::string, Value> values_;
    std::list<std::shared_ptr<Session>> sessions_;
    PlatformFault fault_ = PlatformFault::None;
    std::size_t remainingFaults_ = 0;
    std::size_t requests_ = 0;
};

} // namespace boragelug
