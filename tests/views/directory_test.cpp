#include "directory_records.h"
#include "views/directory_mirror.h"
#include "views/directory_reader.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

DirectoryItem catalogue(std::uint64_t version, std::uint64_t revision, std::size_t entries = 1)
{
    CatalogueRecord record;
    record.version = CatalogueVersion { version };
    for (std::size_t i = 0; i < entries; ++i) {
        const auto address = static_cast<std::uint32_t>(100 + i);
        record.entries.push_back({ .name = EntryName { "entry" },
                                   .address = { .address = { address }, .port = { 443 } },
                                   .services = { { .service = "ledger", .weight = 1 } } });
    }
    return { .key = "catalogue", .revision = { revision }, .content = record };
}

DirectoryPage page(std::vector<DirectoryItem> items, std::uint64_t asOf)
{
    return { .items = std::move(items), .more = false, .lastKey = {}, .asOf = { asOf } };
}

DirectoryChanges changes(std::vector<DirectoryItem> items, std::uint64_t asOf)
{
    return { .items = std::move(items), .asOf = { asOf } };
}

class DirectoryMirrorTest : public ::testing::Test
{
protected:
    DirectoryMirrorTest()
        : mirror({ .zone = "kgd-north" })
    { }

    void list(const DirectoryPage &listed)
    {
        mirror.beginListing(listed.asOf);
        mirror.applyPage(listed, now);
        mirror.endListing(now);
    }

    std::optional<DirectoryUpstream> find(std::uint64_t id)
    {
        const auto view = mirror.publish();
        const auto found = std::find_if(view->upstreams.begin(), view->upstreams.end(), [&](const auto &status) {
            return status.upstream.id.value == id;
        });
        return found != view->upstreams.end() ? std::optional(*found) : std::nullopt;
    }

    DirectoryMirror mirror;
    TimePoint now { 100s };
};

// Guards design G8: in whatever order the directory's answers arrive, an adopted catalogue is never replaced by an
// older one.
TEST_F(DirectoryMirrorTest, NeverAdoptsAnOlderCatalogue)
{
    list(page({ catalogue(7, 10, 3) }, 10));
    mirror.applyChanges(changes({ catalogue(5, 11, 1) }, 11), now);
    EXPECT_EQ(mirror.publish()->version.value, 7U);
    list(page({ catalogue(6, 9, 1) }, 9));
    EXPECT_EQ(mirror.publish()->version.value, 7U);
    EXPECT_EQ(mirror.publish()->entries->size(), 3U);
    mirror.applyChanges(changes({ catalogue(8, 12, 2) }, 12), now);
    EXPECT_EQ(mirror.publish()->version.value, 8U);
}

// Guards draining hosts: an older record of the host that arrives late must not make it active again.
TEST_F(DirectoryMirrorTest, KeepsTheLatestRecordOfAHost)
{
    list(page({ host(1, 5, UpstreamState::Draining) }, 5));
    mirror.applyChanges(changes({ host(1, 4) }, 6), now);
    EXPECT_EQ(find(1)->upstream.state, UpstreamState::Draining);
}

// Guards against hosts that stay in use although a full listing no longer has them. Such a listing follows when the
// directory has no history for the watch any more.
TEST_F(DirectoryMirrorTest, RemovesHostsThatAListingOmits)
{
    list(page({ host(1, 1), host(2, 2) }, 2));
    list(page({ host(2, 2) }, 9));
    EXPECT_EQ(find(1)->listing, Listing::Gone);
    EXPECT_EQ(find(2)->listing, Listing::Listed);
}

// Guards service after an outage: records removed around it stay in use for a grace period, and are removed if they
// don't return within it.
TEST_F(DirectoryMirrorTest, KeepsRecordsThatLapsedInAnOutage)
{
    list(page({ host(1, 1), host(2, 2) }, 2));
    mirror.recordOutage(now);
    mirror.applyChanges(changes({ removed(1, 3), removed(2, 4) }, 4), now);
    EXPECT_EQ(find(1)->listing, Listing::Lapsed);
    now += 1s;
    mirror.applyChanges(changes({ host(1, 5) }, 5), now);
    EXPECT_EQ(find(1)->listing, Listing::Listed);
    now += 2s;
    const auto ended = mirror.tick(now);
    ASSERT_EQ(ended.size(), 1U);
    EXPECT_EQ(ended.front().upstream, UpstreamId { 2 });
    EXPECT_EQ(find(2)->listing, Listing::Gone);
}

// Guards draining hosts in an outage: the removal of their record means that they left, not that the record lapsed.
TEST_F(DirectoryMirrorTest, RemovesDrainingHostsWithoutGracePeriod)
{
    list(page({ host(1, 1, UpstreamState::Draining) }, 1));
    mirror.recordOutage(now);
    mirror.applyChanges(changes({ removed(1, 2) }, 2), now);
    EXPECT_EQ(find(1)->listing, Listing::Gone);
}

// Guards living hosts against other writers: an unreadable record, one of an unknown service and one of an earlier
// start of the host must not replace its record, and the host's next write must take effect at once.
TEST_F(DirectoryMirrorTest, KeepsTheRecordOfAHostDespiteOtherWriters)
{
    list(page({ catalogue(1, 1), host(1, 2), host(2, 3) }, 3));
    DirectoryItem unreadable { .key = "hosts/1", .revision = { 4 }, .content = UnreadableRecord { "no address" } };
    DirectoryItem foreign = host(1, 5);
    std::get<UpstreamRecord>(foreign.content).service = "unknown";
    DirectoryItem earlier = host(1, 6, UpstreamState::Draining);
    std::get<UpstreamRecord>(earlier.content).incarnation = Incarnation { 0 };
    for (const DirectoryItem &item : { unreadable, foreign, earlier }) {
        const auto reported = mirror.applyChanges(changes({ item }, item.revision.value), now);
        ASSERT_EQ(reported.size(), 1U);
        EXPECT_EQ(reported.front().kind, MirrorChange::Kind::RecordUnreadable);
        EXPECT_EQ(find(1)->listing, Listing::Listed);
        EXPECT_EQ(find(1)->upstream.state, UpstreamState::Active);
        EXPECT_EQ(find(1)->upstream.incarnation, Incarnation { 1 });
        now += 100ms;
    }
    mirror.applyChanges(changes({ host(1, 7, UpstreamState::Draining) }, 7), now);
    EXPECT_EQ(find(1)->upstream.state, UpstreamState::Draining);
    EXPECT_EQ(find(2)->listing, Listing::Listed);
}

// Guards against hosts that stay in use although their record is gone: a host that doesn't overwrite a foreign record
// within some heartbeats has ended, or its start times go back.
TEST_F(DirectoryMirrorTest, TakesRecordsOfOtherWritersThatNobodyOverwrites)
{
    list(page({ catalogue(1, 1), host(1, 2), host(2, 3) }, 3));
    DirectoryItem earlier = host(2, 5);
    std::get<UpstreamRecord>(earlier.content).incarnation = Incarnation { 0 };
    mirror.applyChanges(
        changes({ { .key = "hosts/1", .revision = { 4 }, .content = UnreadableRecord { "no address" } }, earlier }, 5),
        now);
    now += MirrorSettings {}.disputeGrace - 1ms;
    EXPECT_TRUE(mirror.tick(now).empty());
    now += 1ms;
    mirror.tick(now);
    EXPECT_EQ(find(1)->listing, Listing::Gone);
    EXPECT_EQ(find(2)->listing, Listing::Listed);
    EXPECT_FALSE(mirror.knowsRemovalsSince({ 5 })) << "followers have passed the revision of the record";
    const auto all = mirror.changesSince({}, {}, now);
    EXPECT_TRUE(std::any_of(all.begin(), all.end(), [](const DirectoryItem &item) {
        return item.key == "hosts/1" && std::holds_alternative<RemovedRecord>(item.content);
    }));
}

// Guards a living host against a record of an unknown service at its address, which would count as its successor.
TEST_F(DirectoryMirrorTest, HidesRecordsOfServicesThatNoEntryUses)
{
    DirectoryItem foreign = host(9, 3);
    std::get<UpstreamRecord>(foreign.content).service = "unknown";
    list(page({ catalogue(1, 1), host(1, 2), foreign }, 3));
    EXPECT_TRUE(find(1));
    EXPECT_FALSE(find(9));
}

// Guards against a follower that keeps a host for ever, because its relay never heard of the host's removal.
TEST_F(DirectoryMirrorTest, KnowsItsHistoryExceptBeforeListings)
{
    DirectoryMirror fresh({ .zone = "kgd-north" });
    const auto list = [&](std::uint64_t asOf) {
        fresh.beginListing({ asOf });
        fresh.endListing(now);
    };
    list(10);
    EXPECT_TRUE(fresh.knowsRemovalsSince({})) << "a VM without records";
    EXPECT_FALSE(fresh.knowsRemovalsSince({ 9 }));
    EXPECT_TRUE(fresh.knowsRemovalsSince({ 10 }));
    DirectoryChanges watched;
    watched.asOf = { 20 };
    fresh.applyChanges(watched, now);
    list(30);
    EXPECT_TRUE(fresh.knowsRemovalsSince({ 15 }));
    EXPECT_TRUE(fresh.knowsRemovalsSince({ 20 })) << "a follower that was up to date with this mirror";
    EXPECT_FALSE(fresh.knowsRemovalsSince({ 25 }));
    // Many listings must not need more and more memory, and no gap may be forgotten.
    for (std::uint64_t asOf = 40; asOf < 2000; asOf += 10) {
        list(asOf);
        EXPECT_FALSE(fresh.knowsRemovalsSince({ asOf - 1 }));
    }
    EXPECT_FALSE(fresh.knowsRemovalsSince({ 25 }));
    EXPECT_FALSE(fresh.knowsRemovalsSince({ 9 }));
}

// Guards memory use: removed hosts are evicted after the retention period, when no flow to them can be left.
TEST_F(DirectoryMirrorTest, EvictsRemovedHostsAfterTheRetention)
{
    list(page({ host(1, 1) }, 1));
    mirror.applyChanges(changes({ removed(1, 2) }, 2), now);
    now += MirrorSettings {}.removedRetention;
    mirror.tick(now);
    EXPECT_FALSE(find(1));
    mirror.applyChanges(changes({ host(1, 1) }, 3), now);
    EXPECT_FALSE(find(1)) << "an older record was added again";
}

class DirectoryReaderTest : public ::testing::Test
{
protected:
    DirectoryReaderTest()
        : mirror({ .zone = "kgd-north" })
        , reader(mirror, {})
        , random(1)
    { }

    template<class Result>
    ReaderOutcome answer(Result result)
    {
        return reader.handleAnswer({ .callId = last->id, .result = std::move(result) }, now, random);
    }

    ReaderOutcome fail(DirectoryError error) { return answer(DirectoryFailure { .error = error, .detail = "test" }); }

    bool call()
    {
        last = reader.nextCall(now);
        return last.has_value();
    }

    DirectoryMirror mirror;
    DirectoryReader reader;
    Random random;
    std::optional<DirectoryCall> last;
    TimePoint now { 100s };
};

// Guards changes made between the pages of a full listing, which isn't a snapshot: the watch starts at the revision of
// the first page.
TEST_F(DirectoryReaderTest, WatchesFromTheFirstPage)
{
    ASSERT_TRUE(call());
    DirectoryPage first = page({ catalogue(1, 3) }, 10);
    first.more = true;
    first.lastKey = "catalogue";
    answer(first);
    EXPECT_FALSE(reader.isComplete());
    ASSERT_TRUE(call());
    EXPECT_EQ(last->afterKey, "catalogue");
    answer(page({ host(1, 12) }, 14));
    EXPECT_TRUE(reader.isComplete());
    ASSERT_TRUE(call());
    EXPECT_EQ(last->kind, DirectoryCall::Kind::Watch);
    EXPECT_EQ(last->after.value, 10U);
}

// Guards a VM that starts before the operators' first catalogue exists: it is complete once a watch returns one.
TEST_F(DirectoryReaderTest, IsCompleteWhenTheCatalogueArrives)
{
    call();
    answer(page({}, 1));
    EXPECT_FALSE(reader.isComplete());
    call();
    answer(changes({ catalogue(1, 2) }, 2));
    EXPECT_TRUE(reader.isComplete());
}

// Guards against a VM that gets no more changes after the directory discarded the history since its revision.
TEST_F(DirectoryReaderTest, ListsAgainWhenTheHistoryIsDiscarded)
{
    call();
    answer(page({ catalogue(1, 1) }, 1));
    call();
    fail(DirectoryError::HistoryLost);
    ASSERT_TRUE(call());
    EXPECT_EQ(last->kind, DirectoryCall::Kind::List);
}

// Guards the directory against floods of calls while it fails: the number of retries is bounded, and jitter keeps VMs
// from retrying together.
TEST_F(DirectoryReaderTest, BacksOffWithJitter)
{
    int calls = 0;
    for (int i = 0; i < 10'000; ++i, now += 1ms) {
        if (call()) {
            ++calls;
            fail(DirectoryError::ServerFailure);
        }
    }
    EXPECT_LE(calls, 30);
    EXPECT_GE(calls, 10);
}

// Guards the bound for changes against stale replicas: two up-to-date answers are never further apart than the stale
// read window and the batching delay, and older records in the answer of a stale replica change nothing.
TEST_F(DirectoryReaderTest, KeepsTheBoundDespiteStaleAnswers)
{
    call();
    answer(page({ catalogue(7, 10), host(1, 11, UpstreamState::Draining) }, 11));
    std::optional<TimePoint> confirmed = now;
    for (int i = 0; i < 2000; ++i, now += 10ms) {
        if (!call()) {
            continue;
        }
        if (!last->mayBeStale) {
            EXPECT_LE(now - *confirmed, ReaderSettings {}.staleReadWindow + ReaderSettings {}.batchingDelay);
            confirmed = now;
            answer(changes({ catalogue(7, 10), host(2, 20 + static_cast<std::uint64_t>(i)) }, 20));
        } else {
            EXPECT_LE(now + last->wait - *confirmed, ReaderSettings {}.staleReadWindow);
            answer(changes({ catalogue(6, 8), host(1, 5) }, 8));
        }
        EXPECT_EQ(mirror.publish()->version.value, 7U);
        EXPECT_EQ(mirror.publish()->upstreams.front().upstream.state, UpstreamState::Draining);
    }
    EXPECT_GT(now - TimePoint { 100s }, 10s);
}

// Guards the first answers after a failed call or a suspension: none of them may be stale.
TEST_F(DirectoryReaderTest, AsksForUpToDateAnswersAfterAFailureOrSuspension)
{
    call();
    answer(page({ catalogue(1, 1) }, 1));
    ASSERT_TRUE(call());
    EXPECT_TRUE(last->mayBeStale);
    fail(DirectoryError::TimedOut);
    now += 1s;
    ASSERT_TRUE(call());
    EXPECT_FALSE(last->mayBeStale);
    answer(changes({}, 1));
    reader.handleSuspension(now);
    ASSERT_TRUE(call());
    EXPECT_FALSE(last->mayBeStale);
}

// Guards the number of calls: after a change the next watch waits for the batching delay, but a long poll that ended
// without a change is repeated at once.
TEST_F(DirectoryReaderTest, BatchesChanges)
{
    call();
    answer(page({ catalogue(1, 1) }, 1));
    call();
    answer(changes({ host(1, 2) }, 2));
    EXPECT_FALSE(call());
    now += ReaderSettings {}.batchingDelay;
    ASSERT_TRUE(call());
    answer(changes({}, 2));
    EXPECT_TRUE(call());
}

// Guards records that lapse while the directory is unreachable: the first answer after the outage must not remove their
// hosts.
TEST_F(DirectoryReaderTest, ReportsOutagesToTheMirror)
{
    call();
    answer(page({ catalogue(1, 1), host(1, 2) }, 2));
    for (int i = 0; i < 3; ++i) {
        now += 1s;
        ASSERT_TRUE(call());
        const ReaderOutcome outcome = fail(DirectoryError::TimedOut);
        EXPECT_EQ(outcome.becameUnreachable, i == 1);
    }
    now += 1s;
    ASSERT_TRUE(call());
    const ReaderOutcome outcome = answer(changes({ removed(1, 3) }, 3));
    EXPECT_TRUE(outcome.becameReachable);
    EXPECT_EQ(mirror.publish()->upstreams.front().listing, Listing::Lapsed);
}

// Guards against wrong refusals after a suspension: a VM that was suspended must not treat its view as fresh.
TEST_F(DirectoryReaderTest, IsNotFreshAfterASuspension)
{
    call();
    answer(page({ catalogue(1, 1) }, 1));
    EXPECT_TRUE(reader.isFresh(now));
    reader.handleSuspension(now);
    EXPECT_FALSE(reader.isFresh(now));
}

} // namespace
} // namespace boragelug
