#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <algorithm>
#include <cstddef>
#include <set>

namespace boragelug
{

/**
 * Tracks whether a VM that joined or slept has compared its version with enough others.
 *
 * Three peers are asked, so that one peer or one replica that is behind can't make the VM act on an old catalogue. Not
 * synchronized: one thread at a time.
 */
class ViewConfirmation
{
public:
    static constexpr std::size_t neededPeers = 3;

    /// Starts over at @p now.
    void restart(TimePoint now)
    {
        startedAt_ = now;
        peers_.clear();
        platformAnswered_ = false;
    }

    /// Notes that @p peer named its version.
    void recordPeer(VmId peer)
    {
        if (peers_.size() < neededPeers) {
            peers_.insert(peer);
        }
    }

    /// Notes a usable answer from the platform.
    void recordPlatformAnswer() { platformAnswered_ = true; }

    /// Whether enough of @p peerCount peers were heard; a VM without peers needs the platform's word.
    bool isComplete(std::size_t peerCount) const
    {
        return peerCount == 0 ? platformAnswered_ : peers_.size() >= std::min(neededPeers, peerCount);
    }

    TimePoint startedAt() const { return startedAt_; }

private:
    TimePoint startedAt_;
    std::set<VmId> peers_;
    bool platformAnswered_ = false;
};

} // namespace boragelug
