#pragma once

#include "core/time_point.h"

#include <cstdint>
#include <map>

namespace boragelug
{

/**
 * Counts latencies in buckets whose width grows with the value, so that quantiles are at most 3.2 % too high.
 *
 * Not synchronized: one thread at a time.
 */
class LatencyHistogram
{
public:
    /// Counts one latency; negative ones count as 0.
    void record(Duration latency);

    /// Adds all that @p other has counted.
    void merge(const LatencyHistogram &other);

    std::uint64_t count() const { return count_; }
    Duration max() const { return max_; }

    /// Smallest latency that at least @p share of all are not above; 0 if there is none. Precondition: 0 <= share <= 1.
    Duration quantile(double share) const;

    /// Upper bounds in microseconds with counts, lowest first, for files.
    std::map<std::uint64_t, std::uint64_t> buckets() const;

    /// Adds @p count latencies at an upper bound that buckets() gave.
    void restore(std::uint64_t upperMicroseconds, std::uint64_t count);

private:
    std::map<std::uint64_t, std::uint64_t> counts_;
    std::uint64_t count_ = 0;
    Duration max_ {};
};

} // namespace boragelug
