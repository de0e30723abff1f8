#include "programs/boragelugctl/load_description.h"

#include "drivers/yaml_map.h"
#include "model/catalogue_text.h"

#include <limits>
#include <set>

namespace boragelug
{

namespace
{

using namespace std::chrono_literals;

using DescriptionOutcome = Outcome<LoadDescription, Problems>;

constexpr std::size_t maxDescriptionBytes = 64UL * 1024;
constexpr std::size_t maxStreams = 100;
constexpr std::uint64_t maxRate = 100'000;
/// Leaves room for the header fields in a message of 60,000 bytes.
constexpr std::uint64_t maxSize = 50'000;
/// Smallest payload that holds the mark by which an answer is checked.
constexpr std::uint64_t minSize = 32;

LoadStream readStream(YamlMap &map)
{
    LoadStream stream;
    map.name("name", stream.name, Presence::Required);
    map.choice("kind", stream.kind, entryKindWords, Presence::Required);
    map.endpoint("entry", stream.entry, Presence::Required);
    map.choice("importance", stream.importance, importanceWords, Presence::Required);
    map.number("rate", stream.rate, 1, maxRate, Presence::Required);
    map.number("size", stream.size, minSize, maxSize, Presence::Optional);
    map.duration("deadline", stream.deadline, 1ms, 1h, Presence::Optional);
    map.text("expect", stream.expect, Presence::Optional);
    if (stream.kind == EntryKind::Requests) {
        map.name("service", stream.service, Presence::Required);
        map.boolean("idempotent", stream.idempotent, Presence::Optional);
        map.text("target", stream.target, Presence::Optional);
        if (!stream.target.starts_with('/') || stream.target.find(' ') != std::string::npos) {
            map.fail("target", "must start with '/' and have no spaces");
        }
    } else {
        map.number("packets", stream.packets, 1, 1'000'000, Presence::Optional);
        map.duration("interval", stream.interval, 1ms, 1h, Presence::Optional);
    }
    map.rejectUnknownKeys();
    return stream;
}

LoadDescription readDescription(YamlMap &root)
{
    LoadDescription description;
    root.number("seed", description.seed, 0, std::numeric_limits<std::int64_t>::max(), Presence::Optional);
    root.duration("duration", description.duration, 10ms, 24h, Presence::Required);
    root.number("callers", description.callers, 1, 1000, Presence::Optional);
    std::set<std::string> names;
    for (YamlMap &map : root.maps("streams", maxStreams, Presence::Required)) {
        description.streams.push_back(readStream(map));
        if (!names.insert(description.streams.back().name).second) {
            map.fail("name", "repeats the name of an earlier stream; each must be unique");
        }
    }
    root.rejectUnknownKeys();
    return description;
}

} // namespace

Outcome<LoadDescription, Problems> parseLoadDescription(const std::string &text, const std::string &file)
{
    YamlContext context { file, {}, {} };
    const auto document = parseYaml(text, context);
    if (!document) {
        return DescriptionOutcome::failure(std::move(context.problems));
    }
    YamlMap root(*document, "", context);
    LoadDescription description = readDescription(root);
    if (!context.problems.empty()) {
        return DescriptionOutcome::failure(std::move(context.problems));
    }
    return description;
}

Outcome<LoadDescription, Problems> loadLoadDescription(const std::string &path)
{
    YamlContext context { path, {}, {} };
    const auto text = readTextFile(path, maxDescriptionBytes, context);
    if (!text) {
        return DescriptionOutcome::failure(std::move(context.problems));
    }
    return parseLoadDescription(*text, path);
}

} // namespace boragelug
