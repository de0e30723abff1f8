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

/// Faults that PlatformStandin::injectFault() injects into the responses to GET requests.
enum class PlatformFault : std::uint8_t {
    None,
    Slow,
    Throttle,
    ServerError,
    /// Responds with the previous value and its ETag, if there is one.
    OlderVersion,
    Truncate,
    Huge,
    /// Closes the connection of a long poll immediately, without a response.
    CutWatch,
    /// Never responds to a long poll.
    NeverFire,
    Close
};

/// Parses the name of a fault as POST /control/fault takes it, such as "slow" or "throttle"; None for any other name.
PlatformFault parsePlatformFault(const std::string &name);

/**
 * Stand-in for the configuration service in tests: serves versioned values over HTTP/1.1 with ETags and long polls.
 *
 * Values are set with set() or PUT requests; POST /control/fault with the body "NAME TIMES" injects faults. Not
 * thread-safe: use it only from the thread that runs the io_context.
 */
class PlatformStandin
{
public:
    /// Listens on the loopback address; with @p port 0, the kernel chooses a port.
    PlatformStandin(asio::io_context &context, std::uint16_t port);
    ~PlatformStandin();

    std::uint16_t port() const { return port_; }

    /// Sets the value at @p path and responds to the long polls for it. The value's ETag is the "version" member of
    /// @p body, or "0" if there is none.
    void set(const std::string &path, std::string body);

    /// Injects @p fault into the responses to the next @p times GET requests, in place of the fault set before.
    void injectFault(PlatformFault fault, std::size_t times);

    /// Stops listening and closes all connections.
    void shutDown();

    /// Listens again on the same port after shutDown().
    void restart();

    /// Delay of responses under PlatformFault::Slow.
    std::chrono::milliseconds slowResponseDelay { 200 };

    /// Number of GET requests received so far.
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
