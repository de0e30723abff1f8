#include "drivers/peer_codec.h"
#include "fuzz/fuzz_input.h"

using namespace boragelug;

/// Messages between VMs where the fabric carries no flow tag: an accepted one must survive being sent again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const FuzzInput input(data, size);
    const PeerKey key {};
    openPeerMessage(input.bytes, key);
    if (const auto decoded = decodePeerEnvelope(input.bytes)) {
        const auto sealed = sealPeerMessage(decoded->header, decoded->message, key);
        require(sealed.size() > maxPeerDatagram || openPeerMessage(sealed, key));
    }
    return 0;
}
