#pragma once

#include "core/ids.h"
#include "requests/request.h"
#include "requests/request_action.h"

#include <functional>
#include <variant>

namespace boragelug
{

/// How an attempt ended.
using AttemptResult = std::variant<UpstreamAnswer, AttemptFailure>;

/// Sends attempts to upstreams, each on its own connection. Implementations run on one thread.
class UpstreamClient
{
public:
    /// Receives the result of an attempt at most once, never from within send() or cancel().
    using Done = std::function<void(AttemptResult)>;

    virtual ~UpstreamClient() = default;

    /// Starts @p attempt and returns at once. It ends with a result unless it is cancelled; the caller bounds its
    /// time by cancelling. Precondition: no attempt with this id is in progress.
    virtual void send(const DispatchAttempt &attempt, Done done) = 0;

    /// Closes the connection of @p attempt; there is no result any more. Does nothing if it has ended.
    virtual void cancel(const AttemptId &attempt) = 0;
};

} // namespace boragelug
