#pragma once

#include "core/random.h"
#include "model/directory_record.h"
#include "views/directory_mirror.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{

/// How a VM learns from others what they read, so that calls to the directory don't grow with the number of VMs.
struct FollowSettings
{
    /// VMs that read the directory for the others, in the order in which they are asked: the first one serves as many
    /// as it can. A VM that is one of them reads for itself.
    std::vector<Endpoint> relays;
    /// Where this VM passes on what it knows.
    Endpoint self;
    /// How long an answer may wait for a change. It bounds what a dead relay costs, with the margin.
    Duration followWait = std::chrono::milliseconds(500);
    Duration answerMargin = std::chrono::milliseconds(300);
    /// A relay whose knowledge is older has lost the directory: the VM then reads for itself.
    Duration maxStaleness = std::chrono::milliseconds(1500);
    /// The same for a VM that knows nothing yet and can't reach the directory: flows are better served with old records
    /// than not at all.
    Duration maxInitialStaleness = std::chrono::seconds(30);
    /// How long a VM that knows nothing waits for the directory before it asks a relay for the first time: 60 times the
    /// usual time of an answer.
    Duration firstListTimeout = std::chrono::milliseconds(250);
    /// Pause before a relay is asked again after one failed.
    Duration failureBackoff = std::chrono::seconds(2);
    /// Times that a relay may name another one instead of an answer.
    std::uint32_t maxHops = 4;
    /// Relays that serve watch with short waits, so that their knowledge is certainly recent while nothing changes: a
    /// quarter and a twelfth of the bound for changes.
    Duration relayLongPollWait = std::chrono::milliseconds(750);
    Duration relayBatchingDelay = std::chrono::milliseconds(250);
};

/// Times of a DirectoryReader.
struct ReaderSettings
{
    /// How long a watch may stay unanswered. A connection that went silent is noticed after this and the margin, which
    /// has to be well within the 3 s in which operators expect a change to be in force.
    Duration longPollWait = std::chrono::milliseconds(2500);
    /// Time for an answer beyond its wait; a slow directory answers in up to 400 ms.
    Duration answerMargin = std::chrono::milliseconds(800);
    /// Pause before the next watch, in which changes collect, since each call has a price.
    Duration batchingDelay = std::chrono::milliseconds(500);
    /// Time after an up-to-date answer in which possibly stale ones do: they bring most changes early and cost little,
    /// but a bound can't rest on them.
    Duration staleReadWindow = std::chrono::milliseconds(1500);
    /// Pause after the first failure; doubles with each further one.
    Duration initialBackoff = std::chrono::milliseconds(100);
    Duration maxBackoff = std::chrono::milliseconds(800);
    FollowSettings follow;
};

/// What one answer changed.
struct ReaderOutcome
{
    std::vector<MirrorChange> changes;
    /// Why the call brought nothing, and how often in a row that happened.
    std::optional<DirectoryFailure> failure;
    /// The relay that failed or knows too little; the directory itself isn't affected.
    std::optional<Endpoint> failedRelay;
    std::string relayFailureReason;
    /// A relay answers for the first time since the VM read for itself.
    std::optional<Endpoint> followedRelay;
    std::uint32_t consecutiveFailures = 0;
    /// The directory was lost with this answer.
    bool becameUnreachable = false;
    /// The directory answers again with this answer.
    bool becameReachable = false;
};

/**
 * Decides when to list and when to watch the directory, and feeds the answers to a mirror.
 *
 * Keeps at most one call in progress. Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class DirectoryReader
{
public:
    /// @p mirror must outlive the reader.
    DirectoryReader(DirectoryMirror &mirror, const ReaderSettings &settings);

    /// Replaces the VMs that read the directory for the others.
    void setRelays(std::vector<Endpoint> relays);

    /// Relays after this VM in the list of relays, which take those that it can't serve; empty if it is none.
    const std::vector<Endpoint> &overflowRelays() const { return overflowRelays_; }

    /// Whether other VMs follow this one, so that it has to be certainly up to date. A relay that nobody follows reads
    /// as any other VM.
    void setHasFollowers(bool serves) { hasFollowers_ = serves; }

    /// The call to start now, if any.
    std::optional<DirectoryCall> nextCall(TimePoint now);

    /// When nextCall() is to be asked again; nothing while a call is in progress.
    std::optional<TimePoint> nextCallAt() const;

    /// Takes the answer to the call in progress; answers to other calls are ignored.
    ReaderOutcome handleAnswer(const DirectoryAnswer &answer, TimePoint now, Random &random);

    /// The process slept: what was read is old, so that the next call is due at once.
    void handleSuspension(TimePoint now);

    /// Whether all records were listed once and a catalogue is among them.
    bool isComplete() const { return listed_ && mirror_.hasCatalogue(); }

    /// Revision up to which the mirror certainly holds everything.
    DirectoryRevision syncedRevision() const { return watchFrom_; }

    /// Time since the mirror was certainly up to date; nothing if that isn't known.
    std::optional<Duration> staleness(TimePoint now) const;

    /// Time since what the last answer told; nothing before the first one, and after a pause of the process.
    std::optional<Duration> timeSinceAnswer(TimePoint now) const;

    /// Whether this VM follows others at the moment.
    bool isFollowing() const { return following_; }

    /// Whether the last answer is recent enough that what the mirror doesn't hold may be taken as missing.
    bool isFresh(TimePoint now) const;

private:
    Duration longPollWait() const;
    DirectoryCall makeList(TimePoint now);
    DirectoryCall makeWatch(TimePoint now);
    DirectoryCall makeFollow(TimePoint now);
    bool mayFollow(TimePoint now) const;
    void handleFollowFailure(
        const DirectoryCall &call, std::string reason, TimePoint now, Random &random, ReaderOutcome &outcome);
    void handleFollowAnswer(const DirectoryCall &call,
                            const DirectoryChanges &changes,
                            TimePoint now,
                            Random &random,
                            ReaderOutcome &outcome);
    void handleFailure(const DirectoryFailure &failure, TimePoint now, Random &random, ReaderOutcome &outcome);
    void handlePage(const DirectoryPage &page, TimePoint now, ReaderOutcome &outcome);
    void recordSuccess(TimePoint now, ReaderOutcome &outcome);

    DirectoryMirror &mirror_;
    ReaderSettings settings_;
    std::optional<DirectoryCall> inProgress_;
    TimePoint startedAt_;
    TimePoint nextAt_;
    std::uint64_t lastId_ = 0;
    bool listed_ = false;
    /// A watch can continue from @c watchFrom_; otherwise records are listed.
    bool canWatch_ = false;
    bool firstPage_ = true;
    std::string afterKey_;
    DirectoryRevision watchFrom_;
    std::uint32_t failures_ = 0;
    bool reachable_ = true;
    std::optional<TimePoint> lastAnswer_;
    /// When the mirror was certainly up to date.
    std::optional<TimePoint> upToDateAt_;
    /// The same, unless a call failed or the process slept since then.
    std::optional<TimePoint> confirmedAt_;
    /// This VM is one of the relays.
    bool isRelay_ = false;
    bool hasFollowers_ = false;
    std::vector<Endpoint> overflowRelays_;
    /// The relay that is asked, if one was chosen, and how often a relay named another one since then.
    std::optional<Endpoint> relay_;
    std::uint32_t hops_ = 0;
    std::size_t nextRelay_ = 0;
    TimePoint followAt_;
    bool following_ = false;
};

} // namespace boragelug
