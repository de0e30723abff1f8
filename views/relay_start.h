#pragma once

#include "core/random.h"
#include "model/directory_record.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boragelug
{

/// How a VM without records asks relays for them, and how it announces its own.
struct RelayStartSettings
{
    /// How long a relay that has no records itself yet may hold the request.
    Duration wait = std::chrono::milliseconds(600);
    /// Time for the transfer of all records beyond the wait.
    Duration transferTime = std::chrono::milliseconds(900);
    /// Timeout of the connection: ten times the latency to a VM of the same region. TCP sends a lost SYN again after a
    /// second only, so that a VM that has just got power would be found late.
    Duration connectTimeout = std::chrono::milliseconds(30);
    /// Time between two attempts after all relays failed.
    Duration retryInterval = std::chrono::milliseconds(20);
    /// Maximum number of referrals to another VM that are followed after a relay was chosen from the list.
    std::uint32_t maxHops = 6;
    /// Timeout of an announcement, whose answer has no records.
    Duration announceTimeout = std::chrono::milliseconds(200);
    /// How long a VM announces its records to relays that it can't reach.
    Duration announceTime = std::chrono::milliseconds(1500);
};

/**
 * Decides which relay a VM without records asks for all of them. Relays may be without power themselves, may have no
 * records yet, or may refer to another VM.
 *
 * A VM that got its records from the directory announces them to each relay: one that starts later than the others can
 * then take them, and serve the VMs that wait for it, without a listing of its own.
 *
 * Has at most one call in progress. Does no I/O. Not synchronized: one thread at a time; times must not go back.
 */
class RelayStart
{
public:
    /// What an answer means.
    struct Result
    {
        /// The VM that was asked.
        Endpoint relay;
        /// All its records; std::nullopt if the answer had none.
        std::optional<DirectoryChanges> records;
        /// Why the relay failed; empty if it didn't.
        std::string failure;
    };

    /// @p relays are the VMs to ask, without this one. They are asked in turn from a random one on, so that the load of
    /// a start of the whole fleet is shared.
    RelayStart(std::vector<Endpoint> relays, const RelayStartSettings &settings, Random &random);

    /// The call to start now; std::nullopt if a call is in progress or none is due.
    std::optional<DirectoryCall> nextCall(TimePoint now);

    /// When to call nextCall() again; std::nullopt while a call is in progress and after stop().
    std::optional<TimePoint> nextCallAt() const;

    /// Takes the answer to the call in progress; answers to other calls are ignored.
    Result handleAnswer(const DirectoryAnswer &answer, TimePoint now);

    /// Whether each relay was asked at least once.
    bool hasAskedAll() const { return turns_ > 0; }

    /// A VM with all records announced itself: it is asked next, in place of a call in progress to a VM of the list.
    /// Ignored unless this VM still asks.
    void handleAnnouncement(const Endpoint &vm, TimePoint now);

    /// This VM has all records up to @p revision from the directory: it announces them to the relays.
    void announce(DirectoryRevision revision, TimePoint now);

    /// Makes no more calls: the VM has its records from a relay.
    void stop() { phase_ = Phase::Stopped; }

    /// Until when a relay may hold the request in progress; std::nullopt if none does. A call that is older than the
    /// connection timeout has reached a relay.
    std::optional<TimePoint> heldUntil(TimePoint now) const;

    bool isStopped() const { return phase_ == Phase::Stopped; }

private:
    enum class Phase : std::uint8_t { Asking, Announcing, Stopped };

    void handleAnnounced(const DirectoryAnswer &answer, TimePoint now);
    void chooseNextRelay(TimePoint now);
    void fail(const std::string &reason, TimePoint now, Result &result);

    std::vector<Endpoint> relays_;
    RelayStartSettings settings_;
    std::optional<DirectoryCall> inProgress_;
    TimePoint startedAt_;
    std::uint64_t lastId_ = 0;
    std::size_t nextRelay_ = 0;
    /// Relays that were asked since the last pause, and how often all of them were.
    std::size_t askedInTurn_ = 0;
    std::uint64_t turns_ = 0;
    /// The VM that a relay referred to or that announced itself, and the number of referrals since a relay was chosen
    /// from the list.
    std::optional<Endpoint> referral_;
    std::uint32_t hops_ = 0;
    TimePoint nextAt_;
    Phase phase_ = Phase::Asking;
    /// Announcing: what the VM has, until when it tries, and the relays that were reached.
    DirectoryRevision announcedRevision_;
    TimePoint announceUntil_;
    std::set<Endpoint> reached_;
};

} // namespace boragelug
