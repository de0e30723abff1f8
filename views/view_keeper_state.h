#pragma once

#include "views/control_budget.h"
#include "views/dissemination.h"
#include "views/membership.h"
#include "views/platform_watcher.h"
#include "views/reader_selection.h"
#include "views/suspension_detector.h"
#include "views/upstream_load.h"
#include "views/view_builder.h"
#include "views/view_confirmation.h"
#include "views/view_keeper.h"
#include "views/view_staging.h"
#include "views/view_store.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/// Implementation of ViewKeeper, which documents the public functions. Internal to ViewKeeper.
class ViewKeeper::State
{
public:
    State(ViewKeeperSettings settings, TimePoint now);

    void handlePlatformAnswer(PlatformAnswer answer, TimePoint now);
    void handleMessage(const PeerMessage &message, VmId from, TimePoint now);
    void handleLoadReport(const LoadReport &report, TimePoint now);
    void send(OutgoingMessage message, TimePoint now);
    ViewActions tick(TimePoint now, Random &random);
    void leave(TimePoint now);

    const std::shared_ptr<const View> &view() const { return view_; }
    bool isReady() const { return ready_; }
    bool isReader() const { return reader_; }
    const std::vector<Upstream> &polledUpstreams() const { return polledUpstreams_; }
    std::optional<Endpoint> peerEndpoint(VmId vm) const;
    const ViewStore &store() const { return store_; }
    const ViewCounters &counters() const { return counters_; }

private:
    // One overload for each type of message.
    void handle(const Probe &message, VmId from, TimePoint now);
    void handle(const ProbeAck &message, VmId from, TimePoint now);
    void handle(const ProbeRequest &message, VmId from, TimePoint now);
    void handle(const ViewDigest &message, VmId from, TimePoint now);
    void handle(const ViewPull &message, VmId from, TimePoint now);
    void handle(const ViewDelta &message, VmId from, TimePoint now);
    void handle(const LoadDigest &message, VmId from, TimePoint now);
    template<class OtherLayers>
    void handle(const OtherLayers & /*message*/, VmId /*from*/, TimePoint /*now*/)
    { }

    // One overload for each result type of a call to the configuration service.
    void handleResult(const PlatformCall &call, const PlatformFailure &failure, TimePoint now);
    void handleResult(const PlatformCall &call, const PlatformUnchanged &unchanged, TimePoint now);
    void handleResult(const PlatformCall &call, PlatformIndex &index, TimePoint now);
    void handleResult(const PlatformCall &call, PartContent &content, TimePoint now);
    void handleResult(const PlatformCall &call, const VmList &list, TimePoint now);

    void handleSuspension(TimePoint now);
    void handleCurrentIndex(std::uint64_t version, TimePoint now);
    void handleNonCatalogueParts(const ViewDigest &digest, VmId from, TimePoint now);
    bool hasOlderParts(const PlatformIndex &index) const;
    void handleStaleIndex(const PlatformCall &call, std::uint64_t version, TimePoint now);
    void adoptIfComplete(TimePoint now);
    void queue(OutgoingMessage message);
    void queue(std::vector<OutgoingMessage> messages);
    void queueBuckets(std::vector<OutgoingMessage> messages);

    void updateReaderRole(TimePoint now);
    void callPlatform(TimePoint now, Random &random, ViewActions &actions);
    void gossip(TimePoint now, Random &random);
    void sendDigest(VmId to, std::size_t parts, TimePoint now, Random *random);
    void sendReaderReports(TimePoint now);
    void updatePolledUpstreams(TimePoint now);
    void updateReadiness(TimePoint now);
    void updateUnconfirmed(TimePoint now);
    bool isHealthyReader(TimePoint now) const;
    std::string unconfirmedReasons(TimePoint now) const;
    void publishIfChanged(TimePoint now);
    std::vector<ZoneId> missingLists() const;
    std::size_t peerCount() const;
    void addEvent(EventNumber number, std::uint64_t cause, std::vector<std::pair<std::string, std::string>> fields);

    ViewKeeperSettings settings_;
    ViewStore store_;
    ViewStaging staging_;
    Dissemination dissemination_;
    Membership membership_;
    PlatformWatcher watcher_;
    ReaderSelection readers_;
    UpstreamLoad load_;
    ControlBudget budget_;
    SuspensionDetector suspensionDetector_;
    ViewConfirmation confirmation_;
    std::shared_ptr<const View> view_;
    std::vector<Upstream> polledUpstreams_;
    std::vector<ViewEvent> events_;
    ViewCounters counters_;

    bool ready_ = false;
    bool versionConfirmed_ = false;
    bool reader_ = false;
    bool unconfirmed_ = true;
    bool leaveRequested_ = false;
    bool platformFailing_ = false;
    TimePoint nextConfirmationRequest_;
    TimePoint nextGossip_;
    std::size_t gossipRound_ = 0;
    bool announcementDue_ = false;
    TimePoint nextReaderReport_;
    TimePoint readerSince_;
    /// When the configuration service last gave a usable answer to this VM or, as their digests report, to a peer of
    /// the same zone.
    std::optional<TimePoint> platformLastSeenAt_;
    std::uint64_t confirmedIndex_ = 0;
    /// Since when the configuration service has not yet returned this VM's adopted version to it, or has returned an
    /// older index; std::nullopt if neither is the case.
    std::optional<TimePoint> sourceStaleSince_;
    bool staleIndexServed_ = false;

    bool upstreamsChanged_ = false;
    bool viewChanged_ = true;
    bool loadChanged_ = false;
    std::uint64_t publishedMembers_ = 0;
    std::uint64_t candidatesGeneration_ = 0;
    std::vector<VmId> polledForVms_;
    TimePoint nextBucketExchange_;
    TimePoint nextPollUpdate_;
    TimePoint nextLoadPublish_;
    TimePoint nextMemberPublish_;
};

} // namespace boragelug
