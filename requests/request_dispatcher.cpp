#include "requests/request_dispatcher.h"

#include "core/hash.h"
#include "requests/dispatcher_state.h"

#include <algorithm>
#include <cassert>

namespace boragelug
{

namespace
{

/// Tick interval while requests wait for a slot, because slots can become usable without any message.
constexpr auto queuedTickInterval = std::chrono::milliseconds(10);
/// Retry-After of a refusal to issue an id.
constexpr auto issueRetryAfter = std::chrono::seconds(1);
/// Unused ids of one owner may take at most maxRecords divided by this number.
constexpr std::size_t issuedIdDivisorPerOwner = 4;

void applyEntries(DispatcherState &s, const Catalogue &catalogue)
{
    absl::flat_hash_map<Endpoint, EntryState> entries;
    for (const Entry &entry : catalogue.entries) {
        if (entry.kind != EntryKind::Requests) {
            continue;
        }
        const auto previous = s.entries.find(entry.address);
        EntryState state = previous == s.entries.end() ? EntryState {} : std::move(previous->second);
        if (state.name != entry.name) {
            state = EntryState {};
        }
        state.name = entry.name;
        state.nameHash = hashText(entry.name.value);
        state.ownerHash = hashText(entry.owner.value);
        state.service = entry.service;
        state.importance = entry.importance;
        state.allowSpill = entry.allowSpill;
        state.maxDeadline = entry.maxDeadline;
        state.limits = entry.limits;
        entries.emplace(entry.address, std::move(state));
    }
    s.entries = std::move(entries);
}

void applyServices(DispatcherState &s, const View &view)
{
    for (auto &[id, service] : s.services) {
        service.activeLocal = 0;
        service.activeInRegion = 0;
    }
    for (const Service &catalogueService : view.catalogue.services) {
        ServiceState &service = s.services.try_emplace(catalogueService.id, s.config).first->second;
        service.slotsPerHost = catalogueService.slotsPerHost;
        service.slowStart = catalogueService.slowStart;
    }
    const auto localVms = static_cast<std::uint32_t>(std::ranges::count(slotVms(view), view.selfZone, &SlotVm::zone));
    for (const UpstreamStatus &status : view.upstreams) {
        const auto service = s.services.find(status.upstream.service);
        if (service == s.services.end() || status.upstream.state != UpstreamState::Active) {
            continue;
        }
        ++service->second.activeInRegion;
        service->second.activeLocal += status.upstream.zone == view.selfZone ? 1 : 0;
    }
    for (auto &[id, service] : s.services) {
        service.fairShareOfSlots = (service.activeLocal * service.slotsPerHost + localVms - 1) / localVms;
    }
    std::erase_if(s.services, [&](const auto &item) {
        const auto catalogueService = std::ranges::find(view.catalogue.services, item.first, &Service::id);
        return catalogueService == view.catalogue.services.end() && item.second.queue.size() == 0;
    });
}

void finishUnreachableForwards(DispatcherState &s, RequestActions &out)
{
    std::vector<std::uint64_t> unreachable;
    for (const auto &[forward, forwarded] : s.forwards) {
        if (reachableIssuer(s, forwarded.issuer, forwarded.issuerIncarnation) == nullptr
            && !isUnlistedIssuer(s, forwarded.issuer)) {
            unreachable.push_back(forward);
        }
    }
    for (const std::uint64_t forward : unreachable) {
        finishForward(s, forward, UnknownOutcome { UnknownReason::IssuerUnreachable }, out);
    }
}

/// Record of the request whose running attempt is @p attempt. If there is none, or its upstream has another
/// incarnation, counts the result as discarded and returns null.
const RequestRecord *
matchAttempt(DispatcherState &s, AttemptId attempt, std::optional<Incarnation> incarnation, RequestActions &out)
{
    const auto found = s.records.find(attempt.request);
    if (found != s.records.end()) {
        const RequestState &state = found->second.state;
        if (matchesAttempt(state, attempt, incarnation.value_or(state.upstreamIncarnation))) {
            return &found->second;
        }
    }
    ++s.counters.answersDiscarded;
    out.emplace_back(RequestEvent { EventNumber::AnswerDiscarded, attempt.request, {}, {} });
    return nullptr;
}

} // namespace

RequestDispatcher::RequestDispatcher(DispatcherConfig config, VmId self, Incarnation incarnation, std::uint64_t seed)
    : state_(std::make_unique<DispatcherState>(config, self, incarnation, seed))
{ }

RequestDispatcher::~RequestDispatcher() = default;

RequestDispatcher::RequestDispatcher(const RequestDispatcher &other)
    : state_(std::make_unique<DispatcherState>(*other.state_))
{ }

RequestDispatcher &RequestDispatcher::operator=(const RequestDispatcher &other)
{
    if (this != &other) {
        state_ = std::make_unique<DispatcherState>(*other.state_);
    }
    return *this;
}

RequestDispatcher::RequestDispatcher(RequestDispatcher &&) noexcept = default;
RequestDispatcher &RequestDispatcher::operator=(RequestDispatcher &&) noexcept = default;

RequestActions RequestDispatcher::applyView(std::shared_ptr<const View> view, TimePoint now)
{
    assert(view && view->self == state_->self);
    RequestActions out;
    DispatcherState &s = *state_;
    const bool catalogueChanged = !s.view || s.view->catalogue.version != view->catalogue.version;
    s.view = std::move(view);
    s.suspended = false;
    expireDue(s, now, out);
    if (catalogueChanged) {
        applyEntries(s, s.view->catalogue);
    }
    applyServices(s, *s.view);
    s.slots.applyView(*s.view, now);
    s.health.applyView(*s.view, now);
    if (!s.shares) {
        s.shares.emplace(s.config.shareIncreaseDelay, now);
    }
    s.shares->applyView(*s.view, now);
    finishUnreachableForwards(s, out);
    dispatchAllQueued(s, now, out);
    return out;
}

Outcome<std::string, RefusedOutcome> RequestDispatcher::issueRequestId(const Endpoint &entry, TimePoint now)
{
    using Result = Outcome<std::string, RefusedOutcome>;
    DispatcherState &s = *state_;
    if (s.drainDeadline) {
        return Result::failure({ RefusalReason::Draining, issueRetryAfter });
    }
    const auto found = s.entries.find(entry);
    if (found == s.entries.end()) {
        return Result::failure({ RefusalReason::UnknownEntry, {} });
    }
    const std::uint64_t owner = found->second.ownerHash;
    const auto ownerCount = s.issuedByOwner.find(owner);
    const bool ownerFull =
        ownerCount != s.issuedByOwner.end() && ownerCount->second >= s.config.maxRecords / issuedIdDivisorPerOwner;
    if (ownerFull || !makeRecordRoom(s)) {
        return Result::failure({ RefusalReason::RecordsFull, issueRetryAfter });
    }
    const RequestId id { s.self, s.incarnation, s.nextNumber++, now + s.config.idLifetime };
    s.issued.emplace(id.sequence, IssuedId { entry, owner, false });
    ++s.issuedByOwner[owner];
    s.timers.push({ id.expiry, TimerKind::IssuedIdExpiry, id.sequence });
    return formatRequestId(id, s.config.idKey);
}

RequestActions RequestDispatcher::handleCallerRequest(CallerRequest request, TimePoint now)
{
    RequestActions out;
    expireDue(*state_, now, out);
    acceptCallerRequest(*state_, std::move(request), now, out);
    return out;
}

RequestActions RequestDispatcher::handleAnswer(AttemptId attempt,
                                               Incarnation upstreamIncarnation,
                                               UpstreamAnswer answer,
                                               TimePoint now)
{
    RequestActions out;
    expireDue(*state_, now, out);
    if (matchAttempt(*state_, attempt, upstreamIncarnation, out) != nullptr) {
        endAttemptWithAnswer(*state_, attempt.request, std::move(answer), now, out);
    }
    return out;
}

RequestActions RequestDispatcher::handleAttemptFailed(AttemptId attempt, AttemptFailure failure, TimePoint now)
{
    RequestActions out;
    expireDue(*state_, now, out);
    if (matchAttempt(*state_, attempt, std::nullopt, out) != nullptr) {
        endAttemptWithFailure(*state_, attempt.request, failure, now, out);
    }
    return out;
}

RequestActions RequestDispatcher::handleCancel(const std::string &idText, const ReplyAddress &replyTo, TimePoint now)
{
    RequestActions out;
    expireDue(*state_, now, out);
    cancelCallerRequest(*state_, idText, replyTo, now, out);
    return out;
}

RequestActions RequestDispatcher::handleForwardedOutcome(std::uint64_t forward, RequestOutcome outcome, TimePoint now)
{
    RequestActions out;
    expireDue(*state_, now, out);
    if (state_->forwards.contains(forward)) {
        finishForward(*state_, forward, std::move(outcome), out);
    } else {
        ++state_->counters.answersDiscarded;
    }
    return out;
}

RequestActions RequestDispatcher::handlePeer(VmId from, const PeerMessage &message, TimePoint now)
{
    RequestActions out;
    expireDue(*state_, now, out);
    handlePeerMessage(*state_, from, message, now, out);
    return out;
}

RequestActions RequestDispatcher::tick(TimePoint now)
{
    RequestActions out;
    expireDue(*state_, now, out);
    state_->slots.expire(now);
    expireWaitingLeases(*state_, now, out);
    reportDemand(*state_, now, out);
    dispatchAllQueued(*state_, now, out);
    return out;
}

RequestActions RequestDispatcher::notifySuspension(TimePoint now)
{
    RequestActions out;
    DispatcherState &s = *state_;
    s.suspended = true;
    s.loadsValidFrom = now;
    s.slots.notifySuspension();
    s.waitingLeases.clear();
    s.health.discardReportedHealth();
    if (s.shares) {
        s.shares->discardReports(now);
    }
    expireDue(s, now, out);
    return out;
}

RequestActions RequestDispatcher::beginDrain(TimePoint now)
{
    RequestActions out;
    DispatcherState &s = *state_;
    expireDue(s, now, out);
    if (!s.drainDeadline) {
        s.drainDeadline = now + s.config.drainBound;
        s.slots.retireAt(now + s.config.leaseTime);
        s.timers.push({ *s.drainDeadline, TimerKind::DrainBound, 0 });
    }
    return out;
}

std::optional<TimePoint> RequestDispatcher::nextTick(TimePoint now) const
{
    const DispatcherState &s = *state_;
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint at) { next = next ? std::min(*next, at) : at; };
    if (!s.timers.empty()) {
        consider(s.timers.top().at);
    }
    if (s.shares) {
        consider(s.nextDemand);
    }
    if (s.queued > 0 || !s.waitingLeases.empty()) {
        consider(now + queuedTickInterval);
    }
    return next;
}

bool RequestDispatcher::drained() const
{
    return state_->drainDeadline && state_->queued == 0 && state_->inFlight == 0 && state_->forwards.empty();
}

DispatcherLoad RequestDispatcher::load() const
{
    const DispatcherState &s = *state_;
    return {
        s.queued, s.inFlight, s.forwards.size(), s.records.size() + s.issued.size(), s.answerBytes, s.payloadBytes
    };
}

const DispatcherCounters &RequestDispatcher::counters() const
{
    return state_->counters;
}

bool RequestDispatcher::upstreamUsable(UpstreamId upstream, TimePoint now) const
{
    return state_->health.ownOutcomesAllowUse(upstream, now);
}

std::uint32_t RequestDispatcher::slotsInUse(UpstreamId upstream) const
{
    return state_->slots.inUse(upstream);
}

RequestDispatcher::Share RequestDispatcher::limitShare(const EntryName &entry, TimePoint now)
{
    for (const auto &[address, state] : state_->entries) {
        if (state.name == entry && state_->shares) {
            const Limits &limits = state.limits;
            return { state_->shares->rateShare(state.nameHash, limits.requestsPerSecond, now),
                     static_cast<double>(state_->shares->countShare(state.nameHash, limits.requestsInProgress, now)) };
        }
    }
    return {};
}

} // namespace boragelug
