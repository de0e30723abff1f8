#pragma once

#include "core/time_point.h"

#include <algorithm>
#include <cassert>

namespace boragelug
{

/**
 * Token bucket with a rate in tokens per second and a burst in tokens.
 *
 * Takes time as an argument; time that goes back adds nothing. Not synchronized: one thread at a time.
 */
class TokenBucket
{
public:
    /// Starts full at @p now. Precondition: both amounts are not negative.
    TokenBucket(double tokensPerSecond, double burst, TimePoint now)
        : rate_(tokensPerSecond)
        , burst_(burst)
        , tokens_(burst)
        , updated_(now)
    {
        assert(tokensPerSecond >= 0 && burst >= 0);
    }

    /// Takes @p amount tokens if that many are there.
    bool take(double amount, TimePoint now)
    {
        refill(now);
        if (tokens_ < amount) {
            return false;
        }
        tokens_ -= amount;
        return true;
    }

    /// Returns @p amount tokens; those above the burst are dropped.
    void put(double amount, TimePoint now)
    {
        refill(now);
        tokens_ = std::min(burst_, tokens_ + amount);
    }

    /// Tokens at @p now.
    double available(TimePoint now)
    {
        refill(now);
        return tokens_;
    }

    /// Changes rate and burst; tokens above the new burst are dropped.
    void reconfigure(double tokensPerSecond, double burst, TimePoint now)
    {
        refill(now);
        rate_ = tokensPerSecond;
        burst_ = burst;
        tokens_ = std::min(tokens_, burst_);
    }

private:
    void refill(TimePoint now)
    {
        if (now <= updated_) {
            return;
        }
        const double seconds = std::chrono::duration<double>(now - updated_).count();
        tokens_ = std::min(burst_, tokens_ + seconds * rate_);
        updated_ = now;
    }

    double rate_;
    double burst_;
    double tokens_;
    TimePoint updated_;
};

} // namespace boragelug
