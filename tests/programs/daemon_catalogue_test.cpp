#include "daemon_test.h"
#include "programs/boragelugctl/commands.h"

#include <sstream>

#include <sysexits.h>

namespace boragelug
{
namespace
{

using namespace std::chrono_literals;

class DaemonCatalogueTest : public DaemonTest
{
protected:
    CatalogueRecord makeCatalogue(std::uint64_t version, std::uint16_t entries) const
    {
        CatalogueRecord catalogue;
        catalogue.version = CatalogueVersion { version };
        for (std::uint16_t i = 0; i < entries; ++i) {
            catalogue.entries.push_back({ .name = EntryName { "e" + std::to_string(1000 + i) },
                                          .address = at(50, static_cast<std::uint16_t>(1000 + i)),
                                          .services = { { .service = "ledger", .weight = 1 } },
                                          .latencyObjective = 1s });
        }
        return catalogue;
    }

    /// What a comparison of @p catalogue with the one in force writes.
    std::string differences(const CatalogueRecord &catalogue)
    {
        const std::string path = folder_ / "next.json";
        std::ofstream(path) << soak::catalogueValue(catalogue);
        std::ostringstream out;
        const int code = runProgram({ "diff", "-d", path, "-v", toString(at(10, adminPort)) }, { out, out });
        return out.str() + (code == EX_OK ? "" : "exit code " + std::to_string(code) + '\n');
    }
};

// Guards operators against differences from a catalogue that the VM doesn't use, or from its first page only.
TEST_F(DaemonCatalogueTest, ShowsDifferencesFromTheCatalogueInForce)
{
    ASSERT_TRUE(logsAfter("process_ready"));
    const std::string address = toString(at(50, 443));
    EXPECT_EQ(differences(makeCatalogue(8, 0)).find("entry board removed: address=" + address), 0U);
    constexpr std::uint16_t count = 2500;
    const CatalogueRecord served = makeCatalogue(8, count);
    store_.set(soak::catalogueKey(), soak::catalogueValue(served));
    // The admin server limits the rate of requests.
    ASSERT_TRUE(holdsAfter([&] { return differences(served) == "no differences\n"; }, [&] { runFor(300ms); }));
    CatalogueRecord next = served;
    next.version = CatalogueVersion { 9 };
    next.entries[count - 1].latencyObjective = 2s;
    next.entries[3].services[0].service = "scans";
    EXPECT_EQ(differences(next),
              "entry e1003 services: ledger -> scans\n"
              "entry e3499 latency_objective: 1s -> 2s\n");
}

} // namespace
} // namespace boragelug
