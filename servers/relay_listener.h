#pragma once

#include "model/directory_record.h"
#include "views/directory_relay.h"

#include <functional>

namespace boragelug
{

/**
 * Receives requests of VMs that follow this one, and sends the answers.
 *
 * Not synchronized: call it from the thread that runs its callbacks.
 */
class RelayListener
{
public:
    struct Callbacks
    {
        std::function<void(FollowerId, const FollowRequest &)> onRequest;
        /// The follower's connection is gone; its request needs no answer.
        std::function<void(FollowerId)> onGone;
    };

    virtual ~RelayListener() = default;

    /// Calls @p callbacks from now on. To be called once.
    virtual void start(Callbacks callbacks) = 0;

    /// Sends an answer to the follower's last request; dropped if its connection is gone.
    virtual void answer(const RelayAnswer &answer) = 0;
};

} // namespace boragelug
