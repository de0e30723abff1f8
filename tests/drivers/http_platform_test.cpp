#include "drivers/http_platform.h"

#include "drivers/platform_json.h"
#include "standins/platform_standin.h"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

PartContent zonesAt(std::uint64_t version)
{
    return { parts::zones, version, { Zone { { 1 }, "kgd-north-" + std::to_string(version), "kz-central" } } };
}

class HttpPlatformTest : public ::testing::Test
{
protected:
    HttpPlatformTest()
        : standin(context, 0)
        , platform(context, settings())
    {
        standin.set("/v1/parts/zones", encode(zonesAt(1)));
        standin.set("/v1/parts/zones", encode(zonesAt(2)));
    }

    HttpPlatformSettings settings() const
    {
        HttpPlatformSettings settings;
        settings.servers = { { { 0x7f000001 }, { standin.port() } } };
        settings.timeout = 2s;
        return settings;
    }

    PlatformCall zonesCall(std::uint64_t known = 0, Duration wait = {})
    {
        PlatformCall call;
        call.id = ++lastId;
        call.resource = PlatformResource::Part;
        call.part = parts::zones;
        call.knownVersion = known;
        call.wait = wait;
        return call;
    }

    void start(const PlatformCall &call)
    {
        platform.call(call, [this](const PlatformAnswer &answer) { answers.push_back(answer); });
    }

    // Runs until there is an answer; the test program's own time-out bounds it.
    PlatformAnswer wait()
    {
        while (answers.empty()) {
            context.run_one();
        }
        EXPECT_EQ(answers.size(), 1U);
        PlatformAnswer answer = answers.back();
        answers.clear();
        return answer;
    }

    PlatformAnswer ask(const PlatformCall &call)
    {
        start(call);
        return wait();
    }

    // Runs until the stand-in has read @p count requests.
    void waitForRequests(std::size_t count)
    {
        while (standin.requests() < count) {
            context.run_one();
        }
    }

    static std::optional<PlatformError> errorOf(const PlatformAnswer &answer)
    {
        const auto *failure = std::get_if<PlatformFailure>(&answer.result);
        return failure == nullptr ? std::nullopt : std::optional(failure->error);
    }

    asio::io_context context;
    PlatformStandin standin;
    HttpPlatform platform;
    std::vector<PlatformAnswer> answers;
    std::uint64_t lastId = 0;
};

// Guards against a value that is read again although it did not change, and against one that is not read when it did.
TEST_F(HttpPlatformTest, ReadsConditionally)
{
    EXPECT_EQ(std::get<PartContent>(ask(zonesCall()).result), zonesAt(2));
    EXPECT_EQ(std::get<PartContent>(ask(zonesCall(1)).result), zonesAt(2));
    EXPECT_TRUE(std::holds_alternative<PlatformUnchanged>(ask(zonesCall(2)).result));
}

// Guards against a watch that misses the change that it waits for.
TEST_F(HttpPlatformTest, WatchAnswersWhenTheValueChanges)
{
    start(zonesCall(2, 60s));
    waitForRequests(1);
    standin.set("/v1/parts/zones", encode(zonesAt(3)));
    EXPECT_EQ(std::get<PartContent>(wait().result), zonesAt(3));
}

// Guards against a watch without changes that never comes back.
TEST_F(HttpPlatformTest, WatchWithoutChangeEndsUnchanged)
{
    EXPECT_TRUE(std::holds_alternative<PlatformUnchanged>(ask(zonesCall(2, 1s)).result));
}

struct FaultCase
{
    const char *name;
    PlatformFault fault;
    std::uint64_t known;
    Duration wait;
    std::optional<PlatformError> expected;
};

// Guards against a fault of the platform that passes for a value, crashes the adapter or leaves a call without end; and
// against an adapter that does not recover afterwards.
TEST_F(HttpPlatformTest, EveryFaultEndsInItsErrorAndTheNextCallWorks)
{
    const std::vector<FaultCase> cases {
        { "slow", PlatformFault::Slow, 0, 0s, std::nullopt },
        { "429", PlatformFault::Throttle, 0, 0s, PlatformError::Throttled },
        { "503", PlatformFault::ServerError, 0, 0s, PlatformError::ServerFailure },
        { "truncated", PlatformFault::Truncate, 0, 0s, PlatformError::Malformed },
        { "1 MB that is no value", PlatformFault::Huge, 0, 0s, PlatformError::Malformed },
        { "watch cut", PlatformFault::CutWatch, 2, 1s, PlatformError::Malformed },
        { "watch never fires", PlatformFault::NeverFire, 2, 1s, PlatformError::TimedOut },
        { "closed at once", PlatformFault::Close, 0, 0s, PlatformError::Malformed },
    };
    for (const FaultCase &row : cases) {
        SCOPED_TRACE(row.name);
        standin.injectFault(row.fault, 1);
        EXPECT_EQ(errorOf(ask(zonesCall(row.known, row.wait))), row.expected);
        EXPECT_EQ(errorOf(ask(zonesCall())), std::nullopt);
    }
}

// Guards against an older value that passes for a new one: its version must show.
TEST_F(HttpPlatformTest, OlderVersionIsVisible)
{
    standin.injectFault(PlatformFault::OlderVersion, 1);
    EXPECT_EQ(std::get<PartContent>(ask(zonesCall(2)).result).version, 1U);
}

// Guards against an answer that never comes, and against losing the pause that a platform asked for.
TEST_F(HttpPlatformTest, TimesOutAndKeepsRetryAfter)
{
    standin.slowResponseDelay = 60s;
    standin.injectFault(PlatformFault::Slow, 1);
    EXPECT_EQ(errorOf(ask(zonesCall())), PlatformError::TimedOut);
    standin.injectFault(PlatformFault::Throttle, 1);
    EXPECT_EQ(std::get<PlatformFailure>(ask(zonesCall()).result).retryAfter, 2s);
}

// Guards against a platform that is gone, and against an adapter that does not find it again.
TEST_F(HttpPlatformTest, SurvivesAPlatformThatGoesAway)
{
    start(zonesCall(2, 60s));
    waitForRequests(1);
    standin.shutDown();
    EXPECT_TRUE(errorOf(wait()).has_value());
    EXPECT_EQ(errorOf(ask(zonesCall())), PlatformError::Unreachable);
    standin.restart();
    EXPECT_EQ(errorOf(ask(zonesCall())), std::nullopt);
}

// Guards against values near the platform's limit that are refused, and larger ones that are read.
TEST_F(HttpPlatformTest, ReadsAlmostOneMegabyteAndRefusesMore)
{
    PartContent large { parts::firstUpstreams, 1, {} };
    for (std::uint64_t id = 1; id <= 7500; ++id) {
        large.items.emplace_back(Upstream { { id }, { 1 }, { 1 }, { 1 }, { { 1 }, { 2 } }, { { 3 }, { 4 } }, {} });
    }
    const std::string body = encode(large);
    ASSERT_GT(body.size(), 700'000U);
    ASSERT_LT(body.size(), 1'000'000U);
    standin.set("/v1/parts/upstreams/0", body);
    PlatformCall call = zonesCall();
    call.part = parts::firstUpstreams;
    EXPECT_EQ(std::get<PartContent>(ask(call).result), large);
    standin.set("/v1/parts/upstreams/0", std::string(1'100'000, ' '));
    call.id = ++lastId;
    EXPECT_EQ(errorOf(ask(call)), PlatformError::TooLarge);
}

// Guards against calls without an answer, and against two answers to one call.
TEST_F(HttpPlatformTest, CancelAnswersOnce)
{
    const PlatformCall call = zonesCall(2, 60s);
    start(call);
    platform.cancel(call.id);
    platform.cancel(call.id);
    EXPECT_EQ(errorOf(wait()), PlatformError::Cancelled);
    EXPECT_EQ(errorOf(ask(zonesCall())), std::nullopt);
}

// Guards against a resource that is not there being taken for an outage.
TEST_F(HttpPlatformTest, MissingResourceIsNotFound)
{
    PlatformCall call = zonesCall();
    call.resource = PlatformResource::VmList;
    call.zone = { 9 };
    EXPECT_EQ(errorOf(ask(call)), PlatformError::NotFound);
}

} // namespace
} // namespace boragelug
