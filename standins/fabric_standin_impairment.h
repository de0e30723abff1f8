#pragma once

#include "core/random.h"
#include "core/time_point.h"

#include <asio/io_context.hpp>

#include <functional>

namespace boragelug
{

/// What happens to packets on their way; probabilities for each packet.
struct ImpairmentSettings
{
    double drop = 0;
    double duplicate = 0;
    /// Probability that a packet waits @c reorderDelay, so that later ones overtake it.
    double reorder = 0;
    Duration reorderDelay = std::chrono::milliseconds(20);
    /// Added to every packet.
    Duration delay {};
};

/// Drops, duplicates, reorders and delays packets. The seed fixes the decisions, not their timing.
class Impairment
{
public:
    Impairment(asio::io_context &context, const ImpairmentSettings &settings, std::uint64_t seed);

    /// Calls @p deliver never, once or twice, now or later.
    void apply(const std::function<void()> &deliver);

private:
    void schedule(const std::function<void()> &deliver);

    asio::io_context &context_;
    ImpairmentSettings settings_;
    Random random_;
};

} // namespace boragelug
