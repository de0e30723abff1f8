#include "drivers/http_codec.h"
#include "drivers/platform_http_codec.h"
#include "drivers/platform_json.h"
#include "fuzz/fuzz_input.h"

using namespace boragelug;

/// Messages of callers, answers of upstreams, and responses of the configuration service.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const FuzzInput input(data, size);
    if (decodeCallerMessage(input.text)) {
        withRemainingTime(input.text, std::chrono::milliseconds(100));
    }
    decodeCallerAnswer(input.text);
    decodeOutcome(input.text);
    UpstreamAnswerReader upstream(false);
    upstream.feed(input.text);
    PlatformRequestReader request;
    if (request.feed(input.text) == HttpProgress::Complete) {
        request.take();
    }
    decodeIndex(input.text);
    decodePart(1, input.text);
    decodeVmList(ZoneId { 1 }, input.text);
    return 0;
}
