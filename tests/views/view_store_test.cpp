#include "views/view_store.h"

#include "views/view_staging.h"

#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

Service makeService(std::uint32_t id, const std::string &name)
{
    return { { id }, name, 1, 1, {} };
}

PartMap withServices(std::uint64_t version, std::vector<PartItem> items)
{
    PartMap parts;
    parts[parts::services] = std::make_shared<const PartState>(replaceItems(nullptr, std::move(items), version));
    return parts;
}

// Guards against an older catalogue that replaces a newer one.
TEST(ViewStore, AdoptsOnlyHigherVersions)
{
    ViewStore store({});
    EXPECT_EQ(store.adopt(withServices(5, { makeService(1, "a") }), { 5 }), ViewStore::Adoption::Adopted);
    EXPECT_EQ(store.adopt(withServices(4, { makeService(1, "b") }), { 4 }), ViewStore::Adoption::NotHigher);
    EXPECT_EQ(store.adopt(withServices(5, { makeService(1, "b") }), { 5 }), ViewStore::Adoption::NotHigher);
    EXPECT_EQ(store.catalogue().services.front().name, "a");
}

// Guards against an invalid catalogue that takes effect in part or prevents a corrected one from being adopted.
TEST(ViewStore, RejectsAnInvalidCatalogueAsAWholeAndKeepsTheReason)
{
    ViewStore store([](const Catalogue &catalogue) {
        return catalogue.services.front().name.empty() ? std::optional<std::string>("no name") : std::nullopt;
    });
    ASSERT_EQ(store.adopt(withServices(1, { makeService(1, "a") }), { 1 }), ViewStore::Adoption::Adopted);
    EXPECT_EQ(store.adopt(withServices(2, { makeService(1, "") }), { 2 }), ViewStore::Adoption::Invalid);
    EXPECT_EQ(store.version().value, 1U);
    EXPECT_EQ(store.catalogue().services.front().name, "a");
    EXPECT_EQ(store.lastRejected()->version.value, 2U);
    EXPECT_EQ(store.lastRejected()->reason, "no name");
    EXPECT_FALSE(store.isAdoptable({ 2 }));
    EXPECT_EQ(store.adopt(withServices(3, { makeService(1, "c") }), { 3 }), ViewStore::Adoption::Adopted);
}

// Guards against deltas without removals, with which the receiver would keep a removed upstream.
TEST(PartState, DeltaContainsChangesAndRemovals)
{
    const PartState first = replaceItems(nullptr, { makeService(1, "a"), makeService(2, "b") }, 1);
    const PartState second = replaceItems(&first, { makeService(1, "a"), makeService(3, "c") }, 2);
    const ViewDelta delta = deltaSince(second, parts::services, 1);
    ASSERT_EQ(delta.items.size(), 2U);
    EXPECT_EQ(std::get<Service>(delta.items[0].item).id.value, 3U);
    EXPECT_FALSE(delta.items[0].removed);
    EXPECT_EQ(std::get<Service>(delta.items[1].item).id.value, 2U);
    EXPECT_TRUE(delta.items[1].removed);
    EXPECT_EQ(deltaSince(second, parts::services, 0).fromVersion, 0U);
}

// Guards against a content hash that depends on the order of items or on the versions through which they were reached.
TEST(PartState, ContentHashDependsOnContentOnly)
{
    const PartState first = replaceItems(nullptr, { makeService(1, "a"), makeService(2, "b") }, 1);
    const PartState changed = replaceItems(&first, { makeService(1, "x") }, 2);
    const PartState back = replaceItems(&changed, { makeService(2, "b"), makeService(1, "a") }, 9);
    EXPECT_EQ(first.contentHash, back.contentHash);
    EXPECT_NE(first.contentHash, changed.contentHash);
}

// Guards against a state with parts of two catalogues.
TEST(ViewStaging, WaitsForEveryPartOfTheIndex)
{
    ViewStore store({});
    ViewStaging staging(store);
    const TimePoint now {};
    ASSERT_TRUE(staging.setGoalFromIndex({ { 7 }, { { parts::zones, 6 }, { parts::services, 7 } } }, now));
    EXPECT_TRUE(staging.stageContent({ parts::services, 7, { makeService(1, "a") } }, now));
    EXPECT_FALSE(staging.isComplete());
    // A stale replica serves an older part.
    EXPECT_FALSE(staging.stageContent({ parts::zones, 5, { Zone { { 1 }, "z", "r" } } }, now));
    EXPECT_FALSE(staging.isComplete());
    EXPECT_TRUE(staging.stageContent({ parts::zones, 6, { Zone { { 1 }, "z", "r" } } }, now));
    EXPECT_TRUE(staging.isComplete());
}

// Guards against an item of the wrong type in a part, which would be adopted and never removed.
TEST(ViewStaging, RejectsItemsOfAnotherType)
{
    ViewStore store({});
    ViewStaging staging(store);
    ASSERT_TRUE(staging.setGoalFromIndex({ { 7 }, { { parts::zones, 7 } } }, {}));
    EXPECT_FALSE(staging.stageContent({ parts::zones, 7, { makeService(1, "a") } }, {}));
}

// Guards against a part from a peer that counts as complete while one of its pieces is missing.
TEST(ViewStaging, DeltaInPiecesIsCompleteOnlyByContentHash)
{
    ViewStore store({});
    ViewStaging staging(store);
    const PartState wanted = replaceItems(nullptr, { makeService(1, "a"), makeService(2, "b") }, 3);
    const std::uint64_t summary = summaryTerm(parts::services, wanted.contentHash);
    const ViewDigest digest { { 3 }, { { summaryPart, 3, summary }, { parts::services, 3, wanted.contentHash } } };
    ASSERT_TRUE(staging.setGoalFromDigest(digest, {}));
    EXPECT_FALSE(staging.stageDelta({ parts::services, 0, 3, { { 3, false, makeService(2, "b") } } }, {}));
    EXPECT_FALSE(staging.isComplete());
    EXPECT_TRUE(staging.stageDelta({ parts::services, 0, 3, { { 3, false, makeService(1, "a") } } }, {}));
    EXPECT_TRUE(staging.isComplete());
}

} // namespace
} // namespace boragelug
