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
 * Keeps the member table up to date with SWIM-style probes and updates piggybacked on them.
 *
 * Each VM probes one peer per period, regardless of fleet size. A peer becomes suspect if neither the probe nor three
 * indirect probes are answered, and dead if the suspicion is not refuted in time. As in Lifeguard, a VM whose own
 * probes fail, whose ticks are late or that others suspect raises its local health score: it then uses longer timeouts,
 * and above a threshold no longer declares peers suspect. Not synchronized: one thread at a time.
 */
class Membership
{
public:
    static constexpr Duration probePeriod = std::chrono::milliseconds(500);
    static constexpr Duration probeTimeout = std::chrono::milliseconds(300);

    /// Creates a table of @p self and @p seedPeers, which count as alive.
    Membership(Vm self, const std::vector<Vm> &seedPeers, TimePoint now);

    const MemberTable &table() const { return table_; }

    /// Advances probes and suspicions and appends the messages to send. @p congested means that earlier probes are
    /// still in this VM's send queue. It then starts no new probe and pauses the timeouts of those in progress, because
    /// a missing answer may be due to the queue.
    void
    tick(TimePoint now, Random &random, CatalogueVersion version, bool congested, std::vector<OutgoingMessage> &out);

    /// Records that a message of any type arrived from @p from. If that VM is suspect or dead in the table, may append
    /// a message that lets it refute this.
    void handleContact(VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Applies the updates of a probe and answers it, unless the rate limit for answers is exceeded.
    void
    handle(const Probe &probe, VmId from, TimePoint now, CatalogueVersion version, std::vector<OutgoingMessage> &out);

    /// Handles the answer to a probe. Forwards it to the requester if the probe was sent for a ProbeRequest.
    void handle(const ProbeAck &ack, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Probes the VM named in @p request on behalf of @p from.
    void handle(const ProbeRequest &request, VmId from, TimePoint now, std::vector<OutgoingMessage> &out);

    /// Applies the configuration service's list of VMs of a zone. Returns false and ignores the list if it is not newer
    /// than the last one of that zone.
    bool handleList(const VmList &list, TimePoint now);

    /// Version of the last list of @p zone; 0 if there is none.
    std::uint64_t listVersion(ZoneId zone) const;

    /// Marks this VM as leaving and appends messages that announce it to a few peers.
    void leave(Random &random, std::vector<OutgoingMessage> &out);

    /// Discards probes in progress and clears suspicions. Call it after a suspension of the process, when all of them
    /// look overdue.
    void resumeAfterSuspension(TimePoint now);

    /// Up to @p count random peers that are not dead, of the own zone or of other zones.
    std::vector<VmId> randomPeers(std::size_t count, bool ownZone, Random &random) const;

    /// Live members of the own zone, this VM included, sorted by id.
    const std::vector<VmId> &zoneVms() const { return zoneVms_; }

    /// Appends messages to @p to with the updates of all members of a bucket, split into datagrams.
    void sendBucket(std::size_t bucket, VmId to, std::vector<OutgoingMessage> &out) const;

    /// Whether other zones have members but several probes to them have failed in a row.
    bool isPartitionedFromOtherZones() const;

    /// Whether there are peers but no message from any of them arrived within the last 5 s.
    bool isIsolated(TimePoint now) const;

    /// 0 while this VM's own network and scheduling look healthy; the higher, the less reliable its probe results.
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
