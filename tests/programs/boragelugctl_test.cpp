#include "drivers/admin_json.h"
#include "drivers/admin_server.h"
#include "drivers/asio_runtime.h"
#include "drivers/counting_metric_sink.h"
#include "drivers/event_text.h"
#include "drivers/view_file.h"
#include "drivers/yaml_catalogue.h"
#include "programs/boragelugctl/catalogue_json.h"
#include "programs/boragelugctl/commands.h"
#include "programs/boragelugctl/fleet_status.h"

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <sysexits.h>

namespace boragelug
{
namespace
{

using testing::HasSubstr;

/// Result of one run of the program.
struct CommandRun
{
    int code = 0;
    std::string out;
    std::string err;
};

CommandRun run(const CommandWords &words)
{
    std::ostringstream out;
    std::ostringstream err;
    const int code = runProgram(words, { out, err });
    return { code, out.str(), err.str() };
}

std::string sourcePath(const std::string &name)
{
    return std::string(BORAGELUG_SOURCE_DIR) + '/' + name;
}

// Guards against scripts that can't tell wrong usage from wrong data.
TEST(Boragelugctl, UsesSysexits)
{
    EXPECT_EQ(run({ "--help" }).code, EX_OK);
    EXPECT_THAT(run({ "--version" }).out, HasSubstr("boragelugctl 0."));
    for (const char *command : { "check", "diff", "catalogue", "timeline", "status", "explain", "load" }) {
        const CommandRun help = run({ command, "--help" });
        EXPECT_EQ(help.code, EX_OK) << command;
        EXPECT_THAT(help.out, HasSubstr(std::string("Usage: boragelugctl ") + command));
    }
    const std::vector<std::pair<CommandWords, std::string>> misuse = {
        { {}, "no command given" },
        { { "chek" }, "unknown command 'chek'" },
        { { "check" }, "needs --settings or --catalogue or --directory-catalogue" },
        { { "check", "-c", "a", "-l", "b" }, "--listing needs --directory-catalogue" },
        { { "check", "--sett" }, "missing value after '--sett'" },
        { { "check", "-z" }, "unknown or ambiguous option '-z'" },
        { { "diff", "one" }, "needs two catalogue files" },
        { { "diff", "-d", "a" }, "--directory-catalogue needs one of --against and --vm" },
        { { "diff", "-a", "a", "b", "c" }, "--directory-catalogue needs one of --against and --vm" },
        { { "diff", "-d", "a", "-a", "b", "-v", "127.0.0.1:1" }, "--directory-catalogue needs one of --against" },
        { { "diff", "-d", "a", "-v", "127.0.0.1:1", "-v", "127.0.0.1:2" }, "with the catalogue of one VM" },
        { { "diff", "-d", "a", "-a", "b", "c" }, "takes no other catalogue than that of --against" },
        { { "catalogue", "x" }, "needs 'to-json'" },
        { { "status" }, "name at least one VM" },
        { { "status", "-v", "localhost" }, "'localhost' is no admin endpoint" },
        { { "status", "-v", "127.0.0.1:1", "-t", "3" }, "--timeout must be a time" },
        { { "timeline", "-v", "127.0.0.1:1", "-C", "x" }, "--clock-error must be a time" },
        { { "explain", "-v", "127.0.0.1:1" }, "exactly one of --flow and --request" },
        { { "load" }, "needs one description" },
        { { "load", "compare", "a" }, "needs two result files" },
    };
    for (const auto &[words, message] : misuse) {
        const CommandRun result = run(words);
        EXPECT_EQ(result.code, EX_USAGE) << message;
        EXPECT_THAT(result.err, HasSubstr(message));
    }
    EXPECT_EQ(run({ "check", "-s", "missing.yaml" }).code, EX_CONFIG);
    EXPECT_EQ(run({ "check", "-c", "missing.yaml" }).code, EX_DATAERR);
    EXPECT_EQ(run({ "check", "-d", "missing.json" }).code, EX_DATAERR);
    EXPECT_EQ(run({ "load", "missing.yaml" }).code, EX_DATAERR);
}

// Guards scripts that check a catalogue of the directory: each finding is one line, and the exit code tells of it.
TEST(Boragelugctl, ChecksACatalogueOfTheDirectory)
{
    const std::string folder = ::testing::TempDir();
    const std::string path = folder + "/directory_catalogue.json";
    const std::string listing = folder + "/directory_listing.json";
    const auto write = [](const std::string &file, const std::string &text) { std::ofstream(file) << text; };
    write(path, R"({"version":1,"routes":[{"name":"x","host":"198.18.0.1","prefix":"/1/","service":"a"}]})");
    write(listing, R"({"as_of":1,"items":[],"has_more":false})");
    EXPECT_EQ(run({ "check", "-d", path }).code, EX_OK);
    const CommandRun found = run({ "check", "-d", path, "-l", listing });
    EXPECT_EQ(found.code, EX_DATAERR);
    EXPECT_THAT(found.err, HasSubstr("routes[0].service: names the service a, which has no host"));
    EXPECT_EQ(std::count(found.err.begin(), found.err.end(), '\n'), 1);
    write(listing, "[]");
    EXPECT_THAT(run({ "check", "-d", path, "-l", listing }).err, HasSubstr("is not a page of items"));
}

// Guards against examples that the programs refuse.
TEST(Boragelugctl, ExamplesAreValid)
{
    for (const char *name : { "karagandy", "menig" }) {
        const std::string folder = sourcePath(std::string("examples/") + name);
        CommandWords words { "check", "-c", folder + "/catalogue.yaml" };
        std::size_t settings = 0;
        for (const auto &file : std::filesystem::directory_iterator(folder + "/settings")) {
            words.insert(words.end(), { "-s", file.path().string() });
            ++settings;
        }
        EXPECT_GE(settings, 7U);
        const CommandRun result = run(words);
        EXPECT_EQ(result.code, EX_OK) << result.err;
        const Catalogue catalogue = *loadCatalogue(folder + "/catalogue.yaml");
        const auto readBack = parseViewFile(catalogueToJson(catalogue));
        ASSERT_TRUE(readBack) << readBack.lastReason();
        EXPECT_EQ(readBack->catalogue.services, catalogue.services);
        EXPECT_EQ(readBack->catalogue.zones, catalogue.zones);
        EXPECT_EQ(readBack->catalogue.entries.size(), catalogue.entries.size());
    }
    const CommandRun other = run({ "check",
                                   "-c",
                                   sourcePath("examples/menig/catalogue.yaml"),
                                   "-s",
                                   sourcePath("examples/karagandy/settings/vm-101.yaml") });
    EXPECT_EQ(other.code, EX_CONFIG);
    EXPECT_THAT(other.err, HasSubstr("zone: is the unknown zone kgd-north"));
}

// Guards against parts that all VMs fetch again although they didn't change, and against upstreams that a new
// catalogue removes from the index.
TEST(Boragelugctl, ToJsonKeepsVersionsOfUnchangedParts)
{
    Catalogue catalogue = *loadCatalogue(sourcePath("examples/karagandy/catalogue.yaml"));
    PlatformValues values = *catalogueToPlatform(catalogue, 4, {});
    const auto index = [&values] { return nlohmann::json::parse(values.at("/v1/index")); };
    EXPECT_EQ(index()["parts"]["zones"], 1);
    EXPECT_EQ(index()["parts"]["entries"].size(), 4U);
    EXPECT_TRUE(index()["parts"]["upstreams"].empty());
    std::size_t entries = 0;
    for (std::size_t shard = 0; shard < 4; ++shard) {
        const auto found = values.find("/v1/parts/entries/" + std::to_string(shard));
        EXPECT_EQ(index()["parts"]["entries"][shard] == 0, found == values.end());
        entries += found == values.end() ? 0 : nlohmann::json::parse(found->second)["items"].size();
    }
    EXPECT_EQ(entries, catalogue.entries.size());

    auto withUpstreams = index();
    withUpstreams["parts"]["upstreams"] = { 1, 0 };
    values["/v1/index"] = withUpstreams.dump();
    catalogue.version.value = 2;
    catalogue.entries[0].limits.openFlows = 7;
    values = *catalogueToPlatform(catalogue, 4, values);
    EXPECT_EQ(index()["version"], 2);
    EXPECT_EQ(index()["parts"]["zones"], 1);
    EXPECT_EQ(index()["parts"]["services"], 1);
    const auto versions = index()["parts"]["entries"].get<std::vector<int>>();
    EXPECT_EQ(std::count(versions.begin(), versions.end(), 2), 1);
    EXPECT_EQ(index()["parts"]["upstreams"], (nlohmann::json { 1, 0 }));
    EXPECT_EQ(*catalogueToPlatform(catalogue, 4, values), values);
    catalogue.entries[0].limits.openFlows = 8;
    EXPECT_EQ(catalogueToPlatform(catalogue, 4, values).lastReason(), "version 2 must be above the served version 2");
    EXPECT_FALSE(catalogueToPlatform(catalogue, 4, { { "/v1/index", "{" } }));
}

// Guards against a folder of values that the next run can't read back.
TEST(Boragelugctl, ToJsonWritesAndReadsFolder)
{
    const std::string folder = testing::TempDir() + "values_" + std::to_string(::getpid());
    const std::string file = sourcePath("examples/menig/catalogue.yaml");
    EXPECT_EQ(run({ "catalogue", "to-json", "-o", folder, file }).code, EX_OK);
    EXPECT_TRUE(std::filesystem::exists(folder + "/v1/parts/zones.json"));
    const CommandRun again = run({ "catalogue", "to-json", "-p", folder, file });
    EXPECT_EQ(again.code, EX_OK) << again.err;
    EXPECT_THAT(again.out, HasSubstr("/v1/index {\"parts\""));
    std::filesystem::remove_all(folder);
    EXPECT_EQ(run({ "catalogue", "to-json", "-s", "257", file }).code, EX_USAGE);
}

// Guards against a breaking change that passes an automatic check.
TEST(Boragelugctl, DiffShowsAndForbidsBreakingChanges)
{
    const std::string before = sourcePath("examples/karagandy/catalogue.yaml");
    std::ifstream stream(before);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    text.replace(text.find("10.20.100.1:9000"), 16, "10.20.100.9:9000");
    const std::string after = testing::TempDir() + "catalogue_" + std::to_string(::getpid()) + ".yaml";
    std::ofstream(after) << text;
    const CommandRun result = run({ "diff", "--forbid-breaking", before, after });
    EXPECT_EQ(result.code, EX_DATAERR);
    EXPECT_THAT(result.out, HasSubstr("entry price-board changed [breaks_work] owner weighmasters"));
    EXPECT_THAT(result.err, HasSubstr("version 1 is not higher than 1, so VMs ignore it"));
    EXPECT_THAT(run({ "diff", "--json", before, after }).out, HasSubstr("\"impact\": \"breaks_work\""));
    EXPECT_EQ(run({ "diff", "--forbid-breaking", before, before }).out, "no differences\n");
    std::filesystem::remove(after);
}

// Guards scripts that compare a catalogue of the directory with the one in force before they write it.
TEST(Boragelugctl, DiffsCataloguesOfTheDirectory)
{
    const std::string old = testing::TempDir() + "old_" + std::to_string(::getpid()) + ".json";
    const std::string path = testing::TempDir() + "new_" + std::to_string(::getpid()) + ".json";
    const auto write = [](const std::string &file, const std::string &version, const std::string &routes) {
        std::ofstream(file) << R"({"version":)" << version << R"(,"routes":[)" << routes << "]}";
    };
    const std::string board = R"({"name":"a board","host":"198.18.0.1","prefix":"/1/","service":"a","timeout_ms":)";
    write(old, "1", board + "900}");
    write(path, "2", board + R"(1000},{"name":"x","host":"198.18.0.1","prefix":"/2/","service":"a\nb"})");
    const CommandRun changed = run({ "diff", "-f", "-d", path, "--against", old });
    EXPECT_EQ(changed.code, EX_OK) << changed.err;
    EXPECT_EQ(changed.out,
              "entry \"a board\" timeout: 900ms -> 1s\n"
              "entry x added: address=198.18.0.1:2 services=\"a\\nb\" idempotent=false latency_objective=none "
              "timeout=none priority=100\n");
    EXPECT_EQ(run({ "diff", "-d", old, "-a", old }).out, "no differences\n");
    const CommandRun removed = run({ "diff", "-f", "-d", old, "-a", path });
    EXPECT_EQ(removed.code, EX_DATAERR);
    EXPECT_THAT(removed.out, HasSubstr("entry x removed: address=198.18.0.1:2"));
    EXPECT_THAT(removed.err, HasSubstr("version 1 is not higher than 2, so VMs ignore it"));
    EXPECT_EQ(run({ "diff", "-d", old, "-a", path }).code, EX_OK);
    EXPECT_THAT(run({ "diff", "-j", "-d", path, "-a", old }).out, HasSubstr("\"impact\": \"new_work\""));
    write(path, "2", board + R"("soon"})");
    const CommandRun wrong = run({ "diff", "-d", path, "-a", old });
    EXPECT_EQ(wrong.code, EX_DATAERR);
    EXPECT_THAT(wrong.err, HasSubstr("routes[0].timeout_ms: must be an integer"));
    EXPECT_EQ(std::count(wrong.err.begin(), wrong.err.end(), '\n'), 1);
    EXPECT_EQ(wrong.out, "");
    const CommandRun missing = run({ "diff", "-d", old, "-a", "missing.json" });
    EXPECT_EQ(missing.code, EX_DATAERR);
    EXPECT_EQ(missing.err, "missing.json: can't be opened for reading\n");
    std::filesystem::remove(old);
    std::filesystem::remove(path);
}

/// Shows 3 events over two pages and a fixed status.
class ExampleSource : public AdminSource
{
public:
    ReadinessReport readiness() const override { return { Readiness::Ready, "" }; }
    StatusReport status() const override
    {
        StatusReport report;
        report.vm = VmId { 7 };
        report.readiness = readiness();
        EntryUse use;
        use.owner = OwnerName { "brokers" };
        use.answered = 3;
        use.refused = 1;
        report.entries = { use, use };
        report.slowUpstreams = { { UpstreamId { 9 }, "ledger", 4.5 } };
        return report;
    }
    EventSelection events(const EventFilter &, std::uint64_t after, std::size_t) const override
    {
        EventSelection selection;
        Event event;
        event.vm = VmId { 7 };
        event.sequence = after + 1;
        event.time.wallMicroseconds = 1000 * (after + 1);
        selection.events = { event };
        selection.truncated = after < 2;
        selection.displaced = 5;
        return selection;
    }
    Outcome<Explanation, std::string> explain(const ExplainQuery &) const override { return Explanation {}; }
    /// Pages of two entries. The version changes while the first reading is in progress.
    Outcome<CataloguePage, std::string> catalogue(const std::optional<Endpoint> &after, std::size_t) const override
    {
        CataloguePage page;
        page.record.version = CatalogueVersion { ++catalogueReads < 2 ? 4U : 5U };
        page.record.services = { { .name = "a", .coldStart = std::chrono::seconds(2), .coldRequestsPerSecond = 20 } };
        const int first = after ? after->port.value + 1 : 1;
        for (int port = first; port < first + 2 && port <= 5; ++port) {
            EntryRecord entry;
            entry.name = EntryName { "e" + std::to_string(port) };
            entry.address = *parseEndpoint("198.18.0.1:" + std::to_string(port));
            entry.services = { { .service = "a", .weight = 1 } };
            entry.priority = 100;
            page.record.entries.push_back(std::move(entry));
        }
        page.more = repeatsPages || first + 1 < 5;
        return page;
    }
    std::string metrics() const override { return {}; }

    mutable std::atomic<int> catalogueReads = 0;
    std::atomic<bool> repeatsPages = false;
};

/// An admin server on its own thread, since the commands block.
class FleetTest : public testing::Test
{
protected:
    FleetTest()
    {
        EXPECT_EQ(server_.start(*parseEndpoint("127.0.0.1:0")), "");
        endpoint_ = toString(server_.localEndpoint());
        thread_ = std::thread([this] { context_.run(); });
    }

    ~FleetTest() override
    {
        asio::post(context_, [this] { server_.stop(); });
        thread_.join();
    }

    /// A port on which nothing listens any more.
    static std::string closedPort()
    {
        asio::io_context context;
        const asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    asio::io_context context_;
    ExampleSource source_;
    BootTimeClock clock_;
    CountingMetricSink metrics_;
    AdminServer server_ { context_, source_, clock_, metrics_ };
    std::string endpoint_;
    std::thread thread_;
};

// Guards against a time line that silently leaves out VMs or displaced events.
TEST_F(FleetTest, TimelineReadsAllPagesAndNamesMissingVms)
{
    const std::string closed = closedPort();
    const CommandRun result = run({ "timeline", "-v", endpoint_, "-v", closed, "--json" });
    EXPECT_EQ(result.code, EX_TEMPFAIL);
    EXPECT_EQ(std::count(result.out.begin(), result.out.end(), '\n'), 3);
    EXPECT_THAT(result.out, HasSubstr("\"order\":\"certain\"}"));
    EXPECT_THAT(result.err, HasSubstr("missing: VM at " + closed + ": Connection refused"));
    EXPECT_THAT(result.err, HasSubstr("gap: VM at " + endpoint_ + " no longer has 5 earlier events"));
    EXPECT_EQ(run({ "timeline", "-v", closed }).code, EX_UNAVAILABLE);
}

TEST_F(FleetTest, StatusAddsUpOwners)
{
    const CommandRun result = run({ "status", "-v", endpoint_, "-v", endpoint_ });
    EXPECT_EQ(result.code, EX_OK) << result.err;
    EXPECT_THAT(result.out, testing::ContainsRegex("brokers +0\\.0 +0 +0\\.0 +0 +0 +12 +4 +0 +75\\.0"));
    const CommandRun partial = run({ "status", "-v", endpoint_, "-v", closedPort() });
    EXPECT_EQ(partial.code, EX_TEMPFAIL);
    EXPECT_THAT(partial.out, HasSubstr("no answer: Connection refused"));
    EXPECT_THAT(run({ "status", "-j", "-v", endpoint_ }).out, HasSubstr("\"endpoint\""));
}

// Guards operators from a host that gets little without a visible reason.
TEST_F(FleetTest, StatusShowsSlowUpstreams)
{
    const CommandRun result = run({ "status", "-v", endpoint_, "-v", endpoint_ });
    EXPECT_THAT(result.out, testing::ContainsRegex("ledger +" + causeText(9) + " +4\\.5 +2"));
}

TEST_F(FleetTest, ExplainAsksEachVm)
{
    const CommandRun result = run({ "explain", "-v", endpoint_, "-f", "udp,10.0.0.1:5,10.0.0.2:6" });
    EXPECT_EQ(result.code, EX_OK) << result.err;
    EXPECT_THAT(result.out, HasSubstr("\"candidates\""));
    EXPECT_EQ(run({ "explain", "-v", closedPort(), "-r", "id" }).code, EX_UNAVAILABLE);
}

// Guards against a comparison with half of the catalogue in force, or with parts of two versions.
TEST_F(FleetTest, DiffComparesWithTheCatalogueOfAVm)
{
    const std::string path = testing::TempDir() + "next_" + std::to_string(::getpid()) + ".json";
    std::string routes;
    for (int port = 1; port <= 5; ++port) {
        routes += std::string(port == 1 ? "" : ",") + R"({"host":"198.18.0.1","prefix":"/)" + std::to_string(port)
            + R"(/","service":"a","name":"e)" + std::to_string(port) + R"(","priority":)" + (port == 4 ? "3}" : "100}");
    }
    std::ofstream(path) << R"({"version":6,"services":{"a":{"cold_per_s":20,"cold_start_s":2}},"routes":[)" << routes
                        << "]}";
    const CommandRun result = run({ "diff", "-d", path, "-v", endpoint_ });
    EXPECT_EQ(result.code, EX_OK) << result.err;
    EXPECT_EQ(result.out, "entry e4 priority: 100 -> 3\n");
    const CommandRun closed = run({ "diff", "-d", path, "-v", closedPort() });
    EXPECT_EQ(closed.code, EX_UNAVAILABLE);
    EXPECT_THAT(closed.err, HasSubstr("Connection refused"));
    source_.repeatsPages = true;
    const CommandRun endless = run({ "diff", "-d", path, "-v", endpoint_ });
    EXPECT_EQ(endless.code, EX_UNAVAILABLE);
    EXPECT_THAT(endless.err, HasSubstr("has no entries, but says that there are more"));
    std::filesystem::remove(path);
}

} // namespace
} // namespace boragelug
