#pragma once

#include "servers/clock.h"
#include "servers/reachability_probe.h"

#include <asio/io_context.hpp>

namespace boragelug
{

/// Times of a TcpReachabilityProbe.
struct ProbeTimes
{
    /// From the first opening packet to the second, which guards against the loss of one.
    Duration secondAttempt = std::chrono::milliseconds(60);
    /// From the start to the verdict; several times the round trip between availability zones.
    Duration verdict = std::chrono::milliseconds(160);
};

/// Opens TCP connections and closes them at once. Runs on the io_context's thread.
class TcpReachabilityProbe : public ReachabilityProbe
{
public:
    /// References must outlive the probe.
    TcpReachabilityProbe(asio::io_context &context, const Clock &clock, const ProbeTimes &times = {});

    void check(const Endpoint &address, Done done) override;

private:
    class Attempt;

    asio::io_context &context_;
    const Clock &clock_;
    ProbeTimes times_;
};

} // namespace boragelug
