#pragma once

#include "model/platform_message.h"

#include <cstdint>
#include <functional>

namespace boragelug
{

/**
 * Reads and watches the platform's configuration service and VM list.
 *
 * Not synchronized: call it from the thread that runs its callbacks.
 */
class Platform
{
public:
    /// Receives the answer to one call, exactly once, never from within call().
    using Done = std::function<void(PlatformAnswer)>;

    virtual ~Platform() = default;

    /// Starts @p call and returns at once. Every call ends: with a value, "unchanged", or a failure no later than
    /// the call's wait plus the implementation's timeout. Precondition: no call with this id is in progress.
    virtual void call(const PlatformCall &call, Done done) = 0;

    /// Ends the call @p callId with PlatformError::Cancelled; does nothing if it has already ended.
    virtual void cancel(std::uint64_t callId) = 0;
};

} // namespace boragelug
