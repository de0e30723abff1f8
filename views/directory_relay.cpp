#include "views/directory_relay.h"

#include <iterator>

namespace boragelug
{

DirectoryRelay::DirectoryRelay(const DirectoryMirror &mirror,
                               const DirectoryReader &reader,
                               const RelaySettings &settings)
    : mirror_(mirror)
    , reader_(reader)
    , settings_(settings)
{ }

void DirectoryRelay::handleRequest(FollowerId follower, const FollowRequest &request, TimePoint now)
{
    waiting_[follower] = { .request = request, .deadline = now + request.wait, .checkedRevision = request.after };
}

bool DirectoryRelay::acceptsFollower(const Endpoint &listening) const
{
    return followers_.size() < settings_.maxFollowers || followers_.contains(listening);
}

// VMs without records are referred to followers: during a start of the whole fleet, the other relays are as loaded as
// this one. Followers in the zone of the VM come first, as bytes between zones have a price.
Endpoint DirectoryRelay::referral(const FollowRequest &request, Random &random) const
{
    const bool isStart = request.after == DirectoryRevision {};
    if (!isStart && !reader_.overflowRelays().empty()) {
        return reader_.overflowRelays().front();
    }
    std::vector<Endpoint> candidates;
    for (const auto &[endpoint, follower] : followers_) {
        if (follower.zone == request.zone) {
            candidates.push_back(endpoint);
        }
    }
    if (!candidates.empty()) {
        return candidates[random.below(candidates.size())];
    }
    return std::next(followers_.begin(), static_cast<std::ptrdiff_t>(random.below(followers_.size())))->first;
}

std::vector<RelayAnswer> DirectoryRelay::takeAnswers(TimePoint now, Random &random)
{
    std::vector<RelayAnswer> answers;
    std::erase_if(followers_, [&](const auto &known) {
        return now - known.second.lastRequest >= settings_.followerRetention;
    });
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        auto &[follower, waiting] = *it;
        const Endpoint &listening = waiting.request.listening;
        if (!acceptsFollower(listening)) {
            DirectoryChanges changes;
            changes.elsewhere = referral(waiting.request, random);
            answers.push_back({ .follower = follower, .changes = std::move(changes) });
            it = waiting_.erase(it);
            continue;
        }
        followers_[listening] = { .lastRequest = now, .zone = waiting.request.zone };
        const bool hasNewRevision = reader_.isComplete() && reader_.syncedRevision() > waiting.checkedRevision;
        DirectoryChanges changes;
        if (hasNewRevision) {
            changes = makeAnswer(waiting.request, now);
            waiting.checkedRevision = reader_.syncedRevision();
        }
        if (changes.items.empty() && now < waiting.deadline) {
            ++it;
            continue;
        }
        if (!hasNewRevision) {
            changes = makeAnswer(waiting.request, now);
        }
        answers.push_back({ .follower = follower, .changes = std::move(changes) });
        it = waiting_.erase(it);
    }
    return answers;
}

DirectoryChanges DirectoryRelay::makeAnswer(const FollowRequest &request, TimePoint now) const
{
    DirectoryChanges changes;
    if (reader_.isComplete()) {
        changes.items = mirror_.changesSince(request.after, now);
        changes.asOf = reader_.syncedRevision();
    }
    // A VM that was never up to date reports the maximum staleness.
    changes.age = reader_.staleness(now).value_or(Duration::max());
    if (mirror_.outageEnd() && now - *mirror_.outageEnd() < settings_.outageRetention) {
        changes.sinceOutage = now - *mirror_.outageEnd();
    }
    return changes;
}

} // namespace boragelug
