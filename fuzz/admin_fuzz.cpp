#include "drivers/admin_codec.h"
#include "drivers/directory_json.h"
#include "fuzz/fuzz_input.h"

#include <algorithm>

using namespace boragelug;

namespace
{

bool isControl(char c)
{
    return static_cast<unsigned char>(c) < 32 || c == 127;
}

} // namespace

/// Requests to the admin server, and its answers as boragelugctl reads them.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const FuzzInput input(data, size);
    readAdminRequest(input.text);
    decodeAdminAnswer(input.text, 1U << 16U);
    parseTarget(input.text);
    if (const auto page = cataloguePageFromJson(input.text)) {
        const auto again = cataloguePageFromJson(cataloguePageToJson(*page));
        require(again && *again == *page);
    }
    // Only control characters are rejected once they are decoded.
    const auto target = parseTarget("/events?cause=" + encodeQueryValue(input.text));
    require(target ? target->query.at("cause") == input.text
                   : std::any_of(input.text.begin(), input.text.end(), isControl));
    return 0;
}
