#pragma once

#include "model/endpoint.h"

#include <cstdint>
#include <functional>

namespace boragelug
{

/// What a check of an address found.
enum class Reachability : std::uint8_t {
    /// A connection was accepted or refused, so that something lives there.
    Answers,
    /// Nothing came back in time, while this process was running.
    Silent,
    /// The check says nothing: this process was paused, or the system refused a socket.
    Inconclusive
};

/// Checks whether anything lives at an address. Not synchronized: call it from the thread that runs its callbacks.
class ReachabilityProbe
{
public:
    /// Receives the result, exactly once, never from within check().
    using Done = std::function<void(Reachability)>;

    virtual ~ReachabilityProbe() = default;

    /// Checks @p address; ends within a second.
    virtual void check(const Endpoint &address, Done done) = 0;
};

} // namespace boragelug
