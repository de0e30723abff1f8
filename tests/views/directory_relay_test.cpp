#include "directory_relay_fixture.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using namespace relay;

class DirectoryFollowTest : public ::testing::Test
{
protected:
    DirectoryFollowTest()
        : vm(plainVm)
    {
        vm.list({ catalogue(1, 1), host(1, 2) }, 2, now);
    }

    std::size_t listedHosts()
    {
        std::size_t listed = 0;
        for (const DirectoryUpstream &upstream : vm.mirror.publish()->upstreams) {
            listed += upstream.listing == Listing::Listed ? 1 : 0;
        }
        return listed;
    }

    Vm vm;
    TimePoint now { 100s };
};

// Guards the directory from calls of all VMs: a VM with relays follows one of them instead.
TEST_F(DirectoryFollowTest, FollowsARelay)
{
    const auto outcome = vm.answer(DirectoryCall::Kind::Follow, changes({ host(2, 3) }, 3), now);
    EXPECT_EQ(outcome.followedRelay, firstRelay);
    EXPECT_EQ(listedHosts(), 2U);
    EXPECT_TRUE(vm.reader.isFresh(now));
    const auto next = vm.reader.nextCall(now);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->after, DirectoryRevision { 3 });
}

// Guards the bound for changes when a relay dies: the VM reads the directory itself at once, and later follows another
// relay.
TEST_F(DirectoryFollowTest, ReadsTheDirectoryWhenARelayFails)
{
    const auto outcome =
        vm.answer(DirectoryCall::Kind::Follow, DirectoryFailure { DirectoryError::TimedOut, "silent" }, now);
    EXPECT_EQ(outcome.failedRelay, firstRelay);
    EXPECT_FALSE(outcome.failure);
    vm.answer(DirectoryCall::Kind::Watch, changes({}, 2), now);
    now += 4s;
    const auto next = vm.reader.nextCall(now);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->kind, DirectoryCall::Kind::Follow);
    EXPECT_EQ(next->relay, secondRelay);
}

// Guards the bound for changes when a relay answers but can't reach the directory.
TEST_F(DirectoryFollowTest, ReadsTheDirectoryWhenARelayIsTooStale)
{
    const Duration tooStale = FollowSettings {}.maxStaleness + 1ms;
    EXPECT_EQ(vm.answer(DirectoryCall::Kind::Follow, changes({}, 2, tooStale), now).failedRelay, firstRelay);
    EXPECT_EQ(vm.reader.nextCall(now)->kind, DirectoryCall::Kind::Watch);
}

// Guards against a chain of relays that makes stale records look fresh: staleness counts from the VM that read them.
TEST_F(DirectoryFollowTest, CountsTheStalenessOfTheRelay)
{
    vm.answer(DirectoryCall::Kind::Follow, changes({}, 2, 1s), now);
    EXPECT_EQ(vm.reader.staleness(now + 100ms), 100ms);
    now += 2s;
    vm.answer(DirectoryCall::Kind::Follow, changes({}, 2, 1s), now);
    EXPECT_EQ(vm.reader.staleness(now), 1s);
}

// Guards against a loop of VMs that refer a follower to each other.
TEST_F(DirectoryFollowTest, AbandonsARelayAfterMaxHops)
{
    DirectoryChanges elsewhere;
    elsewhere.elsewhere = Endpoint { .address = { 50 }, .port = { 80 } };
    for (std::uint32_t i = 0; i < FollowSettings {}.maxHops; ++i) {
        EXPECT_FALSE(vm.answer(DirectoryCall::Kind::Follow, elsewhere, now).failedRelay);
    }
    EXPECT_TRUE(vm.answer(DirectoryCall::Kind::Follow, elsewhere, now).failedRelay);
    EXPECT_EQ(vm.reader.nextCall(now)->kind, DirectoryCall::Kind::Watch);
}

/// A VM that has no records yet.
class DirectoryAdoptTest : public ::testing::Test
{
protected:
    DirectoryAdoptTest()
        : started(plainVm)
    { }

    bool adopt(const DirectoryChanges &records)
    {
        return started.reader.adoptRecords(
            secondRelay, records, DirectoryReader::Acceptance::AlsoStale, now, started.random);
    }

    Vm started;
    TimePoint now { 100s };
};

// Guards the directory from listings of all VMs that start: the records of a relay replace a listing, also one in
// progress.
TEST_F(DirectoryAdoptTest, TakesTheRecordsOfARelayInPlaceOfAListing)
{
    const auto listing = started.reader.nextCall(now);
    ASSERT_TRUE(listing && listing->kind == DirectoryCall::Kind::List);
    EXPECT_TRUE(adopt(changes({ catalogue(1, 1), host(1, 2) }, 2)));
    EXPECT_TRUE(started.reader.isComplete());
    EXPECT_FALSE(started.reader.callInProgress());
    now += FollowSettings {}.followWait;
    const auto next = started.reader.nextCall(now);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->kind, DirectoryCall::Kind::Follow);
    EXPECT_EQ(next->after, DirectoryRevision { 2 });
}

// Guards callers of a VM that starts while the directory is unreachable: it gets old records from a relay, but not
// before its own listing failed or took too long, since it could serve what has been removed meanwhile.
TEST_F(DirectoryAdoptTest, TakesStaleRecordsOnlyIfTheListingFails)
{
    const DirectoryChanges stale = changes({ catalogue(1, 1), host(1, 2) }, 2, 10s);
    EXPECT_FALSE(adopt(stale));
    started.answer(DirectoryCall::Kind::List, DirectoryFailure { DirectoryError::Unreachable, "refused" }, now);
    EXPECT_FALSE(adopt(changes({ catalogue(1, 1) }, 2, 31s))) << "too stale in any case";
    EXPECT_TRUE(adopt(stale));
    EXPECT_TRUE(started.reader.isComplete());
    EXPECT_EQ(started.mirror.publish()->upstreams.size(), 1U);
    // The relay's records are too stale to count as fresh.
    EXPECT_FALSE(started.reader.isFresh(now));
}

// The same while the directory doesn't answer at all.
TEST_F(DirectoryAdoptTest, TakesStaleRecordsIfTheListingIsSlow)
{
    ASSERT_TRUE(started.reader.nextCall(now));
    const DirectoryChanges stale = changes({ catalogue(1, 1), host(1, 2) }, 2, 10s);
    now += FollowSettings {}.firstListTimeout - 1ms;
    EXPECT_FALSE(adopt(stale));
    now += 1ms;
    EXPECT_TRUE(adopt(stale));
}

// Guards against hosts that left while the VM was listing: pages that arrived before the relay's records must not bring
// them back, and a host that appeared in between must not be lost.
TEST_F(DirectoryAdoptTest, ReplacesThePagesOfAListingInProgress)
{
    DirectoryPage first {
        .items = { catalogue(1, 1), host(1, 2), host(2, 9) }, .more = true, .lastKey = "hosts/2", .asOf = { 3 }
    };
    started.answer(DirectoryCall::Kind::List, first, now);
    EXPECT_TRUE(adopt(changes({ catalogue(1, 1), host(3, 4) }, 5)));
    std::map<std::uint64_t, Listing> listings;
    for (const DirectoryUpstream &upstream : started.mirror.publish()->upstreams) {
        listings[upstream.upstream.id.value] = upstream.listing;
    }
    const std::map<std::uint64_t, Listing> expected { { 3, Listing::Listed } };
    EXPECT_EQ(listings, expected);
    now += FollowSettings {}.followWait;
    const auto next = started.reader.nextCall(now);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->after, DirectoryRevision { 5 }) << "host 2 has revision 9";
}

// Guards the directory from listings of all VMs that start: a VM with relays asks them first, unless they fail. Relays
// themselves list at once, as the others wait for them.
TEST(DirectoryStartTest, GivesRelaysAHeadStart)
{
    const TimePoint now { 100s };
    ReaderSettings settings = Vm::readerSettings(plainVm);
    settings.follow.relayHeadStart = 100ms;
    DirectoryMirror mirror({ "kgd-north" });
    DirectoryReader patient(mirror, settings);
    EXPECT_FALSE(patient.nextCall(now));
    EXPECT_FALSE(patient.nextCall(now + 99ms));
    EXPECT_TRUE(patient.nextCall(now + 100ms));
    DirectoryReader withoutRelays(mirror, settings);
    EXPECT_FALSE(withoutRelays.nextCall(now));
    withoutRelays.listAtOnce(now);
    EXPECT_TRUE(withoutRelays.nextCall(now));
    settings.follow.self = firstRelay;
    DirectoryReader relay(mirror, settings);
    EXPECT_TRUE(relay.nextCall(now));
}

/// Number of VMs of 1,000 that abandon a listing which got @p fraction of their link's bandwidth.
std::size_t abandonedAt(double fraction)
{
    constexpr double bandwidth = 2'500'000;
    std::size_t abandoned = 0;
    for (std::uint64_t vm = 0; vm < 1000; ++vm) {
        Random random(vm);
        DirectoryMirror mirror({ "kgd-north" });
        ReaderSettings settings = Vm::readerSettings(plainVm);
        settings.listing.linkBandwidth = bandwidth;
        DirectoryReader reader(mirror, settings);
        const TimePoint start { 100s };
        EXPECT_TRUE(reader.nextCall(start));
        const TimePoint now = *reader.listingCheckAt();
        const std::chrono::duration<double> elapsed = now - start;
        const auto bytes = static_cast<std::size_t>(fraction * bandwidth * elapsed.count());
        if (reader.abandonsListing(bytes, now, random)) {
            ++abandoned;
            EXPECT_FALSE(reader.listingCheckAt());
            EXPECT_GT(*reader.nextCallAt(), now);
        }
    }
    return abandoned;
}

// Guards the start of a large fleet: where all VMs list at once, each gets a small part of the directory's bandwidth,
// and none would complete soon. Nearly all must abandon their listings; where each gets nearly enough, only some.
TEST(ListingProgress, AbandonsSlowListings)
{
    EXPECT_GT(abandonedAt(0.1), 900U);
    EXPECT_GT(abandonedAt(0.4), 300U);
    EXPECT_LT(abandonedAt(0.4), 700U);
    EXPECT_EQ(abandonedAt(0.6), 0U);
}

// Guards VMs that start while the directory is slow: an answer that has not begun says nothing about bandwidth.
TEST(ListingProgress, WaitsForTheFirstByte)
{
    Random random(1);
    DirectoryMirror mirror({ "kgd-north" });
    ReaderSettings settings = Vm::readerSettings(plainVm);
    settings.listing.linkBandwidth = 2'500'000;
    DirectoryReader reader(mirror, settings);
    ASSERT_TRUE(reader.nextCall(TimePoint { 100s }));
    for (int i = 0; i < 4; ++i) {
        EXPECT_FALSE(reader.abandonsListing(0, *reader.listingCheckAt(), random));
    }
    EXPECT_FALSE(reader.abandonsListing(200'000, *reader.listingCheckAt(), random));
}

// Guards small fleets, whose VMs use their links fully, and relays, on which the others wait.
TEST(ListingProgress, KeepsFastListingsAndThoseOfRelays)
{
    Random random(1);
    for (const bool isRelay : { false, true }) {
        DirectoryMirror mirror({ "kgd-north" });
        ReaderSettings settings = Vm::readerSettings(isRelay ? firstRelay : plainVm);
        settings.listing.linkBandwidth = 2'500'000;
        DirectoryReader reader(mirror, settings);
        ASSERT_TRUE(reader.nextCall(TimePoint { 100s }));
        EXPECT_EQ(reader.listingCheckAt().has_value(), !isRelay);
        if (!isRelay) {
            EXPECT_FALSE(reader.abandonsListing(200'000, *reader.listingCheckAt(), random));
            EXPECT_TRUE(reader.callInProgress());
        }
    }
}

// Guards the catalogue of a VM that missed the version from which a relay's changes start: they are refused as a whole,
// and the VM reads the directory.
TEST_F(DirectoryFollowTest, RefusesChangesOfAnotherCatalogueVersion)
{
    CatalogueDelta delta;
    delta.base = CatalogueVersion { 2 };
    delta.version = CatalogueVersion { 3 };
    const DirectoryItem item { .key = "catalogue", .revision = { 5 }, .content = delta };
    EXPECT_TRUE(vm.answer(DirectoryCall::Kind::Follow, changes({ item, host(2, 4) }, 5), now).failedRelay);
    EXPECT_EQ(vm.mirror.catalogueVersion(), CatalogueVersion { 1 });
    EXPECT_EQ(vm.reader.syncedRevision(), DirectoryRevision { 2 });
    EXPECT_EQ(vm.reader.nextCall(now)->kind, DirectoryCall::Kind::Watch);
}

// Guards the first VM of each chain of followers: a relay reads the directory itself, and while it has followers, it
// asks for up-to-date answers only.
TEST_F(DirectoryFollowTest, RelaysReadTheDirectory)
{
    Vm relay(firstRelay);
    relay.list({ catalogue(1, 1) }, 1, now);
    const auto staleRead = relay.reader.nextCall(now);
    ASSERT_TRUE(staleRead);
    EXPECT_EQ(staleRead->kind, DirectoryCall::Kind::Watch);
    EXPECT_TRUE(staleRead->mayBeStale);
    relay.reader.handleAnswer({ .callId = staleRead->id, .result = changes({}, 1) }, now, relay.random);
    relay.reader.setHasFollowers(true);
    EXPECT_FALSE(relay.reader.nextCall(now)->mayBeStale);
    EXPECT_EQ(relay.reader.overflowRelays(), std::vector { secondRelay });
}

class DirectoryRelayTest : public ::testing::Test
{
protected:
    DirectoryRelayTest()
        : vm(firstRelay, RelaySettings { .maxFollowers = 2 })
    {
        vm.reader.setHasFollowers(true);
        vm.list({ catalogue(1, 1), host(1, 2) }, 2, now);
    }

    void ask(std::uint64_t follower, std::uint64_t after)
    {
        const Endpoint listening { .address = { static_cast<std::uint32_t>(1000 + follower) }, .port = { 80 } };
        vm.relay.handleRequest(
            FollowerId { follower },
            { .after = { after }, .catalogue = {}, .wait = 500ms, .listening = listening, .zone = "kgd-north" },
            now);
    }

    std::vector<RelayAnswer> answers() { return vm.relay.takeAnswers(now, vm.random); }

    void watch(std::vector<DirectoryItem> items, std::uint64_t asOf)
    {
        now += 1s;
        vm.answer(DirectoryCall::Kind::Watch, changes(std::move(items), asOf), now);
    }

    Vm vm;
    TimePoint now { 100s };
};

// Guards against an upstream that left while a relay was restarted: the relay never had its record, and so knows of no
// removal, but a follower that was cut off from the directory meanwhile still has it.
TEST_F(DirectoryFollowTest, LosesWhatARestartedRelayNoLongerHas)
{
    vm.answer(DirectoryCall::Kind::Follow, changes({ host(2, 3), host(3, 4) }, 4), now);
    ASSERT_EQ(listedHosts(), 3U);
    Vm restarted(firstRelay);
    restarted.list({ catalogue(1, 1), host(1, 2), host(4, 8) }, 9, now);

    const auto call = vm.reader.nextCall(now);
    ASSERT_TRUE(call);
    FollowRequest request {
        .after = call->after, .catalogue = call->catalogue, .wait = 0ms, .listening = plainVm, .zone = "kgd-north"
    };
    restarted.relay.handleRequest(FollowerId { 1 }, request, now);
    const auto answers = restarted.relay.takeAnswers(now, restarted.random);
    ASSERT_EQ(answers.size(), 1U);
    vm.reader.handleAnswer({ .callId = call->id, .result = wholeAnswer(answers.front()) }, now, vm.random);

    EXPECT_EQ(listedHosts(), 2U) << "hosts 1 and 4";
    const auto next = vm.reader.nextCall(now);
    ASSERT_TRUE(next);
    EXPECT_EQ(next->after, DirectoryRevision { 9 });

    // From then on, the relay knows all changes after the follower's revision.
    request.after = next->after;
    restarted.relay.handleRequest(FollowerId { 1 }, request, now);
    const auto unchanged = restarted.relay.takeAnswers(now, restarted.random);
    ASSERT_EQ(unchanged.size(), 1U);
    EXPECT_FALSE(unchanged.front().records);
    EXPECT_FALSE(unchanged.front().changes.complete);
}

// Guards the bound for changes: a follower's long poll is answered as soon as there is a change, removals included.
TEST_F(DirectoryRelayTest, SendsChangesAtOnce)
{
    ask(1, 2);
    EXPECT_TRUE(answers().empty());
    watch({ host(2, 3), removed(1, 4) }, 4);
    ask(1, 2);
    const auto dueAnswers = answers();
    ASSERT_EQ(dueAnswers.size(), 1U);
    EXPECT_EQ(dueAnswers.front().records->size(), 2U);
    EXPECT_EQ(dueAnswers.front().changes.asOf, DirectoryRevision { 4 });
    EXPECT_EQ(dueAnswers.front().changes.age, 0ms);
}

// Guards the bytes between VMs: followers get the changed entries of a catalogue, and share the records they have in
// common.
TEST_F(DirectoryRelayTest, SendsChangesOfTheCatalogueAndSharesThem)
{
    watch({ catalogue(2, 3) }, 3);
    for (std::uint32_t id = 1; id <= 2; ++id) {
        vm.relay.handleRequest(FollowerId { id },
                               { .after = { 2 },
                                 .catalogue = { 1 },
                                 .wait = 500ms,
                                 .listening = { .address = { 1000 + id }, .port = { 80 } },
                                 .zone = "kgd-north" },
                               now);
    }
    const auto dueAnswers = answers();
    ASSERT_EQ(dueAnswers.size(), 2U);
    ASSERT_TRUE(std::holds_alternative<CatalogueDelta>(dueAnswers.front().records->front().content));
    EXPECT_EQ(std::get<CatalogueDelta>(dueAnswers.front().records->front().content).base, CatalogueVersion { 1 });
    EXPECT_EQ(dueAnswers[0].records, dueAnswers[1].records);
}

// Guards followers of a relay that has no changes: at the end of the wait, an empty answer reports its staleness.
TEST_F(DirectoryRelayTest, AnswersWhenTheWaitIsOver)
{
    ask(1, 2);
    now += 499ms;
    EXPECT_TRUE(answers().empty());
    now += 1ms;
    const auto dueAnswers = answers();
    ASSERT_EQ(dueAnswers.size(), 1U);
    EXPECT_FALSE(dueAnswers.front().records);
    EXPECT_EQ(dueAnswers.front().changes.age, 500ms);
}

/// A relay that learns slow upstreams. Followers ask every half second.
class SlowListTest : public DirectoryRelayTest
{
protected:
    void learn(std::vector<SlowUpstream> slow)
    {
        vm.relay.setSlowUpstreams(std::make_shared<const std::vector<SlowUpstream>>(std::move(slow)));
    }

    /// The list in the next answer to @p follower; null if there is none.
    SharedSlowUpstreams listFor(std::uint64_t follower)
    {
        now += 500ms;
        vm.relay.handleRequest(
            FollowerId { follower },
            { .after = { 2 },
              .catalogue = { 1 },
              .wait = 0ms,
              .listening = { .address = { static_cast<std::uint32_t>(1000 + follower) }, .port = { 80 } },
              .zone = {} },
            now);
        const auto dueAnswers = answers();
        EXPECT_EQ(dueAnswers.size(), 1U);
        return dueAnswers.empty() ? nullptr : dueAnswers.front().changes.slowUpstreams;
    }
};

// Guards the bytes between VMs: a list is sent again only if it changed, but before the follower's copy expires.
TEST_F(SlowListTest, SendsAListOnceUntilItsRefresh)
{
    const std::vector<SlowUpstream> slow { { FlowTag { 1 }, 5 }, { FlowTag { 2 }, 2 } };
    learn(slow);
    ASSERT_TRUE(listFor(1));
    for (int refresh = 0; refresh < 3; ++refresh) {
        for (int i = 0; i < 2; ++i) {
            learn(slow);
            EXPECT_FALSE(listFor(1)) << "the same list";
        }
        const auto list = listFor(1);
        ASSERT_TRUE(list) << "refresh " << refresh;
        EXPECT_EQ(*list, slow);
    }
}

// Guards followers from upstreams that became slow, or fast again, since the last answer.
TEST_F(SlowListTest, SendsAChangedListAtOnce)
{
    learn({});
    ASSERT_TRUE(listFor(1)) << "followers must not use what they observed themselves";
    for (const double slowness : { 2.0, 2.25, 5.0 }) {
        learn({ { FlowTag { 1 }, slowness } });
        const auto list = listFor(1);
        ASSERT_TRUE(list);
        EXPECT_EQ(*list, (std::vector<SlowUpstream> { { FlowTag { 1 }, slowness } }));
        EXPECT_FALSE(listFor(1));
    }
    learn({});
    const auto cleared = listFor(1);
    ASSERT_TRUE(cleared);
    EXPECT_TRUE(cleared->empty());
    EXPECT_FALSE(listFor(1));
}

// Guards followers that are new, or lost their connection and with it maybe the last answer.
TEST_F(SlowListTest, SendsTheListToEachNewConnection)
{
    learn({ { FlowTag { 1 }, 5 } });
    EXPECT_TRUE(listFor(1));
    EXPECT_TRUE(listFor(2));
    vm.relay.handleDisconnect(FollowerId { 1 });
    EXPECT_TRUE(listFor(1)) << "before its refresh";
    EXPECT_FALSE(listFor(2));
}

// Guards followers from a relay that takes a list for sent although its answer was put off.
TEST_F(SlowListTest, KeepsTheListWhileARequestWaits)
{
    learn({ { FlowTag { 1 }, 5 } });
    ask(1, 2);
    watch({}, 3);
    now -= 1s;
    EXPECT_TRUE(answers().empty());
    now += 500ms;
    const auto dueAnswers = answers();
    ASSERT_EQ(dueAnswers.size(), 1U);
    EXPECT_TRUE(dueAnswers.front().changes.slowUpstreams);
}

// Guards VMs whose relay learns no speeds: they use their own observations.
TEST_F(SlowListTest, SendsNoListIfItLearnsNone)
{
    EXPECT_FALSE(listFor(1));
}

// Guards a VM that starts while the directory is unreachable: a relay whose last call failed still reports how stale
// its records are.
TEST_F(DirectoryRelayTest, ReportsItsStalenessWhenTheDirectoryIsUnreachable)
{
    now += 2s;
    vm.answer(DirectoryCall::Kind::Watch, DirectoryFailure { DirectoryError::Unreachable, "refused" }, now);
    ask(1, 0);
    const auto dueAnswers = answers();
    ASSERT_EQ(dueAnswers.size(), 1U);
    EXPECT_EQ(dueAnswers.front().records->size(), 2U);
    EXPECT_EQ(dueAnswers.front().changes.age, 2s);
}

// Guards a relay against the load of the whole fleet: at its limit of followers, it refers further VMs to the next
// relay, and the last relay refers them to one of its followers.
TEST_F(DirectoryRelayTest, RefersVmsBeyondItsFollowerLimit)
{
    ask(1, 1);
    ask(2, 1);
    EXPECT_EQ(answers().size(), 2U);
    ask(3, 1);
    EXPECT_EQ(answers().front().changes.elsewhere, secondRelay);
    Vm last(secondRelay, RelaySettings { .maxFollowers = 1 });
    last.list({ catalogue(1, 1) }, 1, now);
    const Endpoint known { .address = { 1001 }, .port = { 80 } };
    last.relay.handleRequest(FollowerId { 1 },
                             { .after = {}, .catalogue = {}, .wait = 500ms, .listening = known, .zone = "kgd-north" },
                             now);
    last.relay.takeAnswers(now, last.random);
    last.relay.handleRequest(FollowerId { 2 },
                             { .after = {}, .catalogue = {}, .wait = 500ms, .listening = plainVm, .zone = "kgd-north" },
                             now);
    EXPECT_EQ(last.relay.takeAnswers(now, last.random).front().changes.elsewhere, known);
}

// Guards the start of a whole fleet, when all relays are at their limit: VMs without records are referred to followers,
// which pass the records on as soon as they have them, and to those of their own zone.
TEST_F(DirectoryRelayTest, RefersVmsWithoutRecordsToFollowersOfTheirZone)
{
    const Endpoint north { .address = { 1001 }, .port = { 80 } };
    const Endpoint south { .address = { 1002 }, .port = { 80 } };
    const auto askFrom = [&](std::uint64_t follower, const Endpoint &listening, const std::string &zone) {
        vm.relay.handleRequest(FollowerId { follower },
                               { .after = {}, .catalogue = {}, .wait = 500ms, .listening = listening, .zone = zone },
                               now);
        return answers();
    };
    askFrom(1, north, "kgd-north");
    askFrom(2, south, "kgd-south");
    for (int i = 0; i < 10; ++i) {
        EXPECT_EQ(askFrom(3, plainVm, "kgd-south").front().changes.elsewhere, south);
        EXPECT_EQ(askFrom(4, plainVm, "kgd-north").front().changes.elsewhere, north);
        EXPECT_TRUE(askFrom(5, plainVm, "temirtau").front().changes.elsewhere);
    }
}

// Guards VMs that ask a relay which is starting itself: it holds the request until it has all records, also if the
// first page of its listing arrives meanwhile.
TEST_F(DirectoryRelayTest, HoldsRequestsUntilItHasAllRecords)
{
    Vm starting(firstRelay);
    const Endpoint listening { .address = { 1001 }, .port = { 80 } };
    starting.relay.handleRequest(
        FollowerId { 1 },
        { .after = {}, .catalogue = {}, .wait = 600ms, .listening = listening, .zone = "kgd-north" },
        now);
    EXPECT_TRUE(starting.relay.takeAnswers(now, starting.random).empty());
    starting.answer(DirectoryCall::Kind::List,
                    DirectoryPage { .items = { catalogue(1, 1) }, .more = true, .lastKey = "a", .asOf = { 3 } },
                    now);
    EXPECT_TRUE(starting.relay.takeAnswers(now, starting.random).empty());
    starting.list({ host(1, 2) }, 3, now);
    const auto due = starting.relay.takeAnswers(now, starting.random);
    ASSERT_EQ(due.size(), 1U);
    EXPECT_EQ(due.front().records->size(), 2U);
}

// Guards draining hosts and removals when the directory discarded the history that a relay's watch needs: the relay
// finds a removal by a full listing, and followers that have the record's last revision must receive it too.
TEST_F(DirectoryRelayTest, SendsRemovalsFoundByAListing)
{
    vm.answer(DirectoryCall::Kind::Watch, DirectoryFailure { DirectoryError::HistoryLost, "gone" }, now);
    vm.list({ catalogue(1, 1) }, 9, now);
    ask(1, 2);
    const auto dueAnswers = answers();
    ASSERT_EQ(dueAnswers.size(), 1U);
    ASSERT_EQ(dueAnswers.front().records->size(), 1U);
    EXPECT_TRUE(std::holds_alternative<RemovedRecord>(dueAnswers.front().records->front().content));
    EXPECT_EQ(dueAnswers.front().records->front().revision, DirectoryRevision { 9 });
}

// Guards hosts whose records lapsed while the directory was unreachable: followers that could always reach their relay
// must be notified of the outage.
TEST_F(DirectoryRelayTest, ReportsOutages)
{
    for (int i = 0; i < 2; ++i) {
        now += 1s;
        vm.answer(DirectoryCall::Kind::Watch, DirectoryFailure { DirectoryError::Unreachable, "refused" }, now);
    }
    watch({ removed(1, 3) }, 3);
    ask(1, 2);
    const auto dueAnswers = answers();
    ASSERT_EQ(dueAnswers.size(), 1U);
    EXPECT_EQ(dueAnswers.front().changes.sinceOutage, 0ms);
    Vm follower(plainVm);
    follower.list({ catalogue(1, 1), host(1, 2) }, 2, now);
    follower.answer(DirectoryCall::Kind::Follow, wholeAnswer(dueAnswers.front()), now);
    EXPECT_EQ(follower.mirror.publish()->upstreams.front().listing, Listing::Lapsed);
}

// Guards equality of views: VMs in a chain of followers have the same records as the VM that reads the directory, after
// any changes.
class DirectoryRelayFleetTest : public ::testing::TestWithParam<std::uint64_t>
{ };

TEST_P(DirectoryRelayFleetTest, FollowersHaveTheRecordsOfTheDirectory)
{
    Random random(GetParam());
    TimePoint now { 100s };
    std::deque<std::unique_ptr<Vm>> chain;
    chain.push_back(std::make_unique<Vm>(firstRelay));
    for (std::uint32_t i = 0; i < 3; ++i) {
        chain.push_back(std::make_unique<Vm>(Endpoint { .address = { 20 + i }, .port = { 80 } }));
    }
    for (const auto &vm : chain) {
        vm->list({ catalogue(1, 1) }, 1, now);
    }
    std::uint64_t revision = 1;
    std::map<std::uint64_t, UpstreamState> hosts;
    for (int step = 0; step < 300; ++step) {
        now += 600ms;
        std::vector<DirectoryItem> items;
        for (std::uint64_t n = random.below(3); n > 0; --n) {
            const std::uint64_t id = 1 + random.below(8);
            if (random.below(3) == 0 && hosts.erase(id) > 0) {
                items.push_back(removed(id, ++revision));
            } else {
                const auto state = random.below(2) == 0 ? UpstreamState::Active : UpstreamState::Draining;
                hosts[id] = state;
                items.push_back(host(id, ++revision, state));
            }
        }
        chain.front()->answer(DirectoryCall::Kind::Watch, changes(items, revision), now);
        for (std::size_t i = 1; i < chain.size(); ++i) {
            Vm &above = *chain[i - 1];
            const auto call = chain[i]->reader.nextCall(now);
            ASSERT_TRUE(call && call->kind == DirectoryCall::Kind::Follow);
            above.relay.handleRequest(FollowerId { i },
                                      { .after = call->after,
                                        .catalogue = call->catalogue,
                                        .wait = 0ms,
                                        .listening = plainVm,
                                        .zone = "kgd-north" },
                                      now);
            for (const RelayAnswer &relayAnswer : above.relay.takeAnswers(now, random)) {
                chain[i]->reader.handleAnswer({ .callId = call->id, .result = wholeAnswer(relayAnswer) }, now, random);
            }
        }
    }
    for (const auto &vm : chain) {
        std::map<std::uint64_t, UpstreamState> known;
        for (const DirectoryUpstream &upstream : vm->mirror.publish()->upstreams) {
            if (upstream.listing == Listing::Listed) {
                known[upstream.upstream.id.value] = upstream.upstream.state;
            }
        }
        EXPECT_EQ(known, hosts);
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DirectoryRelayFleetTest, ::testing::Range<std::uint64_t>(1, 21));

} // namespace
} // namespace boragelug
