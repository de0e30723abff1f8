#pragma once

#include "core/random.h"
#include "model/directory_record.h"
#include "views/directory_mirror.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/// How a VM gets directory changes from a relay, so that the number of calls to the directory doesn't grow with the
/// number of VMs.
struct FollowSettings
{
    /// VMs that read the directory and pass changes on, in the order in which they are asked: each serves followers up
    /// to its limit and refers further VMs to the next one. A VM in this list reads the directory itself.
    std::vector<Endpoint> relays;
    /// Address at which this VM serves its own followers; finds this VM in @c relays.
    Endpoint self;
    /// How long a relay may hold a long poll open while nothing changes. Together with @c answerMargin, it bounds the
    /// time until a dead relay is noticed.
    Duration followWait = std::chrono::milliseconds(500);
    /// Time for a relay's answer beyond the wait.
    Duration answerMargin = std::chrono::milliseconds(300);
    /// Timeout of the connection to a relay, which may be without power.
    Duration connectTimeout = std::chrono::milliseconds(100);
    /// Maximum staleness of a relay's records. If they are older, the relay counts as cut off from the directory, and
    /// the VM reads the directory itself.
    Duration maxStaleness = std::chrono::milliseconds(1500);
    /// Maximum staleness for a VM that has no records yet and can't reach the directory: serving flows by old records
    /// is better than not serving them.
    Duration maxInitialStaleness = std::chrono::seconds(30);
    /// How long the first listing may take until stale records of a relay are accepted instead: 60 times the usual
    /// response time of the directory.
    Duration firstListTimeout = std::chrono::milliseconds(250);
    /// Time that relays have to send all records to a VM without any, before it lists the directory.
    Duration relayHeadStart = std::chrono::milliseconds(100);
    /// Mean time after a relay failed until a relay is asked again; the VM reads the directory itself meanwhile.
    Duration failureBackoff = std::chrono::seconds(2);
    /// Maximum number of referrals to another VM that are followed after a relay was chosen from the list. One more
    /// counts as a failure of the relay.
    std::uint32_t maxHops = 4;
    /// Long poll wait and batching delay of a relay that has followers. They are short (a quarter and a twelfth of the
    /// bound for changes) so that the relay confirms often that its records are up to date while nothing changes.
    Duration relayLongPollWait = std::chrono::milliseconds(750);
    Duration relayBatchingDelay = std::chrono::milliseconds(250);
};

/// When a VM without records abandons a listing because too many VMs list at the same time: each then gets a small part
/// of the directory's bandwidth, so that none completes soon. Those that go on complete early and relay the records.
struct ListingSettings
{
    /// Bandwidth of this VM's network link in bytes a second; 0 if unknown, then no listing is abandoned.
    double linkBandwidth = 0;
    /// Interval at which the progress of a listing is checked.
    Duration checkInterval = std::chrono::milliseconds(100);
    /// A listing that gets at least this fraction of the link's bandwidth continues. With less it continues with a
    /// probability that falls with the cube of what it got, so that those that remain leave bandwidth to VMs with
    /// faster links, which complete first.
    double minLinkFraction = 0.5;
    /// Mean time until an abandoned listing is started again; doubles with each further one.
    Duration retryDelay = std::chrono::milliseconds(600);
};

/// Timeouts and delays of a DirectoryReader.
struct ReaderSettings
{
    /// How long the directory may hold a long poll open while nothing changes. A connection that went silent is noticed
    /// after this wait and the margin, which has to be well within the 3 s in which operators expect a change to be in
    /// force.
    Duration longPollWait = std::chrono::milliseconds(2500);
    /// Time for the directory's answer beyond the wait; a slow directory answers in up to 400 ms.
    Duration answerMargin = std::chrono::milliseconds(800);
    /// Batching delay before the next watch after a change: further changes then arrive in one answer, since each call
    /// costs the directory.
    Duration batchingDelay = std::chrono::milliseconds(500);
    /// Time after an up-to-date answer during which the reader accepts answers that may be stale. Those deliver most
    /// changes early and cost the directory little, but don't guarantee the bound for changes.
    Duration staleReadWindow = std::chrono::milliseconds(1500);
    /// Backoff after the first failure; doubles with each further one.
    Duration initialBackoff = std::chrono::milliseconds(100);
    Duration maxBackoff = std::chrono::milliseconds(800);
    FollowSettings follow;
    ListingSettings listing;
};

/// Effects of one answer.
struct ReaderOutcome
{
    std::vector<MirrorChange> changes;
    /// Why the call to the directory failed; std::nullopt if it succeeded or went to a relay.
    std::optional<DirectoryFailure> failure;
    /// The relay that failed or whose records are too stale. The directory itself isn't affected.
    std::optional<Endpoint> failedRelay;
    std::string relayFailureReason;
    /// The relay that this VM now follows; set with its first answer after the VM read the directory itself.
    std::optional<Endpoint> followedRelay;
    /// Failed calls to the directory in a row, with this one.
    std::uint32_t consecutiveFailures = 0;
    /// This failure makes the directory count as unreachable.
    bool becameUnreachable = false;
    /// This answer ends an outage of the directory.
    bool becameReachable = false;
};

/**
 * Decides when to list or watch the directory and when to follow a relay, and applies the answers to a mirror.
 *
 * Has at most one call in progress. Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class DirectoryReader
{
public:
    /// @p mirror must outlive the reader.
    DirectoryReader(DirectoryMirror &mirror, const ReaderSettings &settings);

    /// Replaces the list of relays.
    void setRelays(std::vector<Endpoint> relays);

    /// The relays without this VM.
    const std::vector<Endpoint> &relays() const { return settings_.follow.relays; }

    /// Relays after this VM in the list of relays, which serve followers beyond its limit; empty if this VM isn't a
    /// relay.
    const std::vector<Endpoint> &overflowRelays() const { return overflowRelays_; }

    /// Sets whether other VMs follow this one. If so, it asks for up-to-date answers only, and polls more often.
    void setHasFollowers(bool hasFollowers) { hasFollowers_ = hasFollowers; }

    /// The call to start now; std::nullopt if a call is in progress or none is due.
    std::optional<DirectoryCall> nextCall(TimePoint now);

    /// When to call nextCall() again; std::nullopt while a call is in progress.
    std::optional<TimePoint> nextCallAt() const;

    /// Takes the answer to the call in progress; answers to other calls are ignored.
    ReaderOutcome handleAnswer(const DirectoryAnswer &answer, TimePoint now, Random &random);

    /// Starts the first listing without waiting for relays.
    void listAtOnce(TimePoint now);

    /// Starts no listing before @p until, because a relay is about to send all records.
    void postponeListing(TimePoint until);

    /// Which records of a relay are taken in place of a listing.
    enum class Acceptance : std::uint8_t { Fresh, AlsoStale };

    /// Takes all records of a relay in place of a listing. Returns false, and takes nothing, if this VM has all records
    /// already, or if those of the relay are too stale. Stale ones are never taken before the own listing failed or
    /// took FollowSettings::firstListTimeout.
    bool adoptRecords(
        const Endpoint &relay, const DirectoryChanges &records, Acceptance acceptance, TimePoint now, Random &random);

    /// When to call abandonsListing(); std::nullopt if no call in progress can be abandoned.
    std::optional<TimePoint> listingCheckAt() const;

    /// Whether the listing in progress, of whose answer @p receivedBytes have arrived, is abandoned. If so, the caller
    /// has to cancel the call. Precondition: listingCheckAt() has a value.
    bool abandonsListing(std::size_t receivedBytes, TimePoint now, Random &random);

    /// Id of the call in progress; std::nullopt if there is none.
    std::optional<std::uint64_t> callInProgress() const;

    /// Handles a suspension of the process: the records may be stale, so the next call is due at once.
    void handleSuspension(TimePoint now);

    /// Whether the mirror has received all records at least once, from a full listing or a relay, and has a catalogue.
    bool isComplete() const { return listed_ && mirror_.hasCatalogue(); }

    /// Revision up to which the mirror has all changes, once isComplete().
    DirectoryRevision syncedRevision() const { return watchFrom_; }

    /// Time since the mirror was last known to be up to date; std::nullopt if it never was.
    std::optional<Duration> staleness(TimePoint now) const;

    /// Time since the last answer, plus the staleness that a relay reported with it. Possibly stale answers of the
    /// directory count too. std::nullopt before the first answer and after a suspension.
    std::optional<Duration> timeSinceAnswer(TimePoint now) const;

    /// Whether this VM gets its changes from a relay at the moment.
    bool isFollowing() const { return following_; }

    /// Whether the last answer is recent enough to conclude that an upstream missing from the mirror doesn't exist.
    bool isFresh(TimePoint now) const;

private:
    Duration longPollWait() const;
    DirectoryCall makeList(TimePoint now);
    DirectoryCall makeWatch(TimePoint now);
    DirectoryCall makeFollow(TimePoint now);
    bool mayFollow(TimePoint now) const;
    /// Why an answer of a relay isn't used; empty if it is.
    std::string reasonToReject(const DirectoryChanges &changes) const;
    /// Applies @p records as a full listing: other records were removed.
    std::vector<MirrorChange> applyAllRecords(const DirectoryChanges &records, TimePoint now);
    void recordRelayAnswer(const DirectoryChanges &changes, TimePoint now);
    void handleFollowFailure(
        const DirectoryCall &call, std::string reason, TimePoint now, Random &random, ReaderOutcome &outcome);
    void handleFollowAnswer(const DirectoryCall &call,
                            const DirectoryChanges &changes,
                            TimePoint now,
                            Random &random,
                            ReaderOutcome &outcome);
    void handleFailure(const DirectoryFailure &failure, TimePoint now, Random &random, ReaderOutcome &outcome);
    void handlePage(const DirectoryPage &page, TimePoint now, ReaderOutcome &outcome);
    /// Records that the mirror had all changes up to @p at.
    void recordUpToDate(TimePoint at);
    void recordSuccess(TimePoint now, ReaderOutcome &outcome);

    DirectoryMirror &mirror_;
    ReaderSettings settings_;
    std::optional<DirectoryCall> inProgress_;
    TimePoint startedAt_;
    TimePoint nextAt_;
    /// Next check of the listing in progress, and the latest time at which nothing of its answer had arrived.
    TimePoint checkAt_;
    TimePoint transferSince_;
    bool wasAsked_ = false;
    /// Listings that were abandoned.
    std::uint32_t abandoned_ = 0;
    std::uint64_t lastId_ = 0;
    /// The mirror has received all records at least once.
    bool listed_ = false;
    /// A watch can continue from @c watchFrom_; otherwise a full listing is needed.
    bool canWatch_ = false;
    /// Pages of the listing in progress, which are applied together: an incomplete listing must not be passed on.
    std::vector<DirectoryPage> pages_;
    /// When the first of them was answered.
    TimePoint firstPageAt_;
    DirectoryRevision watchFrom_;
    std::uint32_t failures_ = 0;
    bool reachable_ = true;
    /// When the last answer arrived, less the staleness that a relay reported with it.
    std::optional<TimePoint> lastAnswer_;
    /// When the mirror was last known to be up to date.
    std::optional<TimePoint> upToDateAt_;
    /// Like @c upToDateAt_, but reset when a call to the directory fails or the process was suspended.
    std::optional<TimePoint> confirmedAt_;
    /// This VM is one of the relays.
    bool isRelay_ = false;
    bool hasFollowers_ = false;
    std::vector<Endpoint> overflowRelays_;
    /// The VM to follow, if one was chosen, and the number of referrals to another VM since a relay was chosen.
    std::optional<Endpoint> relay_;
    std::uint32_t hops_ = 0;
    std::size_t nextRelay_ = 0;
    /// No relay is asked before this time.
    TimePoint followAt_;
    bool following_ = false;
};

} // namespace boragelug
