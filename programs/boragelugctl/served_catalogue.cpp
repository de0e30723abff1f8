#include "programs/boragelugctl/served_catalogue.h"

#include "drivers/directory_json.h"
#include "programs/boragelugctl/fleet_client.h"

#include <optional>
#include <utility>

namespace boragelug
{
namespace
{

using Result = Outcome<CatalogueRecord, std::string>;

/// The catalogue may change while it is read.
constexpr int maxReads = 3;

Outcome<CataloguePage, std::string> readPage(const Endpoint &vm, const std::optional<Endpoint> &after, Duration timeout)
{
    using Page = Outcome<CataloguePage, std::string>;
    const std::string target = "/catalogue" + (after ? "?after=" + toString(*after) : "");
    const auto answers = askFleet({ { vm, target } }, timeout);
    if (!answers.front()) {
        return Page::failure(answers.front().lastReason());
    }
    auto page = cataloguePageFromJson(answers.front()->body);
    if (!page) {
        return Page::failure("the answer is no catalogue: " + page.lastReason());
    }
    // Each page must lead further, or the reading would never end.
    for (const EntryRecord &entry : page->record.entries) {
        if (after && !(*after < entry.address)) {
            return Page::failure("the answer repeats entries of an earlier one");
        }
    }
    if (page->more && page->record.entries.empty()) {
        return Page::failure("the answer has no entries, but says that there are more");
    }
    return page;
}

/// One reading; std::nullopt if the version changed meanwhile.
std::optional<Result> readOnce(const Endpoint &vm, Duration timeout)
{
    CatalogueRecord catalogue;
    std::optional<Endpoint> after;
    while (true) {
        auto page = readPage(vm, after, timeout);
        if (!page) {
            return Result::failure(page.lastReason());
        }
        if (after && page->record.version != catalogue.version) {
            return std::nullopt;
        }
        if (!after) {
            catalogue = std::move(page.value().record);
        } else {
            catalogue.entries.insert(catalogue.entries.end(), page->record.entries.begin(), page->record.entries.end());
        }
        if (!page->more) {
            return std::optional<Result>(std::move(catalogue));
        }
        after = catalogue.entries.back().address;
    }
}

} // namespace

Outcome<CatalogueRecord, std::string> readServedCatalogue(const Endpoint &vm, Duration timeout)
{
    for (int i = 0; i < maxReads; ++i) {
        if (auto result = readOnce(vm, timeout)) {
            return std::move(*result);
        }
    }
    return Result::failure("the catalogue changed each time while it was read");
}

} // namespace boragelug
