#include "drivers/tcp_reachability_probe.h"

#include "drivers/udp_socket.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace boragelug
{
namespace
{

/// A verdict that comes later than this many times its time shows that the process was paused.
constexpr int pauseFactor = 2;

} // namespace

/// One check: two connections and a timer, which keep it alive.
class TcpReachabilityProbe::Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    Attempt(TcpReachabilityProbe &owner, const Endpoint &address, Done done)
        : clock_(owner.clock_)
        , times_(owner.times_)
        , address_(address)
        , done_(std::move(done))
        , first_(owner.context_)
        , second_(owner.context_)
        , timer_(owner.context_)
        , startedAt_(owner.clock_.now())
    { }

    void start()
    {
        connect(first_);
        timer_.expires_after(times_.secondAttempt);
        timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error) {
                self->connect(self->second_);
                self->waitForVerdict();
            }
        });
    }

private:
    void connect(asio::ip::tcp::socket &socket)
    {
        socket.async_connect(toTcpEndpoint(address_), [self = shared_from_this()](const asio::error_code &error) {
            if (!error || error == asio::error::connection_refused || error == asio::error::connection_reset) {
                self->end(Reachability::Answers);
            } else if (error != asio::error::operation_aborted) {
                self->end(Reachability::Inconclusive);
            }
        });
    }

    void waitForVerdict()
    {
        timer_.expires_after(times_.verdict - times_.secondAttempt);
        timer_.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error) {
                // Answers that arrived while the process was busy are handled first.
                asio::post(self->timer_.get_executor(), [self] { self->judge(); });
            }
        });
    }

    void judge()
    {
        const bool paused = clock_.now() - startedAt_ > times_.verdict * pauseFactor;
        end(paused ? Reachability::Inconclusive : Reachability::Silent);
    }

    void end(Reachability result)
    {
        const Done done = std::exchange(done_, nullptr);
        if (!done) {
            return;
        }
        asio::error_code ignored;
        first_.close(ignored);
        second_.close(ignored);
        timer_.cancel();
        done(result);
    }

    const Clock &clock_;
    ProbeTimes times_;
    Endpoint address_;
    Done done_;
    asio::ip::tcp::socket first_;
    asio::ip::tcp::socket second_;
    asio::steady_timer timer_;
    TimePoint startedAt_;
};

TcpReachabilityProbe::TcpReachabilityProbe(asio::io_context &context, const Clock &clock, const ProbeTimes &times)
    : context_(context)
    , clock_(clock)
    , times_(times)
{ }

void TcpReachabilityProbe::check(const Endpoint &address, Done done)
{
    std::make_shared<Attempt>(*this, address, std::move(done))->start();
}

} // namespace boragelug
