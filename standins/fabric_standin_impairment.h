#pragma once

#include "core/random.h"
#include "core/time_point.h"

#include <asio/io_context.hpp>

#include <functional>

namespace boragelug
{

/// Simulated network faults. Probabilities are per packet.
struct ImpairmentSettings
{
    double drop = 0;
    double duplicate = 0;
    /// Probability that a packet is delayed by @c reorderDelay, so that later packets overtake it.
    double reorder = 0;
    Duration reorderDelay = std::chrono::milliseconds(20);
    /// Added to the latency of every packet.
    Duration delay {};
};

/// Drops, duplicates, reorders and delays packets. The seed determines these decisions, but not their timing.
class Impairment
{
public:
    Impairment(asio::io_context &context, const ImpairmentSettings &settings, std::uint64_t seed);

    /// Applies the faults to one packet: calls @p deliver zero, one or two times, immediately or after a delay.
    void apply(const std::function<void()> &deliver);

private:
    void schedule(const std::function<void()> &deliver);

    asio::io_context &context_;
    ImpairmentSettings settings_;
    Random random_;
};

} // namespace boragelug
