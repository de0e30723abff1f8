#pragma once

#include "model/directory_record.h"

#include <cstddef>
#include <cstdint>
#include <functional>

namespace boragelug
{

/**
 * Reads and watches the directory that holds the catalogue and the upstreams' own records.
 *
 * Not synchronized: call it from the thread that runs its callbacks.
 */
class Directory
{
public:
    /// Receives the answer to one call, exactly once, never from within call().
    using Done = std::function<void(DirectoryAnswer)>;

    virtual ~Directory() = default;

    /// Starts @p call and returns at once; it ends with records or a failure within the call's timeout.
    virtual void call(const DirectoryCall &call, Done done) = 0;

    /// Ends the call with this id without an answer; does nothing if it has ended.
    virtual void cancel(std::uint64_t callId) = 0;

    /// Bytes of the call's answer that have arrived; 0 if the call has ended.
    virtual std::size_t receivedBytes(std::uint64_t callId) const = 0;
};

} // namespace boragelug
