#pragma once

#include "core/time_point.h"
#include "core/token_bucket.h"
#include "drivers/peer_codec.h"

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace boragelug
{

/**
 * Accepts each message of a sender's run once and bounds each sender's rate.
 *
 * Keeps state for a bounded number of senders and forgets the one that was silent longest.
 * Not synchronized: one thread at a time.
 */
class ReplayGuard
{
public:
    /// Messages that may arrive out of order. Senders use one sequence for all receivers, so gaps are normal.
    static constexpr std::size_t windowSize = 1024;

    struct Config
    {
        // A VM's control budget of 5 KB/s allows fewer than 100 of the shortest messages per second to all peers.
        double messagesPerSecond = 100;
        double burst = 200;
        // The target size has 4,200 VMs.
        std::size_t maxSenders = 8192;
    };

    explicit ReplayGuard(Config config);

    /// Nothing if the message with @p header may be used; it is then remembered. Otherwise, why it is dropped.
    std::optional<PeerDropReason> check(const PeerHeader &header, TimePoint now);

    /// Senders that are remembered.
    std::size_t senders() const { return senders_.size(); }

private:
    struct Sender
    {
        Incarnation incarnation;
        std::uint64_t highest = 0;
        /// Bit i is set if sequence number highest - i was accepted.
        std::bitset<windowSize> accepted;
        TokenBucket bucket;
        TimePoint lastSeen;
    };

    Sender &senderFor(const PeerHeader &header, TimePoint now);
    void forgetOldest();

    Config config_;
    std::map<VmId, Sender> senders_;
};

} // namespace boragelug
