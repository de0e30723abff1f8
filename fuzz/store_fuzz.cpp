#include "fuzz/fuzz_input.h"
#include "platform/store_directory.h"
#include "platform/store_types.h"
#include "views/directory_mirror.h"

using namespace boragelug;

/// Responses of the platform's store, from the connection to the mirror.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    constexpr std::size_t maxBody = 1U << 20U;
    const FuzzInput input(data, size);
    PlatformResponseReader reader(maxBody);
    if (reader.feed(input.text) == HttpProgress::Complete) {
        reader.take();
    }
    PlatformHttpResponse response;
    response.body = input.text;
    DirectoryMirror mirror({ .zone = "kgd-north" });
    const TimePoint now { std::chrono::seconds(100) };
    DirectoryCall call;
    call.kind = DirectoryCall::Kind::List;
    const DirectoryAnswer listed = translateStoreResponse(call, response);
    if (const auto *page = std::get_if<DirectoryPage>(&listed.result)) {
        mirror.beginListing(page->asOf);
        mirror.applyPage(*page, now);
        mirror.endListing(now);
    }
    call.kind = DirectoryCall::Kind::Watch;
    const DirectoryAnswer watched = translateStoreResponse(call, response);
    if (const auto *changes = std::get_if<DirectoryChanges>(&watched.result)) {
        mirror.applyChanges(*changes, now);
    }
    mirror.publish();
    readStoreCatalogue(std::string(input.text), "input");
    return 0;
}
