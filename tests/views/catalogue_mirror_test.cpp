#include "views/catalogue_mirror.h"

#include "core/random.h"

#include <gtest/gtest.h>

#include <map>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;
using Adoption = CatalogueMirror::Adoption;

EntryRecord entry(std::uint32_t address, std::uint32_t priority = 0)
{
    return { .name = EntryName { "entry" },
             .address = { .address = { address }, .port = { 443 } },
             .services = { { .service = "ledger", .weight = 1 } },
             .priority = priority };
}

DirectoryItem catalogue(std::uint64_t version, std::uint64_t revision, std::vector<EntryRecord> entries)
{
    return { .key = "catalogue",
             .revision = { revision },
             .content =
                 CatalogueRecord { .version = { version }, .entries = std::move(entries), .flowIdleTimeout = 15s } };
}

Adoption adopt(CatalogueMirror &mirror, const DirectoryItem &item)
{
    if (const auto *delta = std::get_if<CatalogueDelta>(&item.content)) {
        return mirror.adopt(item, *delta);
    }
    return mirror.adopt(item, std::get<CatalogueRecord>(item.content));
}

// Entries that a page leaves out would be shown to operators as removed.
TEST(CatalogueMirrorTest, PagesHaveAllEntries)
{
    CatalogueMirror mirror;
    EXPECT_TRUE(mirror.entriesAfter(std::nullopt, 5).empty());
    std::vector<EntryRecord> entries;
    for (std::uint32_t i = 1; i <= 10; ++i) {
        entries.push_back(entry(i));
    }
    adopt(mirror, catalogue(1, 10, entries));
    for (std::size_t most = 1; most <= 11; ++most) {
        std::vector<EntryRecord> all;
        std::optional<Endpoint> after;
        for (auto page = mirror.entriesAfter(after, most); !page.empty(); page = mirror.entriesAfter(after, most)) {
            EXPECT_LE(page.size(), most);
            all.insert(all.end(), page.begin(), page.end());
            after = all.back().address;
        }
        EXPECT_EQ(all, entries) << most;
    }
    EXPECT_EQ(mirror.entriesAfter(Endpoint { .address = { 5 }, .port = { 1 } }, 1).front(), entry(5));
}

// A change of one entry of a large catalogue must not cost the bytes of all entries on the way to each VM.
TEST(CatalogueMirrorTest, TellsOnlyWhatChanged)
{
    CatalogueMirror mirror;
    std::vector<EntryRecord> entries;
    for (std::uint32_t i = 1; i <= 1000; ++i) {
        entries.push_back(entry(i));
    }
    adopt(mirror, catalogue(1, 10, entries));
    entries[4] = entry(5, 7);
    entries.erase(entries.begin() + 8);
    entries.push_back(entry(2000));
    EXPECT_EQ(adopt(mirror, catalogue(4, 20, entries)), Adoption::Adopted);
    const DirectoryItem item = mirror.changesFrom({ 1 });
    const auto &delta = std::get<CatalogueDelta>(item.content);
    EXPECT_EQ(delta.version, CatalogueVersion { 4 });
    EXPECT_EQ(delta.changed, (std::vector { entry(5, 7), entry(2000) }));
    ASSERT_EQ(delta.removed.size(), 1U);
    EXPECT_EQ(delta.removed.front(), entry(9).address);
}

// A VM whose version this one never had must get the whole catalogue: changes since then aren't known.
TEST(CatalogueMirrorTest, SendsUnknownVersionsTheWholeCatalogue)
{
    CatalogueMirror mirror;
    adopt(mirror, catalogue(5, 10, { entry(1), entry(2) }));
    for (const std::uint64_t base : { 0, 3, 4 }) {
        const DirectoryItem item = mirror.changesFrom({ base });
        ASSERT_TRUE(std::holds_alternative<CatalogueRecord>(item.content)) << base;
        EXPECT_EQ(std::get<CatalogueRecord>(item.content).entries.size(), 2U);
    }
}

// Changes that start from another version must not be mixed into this one, and an older catalogue must never be
// adopted.
TEST(CatalogueMirrorTest, RefusesChangesOfOtherVersionsAndOlderCatalogues)
{
    CatalogueMirror mirror;
    adopt(mirror, catalogue(5, 10, { entry(1) }));
    CatalogueDelta delta;
    delta.base = CatalogueVersion { 4 };
    delta.version = CatalogueVersion { 6 };
    delta.changed = { entry(2) };
    const DirectoryItem item { .key = "catalogue", .revision = { 20 }, .content = delta };
    EXPECT_EQ(adopt(mirror, item), Adoption::WrongBase);
    EXPECT_EQ(adopt(mirror, catalogue(4, 30, { entry(3) })), Adoption::Older);
    EXPECT_EQ(adopt(mirror, catalogue(5, 30, { entry(3) })), Adoption::AlreadyKnown);
    EXPECT_EQ(mirror.version(), CatalogueVersion { 5 });
    EXPECT_EQ(mirror.entries(), std::vector { entry(1) });
}

// A chain of VMs that pass changes on must end with the catalogue of the first one, whatever versions each missed.
TEST(CatalogueMirrorProperty, ChangesAddUpToTheSameCatalogue)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        SCOPED_TRACE(testing::Message() << "seed " << seed);
        Random random(seed);
        std::vector<CatalogueMirror> chain(4);
        std::map<std::uint32_t, EntryRecord> entries;
        std::uint64_t version = 0;
        for (std::uint64_t revision = 1; revision <= 200; ++revision) {
            version += 1 + random.below(3);
            for (std::uint64_t n = random.below(4); n > 0; --n) {
                const auto address = static_cast<std::uint32_t>(1 + random.below(20));
                if (random.chance(0.4)) {
                    entries.erase(address);
                } else {
                    entries[address] = entry(address, static_cast<std::uint32_t>(random.below(5)));
                }
            }
            std::vector<EntryRecord> list;
            list.reserve(entries.size());
            for (const auto &[address, record] : entries) {
                list.push_back(record);
            }
            adopt(chain.front(), catalogue(version, revision, list));
            for (std::size_t i = 1; i < chain.size(); ++i) {
                if (random.chance(0.7) && chain[i - 1].version().value != 0
                    && chain[i - 1].isNewerThan(chain[i].version(), {})) {
                    EXPECT_EQ(adopt(chain[i], chain[i - 1].changesFrom(chain[i].version())), Adoption::Adopted);
                }
            }
        }
        for (std::size_t i = 1; i < chain.size(); ++i) {
            if (chain[i - 1].isNewerThan(chain[i].version(), {})) {
                adopt(chain[i], chain[i - 1].changesFrom(chain[i].version()));
            }
            EXPECT_EQ(chain[i].entries(), chain.front().entries());
        }
    }
}

} // namespace
} // namespace boragelug
