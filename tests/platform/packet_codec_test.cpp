#include "platform/packet_codec.h"

#include <gtest/gtest.h>

#include <vector>

namespace boragelug
{
namespace
{

// The SYN of a flow from 100.64.0.7:40001 to 198.18.0.1:443, the example in the platform's protocol description.
std::vector<std::byte> openingPacket()
{
    std::vector<std::byte> bytes;
    for (const int value :
         { 0xa1, 0xb2, 0xc3, 0xd5, 0,    0,    0,    0,    0, 0, 0x01, 0xbb, 0x9c, 0x41, 0xc6, 0x12, 0, 1,
           0x64, 0x40, 0,    7,    0x11, 0x22, 0x33, 0x44, 0, 0, 0,    0,    2,    0,    0,    0,    0, 0 }) {
        bytes.push_back(static_cast<std::byte>(value));
    }
    return bytes;
}

// Guards against wrong offsets or byte order of the header, by the published example.
TEST(PacketCodec, ReadsThePublishedExample)
{
    const auto packet = decodePacket(openingPacket());
    ASSERT_TRUE(packet);
    EXPECT_EQ(toString(packet->caller), "100.64.0.7:40001");
    EXPECT_EQ(toString(packet->entry), "198.18.0.1:443");
    EXPECT_EQ(packet->sequence, 0x11223344U);
    EXPECT_TRUE(packet->syn);
    EXPECT_FALSE(packet->ack || packet->fin || packet->reset);
    EXPECT_EQ(packet->tag.value, 0U);
}

// Guards against a wrong encoding of the reset of an unopened flow, by the published example.
TEST(PacketCodec, WritesThePublishedReset)
{
    const auto reset = encodeReset(*decodePacket(openingPacket()));
    std::vector<std::byte> expected(packetHeaderBytes);
    const std::vector<std::pair<std::size_t, int>> values { { 10, 0x9c }, { 11, 0x41 }, { 12, 0x01 }, { 13, 0xbb },
                                                            { 14, 0x64 }, { 15, 0x40 }, { 17, 7 },    { 18, 0xc6 },
                                                            { 19, 0x12 }, { 21, 1 },    { 30, 8 } };
    for (const auto &[offset, value] : values) {
        expected[offset] = static_cast<std::byte>(value);
    }
    EXPECT_EQ(std::vector<std::byte>(reset.begin(), reset.end()), expected);
}

// Guards the callers' data: forwarding changes only the tag, and puts the host's number before the packet.
TEST(PacketCodec, ChangesNothingButTheTag)
{
    const auto packet = openingPacket();
    std::array<std::byte, maxHostDatagram> out {};
    const std::size_t size = encodeForHost(packet, FlowTag { 0x01020304 }, 0x7f3a91c2, out);
    ASSERT_EQ(size, hostPrefixBytes + packet.size());
    EXPECT_EQ(out[4], std::byte { 0x7f });
    EXPECT_EQ(out[7], std::byte { 0xc2 });
    EXPECT_EQ(out[hostPrefixBytes + 4], std::byte { 1 });
    EXPECT_EQ(out[hostPrefixBytes + 7], std::byte { 4 });
    for (std::size_t i = 0; i < packet.size(); ++i) {
        if (i < 4 || i > 7) {
            EXPECT_EQ(out[hostPrefixBytes + i], packet[i]) << "offset " << i;
        }
    }
}

// Guards against datagrams that are truncated, too long or have a wrong length field, and against packets from hosts.
TEST(PacketCodec, RejectsInvalidPackets)
{
    const auto fault = [](const std::vector<std::byte> &bytes) { return decodePacket(bytes).lastReason(); };
    auto bytes = openingPacket();
    bytes.pop_back();
    EXPECT_EQ(fault(bytes), PacketFault::TooShort);
    bytes = openingPacket();
    bytes.push_back(std::byte { 1 });
    EXPECT_EQ(fault(bytes), PacketFault::WrongLength);
    EXPECT_EQ(fault(std::vector<std::byte>(1300)), PacketFault::TooLong);
    bytes = openingPacket();
    bytes[30] = std::byte { 3 };
    EXPECT_EQ(fault(bytes), PacketFault::FromHost);
}

} // namespace
} // namespace boragelug
