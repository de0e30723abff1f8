#pragma once

#include <cassert>
#include <optional>
#include <utility>

namespace boragelug
{

/**
 * A value, or the last reason why there is none.
 *
 * Each layer uses its own reason type and translates the reasons of the layer below.
 * Not synchronized: one thread at a time.
 */
template<class T, class Reason>
class Outcome
{
public:
    /// Holds @p value and no reason.
    Outcome(T value) // NOLINT(google-explicit-constructor): returned values convert.
        : value_(std::move(value))
    { }

    /// Holds no value; @p reason says why.
    static Outcome failure(Reason reason)
    {
        Outcome outcome;
        outcome.lastReason_ = std::move(reason);
        return outcome;
    }

    /// Whether there is a value.
    explicit operator bool() const { return value_.has_value(); }

    /// The value. Precondition: there is one.
    const T &value() const
    {
        assert(value_);
        return *value_;
    }

    /// The value. Precondition: there is one.
    T &value()
    {
        assert(value_);
        return *value_;
    }

    const T &operator*() const { return value(); }
    const T *operator->() const { return &value(); }

    /// Why there is no value. Precondition: there is none.
    const Reason &lastReason() const
    {
        assert(lastReason_);
        return *lastReason_;
    }

private:
    Outcome() = default;

    std::optional<T> value_;
    std::optional<Reason> lastReason_;
};

} // namespace boragelug
