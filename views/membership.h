#pragma once

#include "core/random.h"
#include "core/token_bucket.h"
#include "views/member_table.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace boragelug
{

/**
 * Keeps the member table current by SWIM-style probes of a bounded number of peers and piggybacked updates.
 *
 * Each VM probes one peer per period, whatever the fleet's size. A peer that answers neither the probe nor three
 * indirect ones is suspected; a suspicion that is not refuted in time becomes a death. A VM whose own probes fail, or
 * whose ticks come late, first lengthens its time-outs and holds its judgement. Not synchronized: one thread at a time.
 */
class Membership
{
public:
    static constexpr Duration probePeriod = std::chrono::milliseconds(500);
    static constexpr Duration probeTimeout = std::chrono::milliseconds(300);

    /// Starts with @p self and @p seedPeers as members.
    Membership(Vm self, const std::vector<Vm> &seedPeers, TimePoint now);

    const MemberTable &table() const { return table_; }

    /// Advances probes and suspicions; appends what to send. While @p congested, probes still wait in this VM's own
    /// queue: none is started, and a missing answer says nothing of the peer.
    void
    tick(TimePoint now, Random &random, CatalogueVersion version, bool congested, std::vector<OutgoingMessage> &out);

    /// Notes any message from @p from; may append a message that lets a wrongly accused VM refute.
    void handleContact(VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Answers a probe.
    void
    handle(const Probe &probe, VmId from, TimePoint now, CatalogueVersion version, std::vector<OutgoingMessage> &out);

    /// Takes an answer and passes it on when it belongs to an indirect probe.
    void handle(const ProbeAck &ack, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Probes the named VM for @p from.
    void handle(const ProbeRequest &request, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Takes the platform's list of a zone. Lists older than the last one of that zone are ignored.
    bool handleList(const VmList &list, TimePoint now);

    /// Version of the last list of @p zone; 0 for none.
    std::uint64_t listVersion(ZoneId zone) const;

    /// Marks this VM as leaving and appends announcements to a few peers.
    void leave(Random &random, std::vector<OutgoingMessage> &out);

    /// Forgets probes in progress and restarts suspicion times. For use after a pause, when all of them look overdue.
    void resumeAfterSuspension(TimePoint now);

    /// Up to @p count random peers that are believed alive; of the own zone, or of other zones.
    std::vector<VmId> randomPeers(std::size_t count, bool ownZone, Random &random) const;

    /// Live members of the own zone, this VM included, sorted by id.
    const std::vector<VmId> &zoneVms() const { return zoneVms_; }

    /// Sends all members of a bucket to @p to, split into datagrams.
    void sendBucket(std::size_t bucket, VmId to, std::vector<OutgoingMessage> &out) const;

    /// Whether there are members in other zones, and none of them answers.
    bool isPartitionedFromOtherZones() const;

    /// Whether peers are known, and none has been heard for a while.
    bool isIsolated(TimePoint now) const;

    /// Over 0 while this VM has reason to distrust its own observations.
    std::size_t localHealthScore() const { return localHealthScore_; }

    /// Events since the last call.
    std::vector<ViewEvent> takeEvents() { return table_.takeEvents(); }

private:
    struct PendingProbe
    {
        VmId target;
        TimePoint sentAt;
        bool indirect = false;
    };
    struct RequestedProbe
    {
        VmId requester;
        std::uint64_t nonce = 0;
        TimePoint sentAt;
    };
    struct QueuedUpdate
    {
        VmId vm;
        std::size_t sendsLeft = 0;
    };

    void rebuildPeerLists();
    void queueUpdate(VmId vm);
    void applyUpdates(const std::vector<MemberUpdate> &updates, TimePoint now);
    std::vector<MemberUpdate> piggyback(std::optional<VmId> to);
    void startProbe(TimePoint now, Random &random, CatalogueVersion version, std::vector<OutgoingMessage> &out);
    std::optional<VmId> nextTarget(Random &random);
    void checkPendingProbes(TimePoint now, Random &random, std::vector<OutgoingMessage> &out);
    void sendProbeRequests(std::uint64_t nonce, VmId target, Random &random, std::vector<OutgoingMessage> &out) const;
    void handleFailedProbe(const PendingProbe &pending, TimePoint now);
    void expireSuspicions(TimePoint now);
    Duration suspicionTimeout() const;
    void raiseLocalHealthScore();

    MemberTable table_;
    std::uint64_t peersGeneration_ = 0;
    std::vector<VmId> zoneVms_;
    std::vector<VmId> zonePeers_;
    std::vector<VmId> otherPeers_;
    std::vector<VmId> deadPeers_;
    std::vector<VmId> rotation_;
    std::map<std::uint64_t, PendingProbe> pendingProbes_;
    std::map<std::uint64_t, RequestedProbe> requestedProbes_;
    std::deque<QueuedUpdate> queuedUpdates_;
    std::map<ZoneId, VmList> lists_;
    TokenBucket ackRateLimit_;
    TimePoint lastTick_;
    TimePoint nextProbe_;
    TimePoint nextExpiry_;
    TimePoint nextIndirect_;
    TimePoint lastContactAt_;
    std::uint64_t lastNonce_ = 0;
    std::size_t localHealthScore_ = 0;
    std::size_t probeCount_ = 0;
    std::size_t otherZoneFailures_ = 0;
    bool hasOtherZoneMembers_ = false;
};

} // namespace boragelug
