#include "platform/store_types.h"

#include <gtest/gtest.h>

#include <utility>
#include <vector>

namespace boragelug
{
namespace
{

/// A catalogue with one route of @p fields besides its address, and @p rest on the third line.
std::string catalogue(const std::string &fields, const std::string &rest = R"("services": [])")
{
    return "{\"version\": 1, \"routes\": [\n  {\"host\": \"198.18.0.1\", \"prefix\": \"/1/\", " + fields + "}],\n  "
        + rest + "}";
}

std::string read(const std::string &text)
{
    const auto record = readStoreCatalogue(text, "new.json");
    std::string all;
    if (!record) {
        for (const Problem &problem : record.lastReason()) {
            all += toString(problem) + '\n';
        }
    }
    return all;
}

// Guards against an accepted catalogue that is refused here, such as one with unused keys.
TEST(StoreTypes, AcceptsWhatVmsUse)
{
    EXPECT_EQ(read(catalogue(R"("service": "a", "timeout_ms": null, "unused": [], "priority": 1000)",
                             R"("services": {"a": {"cold_per_s": 0.5, "cold_start_s": 1}}, "unused": 7)")),
              "");
    EXPECT_EQ(read(catalogue(R"("backends": [{"service": "a", "weight": 1}, {"service": "b", "weight": 0}])")), "");
}

// Guards operators against a wrong value that VMs ignore, so that a comparison would show another one.
TEST(StoreTypes, NamesThePlaceOfEachWrongValue)
{
    const std::string service = R"("service": "a", )";
    const std::vector<std::pair<std::string, std::string>> mistakes {
        { catalogue(service + R"("timeout_ms": "9")"),
          "new.json:2:73: routes[0].timeout_ms: must be an integer from 0 to 31622400000\n" },
        { catalogue(service + R"("target_latency_ms": 1.5)"), "new.json:2:80: routes[0].target_latency_ms: must be" },
        { catalogue(service + R"("timeout_ms": -1)"), "routes[0].timeout_ms: must be" },
        { catalogue(service + R"("timeout_ms": 1e300)"), "routes[0].timeout_ms: must be" },
        { catalogue(service + R"("priority": "x")"), "routes[0].priority: must be an integer from 0 or more" },
        { catalogue(service + R"("name": 7)"), "routes[0].name: must be a text" },
        { catalogue(service + R"("route_type": true)"), "routes[0].route_type: must be a text" },
        { catalogue(R"("service": 7)"), "routes[0].service: must be a text" },
        { catalogue(R"("backends": {})"), "routes[0].backends: must be a list" },
        { catalogue(R"("backends": [{"service": "a", "weight": "1"}])"), "routes[0].backends[0].weight: must be" },
        { catalogue(R"("backends": [{"service": "a"}])"), "routes[0].backends[0]: must be an object with" },
        { catalogue(R"("name": "x")"), "new.json:2:3: routes[0]: is refused: a route has no address or no service" },
        { catalogue(service + R"("name": "x")", R"("limits": 7)"), "new.json:3:13: limits: must be an object" },
        { catalogue(service + R"("name": "x")", R"("limits": {"idle_timeout_ms": "x"})"),
          "new.json:3:33: limits.idle_timeout_ms: must be" },
        { catalogue(service + R"("name": "x")", R"("services": 7)"), "services: must be a list or an object" },
        { catalogue(service + R"("name": "x")", R"("services": [7])"), "services[0]: must be an object" },
        { catalogue(service + R"("name": "x")", R"("services": [{}])"), "services: service 0 is ignored" },
        { catalogue(service + R"("name": "x")", R"("services": {"a": {"cold_per_s": "20"}})"),
          "new.json:3:36: services.a.cold_per_s: must be a number from 0 to 1000000" },
        { "{\"version\": 1,\n  \"routes\": [}", "new.json:2:14: is no valid JSON from here on" },
        { "", "new.json:1:1: is no valid JSON" },
        { "{\"version\": 1,\n  \"routes\": 9e444}", "new.json:2:" },
        { "[]", "new.json:1:1: must be an object" },
        { R"({"routes": []})", "new.json:1:1: has no version" },
        { R"({"version": 0, "routes": []})", "new.json:1:13: version: must be" },
        { "{}", "new.json:1:1: routes: must be a list" },
        { R"({"version": 1})", "new.json:1:1: routes: must be a list" },
        { R"({"version": 1, "routes": {}})", "new.json:1:26: routes: must be a list" },
        { R"({"version": 1, "routes": [7]})", "new.json:1:27: routes[0]: must be an object" },
    };
    for (const auto &[text, expected] : mistakes) {
        EXPECT_NE(read(text).find(expected), std::string::npos) << expected << '\n' << read(text);
    }
}

// Guards scripts against a crash by a file that breaks off or nests deeply.
TEST(StoreTypes, SurvivesAnyBytes)
{
    const std::string whole = catalogue(R"("backends": [{"service": "a", "weight": 1}])", R"("limits": {})");
    for (std::size_t size = 0; size < whole.size(); ++size) {
        EXPECT_NE(read(whole.substr(0, size)), "") << size;
        // Names that are missing.
        std::string renamed = whole;
        renamed[size] = 'x';
        read(renamed);
        std::string broken = whole;
        broken[size] = '\xff';
        EXPECT_NE(read(broken), "") << size;
    }
    EXPECT_NE(read(std::string(100'000, '[')), "");
    EXPECT_NE(read(std::string(100'000, '[') + std::string(100'000, ']')), "");
}

} // namespace
} // namespace boragelug
