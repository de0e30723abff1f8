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

// Guards G8: whatever order the directory answers in, a catalogue in force is never replaced by an older one.
TEST_F(DirectoryMirrorTest, NeverGoesBackToAnOlderCatalogue)
{
    list(page({ catalogue(7, 10, 3) }, 10));
    mirror.applyChanges(changes({ catalogue(5, 11, 1) }, 11), now);
    EXPECT_EQ(mirror.publish()->version.value, 7U);
    list(page({ catalogue(6, 9, 1) }, 9));
    EXPECT_EQ(mirror.publish()->version.value, 7U);
    EXPECT_EQ(mirror.publish()->entries.size(), 3U);
    mirror.applyChanges(changes({ catalogue(8, 12, 2) }, 12), now);
    EXPECT_EQ(mirror.publish()->version.value, 8U);
}

// Guards draining against an older record of the host that arrives late.
TEST_F(DirectoryMirrorTest, KeepsTheLatestRecordOfAHost)
{
    list(page({ host(1, 5, UpstreamState::Draining) }, 5));
    mirror.applyChanges(changes({ host(1, 4) }, 6), now);
    EXPECT_EQ(find(1)->upstream.state, UpstreamState::Draining);
}

// Guards against hosts that stay in use after a listing no longer names them, as after a lost history.
TEST_F(DirectoryMirrorTest, DropsHostsThatAListingOmits)
{
    list(page({ host(1, 1), host(2, 2) }, 2));
    list(page({ host(2, 2) }, 9));
    EXPECT_EQ(find(1)->listing, Listing::Gone);
    EXPECT_EQ(find(2)->listing, Listing::Listed);
}

// Guards service after an outage: records that vanished meanwhile count for a while, and are gone if they stay away.
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

// Guards draining hosts in an outage: their record's end means that they left, not that it lapsed.
TEST_F(DirectoryMirrorTest, TakesVanishedDrainingHostsAsGone)
{
    list(page({ host(1, 1, UpstreamState::Draining) }, 1));
    mirror.recordOutage(now);
    mirror.applyChanges(changes({ removed(1, 2) }, 2), now);
    EXPECT_EQ(find(1)->listing, Listing::Gone);
}

// Guards against a foreign writer: an unreadable record names nothing to use, and the others hold.
TEST_F(DirectoryMirrorTest, IgnoresUnreadableRecords)
{
    list(page({ host(1, 1), host(2, 2) }, 2));
    const DirectoryItem bad { .key = "hosts/1", .revision = { 3 }, .content = UnreadableRecord { "no address" } };
    const auto told = mirror.applyChanges(changes({ bad }, 3), now);
    ASSERT_FALSE(told.empty());
    EXPECT_EQ(told.front().kind, MirrorChange::Kind::RecordUnreadable);
    EXPECT_EQ(find(1)->listing, Listing::Gone);
    EXPECT_EQ(find(2)->listing, Listing::Listed);
}

// Guards memory: records of hosts that are gone are forgotten when no flow can be left.
TEST_F(DirectoryMirrorTest, ForgetsHostsThatAreLongGone)
{
    list(page({ host(1, 1) }, 1));
    mirror.applyChanges(changes({ removed(1, 2) }, 2), now);
    now += MirrorSettings {}.removedRetention;
    mirror.tick(now);
    EXPECT_FALSE(find(1));
    mirror.applyChanges(changes({ host(1, 1) }, 3), now);
    EXPECT_FALSE(find(1)) << "an older record came back";
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

// Guards changes between the pages of a listing, which are no snapshot: the watch starts at the first page's revision.
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

// Guards a start before the operators' first catalogue: the VM becomes complete when a watch brings it.
TEST_F(DirectoryReaderTest, IsCompleteWhenTheCatalogueArrives)
{
    call();
    answer(page({}, 1));
    EXPECT_FALSE(reader.isComplete());
    call();
    answer(changes({ catalogue(1, 2) }, 2));
    EXPECT_TRUE(reader.isComplete());
}

// Guards against a VM that stays blind after the directory forgot the history it asks for.
TEST_F(DirectoryReaderTest, ListsAgainAfterLostHistory)
{
    call();
    answer(page({ catalogue(1, 1) }, 1));
    call();
    fail(DirectoryError::HistoryLost);
    ASSERT_TRUE(call());
    EXPECT_EQ(last->kind, DirectoryCall::Kind::List);
}

// Guards the directory against floods while it refuses: calls are bounded, and VMs don't return together.
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

// Guards the bound for changes against stale replicas: between two up-to-date answers there is never more than the
// stale time, and an answer of a stale replica that is behind takes nothing back.
TEST_F(DirectoryReaderTest, RestsNoBoundOnStaleAnswers)
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

// Guards the first answers after trouble: none of them may be stale.
TEST_F(DirectoryReaderTest, AsksForUpToDateAnswersAfterTrouble)
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

// Guards the price of calls: changes collect before the next watch, but a quiet watch is renewed at once.
TEST_F(DirectoryReaderTest, CollectsChanges)
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

// Guards records that lapse while the directory is away: the first answer after an outage must not end them.
TEST_F(DirectoryReaderTest, TellsTheMirrorOfOutages)
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

// Guards refusals after a pause: a VM that slept must not take its view for fresh.
TEST_F(DirectoryReaderTest, IsNotFreshAfterSleep)
{
    call();
    answer(page({ catalogue(1, 1) }, 1));
    EXPECT_TRUE(reader.isFresh(now));
    reader.handleSuspension(now);
    EXPECT_FALSE(reader.isFresh(now));
}

} // namespace
} // namespace boragelug
