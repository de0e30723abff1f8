#pragma once

#include "drivers/http_codec.h"
#include "drivers/udp_socket.h"
#include "programs/boragelugctl/arrival_schedule.h"
#include "programs/boragelugctl/load_description.h"
#include "programs/boragelugctl/load_generator.h"
#include "servers/clock.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace boragelug
{

/// Sends the requests of one stream and checks that each answer belongs to its request.
class RequestGenerator : public LoadGenerator
{
public:
    /// @p clock and @p context must outlive the generator. Throws asio::system_error if no socket can be opened.
    RequestGenerator(asio::io_context &context,
                     const Clock &clock,
                     const LoadDescription &description,
                     const LoadStream &stream,
                     std::uint64_t seed);

    void tick(TimePoint now) override;
    bool finished() const override { return schedule_.finished() && pending_.empty(); }
    const StreamResult &result() const override { return result_; }

private:
    struct Pending
    {
        TimePoint intended;
        /// Socket that the request uses.
        std::size_t caller = 0;
        /// Empty while the request id is awaited.
        std::string requestId;
        std::string payload;
        bool sent = false;
    };

    /// Start of the payload of a request, different in each run and stream.
    std::string payloadMark(std::uint64_t token) const;
    void start(TimePoint intended, TimePoint now);
    void sendIdRequest(std::uint64_t token, Pending &pending);
    void sendRequest(std::uint64_t token, Pending &pending, TimePoint now);
    void receive(std::span<const std::byte> datagram);
    void handleAnswer(std::uint64_t token, Pending &pending, const CallerAnswer &answer);
    void finish(std::uint64_t token, const std::string &outcome);
    void expire(TimePoint now);

    const Clock &clock_;
    LoadStream stream_;
    std::uint64_t seed_;
    ArrivalSchedule schedule_;
    std::vector<std::unique_ptr<UdpSocket>> callers_;
    std::uint64_t lastToken_ = 0;
    /// Tokens grow with the intended times, and all requests of a stream have the same deadline.
    std::uint64_t oldestToken_ = 1;
    std::unordered_map<std::uint64_t, Pending> pending_;
    StreamResult result_;
};

} // namespace boragelug
