#include "core/hash.h"
#include "routing/owner_table.h"
#include "routing/placement.h"
#include "routing/rendezvous.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragelug
{
namespace
{

using std::chrono::seconds;

const TimePoint now { seconds(1000) };

std::vector<PlacementHost> makeHosts(std::size_t count)
{
    std::vector<PlacementHost> hosts(count);
    for (std::size_t i = 0; i < count; ++i) {
        hosts[i].id = { i + 1 };
        hosts[i].zone = { static_cast<std::uint16_t>(1 + i % 2) };
        hosts[i].capacity = 100;
        hosts[i].ownFlows = 10;
    }
    return hosts;
}

PlacementRequest makeRequest(Preference prefer)
{
    PlacementRequest request;
    request.key = { 5 };
    request.localZone = { 1 };
    request.prefer = prefer;
    request.allowSpill = true;
    request.now = now;
    return request;
}

// Guards the two preferences: with both, flows stay in the local zone at equal load; with FlowContinuity, also if the
// local load is up to 3 % higher; with neither, if it is higher still or the zone is full. Entries that don't allow
// spilling always stay local.
TEST(Placement, SpillsByPreference)
{
    const auto spills = [](std::uint32_t localFlows, Preference prefer, bool allowSpill) {
        auto hosts = makeHosts(4);
        for (std::size_t i = 0; i < hosts.size(); ++i) {
            hosts[i].capacity = 1000;
            hosts[i].ownFlows = i % 2 == 0 ? localFlows : 499;
        }
        auto request = makeRequest(prefer);
        request.allowSpill = allowSpill;
        return placeFlow(hosts, request)->spilled;
    };
    EXPECT_FALSE(spills(499, Preference::EvenLoad, true));
    EXPECT_FALSE(spills(509, Preference::FlowContinuity, true));
    EXPECT_TRUE(spills(509, Preference::EvenLoad, true));
    EXPECT_TRUE(spills(519, Preference::FlowContinuity, true));
    EXPECT_FALSE(spills(519, Preference::FlowContinuity, false));
    EXPECT_FALSE(spills(519, Preference::EvenLoad, false));
}

// Guards draining, leaving and unusable hosts against new flows (design G6).
TEST(Placement, SkipsHostsThatTakeNothingNew)
{
    auto hosts = makeHosts(4);
    hosts[0].ownFlows = hosts[1].ownFlows = hosts[2].ownFlows = 0;
    hosts[0].state = UpstreamState::Draining;
    hosts[1].state = UpstreamState::Leaving;
    hosts[2].usable = false;
    EXPECT_EQ(placeFlow(hosts, makeRequest(Preference::EvenLoad))->host, 3U);
    hosts[3].usable = false;
    EXPECT_TRUE(placeFlow(hosts, makeRequest(Preference::EvenLoad)));
    hosts[2].state = hosts[3].state = UpstreamState::Draining;
    EXPECT_EQ(placeFlow(hosts, makeRequest(Preference::EvenLoad)).lastReason(), PlacementFailure::NoUpstream);
}

// Guards slow start: hosts that have just started must not be overloaded.
TEST(Placement, ColdHostRampsUp)
{
    auto hosts = makeHosts(2);
    auto request = makeRequest(Preference::EvenLoad);
    request.slowStart = seconds(100);
    hosts[1].ownFlows = 2;
    hosts[1].activeSince = now;
    EXPECT_EQ(placeFlow(hosts, request)->host, 0U);
    request.now = now + seconds(50);
    EXPECT_EQ(placeFlow(hosts, request)->host, 1U);
}

// Guards the bounds on reports: a host that reports no load gets at most a fifth more flows than the others, and
// reports that are too old are ignored.
TEST(Placement, ReportsCorrectWithinBounds)
{
    auto hosts = makeHosts(4);
    for (PlacementHost &host : hosts) {
        host.ownFlows = 50;
    }
    for (int age = 40; age >= 0; --age) {
        for (PlacementHost &host : hosts) {
            host.report = { host.id, {}, host.id.value == 2 ? 0.0 : 0.5, true, now - seconds(age) };
        }
        updateWorkPerFlow(hosts, now - seconds(age));
    }
    hosts[1].ownFlows = 58;
    EXPECT_EQ(placeFlow(hosts, makeRequest(Preference::EvenLoad))->host, 1U);
    hosts[1].ownFlows = 62;
    EXPECT_NE(placeFlow(hosts, makeRequest(Preference::EvenLoad))->host, 1U);
    hosts[1].ownFlows = 51;
    auto request = makeRequest(Preference::EvenLoad);
    request.now = now + seconds(10);
    EXPECT_NE(placeFlow(hosts, request)->host, 1U);
}

// Guards against a herd effect: between two reports, each placement must raise the estimated load of the chosen host,
// whatever load that host reported.
TEST(Placement, OwnFlowsCountBetweenReports)
{
    auto hosts = makeHosts(4);
    for (PlacementHost &host : hosts) {
        host.ownFlows = 50;
        host.report = { host.id, {}, host.id.value == 2 ? 0.45 : 0.5, true, now };
    }
    updateWorkPerFlow(hosts, now);
    for (std::uint64_t key = 0; key < 100; ++key) {
        auto request = makeRequest(Preference::EvenLoad);
        request.key = { key };
        ++hosts[placeFlow(hosts, request)->host].ownFlows;
    }
    EXPECT_LE(hosts[1].ownFlows, 78U);
}

// Guards the incremental ranking and the zone owners, with a full ranking by sorting as reference.
TEST(OwnerTable, AgreesWithSorting)
{
    std::vector<OwnerCandidate> vms;
    for (std::uint64_t id = 1; id <= 12; ++id) {
        vms.push_back({ { id * 7 }, { static_cast<std::uint16_t>(1 + id % 3) } });
    }
    const OwnerTable first(vms, nullptr);
    vms.erase(vms.begin() + 4);
    vms[2].zone = { 4 };
    vms.push_back({ { 1000 }, { 2 } });
    const OwnerTable second(vms, &first);
    std::ranges::sort(vms, {}, &OwnerCandidate::id);
    for (std::uint32_t bucket = 0; bucket < OwnerTable::bucketCount; bucket += 37) {
        auto ranked = vms;
        std::ranges::sort(
            ranked, std::greater {}, [&](const OwnerCandidate &vm) { return rendezvousScore(bucket, vm.id.value); });
        ASSERT_EQ(second.primary(bucket), ranked[0].id);
        ASSERT_EQ(second.secondary(bucket), ranked[1].id);
        ASSERT_EQ(second.third(bucket), ranked[2].id);
        for (const ZoneId zone : second.zones()) {
            const auto owner = std::find_if(
                ranked.begin() + 2, ranked.end(), [&](const OwnerCandidate &vm) { return vm.zone == zone; });
            ASSERT_EQ(second.zoneOwner(bucket, zone), owner == ranked.end() ? VmId {} : owner->id);
        }
    }
}

// Guards weights: each node gets a fraction of the keys proportional to its weight, and removing a node moves only its
// own keys.
TEST(Rendezvous, SharesFollowWeights)
{
    std::vector<RendezvousNode> nodes { { 1, 1 }, { 2, 2 }, { 3, 0 }, { 4, 1 } };
    std::vector<int> counts(nodes.size());
    for (std::uint64_t key = 0; key < 40'000; ++key) {
        const std::size_t before = *rendezvousPick(mix64(key), nodes);
        ++counts[before];
        const std::size_t after = *rendezvousPick(mix64(key), std::span(nodes).first(3));
        ASSERT_TRUE(before == after || before == 3);
    }
    EXPECT_NEAR(counts[0], 10'000, 400);
    EXPECT_NEAR(counts[1], 20'000, 400);
    EXPECT_EQ(counts[2], 0);
    EXPECT_FALSE(rendezvousPick(1, std::span<const RendezvousNode> {}));
}

} // namespace
} // namespace boragelug
