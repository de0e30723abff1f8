#pragma once

#include "core/random.h"
#include "core/time_point.h"
#include "model/peer_message.h"
#include "model/platform_message.h"
#include "model/vm.h"
#include "views/view_event.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace boragelug
{

/// State of one member as known to this VM.
struct MemberRecord
{
    Member member;
    std::uint32_t refutation = 0;
    /// When the current health was set.
    TimePoint healthSince;
    /// When the last message from the VM itself arrived.
    TimePoint lastContactAt;
    /// When this VM last sent the member an update in which it is suspect, dead or removed.
    TimePoint suspicionSentAt;
    /// No longer on the configuration service's list. A retention period keeps the record, so that a late update can't
    /// add the VM again.
    bool removed = false;
};

/// Number of buckets over which members are hashed. VMs compare one hash per bucket, which takes a few bytes.
constexpr std::size_t memberBuckets = 64;

/// Bucket of @p vm. Thread-safe.
std::size_t memberBucket(VmId vm);

/**
 * Members of the region with their health, and the rules by which updates override each other.
 *
 * An update with a higher incarnation overrides; at the same incarnation a higher refutation number, and then the worse
 * health. Leaving is final within an incarnation. An update that is both dead and leaving means that the configuration
 * service no longer lists the VM. Not synchronized: one thread at a time.
 */
class MemberTable
{
public:
    MemberTable(Vm self, TimePoint now);

    const Vm &self() const { return self_; }
    const std::map<VmId, MemberRecord> &records() const { return records_; }

    /// The record of @p vm, or null.
    const MemberRecord *find(VmId vm) const;

    /// Applies an update received from a peer. True if it changed the table and should be forwarded to other peers.
    bool apply(const MemberUpdate &update, TimePoint now);

    /// Records that a message from @p vm itself arrived. Does not change its health: only a refutation clears a
    /// suspicion, because the next update from a peer would undo a local change and be forwarded again.
    void recordContact(VmId vm, TimePoint now);

    /// Sets the health of a known member from this VM's own observations. True if it changed.
    bool setHealth(VmId vm, MemberHealth health, TimePoint now);

    /// Whether to notify @p vm now that this table has it as suspect, dead or removed; true at most once a second per
    /// VM.
    bool shouldSendSuspicion(VmId vm, TimePoint now);

    /// Applies the configuration service's list of one zone: adds new VMs, updates known ones, and removes those that
    /// are missing in @p list and were in @p previous or are dead. Returns the updates to forward to peers.
    std::vector<MemberUpdate> applyList(const VmList &list, const VmList &previous, TimePoint now);

    /// Sets this VM's own state to leaving.
    void leave();

    /// Discards records of removed members after their retention period, or earlier if there are too many.
    void expire(TimePoint now);

    /// An update with the current state of @p record.
    static MemberUpdate updateOf(const MemberRecord &record);

    /// An update with this VM's own current state.
    MemberUpdate selfUpdate() const;

    /// Hash of a bucket: covers id, incarnation, state and death of its members, without removed ones.
    std::uint64_t bucketHash(std::size_t bucket) const;

    /// Up to @p limit buckets to compare with a peer: this VM's own and random others that have members. Empty buckets,
    /// which are most buckets of a small fleet, are left out because there is nothing to compare.
    std::vector<std::size_t> bucketsToCompare(Random &random, std::size_t limit) const;

    /// Updates for all members of a bucket, including removed ones.
    std::vector<MemberUpdate> bucketUpdates(std::size_t bucket) const;

    /// Members that are not removed, this VM included, sorted by id.
    std::vector<Member> members() const;

    /// Incremented with every change of the table.
    std::uint64_t generation() const { return generation_; }

    /// Number of updates with this VM as suspect or dead that it has refuted since the last call.
    std::size_t takeRefutations();

    /// Events since the last call.
    std::vector<ViewEvent> takeEvents();

private:
    bool applyToSelf(const MemberUpdate &update);
    void set(MemberRecord &record, const MemberUpdate &update, TimePoint now);
    void add(const MemberUpdate &update, TimePoint now);
    void report(EventNumber number, const Vm &vm);

    Vm self_;
    std::uint32_t refutation_ = 0;
    TimePoint startedAt_;
    std::map<VmId, MemberRecord> records_;
    std::size_t removedCount_ = 0;
    std::uint64_t generation_ = 1;
    std::size_t refutations_ = 0;
    std::vector<ViewEvent> events_;
};

} // namespace boragelug
