#include "drivers/replay_guard.h"

#include <algorithm>

namespace boragelug
{

ReplayGuard::ReplayGuard(Config config)
    : config_(config)
{ }

std::optional<PeerDropReason> ReplayGuard::check(const PeerHeader &header, TimePoint now)
{
    Sender &sender = senderFor(header, now);
    sender.lastSeen = std::max(sender.lastSeen, now);
    if (header.incarnation < sender.incarnation) {
        return PeerDropReason::StaleIncarnation;
    }
    if (header.incarnation > sender.incarnation) {
        sender.incarnation = header.incarnation;
        sender.highest = 0;
        sender.accepted.reset();
    }
    if (header.sequence <= sender.highest) {
        const std::uint64_t distance = sender.highest - header.sequence;
        if (distance >= windowSize || sender.accepted.test(distance)) {
            return PeerDropReason::Replayed;
        }
    }
    if (!sender.bucket.take(1, now)) {
        return PeerDropReason::RateExceeded;
    }
    if (header.sequence > sender.highest) {
        const std::uint64_t step = header.sequence - sender.highest;
        sender.accepted = step < windowSize ? sender.accepted << step : std::bitset<windowSize> {};
        sender.highest = header.sequence;
    }
    sender.accepted.set(sender.highest - header.sequence);
    return std::nullopt;
}

ReplayGuard::Sender &ReplayGuard::senderFor(const PeerHeader &header, TimePoint now)
{
    const auto found = senders_.find(header.sender);
    if (found != senders_.end()) {
        return found->second;
    }
    if (senders_.size() >= config_.maxSenders) {
        forgetOldest();
    }
    Sender fresh {
        .incarnation = header.incarnation,
        .highest = 0,
        .accepted = {},
        .bucket = TokenBucket(config_.messagesPerSecond, config_.burst, now),
        .lastSeen = now,
    };
    return senders_.emplace(header.sender, fresh).first->second;
}

void ReplayGuard::forgetOldest()
{
    const auto oldest = std::min_element(senders_.begin(), senders_.end(), [](const auto &left, const auto &right) {
        return left.second.lastSeen < right.second.lastSeen;
    });
    if (oldest != senders_.end()) {
        senders_.erase(oldest);
    }
}

} // namespace boragelug
