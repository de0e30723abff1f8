#include "views/member_table.h"

#include "core/hash.h"

#include <algorithm>
#include <bitset>
#include <chrono>
#include <string>
#include <tuple>
#include <utility>

namespace boragelug
{

namespace
{

// Much longer than late updates and bucket comparisons need to reach every VM.
constexpr Duration removedRetention = std::chrono::hours(2);
// Limits the memory for removed members; 7,000 replacements a day are about 150 an hour in each region.
constexpr std::size_t maxRemoved = 1024;
constexpr Duration suspicionSendPeriod = std::chrono::seconds(1);
// Limits the members that faulty peers can add; the largest region has about 2,100 VMs.
constexpr std::size_t maxMembers = 8192;

bool isRemoval(const MemberUpdate &update)
{
    return update.health == MemberHealth::Dead && update.vm.state == VmState::Leaving;
}

int severity(const MemberUpdate &update)
{
    return isRemoval(update) ? 3 : static_cast<int>(update.health);
}

bool overrides(const MemberUpdate &update, const MemberUpdate &known)
{
    const auto rank = [](const MemberUpdate &u) { return std::tuple(u.vm.incarnation, u.refutation, severity(u)); };
    return rank(update) > rank(known);
}

EventNumber eventOf(const MemberUpdate &update)
{
    if (update.vm.state == VmState::Leaving) {
        return EventNumber::MemberLeaving;
    }
    switch (update.health) {
    case MemberHealth::Suspect:
        return EventNumber::MemberSuspected;
    case MemberHealth::Dead:
        return EventNumber::MemberDead;
    case MemberHealth::Alive:
        break;
    }
    return EventNumber::MemberJoined;
}

const Vm *findVm(const VmList &list, VmId id)
{
    const auto it = std::find_if(list.vms.begin(), list.vms.end(), [id](const Vm &vm) { return vm.id == id; });
    return it == list.vms.end() ? nullptr : &*it;
}

} // namespace

std::size_t memberBucket(VmId vm)
{
    return mix64(vm.value) % memberBuckets;
}

MemberTable::MemberTable(Vm self, TimePoint now)
    : self_(self)
    , startedAt_(now)
{ }

const MemberRecord *MemberTable::find(VmId vm) const
{
    const auto it = records_.find(vm);
    return it == records_.end() ? nullptr : &it->second;
}

MemberUpdate MemberTable::updateOf(const MemberRecord &record)
{
    MemberUpdate update { record.member.vm, record.member.health, record.refutation };
    if (record.removed) {
        update.vm.state = VmState::Leaving;
        update.health = MemberHealth::Dead;
    }
    return update;
}

MemberUpdate MemberTable::selfUpdate() const
{
    return { self_, MemberHealth::Alive, refutation_ };
}

void MemberTable::report(EventNumber number, const Vm &vm)
{
    events_.push_back({ number,
                        vm.id.value,
                        { { "vm", std::to_string(vm.id.value) },
                          { "incarnation", std::to_string(vm.incarnation.value) },
                          { "zone", std::to_string(vm.zone.value) } } });
}

bool MemberTable::applyToSelf(const MemberUpdate &update)
{
    const bool suspectsSelf = update.health != MemberHealth::Alive && update.vm.incarnation == self_.incarnation;
    if (!suspectsSelf || update.refutation < refutation_) {
        return false;
    }
    refutation_ = update.refutation + 1;
    ++refutations_;
    return true;
}

void MemberTable::set(MemberRecord &record, const MemberUpdate &update, TimePoint now)
{
    const Vm before = record.member.vm;
    const MemberHealth healthBefore = record.member.health;
    const bool restarted = update.vm.incarnation != before.incarnation;
    const bool wasRemoved = record.removed;
    record.member.vm = update.vm;
    if (!restarted && before.state == VmState::Leaving && !wasRemoved) {
        record.member.vm.state = VmState::Leaving;
    }
    record.member.health = update.health;
    record.refutation = update.refutation;
    record.removed = isRemoval(update);
    record.healthSince = now;
    if (restarted || wasRemoved) {
        record.member.knownSince = now;
    }
    removedCount_ = removedCount_ + (record.removed ? 1U : 0U) - (wasRemoved ? 1U : 0U);
    ++generation_;
    if (restarted || healthBefore != update.health || before.state != record.member.vm.state) {
        report(eventOf(update), update.vm);
    }
}

void MemberTable::add(const MemberUpdate &update, TimePoint now)
{
    MemberRecord record;
    record.member = { update.vm, update.health, now };
    record.refutation = update.refutation;
    record.healthSince = now;
    record.lastContactAt = now;
    records_.emplace(update.vm.id, record);
    ++generation_;
    report(eventOf(update), update.vm);
}

bool MemberTable::apply(const MemberUpdate &update, TimePoint now)
{
    if (update.vm.id == self_.id) {
        return applyToSelf(update);
    }
    const auto it = records_.find(update.vm.id);
    if (it == records_.end()) {
        // A VM that is not in the table yet is not added as dead or removed.
        if (update.health == MemberHealth::Dead || records_.size() >= maxMembers) {
            return false;
        }
        add(update, now);
        return true;
    }
    MemberRecord &record = it->second;
    const MemberUpdate known = updateOf(record);
    const bool startsLeaving = update.vm.incarnation == known.vm.incarnation && update.vm.state == VmState::Leaving
        && known.vm.state == VmState::Live && !isRemoval(update);
    if (!overrides(update, known) && !startsLeaving) {
        return false;
    }
    MemberUpdate next = update;
    // An update that starts leaving but does not override the record changes only the state.
    if (!overrides(update, known)) {
        next = known;
        next.vm.state = VmState::Leaving;
    }
    set(record, next, now);
    return true;
}

void MemberTable::recordContact(VmId vm, TimePoint now)
{
    const auto it = records_.find(vm);
    if (it != records_.end()) {
        it->second.lastContactAt = now;
    }
}

bool MemberTable::shouldSendSuspicion(VmId vm, TimePoint now)
{
    const auto it = records_.find(vm);
    if (it == records_.end() || (!it->second.removed && it->second.member.health == MemberHealth::Alive)) {
        return false;
    }
    if (now - it->second.suspicionSentAt < suspicionSendPeriod) {
        return false;
    }
    it->second.suspicionSentAt = now;
    return true;
}

bool MemberTable::setHealth(VmId vm, MemberHealth health, TimePoint now)
{
    const auto it = records_.find(vm);
    if (it == records_.end() || it->second.removed || it->second.member.health == health) {
        return false;
    }
    MemberUpdate update = updateOf(it->second);
    update.health = health;
    set(it->second, update, now);
    return true;
}

std::vector<MemberUpdate> MemberTable::applyList(const VmList &list, const VmList &previous, TimePoint now)
{
    std::vector<MemberUpdate> changes;
    for (const Vm &vm : list.vms) {
        const MemberRecord *known = find(vm.id);
        const std::uint32_t refutation =
            known != nullptr && known->member.vm.incarnation == vm.incarnation ? known->refutation : 0;
        const MemberUpdate update { vm, MemberHealth::Alive, refutation };
        if (vm.id != self_.id && apply(update, now)) {
            changes.push_back(updateOf(*find(vm.id)));
        }
    }
    for (auto &[id, record] : records_) {
        const bool wasListed = findVm(previous, id) != nullptr;
        const bool isDead = record.member.health == MemberHealth::Dead;
        if (record.removed || record.member.vm.zone != list.zone || findVm(list, id) != nullptr
            || (!wasListed && !isDead)) {
            continue;
        }
        MemberUpdate update = updateOf(record);
        update.vm.state = VmState::Leaving;
        update.health = MemberHealth::Dead;
        set(record, update, now);
        changes.push_back(update);
    }
    return changes;
}

void MemberTable::leave()
{
    self_.state = VmState::Leaving;
    ++generation_;
}

void MemberTable::expire(TimePoint now)
{
    for (auto it = records_.begin(); it != records_.end();) {
        const bool expired =
            it->second.removed && (removedCount_ > maxRemoved || now - it->second.healthSince > removedRetention);
        if (expired) {
            --removedCount_;
            it = records_.erase(it);
        } else {
            ++it;
        }
    }
}

std::uint64_t MemberTable::bucketHash(std::size_t bucket) const
{
    std::uint64_t sum = 0;
    const auto add = [&sum](const Vm &vm, bool dead) {
        const std::uint64_t flags = (vm.state == VmState::Leaving ? 2U : 0U) + (dead ? 1U : 0U);
        sum ^= combineHash(combineHash(vm.id.value, vm.incarnation.value), flags);
    };
    if (memberBucket(self_.id) == bucket) {
        add(self_, false);
    }
    for (const auto &[id, record] : records_) {
        if (!record.removed && memberBucket(id) == bucket) {
            add(record.member.vm, record.member.health == MemberHealth::Dead);
        }
    }
    return sum;
}

std::vector<std::size_t> MemberTable::bucketsToCompare(Random &random, std::size_t limit) const
{
    std::bitset<memberBuckets> occupied;
    for (const auto &[id, record] : records_) {
        occupied.set(memberBucket(id));
    }
    const std::size_t own = memberBucket(self_.id);
    occupied.reset(own);
    std::vector<std::size_t> buckets { own };
    const std::size_t first = random.below(memberBuckets);
    for (std::size_t i = 0; i < memberBuckets && buckets.size() < limit; ++i) {
        const std::size_t bucket = (first + i) % memberBuckets;
        if (occupied.test(bucket)) {
            buckets.push_back(bucket);
        }
    }
    return buckets;
}

std::vector<MemberUpdate> MemberTable::bucketUpdates(std::size_t bucket) const
{
    std::vector<MemberUpdate> updates;
    if (memberBucket(self_.id) == bucket) {
        updates.push_back(selfUpdate());
    }
    for (const auto &[id, record] : records_) {
        if (memberBucket(id) == bucket) {
            updates.push_back(updateOf(record));
        }
    }
    return updates;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members;
    members.reserve(records_.size() + 1);
    Member self { self_, MemberHealth::Alive, startedAt_ };
    bool selfAdded = false;
    for (const auto &[id, record] : records_) {
        if (!selfAdded && self_.id < id) {
            members.push_back(self);
            selfAdded = true;
        }
        if (!record.removed) {
            members.push_back(record.member);
        }
    }
    if (!selfAdded) {
        members.push_back(self);
    }
    return members;
}

std::size_t MemberTable::takeRefutations()
{
    return std::exchange(refutations_, 0);
}

std::vector<ViewEvent> MemberTable::takeEvents()
{
    return std::exchange(events_, {});
}

} // namespace boragelug
