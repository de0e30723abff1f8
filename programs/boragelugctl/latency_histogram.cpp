#include "programs/boragelugctl/latency_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace boragelug
{

namespace
{

/// Each power of two is split into this many buckets as a power of two itself; 32 bounds the error by 1/32.
constexpr unsigned subBits = 5;

/// Highest number of microseconds that falls into the same bucket as @p value.
std::uint64_t upperBound(std::uint64_t value)
{
    const auto bits = static_cast<unsigned>(std::bit_width(value));
    if (bits <= subBits + 1) {
        return value;
    }
    const unsigned shift = bits - subBits - 1;
    return (((value >> shift) + 1) << shift) - 1;
}

std::uint64_t toMicroseconds(Duration latency)
{
    // Rounded up, so that a quantile is never below the latency.
    const auto count = std::chrono::ceil<std::chrono::microseconds>(latency).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

} // namespace

void LatencyHistogram::record(Duration latency)
{
    ++counts_[upperBound(toMicroseconds(latency))];
    ++count_;
    max_ = std::max(max_, latency);
}

void LatencyHistogram::merge(const LatencyHistogram &other)
{
    for (const auto &[bound, number] : other.counts_) {
        counts_[bound] += number;
    }
    count_ += other.count_;
    max_ = std::max(max_, other.max_);
}

Duration LatencyHistogram::quantile(double share) const
{
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
    std::uint64_t below = 0;
    for (const auto &[bound, number] : counts_) {
        below += number;
        if (below >= wanted) {
            return std::min<Duration>(std::chrono::microseconds(bound), max_);
        }
    }
    return max_;
}

std::map<std::uint64_t, std::uint64_t> LatencyHistogram::buckets() const
{
    return counts_;
}

void LatencyHistogram::restore(std::uint64_t upperMicroseconds, std::uint64_t count)
{
    counts_[upperMicroseconds] += count;
    count_ += count;
    max_ = std::max<Duration>(max_, std::chrono::microseconds(upperMicroseconds));
}

} // namespace boragelug
