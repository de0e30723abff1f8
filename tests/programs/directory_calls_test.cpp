#include "programs/directory_calls.h"

#include "drivers/asio_runtime.h"
#include "drivers/prometheus_metrics.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

const Endpoint self { .address = { 0x0a000001 }, .port = { 9000 } };
const Endpoint otherRelay { .address = { 0x0a000002 }, .port = { 9000 } };

/// A directory that keeps the calls until the test answers them.
class HeldDirectory : public Directory
{
public:
    void call(const DirectoryCall &call, Done done) override { calls.emplace_back(call, std::move(done)); }

    void cancel(std::uint64_t callId) override
    {
        std::erase_if(calls, [&](const auto &held) { return held.first.id == callId; });
        cancelled.push_back(callId);
    }

    std::size_t receivedBytes(std::uint64_t /*callId*/) const override { return 0; }

    /// Precondition: a call is held.
    void answerNext(decltype(DirectoryAnswer::result) result)
    {
        auto [call, done] = std::move(calls.front());
        calls.erase(calls.begin());
        done({ .callId = call.id, .result = std::move(result) });
    }

    bool holds(DirectoryCall::Kind kind) const
    {
        return std::any_of(calls.begin(), calls.end(), [&](const auto &held) { return held.first.kind == kind; });
    }

    std::vector<std::pair<DirectoryCall, Done>> calls;
    std::vector<std::uint64_t> cancelled;
};

DirectoryItem catalogueItem()
{
    CatalogueRecord record;
    record.version = CatalogueVersion { 1 };
    return { .key = "catalogue", .revision = { 1 }, .content = record };
}

DirectoryPage lastPage()
{
    return { .items = { catalogueItem() }, .more = false, .lastKey = {}, .asOf = { 3 } };
}

TaggedNodeSettings relaySettings()
{
    TaggedNodeSettings settings;
    settings.mirror.zone = "kgd-north";
    settings.reader.follow.relays = { self, otherRelay };
    settings.reader.follow.self = self;
    return settings;
}

class DirectoryCallsTest : public ::testing::Test
{
protected:
    DirectoryCallsTest()
        : node(relaySettings())
        , calls(
              runtime, node, directory, &relays, &startRelays, metrics, [](const std::vector<NodeEvent> & /*events*/) {
              })
    { }

    /// Runs what is due now, but waits for no timer.
    void runPending()
    {
        runtime.context().restart();
        runtime.context().poll();
    }

    AsioRuntime runtime;
    PrometheusMetrics metrics;
    HeldDirectory directory;
    HeldDirectory relays;
    HeldDirectory startRelays;
    TaggedNode node;
    DirectoryCalls calls;
};

// Guards against a relay that never reads another change: it announced its records to the other relay, and took the
// answer to the announcement for records that replace its watch.
TEST_F(DirectoryCallsTest, AnAnswerToAnAnnouncementLeavesTheWatchInProgress)
{
    calls.update();
    directory.answerNext(lastPage());
    runPending();
    ASSERT_FALSE(node.isStarting());
    ASSERT_TRUE(directory.holds(DirectoryCall::Kind::Watch));
    ASSERT_TRUE(startRelays.holds(DirectoryCall::Kind::Follow));

    startRelays.answerNext(DirectoryChanges { .items = {}, .asOf = { 3 } });
    runPending();

    EXPECT_TRUE(directory.cancelled.empty());
    EXPECT_TRUE(directory.holds(DirectoryCall::Kind::Watch));
}

// Guards against a listing that goes on beside the records of a relay, though its answer is no longer needed.
TEST_F(DirectoryCallsTest, RecordsOfARelayEndTheListing)
{
    calls.update();
    ASSERT_TRUE(directory.holds(DirectoryCall::Kind::List));
    ASSERT_TRUE(startRelays.holds(DirectoryCall::Kind::Follow));
    const std::uint64_t listing = directory.calls.front().first.id;

    startRelays.answerNext(DirectoryChanges { .items = { catalogueItem() }, .asOf = { 3 } });
    runPending();

    EXPECT_FALSE(node.isStarting());
    EXPECT_EQ(directory.cancelled, std::vector<std::uint64_t> { listing });
}

} // namespace
} // namespace boragelug
