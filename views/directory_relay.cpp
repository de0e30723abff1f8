#include "views/directory_relay.h"

#include <iterator>
#include <optional>
#include <utility>

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
    std::erase_if(followers_,
                  [&](const auto &known) { return now - known.second.lastRequest >= settings_.followerRetention; });
    for (auto it = waiting_.begin(); it != waiting_.end();) {
        auto &[follower, waiting] = *it;
        const Endpoint &listening = waiting.request.listening;
        if (!acceptsFollower(listening)) {
            RelayAnswer elsewhere { .follower = follower, .changes = {}, .records = nullptr };
            elsewhere.changes.elsewhere = referral(waiting.request, random);
            answers.push_back(std::move(elsewhere));
            it = waiting_.erase(it);
            continue;
        }
        followers_[listening] = { .lastRequest = now, .zone = waiting.request.zone };
        const bool hasNewRevision = reader_.isComplete() && reader_.syncedRevision() > waiting.checkedRevision;
        std::optional<RelayAnswer> answer;
        if (hasNewRevision) {
            answer = makeAnswer(follower, waiting.request, now);
            waiting.checkedRevision = reader_.syncedRevision();
        }
        if ((!answer || !answer->records) && now < waiting.deadline) {
            ++it;
            continue;
        }
        answers.push_back(answer ? std::move(*answer) : makeAnswer(follower, waiting.request, now));
        answers.back().changes.slowUpstreams = takeSlowFor(follower, now);
        it = waiting_.erase(it);
    }
    return answers;
}

RelayAnswer DirectoryRelay::makeAnswer(FollowerId follower, const FollowRequest &request, TimePoint now)
{
    RelayAnswer answer { .follower = follower, .changes = {}, .records = nullptr };
    if (reader_.isComplete()) {
        answer.records = recordsFor(request, now);
        answer.changes.asOf = reader_.syncedRevision();
        answer.changes.complete = answer.records && !mirror_.knowsRemovalsSince(request.after);
    }
    // A VM that was never up to date reports the maximum staleness.
    answer.changes.age = reader_.staleness(now).value_or(Duration::max());
    if (mirror_.outageEnd() && now - *mirror_.outageEnd() < settings_.outageRetention) {
        answer.changes.sinceOutage = now - *mirror_.outageEnd();
    }
    return answer;
}

SharedSlowUpstreams DirectoryRelay::takeSlowFor(FollowerId follower, TimePoint now)
{
    if (!slowUpstreams_) {
        return nullptr;
    }
    const auto [found, isNew] = sentSlow_.try_emplace(follower);
    SentSlow &sent = found->second;
    if (!isNew && *sent.upstreams == *slowUpstreams_ && now - sent.at < settings_.slowRefresh) {
        return nullptr;
    }
    sent = { .upstreams = slowUpstreams_, .at = now };
    return slowUpstreams_;
}

SharedRecords DirectoryRelay::recordsFor(const FollowRequest &request, TimePoint now)
{
    if (cachedRevision_ != reader_.syncedRevision() || now - cachedAt_ >= settings_.cacheTime) {
        cachedRecords_.clear();
        cachedRevision_ = reader_.syncedRevision();
        cachedAt_ = now;
    }
    const auto [found, isNew] = cachedRecords_.try_emplace({ request.after, request.catalogue });
    if (isNew) {
        const bool needsAll = !mirror_.knowsRemovalsSince(request.after);
        auto items = mirror_.changesSince(needsAll ? DirectoryRevision {} : request.after, request.catalogue, now);
        if (!items.empty()) {
            found->second = std::make_shared<const std::vector<DirectoryItem>>(std::move(items));
        }
    }
    return found->second;
}

} // namespace boragelug
