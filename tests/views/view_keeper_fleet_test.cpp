#include "bench/view_fleet.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

struct TestFleet
{
    explicit TestFleet(const FleetOptions &options = {})
        : catalogue(options.zones, 4, 8, 32)
        , fleet(options, platform)
    {
        fleet.change(catalogue.all());
    }

    void startAndSettle()
    {
        fleet.startAll();
        ASSERT_TRUE(fleet.runUntil([this] { return fleet.allReady(); }, 60s).has_value());
        fleet.run(10s);
    }

    std::size_t unconfirmedVms(const std::function<bool(VmId)> &includes) const
    {
        std::size_t count = 0;
        for (std::size_t vm = 1; vm <= fleet.nodes().size(); ++vm) {
            const Fleet::Node &node = fleet.nodes()[vm - 1];
            count += includes({ vm }) && node.running && node.keeper->publish()->unconfirmed ? 1U : 0U;
        }
        return count;
    }

    FleetPlatform platform;
    FleetCatalogue catalogue;
    Fleet fleet;
};

bool everyVm(VmId)
{
    return true;
}

struct SizeCase
{
    std::size_t vms;
    std::uint64_t seed;
    double loss;
    Duration limit;
};

class FleetOfSize : public ::testing::TestWithParam<SizeCase>
{ };

// Guards against changes that take effect too late: the limit is 5 s with 8 VMs and 13 s with more, at a rate of 20,000
// changes a day. Also checks that the control budget is kept and no VM returns to an older version.
TEST_P(FleetOfSize, ChangesTakeEffectInTimeWithinTheBudget)
{
    FleetOptions options;
    options.vms = GetParam().vms;
    options.seed = GetParam().seed;
    options.loss = GetParam().loss;
    TestFleet test(options);
    test.startAndSettle();
    test.fleet.resetMeasurements();
    for (std::size_t i = 0; i < 4; ++i) {
        const std::uint64_t version =
            test.fleet.change(i % 2 == 0 ? test.catalogue.drainHost(i) : test.catalogue.changeEntry(i));
        const auto took = test.fleet.runUntil([&] { return test.fleet.allHave(version); }, 20s);
        ASSERT_TRUE(took.has_value()) << "change " << i;
        EXPECT_LE(*took, GetParam().limit) << "change " << i;
        test.fleet.run(4320ms);
    }
    EXPECT_EQ(test.fleet.reverts, 0U);
    EXPECT_LE(test.fleet.peakBytesPerSecond(), 5000.0);
    EXPECT_EQ(test.unconfirmedVms(everyVm), 0U);
}

INSTANTIATE_TEST_SUITE_P(Sizes,
                         FleetOfSize,
                         ::testing::Values(SizeCase { 8, 1, 0, 5s },
                                           SizeCase { 8, 2, 0.05, 5s },
                                           SizeCase { 64, 3, 0.01, 13s },
                                           SizeCase { 128, 4, 0.01, 13s }));

// Guards against results that depend on anything other than the seed.
TEST(ViewKeeperFleet, SameSeedGivesSameResult)
{
    const auto run = [] {
        TestFleet test;
        test.startAndSettle();
        return std::pair(test.fleet.delivered, test.fleet.nodes().front().keeper->counters().bytesSent);
    };
    EXPECT_EQ(run(), run());
}

// Guards against a new VM that becomes ready with an old catalogue from a stale replica.
TEST(ViewKeeperFleet, NewVmThatMeetsAStaleReplicaDoesNotRevert)
{
    TestFleet test;
    test.startAndSettle();
    for (std::size_t i = 0; i < 3; ++i) {
        test.fleet.change(test.catalogue.changeEntry(i));
    }
    ASSERT_TRUE(test.fleet.runUntil([&] { return test.fleet.allHave(4); }, 10s).has_value());
    const VmId joining { 5 };
    test.fleet.replica = [joining](VmId vm) { return std::uint64_t { vm == joining ? 1U : 0U }; };
    test.fleet.kill(joining);
    test.fleet.run(1s);
    test.fleet.start(joining);
    ASSERT_TRUE(test.fleet.runUntil([&] { return test.fleet.keeper(joining).isReady(); }, 20s).has_value());
    EXPECT_EQ(test.fleet.keeper(joining).publish()->catalogue.version.value, 4U);
    EXPECT_EQ(test.fleet.reverts, 0U);
}

// Guards against readers with different versions that revert each other to the older one, and against VMs that stay
// readers although they get old versions.
TEST(ViewKeeperFleet, ReadersWithOldVersionsAreReplacedAndNobodyReverts)
{
    FleetOptions options;
    options.vms = 24;
    TestFleet test(options);
    test.startAndSettle();
    std::set<VmId> stale;
    for (std::uint64_t vm = 1; vm <= 24; ++vm) {
        if (test.fleet.keeper({ vm }).isReader() && stale.size() < 6) {
            stale.insert(VmId { vm });
        }
    }
    test.fleet.replica = [&stale](VmId vm) { return std::uint64_t { stale.contains(vm) ? 1U : 0U }; };
    const std::uint64_t version = test.fleet.change(test.catalogue.changeEntry(1));
    EXPECT_TRUE(test.fleet.runUntil([&] { return test.fleet.allHave(version); }, 5s).has_value());
    test.fleet.run(10s);
    std::map<ZoneId, std::size_t> goodReaders;
    for (std::uint64_t vm = 1; vm <= 24; ++vm) {
        if (test.fleet.keeper({ vm }).isReader() && !stale.contains({ vm })) {
            ++goodReaders[test.fleet.zoneOf({ vm })];
        }
    }
    for (std::uint16_t zone = 1; zone <= 4; ++zone) {
        EXPECT_GE(goodReaders[{ zone }], 3U) << "zone " << zone;
    }
    EXPECT_EQ(test.fleet.reverts, 0U);
}

struct ReaderFault
{
    const char *name;
    std::function<void(Fleet &, VmId)> apply;
};

// Guards against zones that receive changes late because their readers are dead, suspended or disconnected.
TEST(ViewKeeperFleet, FailedReadersAreReplacedWithinSeconds)
{
    const std::vector<ReaderFault> faults {
        { "die", [](Fleet &fleet, VmId vm) { fleet.kill(vm); } },
        { "sleep", [](Fleet &fleet, VmId vm) { fleet.sleep(vm, 60s); } },
        { "lose the configuration service", [](Fleet &, VmId) {} },
    };
    for (const ReaderFault &fault : faults) {
        SCOPED_TRACE(fault.name);
        FleetOptions options;
        options.vms = 24;
        TestFleet test(options);
        test.startAndSettle();
        std::set<VmId> failed;
        for (std::uint64_t vm = 1; vm <= 24; ++vm) {
            if (test.fleet.keeper({ vm }).isReader()) {
                failed.insert({ vm });
            }
        }
        for (const VmId vm : failed) {
            fault.apply(test.fleet, vm);
        }
        if (std::string(fault.name) == "lose the configuration service") {
            test.fleet.reachesPlatform = [&failed](VmId vm) { return !failed.contains(vm); };
        }
        test.fleet.run(1s);
        const std::uint64_t version = test.fleet.change(test.catalogue.changeEntry(1));
        const auto others = [&] {
            for (std::uint64_t vm = 1; vm <= 24; ++vm) {
                if (!failed.contains({ vm }) && test.fleet.nodeOf({ vm }).lastVersion < version) {
                    return false;
                }
            }
            return true;
        };
        EXPECT_TRUE(test.fleet.runUntil(others, 10s).has_value());
    }
}

struct Partition
{
    const char *name;
    bool fromPeers;
    bool fromPlatform;
};

class PartitionedZone : public ::testing::TestWithParam<Partition>
{ };

// Guards against a partitioned zone that loses its view, presents it as confirmed, or floods other zones with messages
// after the partition has healed.
TEST_P(PartitionedZone, KeepsAnUnconfirmedViewAndRecoversWithinTheBudget)
{
    FleetOptions options;
    options.vms = 32;
    TestFleet test(options);
    test.startAndSettle();
    const ZoneId zone { 1 };
    const auto isPartitioned = [&test, zone](VmId vm) { return test.fleet.zoneOf(vm) == zone; };
    if (GetParam().fromPeers) {
        test.fleet.linked = [isPartitioned](VmId from, VmId to) { return isPartitioned(from) == isPartitioned(to); };
    }
    if (GetParam().fromPlatform) {
        test.fleet.reachesPlatform = [isPartitioned](VmId vm) { return !isPartitioned(vm); };
    }
    test.fleet.run(60s);
    EXPECT_EQ(test.unconfirmedVms(isPartitioned), 8U);
    for (std::uint64_t vm = 1; vm <= 32; ++vm) {
        EXPECT_GE(test.fleet.nodeOf({ vm }).lastVersion, 1U);
    }
    const std::uint64_t version = test.fleet.change(test.catalogue.changeEntry(1));
    test.fleet.run(30s);
    test.fleet.resetMeasurements();
    test.fleet.linked = [](VmId, VmId) { return true; };
    test.fleet.reachesPlatform = everyVm;
    EXPECT_TRUE(test.fleet.runUntil([&] { return test.fleet.allHave(version); }, 40s).has_value());
    test.fleet.run(60s);
    EXPECT_EQ(test.unconfirmedVms(everyVm), 0U);
    EXPECT_LE(test.fleet.peakBytesPerSecond(), 5000.0);
    EXPECT_EQ(test.fleet.reverts, 0U);
}

INSTANTIATE_TEST_SUITE_P(Partitions,
                         PartitionedZone,
                         ::testing::Values(Partition { "peers", true, false },
                                           Partition { "platform", false, true },
                                           Partition { "both", true, true }),
                         [](const auto &partition) { return std::string(partition.param.name); });

// Guards against a VM that acts on old load values or an unconfirmed version after its process was suspended, even
// before the first tick.
TEST(ViewKeeperFleet, SuspendedVmDiscardsOutdatedDataFirst)
{
    TestFleet test;
    test.startAndSettle();
    const VmId suspendedVm { 3 };
    ViewKeeper &keeper = test.fleet.keeper(suspendedVm);
    const auto loads = [&keeper] {
        const auto view = keeper.publish();
        return std::count_if(view->upstreams.begin(), view->upstreams.end(), [](const UpstreamStatus &status) {
            return status.load.upstream.value != 0;
        });
    };
    ASSERT_GT(loads(), 0);
    // The first message after a suspension of 60 s.
    keeper.handleMessage(ViewPull { parts::zones, 0 }, { 1 }, test.fleet.now() + 60s);
    EXPECT_EQ(loads(), 0);
    EXPECT_TRUE(keeper.publish()->unconfirmed);

    TestFleet other;
    other.startAndSettle();
    other.fleet.sleep(suspendedVm, 60s);
    const std::uint64_t version = other.fleet.change(other.catalogue.changeEntry(1));
    other.fleet.run(59s);
    EXPECT_LT(other.fleet.nodeOf(suspendedVm).lastVersion, version);
    other.fleet.run(10s);
    EXPECT_GE(other.fleet.nodeOf(suspendedVm).lastVersion, version);
    EXPECT_FALSE(other.fleet.keeper(suspendedVm).publish()->unconfirmed);
    EXPECT_EQ(other.fleet.reverts, 0U);
}

// Guards against an invalid catalogue that takes effect on any VM or prevents the next valid one from being adopted.
TEST(ViewKeeperFleet, InvalidCatalogueIsRejectedOnEveryVm)
{
    FleetOptions options;
    options.validate = [](const Catalogue &catalogue) {
        const bool bad = std::any_of(catalogue.entries.begin(), catalogue.entries.end(), [](const Entry &entry) {
            return entry.service.value > 4;
        });
        return bad ? std::optional<std::string>("unknown service") : std::nullopt;
    };
    TestFleet test(options);
    test.startAndSettle();
    std::vector<PartContent> bad = test.catalogue.drainHost(1);
    test.catalogue.entryList()[0].service = { 99 };
    bad.push_back(test.catalogue.partOfEntry(0));
    test.fleet.change(bad);
    test.fleet.run(10s);
    for (const Fleet::Node &node : test.fleet.nodes()) {
        EXPECT_EQ(node.lastVersion, 1U);
    }
    EXPECT_GT(test.fleet.events[EventNumber::CatalogueRejected], 0U);
    test.catalogue.entryList()[0].service = { 1 };
    const std::uint64_t good = test.fleet.change({ test.catalogue.partOfEntry(0) });
    EXPECT_TRUE(test.fleet.runUntil([&] { return test.fleet.allHave(good); }, 5s).has_value());
}

// Guards against a VM that never becomes ready when neither peers nor the configuration service are reachable.
TEST(ViewKeeperFleet, VmIsolatedAtStartupBecomesReadyUnconfirmed)
{
    TestFleet test;
    test.fleet.reachesPlatform = [](VmId) { return false; };
    test.fleet.start({ 1 });
    test.fleet.run(9s);
    EXPECT_FALSE(test.fleet.keeper({ 1 }).isReady());
    test.fleet.run(2s);
    EXPECT_TRUE(test.fleet.keeper({ 1 }).isReady());
    EXPECT_TRUE(test.fleet.keeper({ 1 }).publish()->unconfirmed);
}

// Guards against a VM that can't join while the configuration service is down although its peers have the catalogue.
TEST(ViewKeeperFleet, VmJoinsFromPeersWhileThePlatformIsDown)
{
    TestFleet test;
    test.startAndSettle();
    test.fleet.seedPeers = { test.fleet.describe({ 1 }), test.fleet.describe({ 2 }) };
    test.fleet.kill({ 8 });
    test.fleet.reachesPlatform = [](VmId) { return false; };
    test.fleet.run(2s);
    test.fleet.start({ 8 });
    EXPECT_TRUE(test.fleet.runUntil([&] { return test.fleet.allHave(1); }, 20s).has_value());
}

// Guards against a failed VM that stays alive in the tables of others, and against a leaving VM that keeps its roles.
TEST(ViewKeeperFleet, DeadAndLeavingVmsAreDetected)
{
    TestFleet test;
    test.startAndSettle();
    const auto memberAt = [&test](VmId at, VmId vm) {
        const auto view = test.fleet.keeper(at).publish();
        return *std::find_if(
            view->members.begin(), view->members.end(), [vm](const Member &member) { return member.vm.id == vm; });
    };
    test.fleet.kill({ 2 });
    test.fleet.keeper({ 3 }).leave(test.fleet.now());
    test.fleet.run(15s);
    for (const std::uint64_t at : { 1U, 4U, 8U }) {
        EXPECT_EQ(memberAt({ at }, { 2 }).health, MemberHealth::Dead) << at;
        EXPECT_EQ(memberAt({ at }, { 3 }).vm.state, VmState::Leaving) << at;
    }
    EXPECT_FALSE(test.fleet.keeper({ 3 }).isReader());
}

} // namespace
} // namespace boragelug
