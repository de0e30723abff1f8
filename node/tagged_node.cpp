#include "node/tagged_node.h"

#include "routing/flow_tag.h"
#include "routing/syn_deadlines.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace boragelug
{
namespace
{

std::string milliseconds(Duration duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::string_view reasonName(PlacementReason reason)
{
    constexpr std::array<std::string_view, 2> names { "first", "repeated" };
    return names.at(static_cast<std::size_t>(reason));
}

EventNumber eventOf(MirrorChange::Kind kind)
{
    switch (kind) {
    case MirrorChange::Kind::CatalogueAdopted:
        return EventNumber::CatalogueAdopted;
    case MirrorChange::Kind::CatalogueIgnored:
        return EventNumber::CatalogueStale;
    case MirrorChange::Kind::UpstreamAppeared:
        return EventNumber::UpstreamAppeared;
    case MirrorChange::Kind::UpstreamDraining:
        return EventNumber::UpstreamDraining;
    case MirrorChange::Kind::UpstreamLapsed:
        return EventNumber::UpstreamLapsed;
    case MirrorChange::Kind::UpstreamGone:
        return EventNumber::UpstreamGone;
    case MirrorChange::Kind::ZoneEvacuated:
        return EventNumber::ZoneEvacuated;
    case MirrorChange::Kind::ZoneRestored:
        return EventNumber::ZoneRestored;
    case MirrorChange::Kind::RecordUnreadable:
        return EventNumber::RecordUnreadable;
    }
    return EventNumber::RecordUnreadable;
}

/// Adds the event for an upstream that became slow or fast, unless it has left since.
void appendSpeedChange(const SlowUpstream &change, const DirectoryView &view, std::vector<NodeEvent> &events)
{
    const auto found = std::find_if(view.upstreams.begin(), view.upstreams.end(), [&](const DirectoryUpstream &status) {
        return flowTagOf(status.upstream.id, status.upstream.incarnation) == change.upstream;
    });
    if (found == view.upstreams.end()) {
        return;
    }
    std::array<char, 16> slowness {};
    std::snprintf(slowness.data(), slowness.size(), "%.1f", change.slowness);
    events.push_back(
        { .number = change.slowness > 1 ? EventNumber::UpstreamSlow : EventNumber::UpstreamFast,
          .causeId = 0,
          .fields = { { "upstream", causeText(found->upstream.id.value) }, { "slowness", slowness.data() } } });
}

EventNumber forwardEvent(const ForwardPacket &forward)
{
    if (forward.placed) {
        return EventNumber::FlowPlaced;
    }
    return forward.tagUpstream != UpstreamId {} ? EventNumber::FlowTagDiffers : EventNumber::FlowUnanswered;
}

void addForwardFields(const ForwardPacket &forward, NodeEvent &event)
{
    event.number = forwardEvent(forward);
    event.fields.emplace_back("upstream", causeText(forward.upstream.value));
    event.fields.emplace_back("address", toString(forward.address));
    if (forward.tagUpstream != UpstreamId {}) {
        event.fields.emplace_back("tag_upstream", causeText(forward.tagUpstream.value));
    }
    if (forward.placed) {
        event.fields.emplace_back("reason", reasonName(forward.reason));
        event.fields.emplace_back("cost", std::to_string(forward.cost));
        event.fields.emplace_back("compared", std::to_string(forward.compared));
    }
}

std::optional<TaggedRefusal> refusalOf(const TaggedDecision &decision)
{
    if (const auto *reset = std::get_if<ResetFlow>(&decision)) {
        return reset->reason;
    }
    const auto *drop = std::get_if<DropPacket>(&decision);
    return drop != nullptr ? std::optional(drop->reason) : std::nullopt;
}

void addResetFields(const ResetFlow &reset, NodeEvent &event)
{
    if (reset.upstream != UpstreamId {}) {
        event.fields.emplace_back("upstream", causeText(reset.upstream.value));
    }
    const bool hasEnded = reset.reason == TaggedRefusal::EndedUpstream;
    if (!hasEnded && reset.reason != TaggedRefusal::SilentUpstream) {
        return;
    }
    event.fields.emplace_back("since_progress_ms", milliseconds(reset.sinceProgress));
    event.fields.emplace_back("waiting_ms", milliseconds(reset.waiting));
    if (hasEnded) {
        event.fields.emplace_back("unlisted_ms", milliseconds(reset.sinceUnlisted));
        event.fields.emplace_back("opened_here", reset.openedHere ? "yes" : "no");
    } else {
        event.fields.emplace_back("since_check_ms", milliseconds(reset.sinceCheck));
        event.fields.emplace_back("since_unanswered_ms", milliseconds(reset.sinceUnanswered));
        event.fields.emplace_back("unanswered", std::to_string(reset.unanswered));
    }
}

/// Event with the number and fields that describe @p decision.
NodeEvent decisionEvent(const FlowPacket &packet, const TaggedDecision &decision)
{
    NodeEvent event;
    // The reason comes first, so that it remains in lines that are cut.
    if (const auto reason = refusalOf(decision)) {
        event.fields.emplace_back("reason", taggedRefusalName(*reason));
    }
    event.fields.emplace_back("caller", toString(packet.caller));
    event.fields.emplace_back("entry", toString(packet.entry));
    if (const auto *forward = std::get_if<ForwardPacket>(&decision)) {
        addForwardFields(*forward, event);
    } else if (const auto *queued = std::get_if<QueuePacket>(&decision)) {
        event.number = EventNumber::FlowWaits;
        event.fields.emplace_back("in_progress", std::to_string(queued->inProgress));
        event.fields.emplace_back("limit", std::to_string(queued->limit));
        event.fields.emplace_back("mean_share_of_objective", std::to_string(queued->meanLatencyRatio));
    } else if (const auto *reset = std::get_if<ResetFlow>(&decision)) {
        event.number = EventNumber::FlowRefused;
        addResetFields(*reset, event);
    } else {
        event.number = EventNumber::PacketDropped;
    }
    return event;
}

} // namespace

std::string_view taggedRefusalName(TaggedRefusal reason)
{
    constexpr std::array<std::string_view, taggedRefusalCount> names {
        "no_view",         "unknown_entry",  "no_upstream", "unknown_tag",  "foreign_tag",
        "silent_upstream", "ended_upstream", "crowded",     "outdated_syn", "unplaced_copy"
    };
    return names.at(static_cast<std::size_t>(reason));
}

TaggedNode::TaggedNode(const TaggedNodeSettings &settings)
    : settings_(settings)
    , mirror_(settings.mirror)
    , reader_(mirror_, settings.reader)
    , relay_(mirror_, reader_, settings.relay)
    , router_(settings.routing)
    , waiting_(settings.waiting)
    , held_(settings.maxHeldPackets)
    , random_(settings.seed)
    , start_(reader_.relays(), settings.start, random_)
    , placementSampler_(settings.flowLogLinesPerSecond)
    , problemSampler_(settings.flowLogLinesPerSecond)
{ }

TaggedDecision TaggedNode::handlePacket(const FlowPacket &packet,
                                        TimePoint now,
                                        std::vector<NodeEvent> &events,
                                        std::span<const std::byte> bytes)
{
    handleTickGap(now, events);
    lastPacket_ = now;
    const TaggedDecision decision = isOutdatedSyn(packet, now) ? router_.dropSyn(TaggedRefusal::OutdatedSyn)
                                                               : decide(packet, now, bytes, Duration::zero());
    appendDecisionEvent(packet, decision, std::nullopt, now, events);
    return decision;
}

// Another VM may have opened the flow at an entry or upstream whose record this VM has not received yet. Resetting a
// late copy of the SYN would end that flow. So a SYN is reset only if the view is newer than the caller's first SYN: an
// entry that the caller may use was listed by then.
bool TaggedNode::mayReset(const FlowPacket &packet, Duration waited, TimePoint now) const
{
    if (!packet.syn) {
        return reader_.isFresh(now);
    }
    const auto age = reader_.staleness(now);
    return age && *age <= waited + sinceFirstSyn(packet, settings_.routing.admission);
}

// A SYN that waited during a suspension may have been sent long ago, and a copy of it may have opened the flow through
// another VM.
bool TaggedNode::isOutdatedSyn(const FlowPacket &packet, TimePoint now) const
{
    return packet.syn && resumedAt_ && now - *resumedAt_ < settings_.socketDrainTime;
}

// Called for packets too: those that waited in the socket of a suspended process are read before the next tick.
void TaggedNode::handleTickGap(TimePoint now, std::vector<NodeEvent> &events)
{
    if (!lastTick_ || now - *lastTick_ <= settings_.suspensionThreshold) {
        return;
    }
    reader_.handleSuspension(now);
    events.push_back({ .number = EventNumber::ProcessSlept,
                       .causeId = 0,
                       .fields = { { "milliseconds", milliseconds(now - *lastTick_) } } });
    lastTick_ = now;
    resumedAt_ = now;
}

TaggedDecision
TaggedNode::decide(const FlowPacket &packet, TimePoint now, std::span<const std::byte> bytes, Duration waited)
{
    if (!view_ && held_.add(packet, bytes, now)) {
        return QueuePacket {};
    }
    if (packet.syn && waiting_.contains(packet)) {
        waiting_.recordCopy(packet);
        return QueuePacket {};
    }
    if (packet.syn) {
        waiting_.dropEarlierFlow(packet);
    } else {
        waiting_.dropFlow(packet);
    }
    const TaggedDecision decision = router_.route(
        packet, { .viewIsFresh = mayReset(packet, waited, now), .mayQueue = !isDraining(), .waited = waited }, now);
    const auto *queued = std::get_if<QueuePacket>(&decision);
    return queued != nullptr ? queueSyn(packet, *queued, now, bytes) : decision;
}

TaggedDecision
TaggedNode::queueSyn(const FlowPacket &syn, const QueuePacket &queued, TimePoint now, std::span<const std::byte> bytes)
{
    const ServicePace pace { .limit = queued.limit, .meanLatencyRatio = queued.meanLatencyRatio };
    const WaitingRequestAttributes &attributes = queued.attributes;
    const QueuedRequests asImportant = waiting_.countAsImportant(attributes.service, attributes.priority);
    if (waiting_.isFull() || isHopeless(attributes, waiting_.countAhead(attributes, now), pace, now)
        || isBacklogged(asImportant, pace, settings_.routing.admission.maxBacklog)) {
        return router_.resetSyn(TaggedRefusal::ConcurrencyLimit);
    }
    waiting_.add(queued.attributes, syn, bytes, now);
    ++waitedRequests_;
    return queued;
}

std::vector<DequeuedPacket> TaggedNode::takeDequeued(TimePoint now, std::vector<NodeEvent> &events)
{
    std::vector<DequeuedPacket> dequeued;
    if (view_ && !held_.empty()) {
        routeHeld(now, dequeued);
    }
    if (waiting_.empty() && dequeued.empty()) {
        return dequeued;
    }
    if (isDraining()) {
        releaseWaiting(now, dequeued);
    }
    for (const ServiceId service : waiting_.services()) {
        while (auto request = waiting_.takeNext(service, router_.room(service, now), now)) {
            routeDequeued(std::move(*request), now, dequeued);
        }
    }
    for (WaitingRequest &request : waiting_.takeExpired(now)) {
        rejectDequeued(std::move(request), now, dequeued);
    }
    for (const DequeuedPacket &packet : dequeued) {
        appendDecisionEvent(packet.packet.head, packet.decision, packet.waited, now, events);
    }
    return dequeued;
}

// Before the process exits, queued requests are forwarded whatever the limit: their callers would otherwise notice only
// by retransmitting that the VM is gone.
void TaggedNode::releaseWaiting(TimePoint now, std::vector<DequeuedPacket> &dequeued)
{
    for (const ServiceId service : waiting_.services()) {
        while (auto request = waiting_.takeNext(service, ServiceRoom {}, now)) {
            routeDequeued(std::move(*request), now, dequeued);
        }
    }
}

void TaggedNode::routeHeld(TimePoint now, std::vector<DequeuedPacket> &dequeued)
{
    const AdmissionSettings &admission = settings_.routing.admission;
    for (HeldPacket &held : held_.takeAll()) {
        const Duration waited = now - held.arrivedAt;
        const FlowPacket &head = held.packet.head;
        const Duration sinceFirstSyn = waited + boragelug::sinceFirstSyn(head, admission);
        TaggedDecision decision;
        if (head.syn && sinceFirstSyn >= admission.openingTimeout) {
            decision = router_.dropSyn(TaggedRefusal::NoView); // The caller has abandoned opening this flow.
        } else if (head.syn && boragelug::hasMovedAway(held.lastSynCopy, sinceFirstSyn, admission)) {
            decision = router_.dropSyn(TaggedRefusal::UnplacedCopy);
        } else {
            decision = decide(head, now, held.packet.bytes, waited);
        }
        if (!std::holds_alternative<QueuePacket>(decision)) {
            dequeued.push_back({ .packet = std::move(held.packet), .decision = decision, .waited = waited });
        }
    }
}

// If the fabric now uses another VM for the flow, that one may have placed a copy of the SYN.
bool TaggedNode::hasMovedAway(const WaitingRequest &request, TimePoint now) const
{
    return boragelug::hasMovedAway(request.lastSynCopy, now - request.attributes.sentAt, settings_.routing.admission);
}

void TaggedNode::routeDequeued(WaitingRequest request, TimePoint now, std::vector<DequeuedPacket> &dequeued)
{
    const FlowPacket &syn = request.syn.head;
    const Duration waited = now - request.queuedAt;
    const TaggedDecision decision = hasMovedAway(request, now)
        ? router_.dropSyn(TaggedRefusal::UnplacedCopy)
        : router_.route(syn, { .viewIsFresh = mayReset(syn, waited, now) }, now);
    dequeued.push_back({ .packet = std::move(request.syn), .decision = decision, .waited = waited });
}

void TaggedNode::rejectDequeued(WaitingRequest request, TimePoint now, std::vector<DequeuedPacket> &dequeued)
{
    TaggedDecision decision;
    if (hasMovedAway(request, now)) {
        decision = router_.dropSyn(TaggedRefusal::ConcurrencyLimit);
    } else {
        decision = router_.resetSyn(TaggedRefusal::ConcurrencyLimit);
    }
    dequeued.push_back({ .packet = std::move(request.syn), .decision = decision, .waited = now - request.queuedAt });
}

void TaggedNode::appendDecisionEvent(const FlowPacket &packet,
                                     const TaggedDecision &decision,
                                     std::optional<Duration> waited,
                                     TimePoint now,
                                     std::vector<NodeEvent> &events)
{
    const auto *forward = std::get_if<ForwardPacket>(&decision);
    const auto *queued = std::get_if<QueuePacket>(&decision);
    const bool onOpenFlow =
        forward != nullptr && !forward->placed && !forward->unanswered && forward->tagUpstream == UpstreamId {};
    // Further packets of a queued request and ordinary packets of an open flow get no event: nothing was decided.
    if ((onOpenFlow && !waited) || (queued != nullptr && queued->limit == 0)) {
        return;
    }
    const std::uint64_t cause = flowCause(packet.caller, packet.entry);
    const bool isFirstPlacement = forward != nullptr && forward->placed && forward->reason == PlacementReason::First;
    FlowSampler &sampler = isFirstPlacement ? placementSampler_ : problemSampler_;
    if (!sampler.admit(cause, now)) {
        return;
    }
    NodeEvent event = decisionEvent(packet, decision);
    event.causeId = cause;
    if (waited) {
        event.number = onOpenFlow ? EventNumber::FlowReleased : event.number;
        event.fields.emplace_back("waited_ms", milliseconds(*waited));
    }
    addViewFields(sampler, now, event);
    events.push_back(std::move(event));
}

void TaggedNode::addViewFields(FlowSampler &sampler, TimePoint now, NodeEvent &event) const
{
    event.fields.emplace_back("catalogue", std::to_string(view_ ? view_->version.value : 0));
    event.fields.emplace_back("revision", std::to_string(view_ ? view_->revision.value : 0));
    event.fields.emplace_back("view_age_ms", viewAgeText(now));
    if (const std::uint64_t leftOut = sampler.takeLeftOut(); leftOut > 0) {
        event.fields.emplace_back("flow_lines_left_out", std::to_string(leftOut));
    }
}

std::string TaggedNode::viewAgeText(TimePoint now) const
{
    const auto age = viewAge(now);
    return age ? milliseconds(*age) : "none";
}

std::optional<DirectoryCall> TaggedNode::nextCall(TimePoint now)
{
    if (const auto heldUntil = start_.heldUntil(now)) {
        reader_.postponeListing(*heldUntil);
    }
    auto call = reader_.nextCall(now);
    if (call && call->kind == DirectoryCall::Kind::Follow) {
        call->speeds = router_.speeds().takeObservations(now);
    }
    return call;
}

std::vector<NodeEvent> TaggedNode::handleDirectoryAnswer(const DirectoryAnswer &answer, TimePoint now)
{
    std::vector<NodeEvent> events;
    const bool wasComplete = reader_.isComplete();
    const auto *answered = std::get_if<DirectoryChanges>(&answer.result);
    const bool isCurrent = reader_.callInProgress() == answer.callId;
    if (answered != nullptr && answered->slowUpstreams && isCurrent) {
        router_.speeds().setSlowUpstreams(*answered->slowUpstreams, now);
    }
    const ReaderOutcome outcome = reader_.handleAnswer(answer, now, random_);
    appendReaderEvents(outcome, now, events);
    // The records of the first listing are reported as one number, in ProcessReady: a line for each would delay the
    // start.
    if (wasComplete) {
        appendChanges(outcome.changes, events);
    }
    publish(now);
    if (!wasComplete && reader_.isComplete()) {
        staleRecords_.reset();
        start_.announce(reader_.syncedRevision(), now);
        appendReadyEvent(events);
    }
    return events;
}

std::vector<NodeEvent> TaggedNode::handleStartAnswer(const DirectoryAnswer &answer, TimePoint now)
{
    std::vector<NodeEvent> events;
    const RelayStart::Result result = start_.handleAnswer(answer, now);
    if (!result.failure.empty()) {
        reader_.listAtOnce(now);
    }
    using Acceptance = DirectoryReader::Acceptance;
    if (!result.records || adoptRecords(result.relay, *result.records, Acceptance::Fresh, now, events)) {
        adoptStaleRecords(now, events);
        return events;
    }
    const auto upToDateAt = [](const StaleRecords &stale) { return stale.receivedAt - stale.records.age; };
    StaleRecords stale { .relay = result.relay, .records = *result.records, .receivedAt = now };
    if (!staleRecords_ || upToDateAt(stale) > upToDateAt(*staleRecords_)) {
        staleRecords_ = std::move(stale);
    }
    adoptStaleRecords(now, events);
    return events;
}

bool TaggedNode::adoptRecords(const Endpoint &relay,
                              const DirectoryChanges &records,
                              DirectoryReader::Acceptance acceptance,
                              TimePoint now,
                              std::vector<NodeEvent> &events)
{
    if (!reader_.adoptRecords(relay, records, acceptance, now, random_)) {
        return false;
    }
    staleRecords_.reset();
    events.push_back({ .number = EventNumber::RelayFollowed,
                       .causeId = 0,
                       .fields = { { "relay", toString(relay) }, { "view_age_ms", viewAgeText(now) } } });
    publish(now);
    start_.stop();
    appendReadyEvent(events);
    return true;
}

// Old records may have upstreams and entries that were removed since. Of several relays, the one with the latest
// records is used, and only while the directory itself can't be read.
void TaggedNode::adoptStaleRecords(TimePoint now, std::vector<NodeEvent> &events)
{
    if (!staleRecords_ || !isStarting() || !start_.hasAskedAll()) {
        return;
    }
    DirectoryChanges records = staleRecords_->records;
    // The maximum stands for records that were never up to date.
    if (records.age != Duration::max()) {
        records.age += now - staleRecords_->receivedAt;
    }
    adoptRecords(Endpoint(staleRecords_->relay), records, DirectoryReader::Acceptance::AlsoStale, now, events);
}

void TaggedNode::appendReadyEvent(std::vector<NodeEvent> &events)
{
    if (isReady() && !wasReady_) {
        wasReady_ = true;
        events.push_back({ .number = EventNumber::ProcessReady,
                           .causeId = 0,
                           .fields = { { "catalogue", std::to_string(view_->version.value) },
                                       { "upstreams", std::to_string(view_->upstreams.size()) },
                                       { "evacuated_zones", std::to_string(evacuatedZones()) } } });
    }
}

void TaggedNode::handleFollower(FollowerId follower, const FollowRequest &request, TimePoint now)
{
    // A VM that asks for changes has all records up to a revision.
    if (isStarting() && request.after != DirectoryRevision {}) {
        start_.handleAnnouncement(request.listening, now);
    }
    router_.speeds().addObservations(request.speeds, now);
    relay_.handleRequest(follower, request, now);
}

std::vector<RelayAnswer> TaggedNode::takeRelayAnswers(TimePoint now)
{
    if (settings_.routing.speeds.enabled) {
        relay_.setSlowUpstreams(std::make_shared<const std::vector<SlowUpstream>>(router_.speeds().slowUpstreams(now)));
    }
    return relay_.takeAnswers(now, random_);
}

void TaggedNode::appendReaderEvents(const ReaderOutcome &outcome, TimePoint now, std::vector<NodeEvent> &events) const
{
    if (outcome.failure) {
        events.push_back(
            { .number = outcome.becameUnreachable ? EventNumber::PlatformUnreachable : EventNumber::DirectoryCallFailed,
              .causeId = 0,
              .fields = { { "reason", outcome.failure->detail },
                          { "in_a_row", std::to_string(outcome.consecutiveFailures) },
                          { "view_age_ms", viewAgeText(now) } } });
    }
    if (outcome.becameReachable) {
        events.push_back({ .number = EventNumber::PlatformReachable, .causeId = 0, .fields = {} });
    }
    if (outcome.followedRelay) {
        events.push_back(
            { .number = EventNumber::RelayFollowed,
              .causeId = 0,
              .fields = { { "relay", toString(*outcome.followedRelay) }, { "view_age_ms", viewAgeText(now) } } });
    }
    if (outcome.failedRelay) {
        events.push_back({ .number = EventNumber::RelayLost,
                           .causeId = 0,
                           .fields = { { "relay", toString(*outcome.failedRelay) },
                                       { "reason", outcome.relayFailureReason },
                                       { "view_age_ms", viewAgeText(now) } } });
    }
}

void TaggedNode::appendChanges(const std::vector<MirrorChange> &changes, std::vector<NodeEvent> &events) const
{
    for (const MirrorChange &change : changes) {
        NodeEvent event { .number = eventOf(change.kind),
                          .causeId = 0,
                          .fields = { { "upstream", causeText(change.upstream.value) },
                                      { "key", change.key },
                                      { "revision", std::to_string(change.revision.value) } } };
        if (!change.detail.empty()) {
            event.fields.emplace_back("detail", change.detail);
        }
        events.push_back(std::move(event));
    }
}

void TaggedNode::publish(TimePoint now)
{
    // Until the first full listing is complete, upstreams on its remaining pages would count as missing.
    if (!reader_.isComplete()) {
        return;
    }
    auto published = mirror_.publish();
    if (published != view_) {
        view_ = std::move(published);
        router_.applyView(view_, now);
    }
}

std::vector<NodeEvent> TaggedNode::handleCheckResult(const UpstreamCheck &check, bool answered, TimePoint now)
{
    router_.recordCheckResult(check, answered, now);
    return { { .number = EventNumber::UpstreamChecked,
               .causeId = 0,
               .fields = { { "upstream", causeText(check.upstream.value) },
                           { "address", toString(check.address) },
                           { "answered", answered ? "yes" : "no" } } } };
}

std::vector<SilentFlow> TaggedNode::takeSilentFlows(TimePoint now, std::vector<NodeEvent> &events)
{
    std::vector<SilentFlow> flows;
    if (!reader_.isFresh(now)) {
        return flows;
    }
    flows = router_.takeSilentFlows(now);
    for (const SilentFlow &flow : flows) {
        appendDecisionEvent(flow.head, flow.reset, std::nullopt, now, events);
    }
    return flows;
}

std::vector<NodeEvent> TaggedNode::tick(TimePoint now)
{
    std::vector<NodeEvent> events;
    handleTickGap(now, events);
    lastTick_ = now;
    reader_.setHasFollowers(relay_.followers() > 0);
    adoptStaleRecords(now, events);
    appendChanges(mirror_.tick(now), events);
    publish(now);
    for (const EjectionChange &change : router_.tick(now)) {
        events.push_back({ .number = change.ejected ? EventNumber::UpstreamEjected : EventNumber::UpstreamRecovered,
                           .causeId = 0,
                           .fields = { { "upstream", causeText(change.upstream.value) },
                                       { "misses", std::to_string(change.consecutiveUnanswered) },
                                       { "since_progress_ms", milliseconds(change.sinceProgress) } } });
    }
    if (const auto change = router_.speeds().takeChange(now); change && view_) {
        appendSpeedChange(*change, *view_, events);
    }
    return events;
}

std::vector<NodeEvent> TaggedNode::beginDrain(TimePoint now)
{
    std::vector<NodeEvent> events;
    if (!drainStart_) {
        drainStart_ = now;
        events.push_back({ .number = EventNumber::ProcessDraining, .causeId = 0, .fields = {} });
    }
    return events;
}

bool TaggedNode::isDrained(TimePoint now) const
{
    if (!drainStart_) {
        return false;
    }
    const bool isIdle =
        waiting_.empty() && held_.empty() && (!lastPacket_ || now - *lastPacket_ >= settings_.drainIdleTime);
    const Duration elapsed = now - *drainStart_;
    return elapsed >= settings_.drainBound || (isIdle && elapsed >= settings_.fabricDetectionTime);
}

} // namespace boragelug
