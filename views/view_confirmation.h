#pragma once

#include "core/ids.h"
#include "core/time_point.h"

#include <algorithm>
#include <cstddef>
#include <set>

namespace boragelug
{

/**
 * Tracks whether a VM has compared its version with enough peers after it joined or its process was suspended.
 *
 * Three peers must report their version, so that a single peer or replica with old data can't make the VM act on an old
 * catalogue. Not synchronized: one thread at a time.
 */
class ViewConfirmation
{
public:
    static constexpr std::size_t neededPeers = 3;

    /// Discards all confirmations and starts again at @p now.
    void restart(TimePoint now)
    {
        startedAt_ = now;
        peers_.clear();
        platformAnswered_ = false;
    }

    /// Records that @p peer reported its version.
    void recordPeer(VmId peer)
    {
        if (peers_.size() < neededPeers) {
            peers_.insert(peer);
        }
    }

    /// Records a usable answer from the configuration service.
    void recordPlatformAnswer() { platformAnswered_ = true; }

    /// Whether enough of @p peerCount peers have reported their version. A VM without peers needs an answer from the
    /// configuration service.
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
