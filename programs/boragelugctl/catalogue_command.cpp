#include "drivers/yaml_catalogue.h"
#include "programs/boragelugctl/catalogue_json.h"
#include "programs/boragelugctl/commands.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <sysexits.h>

namespace boragelug
{

namespace
{

/// Parts have 62 to 67 entries at the target size of 8,000.
constexpr std::size_t defaultShards = 128;
constexpr std::size_t maxShards = 256;

const std::vector<OptionSpec> catalogueOptions = {
    { "output", 'o', "FOLDER", "write each value to a file under FOLDER, such as FOLDER/v1/index.json" },
    { "previous", 'p', "FOLDER", "values served so far; parts that stay the same keep their version" },
    { "shards", 's', "NUMBER", "parts of the entries, 1 to 256; 128 by default; keep it the same from run to run" },
    { "view-file", 'w', "", "write one object for a static view file instead" },
    { "help", 'h', "", "show this text" },
};

std::size_t shardsFrom(const ParsedOptions &options)
{
    const auto text = options.value("shards");
    if (!text) {
        return defaultShards;
    }
    std::size_t shards = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), shards);
    if (error != std::errc() || end != text->data() + text->size() || shards < 1 || shards > maxShards) {
        throw UsageError("--shards must be a number from 1 to 256");
    }
    return shards;
}

std::filesystem::path fileOf(const std::string &folder, const std::string &path)
{
    return folder + path + ".json";
}

/// Reads the values under @p folder that a catalogue consists of; those that don't exist are left out.
PlatformValues readValues(const std::string &folder)
{
    std::vector<std::string> paths { "/v1/index", "/v1/parts/zones", "/v1/parts/services" };
    for (std::size_t shard = 0; shard < maxShards; ++shard) {
        paths.push_back("/v1/parts/entries/" + std::to_string(shard));
    }
    PlatformValues values;
    for (const std::string &path : paths) {
        std::ifstream stream(fileOf(folder, path), std::ios::binary);
        if (stream) {
            values[path] = std::string(std::istreambuf_iterator<char>(stream), {});
        }
    }
    return values;
}

/// Writes the index last, so that a reader of the folder never finds a part older than the index says.
bool writeValues(const PlatformValues &values, const std::string &folder, std::ostream &err)
{
    std::vector<std::string> order;
    for (const auto &[path, value] : values) {
        if (path != "/v1/index") {
            order.push_back(path);
        }
    }
    order.emplace_back("/v1/index");
    for (const std::string &path : order) {
        const auto file = fileOf(folder, path);
        std::error_code ignored;
        std::filesystem::create_directories(file.parent_path(), ignored);
        std::ofstream stream(file, std::ios::binary);
        stream << values.at(path);
        stream.close();
        if (!stream) {
            err << file.string() << ": can't be written\n";
            return false;
        }
    }
    return true;
}

int convert(const Catalogue &catalogue, const ParsedOptions &options, const CommandStreams &streams)
{
    const auto folder = options.value("previous");
    const auto values =
        catalogueToPlatform(catalogue, shardsFrom(options), folder ? readValues(*folder) : PlatformValues());
    if (!values) {
        streams.err << "boragelugctl: " << values.lastReason() << '\n';
        return EX_DATAERR;
    }
    if (const auto output = options.value("output")) {
        return writeValues(*values, *output, streams.err) ? EX_OK : EX_CANTCREAT;
    }
    for (const auto &[path, value] : *values) {
        streams.out << path << ' ' << value;
    }
    return EX_OK;
}

} // namespace

int runCatalogue(const CommandWords &words, const CommandStreams &streams)
{
    const ParsedOptions options = parseOptions(words, catalogueOptions);
    if (options.has("help")) {
        streams.out << "Usage: boragelugctl catalogue to-json [OPTION]... FILE.yaml\n"
                       "Checks a catalogue and writes the JSON values that the platform serves (docs/platform.md),\n"
                       "one line with path and value each.\n\n"
                    << optionHelp(catalogueOptions);
        return EX_OK;
    }
    if (options.operands.size() != 2 || options.operands.front() != "to-json") {
        throw UsageError("catalogue needs 'to-json' and one file");
    }
    const auto catalogue = loadCatalogue(options.operands[1]);
    if (!catalogue) {
        for (const Problem &problem : catalogue.lastReason()) {
            streams.err << toString(problem) << '\n';
        }
        return EX_DATAERR;
    }
    if (options.has("view-file")) {
        streams.out << catalogueToJson(*catalogue);
        return EX_OK;
    }
    return convert(*catalogue, options, streams);
}

} // namespace boragelug
