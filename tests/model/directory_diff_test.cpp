#include "model/directory_diff.h"

#include <algorithm>
#include <random>

#include <gtest/gtest.h>

namespace boragelug
{
namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

EntryRecord makeEntry(const std::string &name, const std::string &address)
{
    EntryRecord entry;
    entry.name = EntryName { name };
    entry.address = *parseEndpoint(address);
    entry.services = { { .service = "ledger", .weight = 1 } };
    entry.latencyObjective = milliseconds(400);
    entry.timeout = milliseconds(2500);
    entry.priority = 5;
    return entry;
}

CatalogueRecord exampleCatalogue()
{
    CatalogueRecord catalogue;
    catalogue.version = CatalogueVersion { 3 };
    catalogue.entries = { makeEntry("board", "198.18.0.1:443"), makeEntry("audit", "198.18.0.1:444") };
    catalogue.flowIdleTimeout = seconds(15);
    catalogue.services = { { .name = "ledger", .coldStart = seconds(2), .coldRequestsPerSecond = 20 } };
    return catalogue;
}

/// All differences as text, one line each.
std::string differences(const CatalogueRecord &before, const CatalogueRecord &after)
{
    std::string text;
    for (const CatalogueChange &change : diffDirectoryCatalogues(before, after).changes) {
        const std::string item = change.item + ' ' + change.name;
        if (change.kind != ChangeKind::Changed) {
            text += item + (change.kind == ChangeKind::Added ? " added\n" : " removed\n");
            continue;
        }
        for (const FieldChange &field : change.fields) {
            text += item + ' ' + field.field + ": " + field.before + " -> " + field.after + '\n';
        }
    }
    return text;
}

struct Change
{
    void (*apply)(CatalogueRecord &);
    std::string lines;
    ChangeImpact impact;
};

// Guards operators against a change of the configuration that they aren't shown, or that seems harmless.
TEST(DirectoryDiff, ShowsEachChange)
{
    using Record = CatalogueRecord;
    constexpr ChangeImpact breaks = ChangeImpact::BreaksWork;
    constexpr ChangeImpact newWork = ChangeImpact::NewWork;
    const std::vector<Change> changes = {
        { [](Record &c) { c.entries[0].address.port.value = 445; },
          "entry board address: 198.18.0.1:443 -> 198.18.0.1:445\n",
          breaks },
        { [](Record &c) { c.entries[0].services[0].service = "x"; }, "entry board services: ledger -> x\n", breaks },
        { [](Record &c) {
             c.entries[0].services.push_back({ "x", 3 });
         },
          "entry board services: ledger -> ledger:1,x:3\n",
          newWork },
        { [](Record &c) { c.entries[0].priority = 0; }, "entry board priority: 5 -> 0\n", newWork },
        { [](Record &c) { c.entries[0].latencyObjective = {}; },
          "entry board latency_objective: 400ms -> none\n",
          newWork },
        { [](Record &c) { c.entries[0].timeout = seconds(3); },
          "entry board timeout: 2500ms -> 3s\n",
          ChangeImpact::None },
        { [](Record &c) { c.entries[0].idempotent = true; }, "entry board idempotent: false -> true\n", newWork },
        { [](Record &c) { c.entries[0].name.value = "x"; }, "entry x name: board -> x\n", ChangeImpact::None },
        { [](Record &c) { c.entries.pop_back(); }, "entry audit removed\n", breaks },
        { [](Record &c) { c.entries.push_back(makeEntry("x", "198.18.0.2:1")); }, "entry x added\n", newWork },
        { [](Record &c) { c.flowIdleTimeout.reset(); }, "flows all idle_timeout: 15s -> none\n", newWork },
        { [](Record &c) { c.services[0].coldStart = seconds(4); }, "service ledger cold_start: 2s -> 4s\n", newWork },
        { [](Record &c) { c.services[0].coldRequestsPerSecond = 0.5; },
          "service ledger cold_requests_per_second: 20 -> 0.5\n",
          newWork },
        { [](Record &c) { c.services.clear(); },
          "service ledger cold_start: 2s -> none\nservice ledger cold_requests_per_second: 20 -> none\n",
          newWork },
        { [](Record &) {}, "", ChangeImpact::None },
    };
    const CatalogueRecord before = exampleCatalogue();
    for (const Change &change : changes) {
        CatalogueRecord after = before;
        after.version = CatalogueVersion { 4 };
        change.apply(after);
        EXPECT_EQ(differences(before, after), change.lines);
        const CatalogueDiff diff = diffDirectoryCatalogues(before, after);
        EXPECT_EQ(highestImpact(diff), change.impact) << change.lines;
        EXPECT_TRUE(diff.isNewer);
        EXPECT_FALSE(diffDirectoryCatalogues(after, before).isNewer);
    }
}

// Guards against entries that are paired with others of the same name, or shown although no VM uses them.
TEST(DirectoryDiff, MatchesEntriesWithoutUniqueNames)
{
    CatalogueRecord before = exampleCatalogue();
    before.entries = { makeEntry("", "198.18.0.1:1"),
                       makeEntry("", "198.18.0.1:2"),
                       makeEntry("a", "198.18.0.1:3"),
                       makeEntry("a", "198.18.0.1:4") };
    CatalogueRecord after = before;
    std::reverse(after.entries.begin(), after.entries.end());
    EXPECT_EQ(differences(before, after), "");
    after.entries[3].address.port.value = 9;
    after.entries[0].priority = 6;
    EXPECT_EQ(differences(before, after),
              "entry 198.18.0.1:1 removed\nentry 198.18.0.1:9 added\n"
              "entry a@198.18.0.1:4 priority: 5 -> 6\n");
    after = before;
    EntryRecord hidden = after.entries[2];
    hidden.priority = 99;
    after.entries.insert(after.entries.begin(), hidden);
    EXPECT_EQ(differences(before, after), "");
    after.entries.push_back(hidden);
    EXPECT_EQ(differences(before, after), "entry a@198.18.0.1:3 priority: 5 -> 99\n");
}

// Guards against swapped addresses that are shown as renamed entries.
TEST(DirectoryDiff, ShowsSwappedAddresses)
{
    const CatalogueRecord before = exampleCatalogue();
    CatalogueRecord after = before;
    std::swap(after.entries[0].address, after.entries[1].address);
    EXPECT_EQ(differences(before, after),
              "entry audit address: 198.18.0.1:444 -> 198.18.0.1:443\n"
              "entry board address: 198.18.0.1:443 -> 198.18.0.1:444\n");
}

/// Whether VMs would do the same with both catalogues, decided without pairing entries.
bool areSame(const CatalogueRecord &a, const CatalogueRecord &b)
{
    const auto entries = [](const CatalogueRecord &catalogue) {
        std::map<Endpoint, EntryRecord> used;
        for (const EntryRecord &entry : catalogue.entries) {
            used[entry.address] = entry;
        }
        return used;
    };
    return entries(a) == entries(b);
}

// Guards against differences that depend on the order in a file, are missed, or are shown between equal catalogues.
TEST(DirectoryDiff, AgreesWithANaiveComparison)
{
    std::mt19937 random(40);
    const auto pick = [&random](unsigned count) { return static_cast<unsigned>(random() % count); };
    const auto make = [&] {
        CatalogueRecord catalogue = exampleCatalogue();
        catalogue.entries.clear();
        for (unsigned i = pick(4); i > 0; --i) {
            catalogue.entries.push_back(
                makeEntry(std::string(pick(3), 'a'), "198.18.0.1:" + std::to_string(1 + pick(3))));
            catalogue.entries.back().idempotent = pick(2) == 0;
        }
        return catalogue;
    };
    for (int i = 0; i < 20'000; ++i) {
        const CatalogueRecord before = make();
        CatalogueRecord after = make();
        const std::string lines = differences(before, after);
        ASSERT_EQ(lines.empty(), areSame(before, after)) << lines;
        ASSERT_EQ(lines.empty(), differences(after, before).empty()) << lines;
        // Only the order of entries with the same address matters.
        std::stable_sort(after.entries.begin(), after.entries.end(), [](const auto &a, const auto &b) {
            return b.address < a.address;
        });
        ASSERT_EQ(differences(before, after), lines);
    }
}

} // namespace
} // namespace boragelug
