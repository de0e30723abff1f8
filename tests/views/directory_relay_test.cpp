#include "views/directory_relay.h"

#include "directory_records.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <iterator>
#include <map>
#include <memory>
#include <string>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

const Endpoint firstRelay { .address = { 1 }, .port = { 80 } };
const Endpoint secondRelay { .address = { 2 }, .port = { 80 } };
const Endpoint plainVm { .address = { 9 }, .port = { 80 } };

DirectoryItem catalogue(std::uint64_t version, std::uint64_t revision)
{
    CatalogueRecord record;
    record.version = CatalogueVersion { version };
    record.entries = { { .name = EntryName { "entry" },
                         .address = { .address = { 100 }, .port = { 443 } },
                         .services = { { .service = "ledger", .weight = 1 } } } };
    return { .key = "catalogue", .revision = { revision }, .content = record };
}

/// A VM that reads the directory, or follows a relay, and serves followers.
struct Vm
{
    explicit Vm(const Endpoint &self, RelaySettings relaySettings = {}, MirrorSettings mirrorSettings = { "kgd-north" })
        : mirror(std::move(mirrorSettings))
        , reader(mirror, readerSettings(self))
        , relay(mirror, reader, relaySettings)
    { }

    static ReaderSettings readerSettings(const Endpoint &self)
    {
        ReaderSettings settings;
        settings.follow.relays = { firstRelay, secondRelay };
        settings.follow.self = self;
        settings.follow.relayHeadStart = Duration::zero();
        return settings;
    }

    /// Answers the call that is due with @p result; the call's kind must be @p kind.
    ReaderOutcome answer(DirectoryCall::Kind kind, decltype(DirectoryAnswer::result) result, TimePoint now)
    {
        const auto call = reader.nextCall(now);
        EXPECT_TRUE(call);
        if (!call) {
            return {};
        }
        EXPECT_EQ(call->kind, kind);
        return reader.handleAnswer({ .callId = call->id, .result = std::move(result) }, now, random);
    }

    void list(std::vector<DirectoryItem> items, std::uint64_t asOf, TimePoint now)
    {
        answer(DirectoryCall::Kind::List,
               DirectoryPage { .items = std::move(items), .more = false, .lastKey = {}, .asOf = { asOf } },
               now);
    }

    DirectoryMirror mirror;
    DirectoryReader reader;
    DirectoryRelay relay;
    Random random { 1 };
};

DirectoryChanges changes(std::vector<DirectoryItem> items, std::uint64_t asOf, Duration age = 0ms)
{
    DirectoryChanges made;
    made.items = std::move(items);
    made.asOf = DirectoryRevision { asOf };
    made.age = age;
    return made;
}

/// The answer as its follower receives it.
DirectoryChanges wholeAnswer(const RelayAnswer &answer)
{
    DirectoryChanges whole = answer.changes;
    if (answer.records) {
        whole.items = *answer.records;
    }
    return whole;
}

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

/// A directory whose listings have several pages, with changes between them, a relay that reads it and a VM that
/// follows the relay.
class PagesSimulation
{
public:
    explicit PagesSimulation(std::uint64_t seed)
        : random_(seed)
    {
        for (std::uint64_t id = 1; id <= hostCount; ++id) {
            change(id);
        }
        list();
        follow();
    }

    void run()
    {
        for (int step = 0; step < 100; ++step) {
            now_ += 600ms;
            changeSome();
            if (random_.chance(0.3)) {
                relay_.answer(
                    DirectoryCall::Kind::Watch, DirectoryFailure { DirectoryError::HistoryLost, "compacted" }, now_);
                list();
            } else {
                relay_.answer(
                    DirectoryCall::Kind::Watch, changes(since(relay_.reader.syncedRevision()), revision_), now_);
            }
            follow();
        }
    }

    /// Times at which the follower lacked a change up to the revision that it was given.
    std::size_t missing() const { return missing_; }
    std::size_t pages() const { return pages_; }

private:
    static constexpr std::uint64_t hostCount = 12;

    void change(std::uint64_t id)
    {
        const bool isRemoved = random_.chance(0.2);
        const auto state = random_.chance(0.5) ? UpstreamState::Active : UpstreamState::Draining;
        ++revision_;
        history_.push_back(isRemoved ? removed(id, revision_) : host(id, revision_, state));
    }

    void changeSome()
    {
        for (std::uint64_t n = random_.below(3); n > 0; --n) {
            change(1 + random_.below(hostCount));
        }
    }

    std::vector<DirectoryItem> since(DirectoryRevision after) const
    {
        std::vector<DirectoryItem> items;
        std::copy_if(history_.begin(), history_.end(), std::back_inserter(items), [&](const DirectoryItem &item) {
            return item.revision > after;
        });
        return items;
    }

    /// The latest item of each key up to @p revision.
    std::map<std::string, DirectoryItem> stateAt(std::uint64_t revision) const
    {
        std::map<std::string, DirectoryItem> state;
        for (const DirectoryItem &item : history_) {
            if (item.revision.value <= revision) {
                state[item.key] = item;
            }
        }
        return state;
    }

    void list()
    {
        const std::size_t perPage = 1 + hostCount / (1 + random_.below(4));
        std::string after;
        for (bool more = true; more;) {
            if (random_.chance(0.2)) {
                relay_.answer(DirectoryCall::Kind::List, DirectoryFailure { DirectoryError::TimedOut, "late" }, now_);
                now_ += 2s;
            }
            DirectoryPage page { .items = {}, .more = false, .lastKey = {}, .asOf = { revision_ } };
            if (after.empty()) {
                page.items.push_back(catalogue(1, 1));
            }
            for (const auto &[key, item] : stateAt(revision_)) {
                if (key <= after || std::holds_alternative<RemovedRecord>(item.content)) {
                    continue;
                }
                page.more = page.items.size() >= perPage;
                if (page.more) {
                    break;
                }
                page.items.push_back(item);
                page.lastKey = key;
            }
            more = page.more;
            after = page.lastKey;
            relay_.answer(DirectoryCall::Kind::List, page, now_);
            ++pages_;
            follow();
            changeSome();
        }
    }

    void follow()
    {
        relay_.relay.handleRequest(FollowerId { 1 },
                                   { .after = syncedTo_,
                                     .catalogue = follower_.catalogueVersion(),
                                     .wait = 0ms,
                                     .listening = plainVm,
                                     .zone = "kgd-north" },
                                   now_);
        for (const RelayAnswer &answer : relay_.relay.takeAnswers(now_, relay_.random)) {
            const DirectoryChanges records = wholeAnswer(answer);
            if (records.complete) {
                follower_.beginListing(records.asOf);
                follower_.applyPage({ .items = records.items, .more = false, .lastKey = {}, .asOf = records.asOf },
                                    now_);
                follower_.endListing(now_);
            } else {
                follower_.applyChanges(records, now_);
            }
            syncedTo_ = std::max(syncedTo_, records.asOf);
        }
        check();
    }

    // The follower may know later states of a host than those up to its revision, but no earlier ones.
    void check()
    {
        std::map<std::string, UpstreamState> known;
        for (const DirectoryUpstream &upstream : follower_.publish()->upstreams) {
            if (upstream.listing == Listing::Listed) {
                known["hosts/" + std::to_string(upstream.upstream.id.value)] = upstream.upstream.state;
            }
        }
        for (std::uint64_t id = 1; id <= hostCount; ++id) {
            const std::string key = "hosts/" + std::to_string(id);
            bool allowed = false;
            for (std::uint64_t revision = syncedTo_.value; revision <= revision_ && !allowed; ++revision) {
                const auto state = stateAt(revision);
                const auto item = state.find(key);
                const auto *record = item != state.end() ? std::get_if<UpstreamRecord>(&item->second.content) : nullptr;
                const auto found = known.find(key);
                allowed =
                    record == nullptr ? found == known.end() : found != known.end() && found->second == record->state;
            }
            missing_ += allowed ? 0 : 1;
        }
    }

    Random random_;
    TimePoint now_ { 100s };
    std::uint64_t revision_ = 1;
    std::vector<DirectoryItem> history_;
    Vm relay_ { firstRelay };
    DirectoryMirror follower_ { { "kgd-north" } };
    DirectoryRevision syncedTo_;
    std::size_t missing_ = 0;
    std::size_t pages_ = 0;
};

// Guards followers of a relay that lists again in several pages: they must not be given a revision before the relay has
// all records up to it, or they never get those on later pages.
TEST(DirectoryPagesTest, FollowersMissNothingOfAListingInPages)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        PagesSimulation simulation(seed);
        simulation.run();
        EXPECT_EQ(simulation.missing(), 0U) << "seed " << seed;
        EXPECT_GT(simulation.pages(), 40U) << "seed " << seed;
    }
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
