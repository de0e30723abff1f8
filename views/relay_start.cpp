#include "views/relay_start.h"

#include <utility>

namespace boragelug
{

RelayStart::RelayStart(std::vector<Endpoint> relays, const RelayStartSettings &settings, Random &random)
    : relays_(std::move(relays))
    , settings_(settings)
    , phase_(relays_.empty() ? Phase::Stopped : Phase::Asking)
{
    if (!relays_.empty()) {
        nextRelay_ = random.below(relays_.size());
    }
}

std::optional<DirectoryCall> RelayStart::nextCall(TimePoint now)
{
    if (isStopped() || inProgress_ || now < nextAt_) {
        return std::nullopt;
    }
    DirectoryCall call;
    call.id = ++lastId_;
    call.kind = DirectoryCall::Kind::Follow;
    call.relay = referral_.value_or(relays_[nextRelay_]);
    call.wait = settings_.wait;
    call.timeout = settings_.wait + settings_.transferTime;
    call.connectTimeout = settings_.connectTimeout;
    if (phase_ == Phase::Announcing) {
        call.after = announcedRevision_;
        call.wait = Duration::zero();
        call.timeout = settings_.announceTimeout;
    }
    inProgress_ = call;
    startedAt_ = now;
    return call;
}

std::optional<TimePoint> RelayStart::heldUntil(TimePoint now) const
{
    const bool isHeld = phase_ == Phase::Asking && inProgress_ && now - startedAt_ > settings_.connectTimeout;
    return isHeld ? std::optional(startedAt_ + settings_.wait) : std::nullopt;
}

std::optional<TimePoint> RelayStart::nextCallAt() const
{
    return isStopped() || inProgress_ ? std::nullopt : std::optional(nextAt_);
}

void RelayStart::handleAnnouncement(const Endpoint &vm, TimePoint now)
{
    if (phase_ != Phase::Asking || referral_) {
        return;
    }
    referral_ = vm;
    hops_ = 0;
    inProgress_.reset();
    nextAt_ = now;
}

void RelayStart::announce(DirectoryRevision revision, TimePoint now)
{
    if (phase_ != Phase::Asking) {
        return;
    }
    phase_ = Phase::Announcing;
    announcedRevision_ = revision;
    announceUntil_ = now + settings_.announceTime;
    referral_.reset();
    inProgress_.reset();
    askedInTurn_ = 0;
    nextAt_ = now;
}

void RelayStart::handleAnnounced(const DirectoryAnswer &answer, TimePoint now)
{
    if (std::holds_alternative<DirectoryChanges>(answer.result)) {
        reached_.insert(inProgress_->relay);
    }
    inProgress_.reset();
    if (reached_.size() == relays_.size() || now >= announceUntil_) {
        stop();
        return;
    }
    do {
        chooseNextRelay(now);
    } while (reached_.contains(relays_[nextRelay_]));
}

void RelayStart::chooseNextRelay(TimePoint now)
{
    nextRelay_ = (nextRelay_ + 1) % relays_.size();
    nextAt_ = now;
    if (++askedInTurn_ >= relays_.size()) {
        askedInTurn_ = 0;
        ++turns_;
        nextAt_ = now + settings_.retryInterval;
    }
}

void RelayStart::fail(const std::string &reason, TimePoint now, Result &result)
{
    result.failure = reason;
    referral_.reset();
    hops_ = 0;
    chooseNextRelay(now);
}

RelayStart::Result RelayStart::handleAnswer(const DirectoryAnswer &answer, TimePoint now)
{
    Result result;
    if (!inProgress_ || inProgress_->id != answer.callId) {
        return result;
    }
    result.relay = inProgress_->relay;
    if (phase_ == Phase::Announcing) {
        handleAnnounced(answer, now);
        return result;
    }
    const auto *changes = std::get_if<DirectoryChanges>(&answer.result);
    if (const auto *failure = std::get_if<DirectoryFailure>(&answer.result)) {
        fail(failure->detail, now, result);
    } else if (changes == nullptr) {
        fail("answer of the relay is not a list of changes", now, result);
    } else if (changes->elsewhere && hops_ < settings_.maxHops) {
        ++hops_;
        referral_ = changes->elsewhere;
        nextAt_ = now;
    } else if (changes->elsewhere) {
        fail("referred to another VM too often", now, result);
    } else if (changes->items.empty()) {
        fail("the relay has no records", now, result);
    } else {
        result.records = *changes;
        // If these records aren't used, another relay may have better ones.
        referral_.reset();
        hops_ = 0;
        chooseNextRelay(now);
    }
    inProgress_.reset();
    return result;
}

} // namespace boragelug
