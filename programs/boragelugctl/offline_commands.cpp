#include "drivers/key_file.h"
#include "drivers/yaml_catalogue.h"
#include "drivers/yaml_map.h"
#include "drivers/yaml_settings.h"
#include "model/catalogue_diff.h"
#include "model/directory_diff.h"
#include "model/validation.h"
#include "platform/store_check.h"
#include "platform/store_codec.h"
#include "platform/store_types.h"
#include "programs/boragelugctl/commands.h"
#include "programs/boragelugctl/fleet_client.h"
#include "programs/boragelugctl/served_catalogue.h"

#include <nlohmann/json.hpp>
#include <sysexits.h>

#include <algorithm>
#include <optional>
#include <set>
#include <utility>

namespace boragelug
{

namespace
{

constexpr std::size_t maxDirectoryBytes = 64UL * 1024 * 1024;

const std::vector<OptionSpec> checkOptions = {
    { "settings", 's', "FILE", "settings of one VM; may be given several times" },
    { "catalogue", 'c', "FILE", "catalogue; zones in settings are checked against it" },
    { "directory-catalogue", 'd', "FILE", "catalogue of a fabric with flow tags, in JSON" },
    { "listing",
      'l',
      "FILE",
      "page of a listing of the directory; finds services without hosts; may be given several times" },
    { "key", 'k', "", "also check the key files that the settings name" },
    { "help", 'h', "", "show this text" },
};
const std::vector<OptionSpec> diffBaseOptions = {
    { "directory-catalogue",
      'd',
      "FILE",
      "new catalogue of a fabric with flow tags, in JSON; needs --against or --vm" },
    { "against", 'a', "OLD", "catalogue in force, in the same form; compared with that of --directory-catalogue" },
    { "json", 'j', "", "write JSON" },
    { "forbid-breaking", 'f', "", "exit with 65 if running work breaks or VMs would ignore the version" },
    { "help", 'h', "", "show this text" },
};

std::vector<OptionSpec> makeDiffOptions()
{
    std::vector<OptionSpec> specs = fleetOptions();
    specs.insert(specs.end(), diffBaseOptions.begin(), diffBaseOptions.end());
    return specs;
}

void print(const Problems &problems, const CommandStreams &streams)
{
    for (const Problem &problem : problems) {
        streams.err << toString(problem) << '\n';
    }
}

/// Problems of one settings file, with the catalogue if there is one.
Problems checkSettings(const std::string &path, const std::optional<Catalogue> &catalogue, bool withKey)
{
    const auto settings = loadSettings(path);
    if (!settings) {
        return settings.lastReason();
    }
    Problems problems;
    if (catalogue) {
        problems = validatePlace(*catalogue, settings->zone, settings->region);
        for (Problem &problem : problems) {
            problem.file = path;
        }
    }
    if (withKey) {
        const auto key = loadKey(settings->keyFile);
        if (!key) {
            problems.push_back(key.lastReason());
        }
    }
    return problems;
}

/// Services that have a host in the listings of the directory; reports those that can't be read.
std::set<std::string> hostedServices(const std::vector<std::string> &paths, Problems &problems)
{
    std::set<std::string> services;
    for (const std::string &path : paths) {
        YamlContext context { path, {}, {} };
        const auto text = readTextFile(path, maxDirectoryBytes, context);
        problems.insert(problems.end(), context.problems.begin(), context.problems.end());
        if (!text) {
            continue;
        }
        const auto page = decodeStorePage(*text);
        if (!page) {
            problems.push_back({ path, 0, 0, "", page.lastReason() });
            continue;
        }
        for (const DirectoryItem &item : page->items) {
            if (const auto *upstream = std::get_if<UpstreamRecord>(&item.content)) {
                services.insert(upstream->service);
            }
        }
    }
    return services;
}

/// Problems of a catalogue in the directory's form.
Problems checkDirectoryCatalogue(const std::string &path, const std::vector<std::string> &listings)
{
    Problems problems;
    const std::set<std::string> hosted = hostedServices(listings, problems);
    YamlContext context { path, {}, {} };
    const auto text = readTextFile(path, maxDirectoryBytes, context);
    problems.insert(problems.end(), context.problems.begin(), context.problems.end());
    // Services would seem to have no hosts if a listing is missing.
    if (!text || !problems.empty()) {
        return problems;
    }
    return checkStoreCatalogue(*text, path, listings.empty() ? std::nullopt : std::optional(hosted));
}

std::string_view changeName(ChangeKind kind)
{
    switch (kind) {
    case ChangeKind::Added:
        return "added";
    case ChangeKind::Removed:
        return "removed";
    case ChangeKind::Changed:
        return "changed";
    }
    return "invalid";
}

void printText(const CatalogueDiff &diff, std::ostream &out)
{
    for (const CatalogueChange &change : diff.changes) {
        out << change.item << ' ' << change.name << ' ' << changeName(change.kind) << " [" << impactName(change.impact)
            << ']';
        if (!change.owner.value.empty()) {
            out << " owner " << change.owner.value;
        }
        out << '\n';
        for (const FieldChange &field : change.fields) {
            out << "    " << field.field << ": " << field.before << " -> " << field.after << '\n';
        }
        for (const std::string &effect : change.effects) {
            out << "  " << effect << '\n';
        }
    }
    if (diff.changes.empty()) {
        out << "no differences\n";
    }
}

nlohmann::json toJson(const CatalogueChange &change)
{
    nlohmann::json fields = nlohmann::json::array();
    for (const FieldChange &field : change.fields) {
        fields.push_back({ { "field", field.field }, { "before", field.before }, { "after", field.after } });
    }
    return { { "item", change.item },
             { "name", change.name },
             { "change", changeName(change.kind) },
             { "owner", change.owner.value },
             { "impact", impactName(change.impact) },
             { "fields", std::move(fields) },
             { "effects", change.effects } };
}

void printJson(const CatalogueDiff &diff, std::ostream &out)
{
    nlohmann::json changes = nlohmann::json::array();
    for (const CatalogueChange &change : diff.changes) {
        changes.push_back(toJson(change));
    }
    out << nlohmann::json { { "is_newer", diff.isNewer },
                            { "impact", impactName(highestImpact(diff)) },
                            { "changes", std::move(changes) } }
               .dump(2)
        << '\n';
}

/// Name or value for a line of text; quoted if it has spaces or other characters that would make the line ambiguous.
std::string lineText(const std::string &value)
{
    const bool isPlain = !value.empty()
        && std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c <= '~' && c != '"'; });
    return isPlain ? value : nlohmann::json(value).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

/// One line for each added or removed item and for each changed field.
void printLines(const CatalogueDiff &diff, std::ostream &out)
{
    for (const CatalogueChange &change : diff.changes) {
        const std::string item = change.item + ' ' + lineText(change.name) + ' ';
        if (change.kind == ChangeKind::Changed) {
            for (const FieldChange &field : change.fields) {
                out << item << field.field << ": " << lineText(field.before) << " -> " << lineText(field.after) << '\n';
            }
            continue;
        }
        out << item << changeName(change.kind) << ':';
        for (const FieldChange &field : change.fields) {
            const std::string &value = change.kind == ChangeKind::Added ? field.after : field.before;
            // The item's name is on the line already.
            if (field.field != "name") {
                out << ' ' << field.field << '=' << lineText(value);
            }
        }
        out << '\n';
    }
    if (diff.changes.empty()) {
        out << "no differences\n";
    }
}

/// Reads a catalogue of the directory; reports why it can't be read.
std::optional<CatalogueRecord> readDirectoryCatalogue(const std::string &path, const CommandStreams &streams)
{
    YamlContext context { path, {}, {} };
    const auto text = readTextFile(path, maxDirectoryBytes, context);
    print(context.problems, streams);
    if (!text) {
        return std::nullopt;
    }
    auto record = readStoreCatalogue(*text, path);
    if (!record) {
        print(record.lastReason(), streams);
        return std::nullopt;
    }
    return std::move(record.value());
}

/// Reports if VMs would ignore the new version, and returns the exit code.
int concludeDiff(const CatalogueDiff &diff,
                 const std::pair<CatalogueVersion, CatalogueVersion> &versions,
                 const std::string &path,
                 bool forbidBreaking,
                 const CommandStreams &streams)
{
    const bool isIgnored = !diff.isNewer && !diff.changes.empty();
    if (isIgnored) {
        streams.err << path << ": version " << versions.second.value << " is not higher than " << versions.first.value
                    << ", so VMs ignore it\n";
    }
    const bool isHarmful = isIgnored || highestImpact(diff) == ChangeImpact::BreaksWork;
    return forbidBreaking && isHarmful ? EX_DATAERR : EX_OK;
}

int diffDirectory(const CatalogueRecord &before,
                  const CatalogueRecord &after,
                  const std::string &path,
                  const ParsedOptions &options,
                  const CommandStreams &streams)
{
    const CatalogueDiff diff = diffDirectoryCatalogues(before, after);
    options.has("json") ? printJson(diff, streams.out) : printLines(diff, streams.out);
    return concludeDiff(diff, { before.version, after.version }, path, options.has("forbid-breaking"), streams);
}

int diffWithFile(const std::string &path,
                 const std::string &against,
                 const ParsedOptions &options,
                 const CommandStreams &streams)
{
    const auto before = readDirectoryCatalogue(against, streams);
    const auto after = readDirectoryCatalogue(path, streams);
    return before && after ? diffDirectory(*before, *after, path, options, streams) : EX_DATAERR;
}

int diffWithVm(const std::string &path, const ParsedOptions &options, const CommandStreams &streams)
{
    const std::vector<Endpoint> vms = fleetFrom(options);
    if (vms.size() != 1) {
        throw UsageError("diff compares with the catalogue of one VM");
    }
    const Duration timeout = timeoutFrom(options);
    const auto after = readDirectoryCatalogue(path, streams);
    if (!after) {
        return EX_DATAERR;
    }
    const auto before = readServedCatalogue(vms.front(), timeout);
    if (!before) {
        streams.err << "VM at " << toString(vms.front()) << ": " << before.lastReason() << '\n';
        return EX_UNAVAILABLE;
    }
    return diffDirectory(*before, *after, path, options, streams);
}

} // namespace

int runCheck(const CommandWords &words, const CommandStreams &streams)
{
    const ParsedOptions options = parseOptions(words, checkOptions);
    if (options.has("help")) {
        streams.out << "Usage: boragelugctl check [-c CATALOGUE] [-s SETTINGS]... [-k] [-d CATALOGUE [-l LISTING]...]\n"
                       "Lists every mistake in the files as FILE:LINE:COLUMN: KEY: MESSAGE.\n\n"
                    << optionHelp(checkOptions);
        return EX_OK;
    }
    const auto cataloguePath = options.value("catalogue");
    const auto settingsPaths = options.all("settings");
    const auto directoryPath = options.value("directory-catalogue");
    const std::vector<std::string> listings = options.all("listing");
    if (!options.operands.empty() || (!cataloguePath && settingsPaths.empty() && !directoryPath)) {
        throw UsageError("check needs --settings or --catalogue or --directory-catalogue, and nothing else");
    }
    if (!listings.empty() && !directoryPath) {
        throw UsageError("--listing needs --directory-catalogue");
    }
    int code = EX_OK;
    std::optional<Catalogue> catalogue;
    if (cataloguePath) {
        auto loaded = loadCatalogue(*cataloguePath);
        if (loaded) {
            catalogue = std::move(loaded.value());
            streams.out << *cataloguePath << ": version " << catalogue->version.value << ", "
                        << catalogue->entries.size() << " entries, " << catalogue->services.size() << " services, "
                        << catalogue->zones.size() << " zones\n";
        } else {
            print(loaded.lastReason(), streams);
            code = EX_DATAERR;
        }
    }
    if (directoryPath) {
        const Problems problems = checkDirectoryCatalogue(*directoryPath, listings);
        print(problems, streams);
        code = problems.empty() ? code : EX_DATAERR;
        streams.out << *directoryPath << ": " << problems.size() << " findings\n";
    }
    for (const std::string &path : settingsPaths) {
        const Problems problems = checkSettings(path, catalogue, options.has("key"));
        print(problems, streams);
        if (problems.empty()) {
            streams.out << path << ": valid\n";
        } else {
            code = EX_CONFIG;
        }
    }
    return code;
}

int runDiff(const CommandWords &words, const CommandStreams &streams)
{
    const auto diffOptions = makeDiffOptions();
    const ParsedOptions options = parseOptions(words, diffOptions);
    if (options.has("help")) {
        streams.out
            << "Usage: boragelugctl diff [-j] [-f] OLD NEW\n"
               "       boragelugctl diff [-j] [-f] -d FILE (-a OLD | -v VM)\n"
               "Shows which flows, limits and classes the change from catalogue OLD to NEW affects; with -d, one "
               "line for\neach difference as ITEM NAME FIELD: OLD -> NEW. Exits with 0 also if there are "
               "differences, with 64 for\nwrong usage, and with 65 if a catalogue can't be read, or for "
               "--forbid-breaking.\n\n"
            << optionHelp(diffOptions);
        return EX_OK;
    }
    const auto directoryPath = options.value("directory-catalogue");
    const auto against = options.value("against");
    const bool asksVm = options.has("vm") || options.has("vms");
    if (directoryPath.has_value() != (against.has_value() || asksVm) || (against.has_value() && asksVm)) {
        throw UsageError("--directory-catalogue needs one of --against and --vm, which need it as well");
    }
    if (directoryPath) {
        if (!options.operands.empty()) {
            throw UsageError("--directory-catalogue takes no other catalogue than that of --against");
        }
        return against ? diffWithFile(*directoryPath, *against, options, streams)
                       : diffWithVm(*directoryPath, options, streams);
    }
    if (options.operands.size() != 2) {
        throw UsageError("diff needs two catalogue files");
    }
    const auto before = loadCatalogue(options.operands[0]);
    const auto after = loadCatalogue(options.operands[1]);
    for (const auto *catalogue : { &before, &after }) {
        if (!*catalogue) {
            print(catalogue->lastReason(), streams);
        }
    }
    if (!before || !after) {
        return EX_DATAERR;
    }
    const CatalogueDiff diff = diffCatalogues(*before, *after);
    options.has("json") ? printJson(diff, streams.out) : printText(diff, streams.out);
    return concludeDiff(
        diff, { before->version, after->version }, options.operands[1], options.has("forbid-breaking"), streams);
}

} // namespace boragelug
