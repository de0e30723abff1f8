#pragma once

#include "drivers/udp_socket.h"
#include "programs/boragelugctl/arrival_schedule.h"
#include "programs/boragelugctl/load_description.h"
#include "programs/boragelugctl/load_generator.h"
#include "servers/clock.h"

#include <map>
#include <memory>
#include <vector>

namespace boragelug
{

/// Opens the UDP flows of one stream, each from its own port, and checks that each stays with its upstream.
class FlowGenerator : public LoadGenerator
{
public:
    /// @p clock and @p context must outlive the generator.
    FlowGenerator(asio::io_context &context,
                  const Clock &clock,
                  const LoadDescription &description,
                  const LoadStream &stream,
                  std::uint64_t seed);

    void tick(TimePoint now) override;
    bool finished() const override { return schedule_.finished() && flows_.empty(); }
    const StreamResult &result() const override { return result_; }

private:
    struct Flow
    {
        TimePoint opened;
        std::unique_ptr<UdpSocket> socket;
        std::uint32_t sent = 0;
        std::vector<bool> answered;
        /// The word "host=..." of the first answer, if answers have one.
        std::string host;
        bool moved = false;
        bool wrong = false;
    };

    void open(TimePoint intended);
    void send(std::uint64_t number, Flow &flow);
    void receive(std::uint64_t number, std::span<const std::byte> datagram);
    bool isOver(const Flow &flow, TimePoint now) const;
    void close(const Flow &flow);
    TimePoint intendedTime(const Flow &flow, std::uint32_t packet) const;
    std::string payloadMark(std::uint64_t number) const;

    asio::io_context &context_;
    const Clock &clock_;
    LoadStream stream_;
    std::uint64_t seed_;
    ArrivalSchedule schedule_;
    std::uint64_t lastFlow_ = 0;
    std::map<std::uint64_t, Flow> flows_;
    StreamResult result_;
};

} // namespace boragelug
