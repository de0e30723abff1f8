#include "views/directory_reader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace boragelug
{
namespace
{

// Number of failures in a row at which the directory counts as unreachable: a single failure may just be a closed
// connection.
constexpr std::uint32_t outageThreshold = 2;

} // namespace

DirectoryReader::DirectoryReader(DirectoryMirror &mirror, const ReaderSettings &settings)
    : mirror_(mirror)
    , settings_(settings)
{
    setRelays(settings.follow.relays);
}

void DirectoryReader::setRelays(std::vector<Endpoint> relays)
{
    const auto self = std::find(relays.begin(), relays.end(), settings_.follow.self);
    isRelay_ = self != relays.end();
    overflowRelays_.assign(isRelay_ ? std::next(self) : relays.end(), relays.end());
    if (isRelay_) {
        relays.erase(self);
    }
    settings_.follow.relays = std::move(relays);
    relay_.reset();
    nextRelay_ = 0;
}

Duration DirectoryReader::longPollWait() const
{
    return hasFollowers_ ? settings_.follow.relayLongPollWait : settings_.longPollWait;
}

std::optional<DirectoryCall> DirectoryReader::nextCall(TimePoint now)
{
    if (!wasAsked_) {
        wasAsked_ = true;
        // Relays, whose records all VMs need, list at once.
        nextAt_ = isRelay_ || settings_.follow.relays.empty() ? now : now + settings_.follow.relayHeadStart;
    }
    if (inProgress_ || now < nextAt_) {
        return std::nullopt;
    }
    if (mayFollow(now)) {
        inProgress_ = makeFollow(now);
    } else {
        inProgress_ = canWatch_ ? makeWatch(now) : makeList(now);
    }
    return inProgress_;
}

// A relay reads the directory itself.
bool DirectoryReader::mayFollow(TimePoint now) const
{
    return listed_ && canWatch_ && !isRelay_ && !settings_.follow.relays.empty() && now >= followAt_;
}

DirectoryCall DirectoryReader::makeFollow(TimePoint now)
{
    startedAt_ = now;
    if (!relay_) {
        const auto &relays = settings_.follow.relays;
        relay_ = relays[nextRelay_++ % relays.size()];
        hops_ = 0;
    }
    DirectoryCall call;
    call.id = ++lastId_;
    call.kind = DirectoryCall::Kind::Follow;
    call.relay = *relay_;
    call.after = watchFrom_;
    call.catalogue = mirror_.catalogueVersion();
    call.wait = settings_.follow.followWait;
    call.timeout = call.wait + settings_.follow.answerMargin;
    call.connectTimeout = settings_.follow.connectTimeout;
    return call;
}

std::optional<TimePoint> DirectoryReader::nextCallAt() const
{
    return inProgress_ ? std::nullopt : std::optional(nextAt_);
}

DirectoryCall DirectoryReader::makeList(TimePoint now)
{
    startedAt_ = now;
    DirectoryCall call;
    call.id = ++lastId_;
    call.kind = DirectoryCall::Kind::List;
    call.afterKey = pages_.empty() ? std::string {} : pages_.back().lastKey;
    call.timeout = settings_.answerMargin;
    checkAt_ = now + settings_.listing.checkInterval;
    transferSince_ = now;
    return call;
}

DirectoryCall DirectoryReader::makeWatch(TimePoint now)
{
    startedAt_ = now;
    DirectoryCall call;
    call.id = ++lastId_;
    call.kind = DirectoryCall::Kind::Watch;
    call.after = watchFrom_;
    // After an outage, the first watch asks for an immediate answer, which shows whether the directory is reachable.
    call.wait = reachable_ ? longPollWait() : Duration::zero();
    // Followers rely on this VM's records, so a VM with followers asks for no stale answers.
    if (!hasFollowers_ && reachable_ && confirmedAt_ && now - *confirmedAt_ < settings_.staleReadWindow) {
        call.mayBeStale = true;
        call.wait = settings_.staleReadWindow - (now - *confirmedAt_);
    }
    call.timeout = call.wait + settings_.answerMargin;
    return call;
}

ReaderOutcome DirectoryReader::handleAnswer(const DirectoryAnswer &answer, TimePoint now, Random &random)
{
    ReaderOutcome outcome;
    if (!inProgress_ || inProgress_->id != answer.callId) {
        return outcome;
    }
    const DirectoryCall call = *inProgress_;
    const bool mayBeStale = call.mayBeStale;
    inProgress_.reset();
    if (call.kind == DirectoryCall::Kind::Follow) {
        const auto *followed = std::get_if<DirectoryChanges>(&answer.result);
        const auto *failure = std::get_if<DirectoryFailure>(&answer.result);
        if (followed != nullptr) {
            handleFollowAnswer(call, *followed, now, random, outcome);
        } else {
            const std::string reason =
                failure != nullptr ? failure->detail : "answer of the relay is not a list of changes";
            handleFollowFailure(call, reason, now, random, outcome);
        }
        return outcome;
    }
    following_ = false;
    if (const auto *failure = std::get_if<DirectoryFailure>(&answer.result)) {
        handleFailure(*failure, now, random, outcome);
        return outcome;
    }
    recordSuccess(now, outcome);
    if (const auto *page = std::get_if<DirectoryPage>(&answer.result)) {
        handlePage(*page, now, outcome);
        return outcome;
    }
    lastAnswer_ = now;
    if (!mayBeStale) {
        recordUpToDate(now);
    }
    const auto &changes = std::get<DirectoryChanges>(answer.result);
    outcome.changes = mirror_.applyChanges(changes, now);
    watchFrom_ = std::max(watchFrom_, changes.asOf);
    const Duration batchingDelay = hasFollowers_ ? settings_.follow.relayBatchingDelay : settings_.batchingDelay;
    nextAt_ = changes.items.empty() ? now : now + batchingDelay;
    return outcome;
}

void DirectoryReader::handleFollowFailure(
    const DirectoryCall &call, std::string reason, TimePoint now, Random &random, ReaderOutcome &outcome)
{
    relay_.reset();
    following_ = false;
    outcome.failedRelay = call.relay;
    outcome.relayFailureReason = std::move(reason);
    // The backoff is random, from half to one and a half of its mean, so that VMs whose relay failed don't all ask
    // again at once.
    const std::chrono::duration<double, std::nano> backoff = settings_.follow.failureBackoff;
    followAt_ = now + std::chrono::duration_cast<Duration>(backoff * (0.5 + random.unit()));
    nextAt_ = now;
}

void DirectoryReader::handleFollowAnswer(
    const DirectoryCall &call, const DirectoryChanges &changes, TimePoint now, Random &random, ReaderOutcome &outcome)
{
    nextAt_ = now;
    if (changes.elsewhere && ++hops_ <= settings_.follow.maxHops) {
        relay_ = changes.elsewhere;
        return;
    }
    if (const std::string reason = reasonToReject(changes); !reason.empty()) {
        handleFollowFailure(call, reason, now, random, outcome);
        return;
    }
    if (changes.sinceOutage) {
        mirror_.recordOutage(now - *changes.sinceOutage);
    }
    outcome.changes = changes.complete ? applyAllRecords(changes, now) : mirror_.applyChanges(changes, now);
    recordRelayAnswer(changes, now);
    if (!following_) {
        outcome.followedRelay = call.relay;
    }
    following_ = true;
}

std::vector<MirrorChange> DirectoryReader::applyAllRecords(const DirectoryChanges &records, TimePoint now)
{
    mirror_.beginListing(records.asOf);
    std::vector<MirrorChange> changes =
        mirror_.applyPage({ .items = records.items, .more = false, .lastKey = {}, .asOf = records.asOf }, now);
    std::vector<MirrorChange> ended = mirror_.endListing(now);
    changes.insert(changes.end(), std::make_move_iterator(ended.begin()), std::make_move_iterator(ended.end()));
    return changes;
}

std::string DirectoryReader::reasonToReject(const DirectoryChanges &changes) const
{
    if (changes.elsewhere) {
        return "referred to another VM too often";
    }
    if (changes.age > settings_.follow.maxStaleness) {
        return "records of the relay are too stale";
    }
    // Changes of another version would be skipped, and the catalogue would miss them from then on.
    const bool isOfOtherVersion = std::any_of(changes.items.begin(), changes.items.end(), [&](const auto &item) {
        const auto *delta = std::get_if<CatalogueDelta>(&item.content);
        return delta != nullptr && delta->base != mirror_.catalogueVersion();
    });
    return isOfOtherVersion ? "changes of the relay start from another version of the catalogue" : "";
}

void DirectoryReader::recordRelayAnswer(const DirectoryChanges &changes, TimePoint now)
{
    watchFrom_ = std::max(watchFrom_, changes.asOf);
    const TimePoint relayUpToDateAt = now - changes.age;
    lastAnswer_ = std::max(lastAnswer_.value_or(relayUpToDateAt), relayUpToDateAt);
    confirmedAt_ = std::max(confirmedAt_.value_or(relayUpToDateAt), relayUpToDateAt);
    upToDateAt_ = std::max(upToDateAt_.value_or(relayUpToDateAt), relayUpToDateAt);
}

void DirectoryReader::listAtOnce(TimePoint now)
{
    if (!listed_ && !inProgress_ && failures_ == 0 && abandoned_ == 0) {
        nextAt_ = std::min(nextAt_, now);
    }
}

void DirectoryReader::postponeListing(TimePoint until)
{
    if (!listed_ && !inProgress_ && !isRelay_) {
        nextAt_ = std::max(nextAt_, until);
    }
}

bool DirectoryReader::adoptRecords(
    const Endpoint &relay, const DirectoryChanges &records, Acceptance acceptance, TimePoint now, Random &random)
{
    const bool listingIsSlow = failures_ > 0 || (inProgress_ && now - startedAt_ >= settings_.follow.firstListTimeout);
    const Duration maxStaleness = listingIsSlow && acceptance == Acceptance::AlsoStale
        ? settings_.follow.maxInitialStaleness
        : settings_.follow.maxStaleness;
    if (listed_ || records.age > maxStaleness) {
        return false;
    }
    if (records.sinceOutage) {
        mirror_.recordOutage(now - *records.sinceOutage);
    }
    // A listing that did not end may have left records that were removed since.
    applyAllRecords(records, now);
    if (!mirror_.hasCatalogue()) {
        return false;
    }
    watchFrom_ = {};
    recordRelayAnswer(records, now);
    listed_ = true;
    canWatch_ = true;
    pages_.clear();
    inProgress_.reset();
    // VMs that started together don't all ask the first relay at once. A VM that a relay referred to another one stays
    // there.
    const std::chrono::duration<double, std::nano> pause = settings_.follow.followWait;
    nextAt_ = now + std::chrono::duration_cast<Duration>(pause * random.unit());
    const auto &relays = settings_.follow.relays;
    if (std::find(relays.begin(), relays.end(), relay) == relays.end()) {
        relay_ = relay;
    }
    return true;
}

std::optional<TimePoint> DirectoryReader::listingCheckAt() const
{
    const bool isListing = inProgress_ && inProgress_->kind == DirectoryCall::Kind::List;
    const bool mayAbandon = !listed_ && !isRelay_ && !settings_.follow.relays.empty();
    return isListing && mayAbandon && settings_.listing.linkBandwidth > 0 ? std::optional(checkAt_) : std::nullopt;
}

bool DirectoryReader::abandonsListing(std::size_t receivedBytes, TimePoint now, Random &random)
{
    checkAt_ = now + settings_.listing.checkInterval;
    if (receivedBytes == 0) {
        // The directory is slow to answer, which says nothing about its bandwidth.
        transferSince_ = now;
        return false;
    }
    const std::chrono::duration<double> elapsed = now - transferSince_;
    const double possibleBytes = settings_.listing.linkBandwidth * elapsed.count();
    const double fraction = possibleBytes > 0 ? static_cast<double>(receivedBytes) / possibleBytes : 1;
    const double relative = fraction / settings_.listing.minLinkFraction;
    if (random.chance(relative * relative * relative)) {
        return false;
    }
    inProgress_.reset();
    const std::uint32_t doublings = std::min<std::uint32_t>(abandoned_++, 8);
    const std::chrono::duration<double, std::nano> delay = settings_.listing.retryDelay * (1U << doublings);
    nextAt_ = now + std::chrono::duration_cast<Duration>(delay * (0.5 + random.unit()));
    return true;
}

std::optional<std::uint64_t> DirectoryReader::callInProgress() const
{
    return inProgress_ ? std::optional(inProgress_->id) : std::nullopt;
}

void DirectoryReader::handleFailure(const DirectoryFailure &failure,
                                    TimePoint now,
                                    Random &random,
                                    ReaderOutcome &outcome)
{
    outcome.failure = failure;
    confirmedAt_.reset();
    if (failure.error == DirectoryError::HistoryLost) {
        canWatch_ = false;
        pages_.clear();
        nextAt_ = now;
        return;
    }
    outcome.consecutiveFailures = ++failures_;
    if (reachable_ && failures_ >= outageThreshold) {
        reachable_ = false;
        outcome.becameUnreachable = true;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(failures_ - 1, 8);
    const Duration backoff = std::min(settings_.initialBackoff * (1U << doublings), settings_.maxBackoff);
    // Half of the backoff is random, so that VMs whose calls failed together don't all retry at once.
    nextAt_ = now + backoff / 2
        + std::chrono::duration_cast<Duration>(
                  std::chrono::duration<double, std::nano>(static_cast<double>(backoff.count()) * random.unit() / 2));
}

void DirectoryReader::recordSuccess(TimePoint now, ReaderOutcome &outcome)
{
    const bool late = lastAnswer_ && now - startedAt_ > longPollWait() + settings_.answerMargin / 2;
    if (failures_ > 0 || late) {
        mirror_.recordOutage(now);
    }
    failures_ = 0;
    outcome.becameReachable = !reachable_;
    reachable_ = true;
}

void DirectoryReader::recordUpToDate(TimePoint at)
{
    confirmedAt_ = at;
    upToDateAt_ = at;
}

void DirectoryReader::handlePage(const DirectoryPage &page, TimePoint now, ReaderOutcome &outcome)
{
    if (pages_.empty()) {
        firstPageAt_ = now;
    }
    pages_.push_back(page);
    nextAt_ = now;
    if (page.more && !page.lastKey.empty()) {
        return;
    }
    // Later pages may have later revisions; a watch from the first page's revision misses no change.
    const DirectoryRevision asOf = pages_.front().asOf;
    mirror_.beginListing(asOf);
    for (const DirectoryPage &listed : pages_) {
        const std::vector<MirrorChange> applied = mirror_.applyPage(listed, now);
        outcome.changes.insert(outcome.changes.end(), applied.begin(), applied.end());
    }
    const std::vector<MirrorChange> ended = mirror_.endListing(now);
    outcome.changes.insert(outcome.changes.end(), ended.begin(), ended.end());
    pages_.clear();
    lastAnswer_ = firstPageAt_;
    recordUpToDate(firstPageAt_);
    watchFrom_ = asOf;
    canWatch_ = true;
    listed_ = true;
}

void DirectoryReader::handleSuspension(TimePoint now)
{
    nextAt_ = std::min(nextAt_, now);
    lastAnswer_.reset();
    confirmedAt_.reset();
}

std::optional<Duration> DirectoryReader::staleness(TimePoint now) const
{
    return upToDateAt_ ? std::optional(now - *upToDateAt_) : std::nullopt;
}

std::optional<Duration> DirectoryReader::timeSinceAnswer(TimePoint now) const
{
    return lastAnswer_ ? std::optional(now - *lastAnswer_) : std::nullopt;
}

bool DirectoryReader::isFresh(TimePoint now) const
{
    return lastAnswer_ && now - *lastAnswer_ <= settings_.longPollWait + settings_.answerMargin;
}

} // namespace boragelug
