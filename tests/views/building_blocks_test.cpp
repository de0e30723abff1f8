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

// Guards against datagrams that the network drops or fragments.
TEST(Dissemination, SplitsLargeDeltasAndDigests)
{
    ViewDelta delta { parts::firstUpstreams, 0, 9, {} };
    std::vector<PartDigest> digests;
    for (std::uint16_t i = 0; i < 500; ++i) {
        Upstream host;
        host.id = { ~std::uint64_t { 0 } - i };
        host.incarnation = { ~std::uint64_t { 0 } };
        delta.items.push_back({ ~std::uint64_t { 0 }, false, host });
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

// Guards against low-priority messages that take the budget of catalogue changes, and against unbounded queues.
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

// Guards against a naive replacement of the whole group: one VM that leaves changes at most one reader.
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

// Guards against a zone without three good readers when one is silent or reports old versions.
TEST(ReaderSelection, StandByReplacesSilentAndFailedReaders)
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
    EXPECT_TRUE(standBy.isReader(start + 5s)) << "all three are silent";
}

// Guards against old statements that override new ones, whatever the order in which they arrive.
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

// Guards against a live VM that stays suspected: it must be able to refute with a higher number.
TEST(MemberTable, RefutesAccusationsOfItself)
{
    MemberTable table(makeVm(1), start);
    EXPECT_TRUE(table.apply({ makeVm(1), MemberHealth::Suspect, 4 }, start));
    EXPECT_EQ(table.selfUpdate().refutation, 5U);
    EXPECT_EQ(table.takeRefutations(), 1U);
}

// Guards against small fleets in which a missed update is repaired late, because most compared buckets are empty.
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

// Guards against shares that grow in a partition: a dead VM stays a member until the platform's list drops it.
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
    EXPECT_FALSE(table.apply({ makeVm(2), MemberHealth::Alive, 0 }, start)) << "a late update brings nobody back";
}

// Guards against decisions on load that says nothing any more.
TEST(UpstreamLoad, OldValuesLoseWeightAndAreIgnored)
{
    EXPECT_DOUBLE_EQ(loadWeight(0s), 1.0);
    EXPECT_DOUBLE_EQ(loadWeight(5s), 0.5);
    EXPECT_DOUBLE_EQ(loadWeight(10s), 0.0);
    Upstream host;
    host.id = { 1 };
    host.incarnation = { 2 };
    UpstreamLoad load;
    load.setUpstreams(std::vector<const Upstream *> { &host });
    EXPECT_FALSE(load.handleReport({ { 1 }, { 1 }, 0.5, true, start }, start)) << "another incarnation";
    EXPECT_TRUE(load.handleDigest({ { { { 1 }, { 2 }, 0.5, true, 3s } } }, start));
    EXPECT_FALSE(load.handleDigest({ { { { 1 }, { 2 }, 0.9, true, 4s } } }, start)) << "older than known";
    EXPECT_FALSE(load.handleDigest({ { { { 1 }, { 2 }, -1, true, 0s } } }, start)) << "not a load";
    EXPECT_TRUE(load.find({ 1 }, start + 6s).has_value());
    EXPECT_FALSE(load.find({ 1 }, start + 7s).has_value());
}

// Guards against hosts that nobody reads, and against a fleet that reads each host more than twice.
TEST(UpstreamLoad, EachHostHasTwoPollers)
{
    std::vector<Upstream> hosts(40);
    std::vector<const Upstream *> pointers;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        hosts[i].id = { i + 1 };
        pointers.push_back(&hosts[i]);
    }
    const std::vector<VmId> vms { { 1 }, { 2 }, { 3 }, { 4 }, { 5 } };
    std::map<UpstreamId, int> pollers;
    for (const VmId vm : vms) {
        for (const Upstream &host : upstreamsToPoll(pointers, vms, vm)) {
            ++pollers[host.id];
        }
    }
    ASSERT_EQ(pollers.size(), hosts.size());
    for (const auto &[host, count] : pollers) {
        EXPECT_EQ(count, 2);
    }
}

// Guards against a pause that goes unnoticed.
TEST(SuspensionDetector, NoticesPausesOverTwoSeconds)
{
    SuspensionDetector detector(start);
    EXPECT_FALSE(detector.tick(start + 2s).has_value());
    EXPECT_TRUE(detector.isSuspended(start + 5s));
    EXPECT_EQ(detector.tick(start + 62s), 60s);
}

} // namespace
} // namespace boragelug
