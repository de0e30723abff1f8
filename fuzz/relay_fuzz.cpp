#include "drivers/relay_codec.h"
#include "fuzz/fuzz_input.h"
#include "views/directory_mirror.h"

using namespace boragelug;

/// Messages between VMs about the directory: whatever is accepted must be kept when it is passed on, and must not harm
/// a mirror.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const FuzzInput input(data, size);
    if (const auto request = decodeRelayRequest(input.bytes)) {
        const auto encoded = encodeRelayRequest(*request);
        require(decodeRelayRequest(std::span(encoded).subspan(relayLengthBytes)) == request);
    }
    if (const auto answer = decodeRelayAnswer(input.bytes)) {
        RelayAnswerMessage passedOn;
        passedOn.changes.slowUpstreams = answer->changes.slowUpstreams;
        const auto encoded = encodeRelayAnswer(passedOn, packRelayRecords(answer->changes.items));
        const auto again = decodeRelayAnswer(std::span(encoded).subspan(relayLengthBytes));
        require(again.has_value());
        const auto &slow = answer->changes.slowUpstreams;
        require(!slow == !again->changes.slowUpstreams && (!slow || *slow == *again->changes.slowUpstreams));
        DirectoryMirror mirror({ .zone = "kgd-north" });
        mirror.applyChanges(answer->changes, TimePoint { std::chrono::seconds(100) });
        mirror.publish();
        mirror.changesSince({}, {}, TimePoint { std::chrono::seconds(100) });
    }
    return 0;
}
