#include "views/view_keeper_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace boragelug
{

namespace
{

// Minimum time between exchanges of member buckets; each takes up to three datagrams in each direction.
constexpr Duration bucketExchangePeriod = std::chrono::milliseconds(500);
// A digest's platformAgePart with a higher age is ignored.
constexpr std::uint64_t maxPlatformAgeMilliseconds = 3'600'000;

std::shared_ptr<const View> emptyView(const Vm &self)
{
    auto view = std::make_shared<View>();
    view->self = self.id;
    view->selfIncarnation = self.incarnation;
    view->selfZone = self.zone;
    view->unconfirmed = true;
    return view;
}

} // namespace

ViewKeeper::State::State(ViewKeeperSettings settings, TimePoint now)
    : settings_(std::move(settings))
    , store_(settings_.validate)
    , staging_(store_)
    , dissemination_(store_, staging_)
    , membership_(settings_.self, settings_.seedPeers, now)
    , watcher_(settings_.watchWait, now)
    , readers_(settings_.self.id, settings_.self.zone)
    , budget_(settings_.controlBytesPerSecond, settings_.controlBurstBytes, now)
    , suspensionDetector_(now)
    , view_(emptyView(settings_.self))
    , nextConfirmationRequest_(now)
    , nextGossip_(now)
    , nextReaderReport_(now)
    , readerSince_(now)
    , nextBucketExchange_(now)
    , nextPollUpdate_(now)
    , nextLoadPublish_(now)
    , nextMemberPublish_(now)
{
    confirmation_.restart(now);
}

void ViewKeeper::State::addEvent(EventNumber number,
                                 std::uint64_t cause,
                                 std::vector<std::pair<std::string, std::string>> fields)
{
    events_.push_back({ number, cause, std::move(fields) });
}

void ViewKeeper::State::queue(OutgoingMessage message)
{
    const ControlPriority priority = priorityOf(message.message);
    budget_.enqueue(std::move(message), priority);
}

void ViewKeeper::State::queue(std::vector<OutgoingMessage> messages)
{
    for (OutgoingMessage &message : messages) {
        queue(std::move(message));
    }
}

void ViewKeeper::State::queueBuckets(std::vector<OutgoingMessage> messages)
{
    // Messages with whole buckets are larger and less urgent than probes, and must not delay them.
    for (OutgoingMessage &message : messages) {
        budget_.enqueue(std::move(message), ControlPriority::Leaving);
    }
}

void ViewKeeper::State::send(OutgoingMessage message, TimePoint now)
{
    handleSuspension(now);
    queue(std::move(message));
}

void ViewKeeper::State::leave(TimePoint now)
{
    handleSuspension(now);
    leaveRequested_ = true;
}

std::optional<Endpoint> ViewKeeper::State::peerEndpoint(VmId vm) const
{
    const MemberRecord *record = membership_.table().find(vm);
    return record == nullptr ? std::nullopt : std::optional<Endpoint>(record->member.vm.peerEndpoint);
}

void ViewKeeper::State::handleSuspension(TimePoint now)
{
    if (!suspensionDetector_.isSuspended(now)) {
        return;
    }
    const std::optional<Duration> suspension = suspensionDetector_.tick(now);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*suspension).count();
    addEvent(EventNumber::ProcessSlept, 0, { { "milliseconds", std::to_string(milliseconds) } });
    load_.clear();
    staging_.clear();
    dissemination_.reset();
    membership_.resumeAfterSuspension(now);
    watcher_.reset(now);
    confirmation_.restart(now);
    budget_.clear(ControlPriority::Probes);
    budget_.clear(ControlPriority::Catalogue);
    budget_.clear(ControlPriority::Load);
    versionConfirmed_ = false;
    platformLastSeenAt_.reset();
    sourceStaleSince_.reset();
    nextConfirmationRequest_ = now;
    updateUnconfirmed(now);
    viewChanged_ = true;
    publishIfChanged(now);
}

void ViewKeeper::State::handleMessage(const PeerMessage &message, VmId from, TimePoint now)
{
    handleSuspension(now);
    std::vector<OutgoingMessage> out;
    membership_.handleContact(from, now, out);
    queue(std::move(out));
    std::visit([this, from, now](const auto &typed) { handle(typed, from, now); }, message);
}

void ViewKeeper::State::handle(const Probe &message, VmId from, TimePoint now)
{
    std::vector<OutgoingMessage> out;
    membership_.handle(message, from, now, store_.version(), out);
    dissemination_.handlePeerVersion(message.catalogueVersion, from, now, out);
    queue(std::move(out));
}

void ViewKeeper::State::handle(const ProbeAck &message, VmId from, TimePoint now)
{
    std::vector<OutgoingMessage> out;
    membership_.handle(message, from, now, out);
    dissemination_.handlePeerVersion(message.catalogueVersion, message.subject, now, out);
    queue(std::move(out));
    // A peer at version 0 has no catalogue and can't confirm this VM's version.
    if (message.catalogueVersion.value > 0) {
        confirmation_.recordPeer(message.subject);
    }
}

void ViewKeeper::State::handle(const ProbeRequest &message, VmId from, TimePoint now)
{
    std::vector<OutgoingMessage> out;
    membership_.handle(message, from, now, out);
    queue(std::move(out));
}

void ViewKeeper::State::handle(const ViewDigest &message, VmId from, TimePoint now)
{
    std::vector<OutgoingMessage> out;
    dissemination_.handle(message, from, now, out);
    queue(std::move(out));
    handleNonCatalogueParts(message, from, now);
    if (message.catalogueVersion.value > 0) {
        confirmation_.recordPeer(from);
    }
    adoptIfComplete(now);
}

void ViewKeeper::State::handleNonCatalogueParts(const ViewDigest &digest, VmId from, TimePoint now)
{
    const MemberRecord *sender = membership_.table().find(from);
    const bool sameZone = sender != nullptr && sender->member.vm.zone == settings_.self.zone;
    for (const PartDigest &part : digest.parts) {
        if (part.part == readerReportPart) {
            readers_.handleReport(from, part.version == 1, now);
        } else if (part.part == platformAgePart && sameZone && part.version <= maxPlatformAgeMilliseconds) {
            const TimePoint seen = now - std::chrono::milliseconds(part.version);
            platformLastSeenAt_ = platformLastSeenAt_ ? std::max(*platformLastSeenAt_, seen) : seen;
        } else if (part.part >= firstMemberPart && part.part < firstMemberPart + memberBuckets
                   && now >= nextBucketExchange_) {
            const auto bucket = static_cast<std::size_t>(part.part - firstMemberPart);
            if (membership_.table().bucketHash(bucket) != part.contentHash) {
                nextBucketExchange_ = now + bucketExchangePeriod;
                std::vector<OutgoingMessage> out;
                membership_.sendBucket(bucket, from, out);
                out.push_back({ from, ViewPull { part.part, 0 } });
                queueBuckets(std::move(out));
            }
        }
    }
}

void ViewKeeper::State::handle(const ViewPull &message, VmId from, TimePoint /*now*/)
{
    std::vector<OutgoingMessage> out;
    if (message.part >= firstMemberPart && message.part < firstMemberPart + memberBuckets) {
        membership_.sendBucket(message.part - firstMemberPart, from, out);
        queueBuckets(std::move(out));
        return;
    }
    dissemination_.handle(message, from, out);
    queue(std::move(out));
}

void ViewKeeper::State::handle(const ViewDelta &message, VmId /*from*/, TimePoint now)
{
    if (dissemination_.handle(message, now)) {
        adoptIfComplete(now);
    }
}

void ViewKeeper::State::handle(const LoadDigest &message, VmId /*from*/, TimePoint now)
{
    loadChanged_ = load_.handleDigest(message, now) || loadChanged_;
}

void ViewKeeper::State::handleLoadReport(const LoadReport &loadReport, TimePoint now)
{
    handleSuspension(now);
    loadChanged_ = load_.handleReport(loadReport, now) || loadChanged_;
}

void ViewKeeper::State::handlePlatformAnswer(PlatformAnswer answer, TimePoint now)
{
    handleSuspension(now);
    const std::optional<PlatformCall> call = watcher_.finish(answer, now);
    counters_.platformFailures = watcher_.failures();
    if (!call) {
        return;
    }
    std::visit([this, &call, now](auto &result) { handleResult(*call, result, now); }, answer.result);
    adoptIfComplete(now);
}

void ViewKeeper::State::handleResult(const PlatformCall &call, const PlatformFailure &failure, TimePoint now)
{
    if (call.resource == PlatformResource::VmList && failure.error == PlatformError::NotFound) {
        // A zone of the catalogue without VMs has no list yet. Counts as an empty list, because a missing list would
        // keep this VM from becoming ready.
        membership_.handleList({ call.zone, 1, {} }, now);
    }
    const bool malformed = failure.error == PlatformError::Malformed || failure.error == PlatformError::TooLarge;
    if (malformed) {
        addEvent(EventNumber::CatalogueRejected,
                 call.knownVersion,
                 { { "reason", failure.detail }, { "part", std::to_string(call.part) } });
    }
    if (watcher_.isFailing() && !platformFailing_) {
        platformFailing_ = true;
        addEvent(EventNumber::PlatformUnreachable, 0, { { "reason", failure.detail } });
    }
}

void ViewKeeper::State::handleResult(const PlatformCall &call, const PlatformUnchanged & /*unchanged*/, TimePoint now)
{
    if (call.resource == PlatformResource::Index) {
        handleCurrentIndex(call.knownVersion, now);
    }
}

void ViewKeeper::State::handleCurrentIndex(std::uint64_t version, TimePoint now)
{
    confirmedIndex_ = std::max(confirmedIndex_, version);
    platformLastSeenAt_ = now;
    staleIndexServed_ = false;
    confirmation_.recordPlatformAnswer();
    if (platformFailing_) {
        platformFailing_ = false;
        addEvent(EventNumber::PlatformReachable, 0, {});
    }
}

bool ViewKeeper::State::hasOlderParts(const PlatformIndex &index) const
{
    return std::any_of(index.parts.begin(), index.parts.end(), [this](const PartVersion &part) {
        const PartState *held = store_.part(part.part);
        return held != nullptr && part.version < held->version;
    });
}

void ViewKeeper::State::handleStaleIndex(const PlatformCall &call, std::uint64_t version, TimePoint now)
{
    ++counters_.staleAnswers;
    watcher_.handleStaleAnswer(call, now);
    if (!std::exchange(staleIndexServed_, true)) {
        addEvent(EventNumber::CatalogueStale,
                 store_.version().value,
                 { { "served", std::to_string(version) }, { "held", std::to_string(store_.version().value) } });
    }
}

void ViewKeeper::State::handleResult(const PlatformCall &call, PlatformIndex &index, TimePoint now)
{
    if (index.version < store_.version() || (index.version > store_.version() && hasOlderParts(index))) {
        handleStaleIndex(call, index.version.value, now);
        return;
    }
    handleCurrentIndex(index.version.value, now);
    staging_.setGoalFromIndex(index, now);
}

void ViewKeeper::State::handleResult(const PlatformCall &call, PartContent &content, TimePoint now)
{
    const std::uint64_t needed = staging_.neededVersion(content.part);
    const std::uint64_t served = content.version;
    if (staging_.stageContent(std::move(content), now)) {
        return;
    }
    watcher_.handleStaleAnswer(call, now);
    if (served > needed) {
        // The part is newer than in the goal: the index may have changed since it was read.
        watcher_.refetchIndex(now);
    } else if (served < needed) {
        ++counters_.staleAnswers;
    }
}

void ViewKeeper::State::handleResult(const PlatformCall &call, const VmList &list, TimePoint now)
{
    if (!membership_.handleList(list, now) && list.version < membership_.listVersion(list.zone)) {
        ++counters_.staleAnswers;
        watcher_.handleStaleAnswer(call, now);
    }
}

void ViewKeeper::State::adoptIfComplete(TimePoint now)
{
    if (!staging_.isComplete()) {
        return;
    }
    const CatalogueVersion version = staging_.goalVersion();
    const std::string source = staging_.isFromIndex() ? "platform" : "peer";
    const ViewStore::Adoption adoption = store_.adopt(staging_.result(), version);
    staging_.clear();
    if (adoption == ViewStore::Adoption::Invalid) {
        ++counters_.catalogueRejections;
        addEvent(EventNumber::CatalogueRejected,
                 version.value,
                 { { "reason", store_.lastRejected()->reason }, { "source", source } });
        return;
    }
    if (adoption != ViewStore::Adoption::Adopted) {
        return;
    }
    ++counters_.catalogueAdoptions;
    addEvent(EventNumber::CatalogueAdopted,
             version.value,
             { { "version", std::to_string(version.value) }, { "source", source } });
    announcementDue_ = true;
    viewChanged_ = true;
    upstreamsChanged_ = upstreamsChanged_ || store_.upstreamsChanged();
    // Publishes the catalogue at once rather than at the next tick.
    publishIfChanged(now);
}

} // namespace boragelug
