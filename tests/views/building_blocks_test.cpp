#include "views/control_budget.h"
#include "views/dissemination.h"
#include "views/member_table.h"
#include "views/message_size.h"
#include "views/reader_selection.h"
#include "views/suspension_detector.h"
#include "views/upstream_load.h"

#include <set>

#include <gtest/gtest.h>

#include <chrono>
#include <set>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

const TimePoint start { 1h };

Vm makeVm(std::uint64_t id, std::uint64_t incarnation = 1)
{
    return { { id }, { incarnation }, { 1 }, {}, {}, VmState::Live };
}

// Guards against datagrams over the size limit, which the network could drop or fragment.
TEST(Dissemination, SplitsLargeDeltasAndDigests)
{
    ViewDelta delta { parts::firstUpstreams, 0, 9, {} };
    std::vector<PartDigest> digests;
    for (std::uint16_t i = 0; i < 500; ++i) {
        Upstream upstream;
        upstream.id = { ~std::uint64_t { 0 } - i };
        upstream.incarnation = { ~std::uint64_t { 0 } };
        delta.items.push_back({ ~std::uint64_t { 0 }, false, upstream });
        digests.push_back({ static_cast<std::uint16_t>(parts::firstUpstreams + i), ~std::uint64_t { 0 }, 7 });
    }
    std::size_t items = 0;
    for (const ViewDelta &piece : splitDelta(delta)) {
        EXPECT_LE(wireSize(PeerMessage(piece)), maxDatagramBytes);
        items += piece.items.size();
    }
    EXPECT_EQ(items, delta.items.size());
    for (const ViewDigest &piece : splitDigest({ 9 }, 1, digests)) {
        EXPECT_LE(wireSize(PeerMessage(piece)), maxDatagramBytes);
    }
}

// Guards against low-priority messages that use up the budget before catalogue changes, and against unbounded queues.
TEST(ControlBudget, SendsByPriorityWithinTheRate)
{
    ControlBudget budget(1000, 2000, start);
    FlowEntries hint { true, std::vector<FlowRecord>(20) };
    for (int i = 0; i < 200; ++i) {
        budget.enqueue({ { 2 }, hint }, priorityOf(hint));
    }
    budget.enqueue({ { 2 }, ViewPull { 1, 1 } }, ControlPriority::Catalogue);
    EXPECT_LE(budget.queuedBytes(), 17U * 1024U);
    EXPECT_GT(budget.dropped(), 0U);
    const std::vector<OutgoingMessage> first = budget.drain(start);
    ASSERT_FALSE(first.empty());
    EXPECT_TRUE(std::holds_alternative<ViewPull>(first.front().message));
    EXPECT_LE(budget.sentBytes(), 2000U);
    budget.drain(start + 10s);
    EXPECT_LE(budget.sentBytes(), 12'000U);
}

// Guards against a ranking in which the departure of one VM replaces more than one reader.
TEST(ReaderSelection, RankingChangesByOneReaderOnly)
{
    std::vector<VmId> vms;
    for (std::uint64_t i = 1; i <= 50; ++i) {
        vms.push_back({ i });
    }
    const std::vector<VmId> before = rankReaders({ 1 }, vms, readersPerZone);
    std::erase(vms, before[1]);
    const std::vector<VmId> after = rankReaders({ 1 }, vms, readersPerZone);
    EXPECT_EQ(after[0], before[0]);
    EXPECT_EQ(after[1], before[2]);
}

// Guards against a zone with fewer than three healthy readers after one sends no reports or reports old versions.
TEST(ReaderSelection, StandByReplacesUnresponsiveAndFailedReaders)
{
    const std::vector<VmId> vms { { 1 }, { 2 }, { 3 }, { 4 }, { 5 } };
    const std::vector<VmId> ranked = rankReaders({ 1 }, vms, vms.size());
    ReaderSelection standBy(ranked[3], { 1 });
    standBy.setCandidates(vms, start);
    for (std::size_t i = 0; i < 3; ++i) {
        standBy.handleReport(ranked[i], true, start);
    }
    EXPECT_FALSE(standBy.isReader(start + 1s));
    standBy.handleReport(ranked[0], false, start + 1s);
    EXPECT_TRUE(standBy.isReader(start + 1s));
    standBy.handleReport(ranked[0], true, start + 2s);
    EXPECT_FALSE(standBy.isReader(start + 2s));
    EXPECT_TRUE(standBy.isReader(start + 5s)) << "reports of two of the three readers are overdue";
}

// Guards against old updates that override newer ones when they arrive out of order.
TEST(MemberTable, UpdatesOrderByIncarnationRefutationAndSeverity)
{
    MemberTable table(makeVm(1), start);
    EXPECT_TRUE(table.apply({ makeVm(2), MemberHealth::Alive, 0 }, start));
    EXPECT_TRUE(table.apply({ makeVm(2), MemberHealth::Suspect, 0 }, start));
    EXPECT_FALSE(table.apply({ makeVm(2), MemberHealth::Alive, 0 }, start)) << "not a refutation";
    EXPECT_TRUE(table.apply({ makeVm(2), MemberHealth::Alive, 1 }, start));
    EXPECT_FALSE(table.apply({ makeVm(2), MemberHealth::Dead, 0 }, start));
    EXPECT_TRUE(table.apply({ makeVm(2, 2), MemberHealth::Alive, 0 }, start)) << "restarted";
    EXPECT_FALSE(table.apply({ makeVm(2, 1), MemberHealth::Dead, 9 }, start));
}

// Guards against a live VM that stays suspect because it can't refute the suspicion with a higher refutation number.
TEST(MemberTable, RefutesSuspicionsOfItself)
{
    MemberTable table(makeVm(1), start);
    EXPECT_TRUE(table.apply({ makeVm(1), MemberHealth::Suspect, 4 }, start));
    EXPECT_EQ(table.selfUpdate().refutation, 5U);
    EXPECT_EQ(table.takeRefutations(), 1U);
}

// Guards against a late repair of lost updates in small fleets, where most buckets are empty and need no comparison.
TEST(MemberTable, ComparesItsOwnBucketAndOccupiedOnes)
{
    MemberTable table(makeVm(1), start);
    std::set<std::size_t> occupied { memberBucket({ 1 }) };
    for (std::uint64_t vm = 2; vm <= 8; ++vm) {
        table.apply({ makeVm(vm), MemberHealth::Alive, 0 }, start);
        occupied.insert(memberBucket({ vm }));
    }
    Random random(1);
    std::set<std::size_t> compared;
    for (int digest = 0; digest < 50; ++digest) {
        const auto buckets = table.bucketsToCompare(random, 4);
        ASSERT_EQ(buckets.size(), 4U);
        EXPECT_EQ(buckets.front(), memberBucket({ 1 }));
        compared.insert(buckets.begin(), buckets.end());
    }
    EXPECT_EQ(compared, occupied);
}

// Guards against VMs that raise their shares of limits during a partition: a dead VM must stay a member until the
// configuration service no longer lists it.
TEST(MemberTable, DeadMembersStayUntilTheListDropsThem)
{
    MemberTable table(makeVm(1), start);
    const VmList both { { 1 }, 1, { makeVm(1), makeVm(2) } };
    table.applyList(both, {}, start);
    table.setHealth({ 2 }, MemberHealth::Dead, start);
    EXPECT_EQ(table.members().size(), 2U);
    const std::vector<MemberUpdate> changes = table.applyList({ { 1 }, 2, { makeVm(1) } }, both, start);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(table.members().size(), 1U);
    EXPECT_FALSE(table.apply({ makeVm(2), MemberHealth::Alive, 0 }, start))
        << "a late update must not add a removed VM again";
}

// Guards against decisions based on out-of-date load values.
TEST(UpstreamLoad, OldValuesLoseWeightAndAreIgnored)
{
    EXPECT_DOUBLE_EQ(loadWeight(0s), 1.0);
    EXPECT_DOUBLE_EQ(loadWeight(5s), 0.5);
    EXPECT_DOUBLE_EQ(loadWeight(10s), 0.0);
    Upstream upstream;
    upstream.id = { 1 };
    upstream.incarnation = { 2 };
    UpstreamLoad load;
    load.setUpstreams(std::vector<const Upstream *> { &upstream });
    EXPECT_FALSE(load.handleReport({ { 1 }, { 1 }, 0.5, true, start }, start)) << "another incarnation";
    EXPECT_TRUE(load.handleDigest({ { { { 1 }, { 2 }, 0.5, true, 3s } } }, start));
    EXPECT_FALSE(load.handleDigest({ { { { 1 }, { 2 }, 0.9, true, 4s } } }, start)) << "older than the stored value";
    EXPECT_FALSE(load.handleDigest({ { { { 1 }, { 2 }, -1, true, 0s } } }, start)) << "not a valid load";
    EXPECT_TRUE(load.find({ 1 }, start + 6s).has_value());
    EXPECT_FALSE(load.find({ 1 }, start + 7s).has_value());
}

// Guards against upstreams that no VM polls, and against upstreams that more than two VMs poll.
TEST(UpstreamLoad, EachUpstreamHasTwoPollers)
{
    std::vector<Upstream> upstreams(40);
    std::vector<const Upstream *> pointers;
    for (std::size_t i = 0; i < upstreams.size(); ++i) {
        upstreams[i].id = { i + 1 };
        pointers.push_back(&upstreams[i]);
    }
    const std::vector<VmId> vms { { 1 }, { 2 }, { 3 }, { 4 }, { 5 } };
    std::map<UpstreamId, int> pollers;
    for (const VmId vm : vms) {
        for (const Upstream &upstream : upstreamsToPoll(pointers, vms, vm)) {
            ++pollers[upstream.id];
        }
    }
    ASSERT_EQ(pollers.size(), upstreams.size());
    for (const auto &[upstream, count] : pollers) {
        EXPECT_EQ(count, 2);
    }
}

// Guards against suspensions of the process that are not detected.
TEST(SuspensionDetector, DetectsSuspensionsOverTwoSeconds)
{
    SuspensionDetector detector(start);
    EXPECT_FALSE(detector.tick(start + 2s).has_value());
    EXPECT_TRUE(detector.isSuspended(start + 5s));
    EXPECT_EQ(detector.tick(start + 62s), 60s);
}

} // namespace
} // namespace boragelug
