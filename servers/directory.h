#pragma once

#include "model/directory_record.h"

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
};

} // namespace boragelug
