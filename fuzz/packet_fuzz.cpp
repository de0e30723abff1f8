#include "drivers/geneve_codec.h"
#include "drivers/ip_packet.h"
#include "fuzz/fuzz_input.h"
#include "platform/packet_codec.h"

#include <array>

using namespace boragelug;

/// Packets of callers and of other VMs: an accepted packet must be forwarded with its bytes unchanged.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const FuzzInput input(data, size);
    if (const auto packet = decodePacket(input.bytes)) {
        std::array<std::byte, maxHostDatagram> out {};
        const std::size_t length = encodeForHost(input.bytes, packet->tag, 7, out);
        require(length == hostPrefixBytes + size);
        const auto again = decodePacket(std::span(out).subspan(hostPrefixBytes, size));
        require(again && *again == packet.value());
        encodeReset(packet.value());
    }
    decodeGeneve(input.bytes);
    parseInnerPacket(input.bytes);
    return 0;
}
