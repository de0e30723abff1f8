#include "drivers/relay_codec.h"
#include "drivers/speed_codec.h"
#include "random_bytes.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <vector>

namespace boragelug
{
namespace
{

using namespace std::string_literals;

constexpr double nan = std::numeric_limits<double>::quiet_NaN();

// Guards VMs of different builds from reading each other's numbers wrongly.
TEST(SpeedCodec, HasAFixedLayout)
{
    EXPECT_EQ(packSpeedObservations({ { FlowTag { 0xfedcba98 }, 258, 387 } }), "\xfe\xdc\xba\x98\x01\x02\x06\x00"s);
    EXPECT_EQ(packSlowUpstreams({ { FlowTag { 0xfedcba98 }, 4.75 } }), "\xfe\xdc\xba\x98\x01\xdb"s);
}

// Guards estimates from what packing loses: a mean of any size that counts stays within half a unit.
TEST(SpeedCodec, RoundsLittle)
{
    std::vector<SpeedObservation> observations;
    std::vector<SlowUpstream> slow;
    Random random(3);
    for (std::uint32_t i = 1; i <= 200; ++i) {
        const auto answers = static_cast<std::uint32_t>(1 + random.below(10'000));
        const double mean = static_cast<double>(1 + random.below(12'000)) / 1000;
        observations.push_back({ FlowTag { i }, answers, mean * answers });
        slow.push_back({ FlowTag { i }, 1.01 + mean });
    }
    const std::string packed = packSpeedObservations(observations);
    EXPECT_EQ(packed.size(), observations.size() * speedObservationBytes);
    const auto unpacked = unpackSpeedObservations(packed);
    ASSERT_TRUE(unpacked && unpacked->size() == observations.size());
    const auto unpackedSlow = unpackSlowUpstreams(packSlowUpstreams(slow));
    ASSERT_TRUE(unpackedSlow && unpackedSlow->size() == slow.size());
    for (std::size_t i = 0; i < observations.size(); ++i) {
        const SpeedObservation &before = observations[i];
        EXPECT_EQ((*unpacked)[i].upstream, before.upstream);
        EXPECT_EQ((*unpacked)[i].answers, before.answers);
        EXPECT_NEAR((*unpacked)[i].latencySum / before.answers, before.latencySum / before.answers, 0.0005);
        EXPECT_EQ((*unpackedSlow)[i].upstream, slow[i].upstream);
        EXPECT_NEAR((*unpackedSlow)[i].slowness, slow[i].slowness, 0.0051);
    }
}

// Guards the peer from messages that it would refuse as a whole because of one number.
TEST(SpeedCodec, PacksOnlyValidNumbers)
{
    const auto observations = unpackSpeedObservations(packSpeedObservations({ { FlowTag { 1 }, 0, 5 },
                                                                              { FlowTag { 2 }, 5, nan },
                                                                              { FlowTag { 3 }, 5, 0 },
                                                                              { FlowTag { 4 }, 2, 1e-9 },
                                                                              { FlowTag { 5 }, 70'000, 70'000 },
                                                                              { FlowTag { 6 }, 1, 1e9 } }));
    EXPECT_EQ(observations,
              (std::vector<SpeedObservation> { { FlowTag { 4 }, 2, 2.0 / 1024 },
                                               { FlowTag { 5 }, 65'535, 65'535 },
                                               { FlowTag { 6 }, 1, 65'535.0 / 1024 } }));
    const auto slow = unpackSlowUpstreams(packSlowUpstreams(
        { { FlowTag { 1 }, 1 }, { FlowTag { 2 }, nan }, { FlowTag { 3 }, 1.001 }, { FlowTag { 4 }, 1e9 } }));
    EXPECT_EQ(slow, (std::vector<SlowUpstream> { { FlowTag { 3 }, 1.01 }, { FlowTag { 4 }, 655.35 } }));
}

// Guards a VM from messages that were cut, changed or made up.
TEST(SpeedCodec, RefusesMalformedBytes)
{
    EXPECT_TRUE(unpackSpeedObservations("")->empty());
    EXPECT_TRUE(unpackSlowUpstreams("")->empty());
    const std::string observations = packSpeedObservations({ { FlowTag { 1 }, 2, 3 }, { FlowTag { 2 }, 4, 5 } });
    const std::string slow = packSlowUpstreams({ { FlowTag { 1 }, 2 }, { FlowTag { 2 }, 3 } });
    for (std::size_t length = 1; length < observations.size(); ++length) {
        EXPECT_EQ(unpackSpeedObservations(observations.substr(0, length)).has_value(), length == speedObservationBytes);
    }
    for (std::size_t length = 1; length < slow.size(); ++length) {
        EXPECT_EQ(unpackSlowUpstreams(slow.substr(0, length)).has_value(), length == slowUpstreamBytes);
    }
    EXPECT_FALSE(unpackSpeedObservations("tag1\x00\x00\x04\x00"s)) << "no answers";
    EXPECT_FALSE(unpackSpeedObservations("tag1\x00\x01\x00\x00"s)) << "no latency";
    EXPECT_FALSE(unpackSlowUpstreams("tag1\x00\x64"s)) << "as fast as the others";
    EXPECT_FALSE(unpackSlowUpstreams("tag1\x00\x00"s));
    EXPECT_TRUE(unpackSlowUpstreams("tag1\x00\x65"s));
}

// Guards followers from a list that lingers: an empty list clears theirs, and no list is none.
TEST(SpeedCodec, TellsAnEmptyListFromNone)
{
    DirectoryChanges changes;
    const auto decode = [&] {
        const auto bytes = encodeRelayAnswer({ .changes = changes, .requestId = 1 });
        return decodeRelayAnswer(std::span(bytes).subspan(relayLengthBytes));
    };
    EXPECT_FALSE(decode()->changes.slowUpstreams);
    changes.slowUpstreams = std::make_shared<const std::vector<SlowUpstream>>();
    ASSERT_TRUE(decode()->changes.slowUpstreams);
    EXPECT_TRUE(decode()->changes.slowUpstreams->empty());
}

// Guards the bytes between VMs: what a message grows by for one more upstream.
TEST(SpeedCodec, TakesFewBytes)
{
    const auto sizes = [](std::uint32_t count) {
        RelayRequestMessage request;
        DirectoryChanges changes;
        std::vector<SlowUpstream> slow;
        for (std::uint32_t i = 1; i <= count; ++i) {
            request.request.speeds.push_back({ FlowTag { i * 0x9e3779b9 }, 4, 20 });
            slow.push_back({ FlowTag { i * 0x9e3779b9 }, 5 });
        }
        changes.slowUpstreams = std::make_shared<const std::vector<SlowUpstream>>(slow);
        return std::pair(encodeRelayRequest(request).size(),
                         encodeRelayAnswer({ .changes = changes, .requestId = 1 }).size());
    };
    const auto [smallRequest, smallAnswer] = sizes(100);
    const auto [request, answer] = sizes(150);
    EXPECT_EQ(request - smallRequest, 50 * speedObservationBytes);
    EXPECT_EQ(answer - smallAnswer, 50 * slowUpstreamBytes);
}

} // namespace
} // namespace boragelug
