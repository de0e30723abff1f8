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

/// What this VM holds of one member.
struct MemberRecord
{
    Member member;
    std::uint32_t refutation = 0;
    /// When the current health was set.
    TimePoint since;
    /// When a message last came from the VM itself.
    TimePoint lastContactAt;
    /// When this VM last told the VM that it is suspected.
    TimePoint suspicionSentAt;
    /// Removed from the platform's list; kept for a while so that late updates can't bring the VM back.
    bool removed = false;
};

/// Members are compared between VMs in this many groups, so that a comparison costs a few bytes.
constexpr std::size_t memberBuckets = 64;

/// Bucket of @p vm. Thread-safe.
std::size_t memberBucket(VmId vm);

/**
 * Members of the region with their health, and the rules by which updates override each other.
 *
 * A higher incarnation wins; then a higher refutation; then the worse health. Leaving is final within an incarnation.
 * An update that says both dead and leaving means that the platform's list no longer names the VM. Not synchronized:
 * one thread at a time.
 */
class MemberTable
{
public:
    MemberTable(Vm self, TimePoint now);

    const Vm &self() const { return self_; }
    const std::map<VmId, MemberRecord> &records() const { return records_; }

    /// The record of @p vm, or null.
    const MemberRecord *find(VmId vm) const;

    /// Applies an update of a peer. True when it changed something, so that it is worth passing on.
    bool apply(const MemberUpdate &update, TimePoint now);

    /// Notes a message from @p vm itself. Its health stays: only a refutation clears a suspicion, because a local
    /// change would be undone by the next rumour and spread it again.
    void recordContact(VmId vm, TimePoint now);

    /// Sets the health of a known member after own observations. True when it changed.
    bool setHealth(VmId vm, MemberHealth health, TimePoint now);

    /// Whether @p vm should now be told that it is suspected or believed dead, at limit once a second.
    bool shouldSendSuspicion(VmId vm, TimePoint now);

    /// Applies the platform's list of one zone: adds new VMs, updates known ones, and removes those that were in
    /// @p previous and are not in @p list, and dead ones that it doesn't name. Returns the updates to pass on.
    std::vector<MemberUpdate> applyList(const VmList &list, const VmList &previous, TimePoint now);

    /// Sets this VM's own state to leaving.
    void leave();

    /// Drops removed members after a while.
    void expire(TimePoint now);

    /// The current statement about @p record.
    static MemberUpdate updateOf(const MemberRecord &record);

    /// The current statement about this VM.
    MemberUpdate selfUpdate() const;

    /// Hash of a bucket over ids, incarnations, states and deaths.
    std::uint64_t bucketHash(std::size_t bucket) const;

    /// Up to @p limit buckets to compare with a peer: this VM's own, then a random choice of those with members. Empty
    /// ones would be limit of the buckets of a small fleet and tell nothing.
    std::vector<std::size_t> bucketsToCompare(Random &random, std::size_t limit) const;

    /// Statements about all members of a bucket, removed ones included.
    std::vector<MemberUpdate> bucketUpdates(std::size_t bucket) const;

    /// Members that are not removed, this VM included, sorted by id.
    std::vector<Member> members() const;

    /// Number that grows with every change.
    std::uint64_t generation() const { return generation_; }

    /// How often this VM had to refute a suspicion since the last call.
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
