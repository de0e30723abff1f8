#include "programs/boragelugctl/options.h"

#include <getopt.h>

namespace boragelug
{

namespace
{

/// getopt_long returns this plus the index of an option, so that options without a letter are told apart.
constexpr int firstOptionCode = 1000;

std::string shortForm(const std::vector<OptionSpec> &specs)
{
    // The colon makes getopt_long return ':' for a missing value instead of printing a message.
    std::string text = ":";
    for (const OptionSpec &spec : specs) {
        if (spec.letter != 0) {
            text += spec.letter;
            text += spec.value.empty() ? "" : ":";
        }
    }
    return text;
}

const OptionSpec *findOption(const std::vector<OptionSpec> &specs, int code)
{
    if (code >= firstOptionCode) {
        return &specs[static_cast<std::size_t>(code - firstOptionCode)];
    }
    for (const OptionSpec &spec : specs) {
        if (spec.letter != 0 && spec.letter == code) {
            return &spec;
        }
    }
    return nullptr;
}

} // namespace

std::optional<std::string> ParsedOptions::value(const std::string &name) const
{
    const auto found = values.find(name);
    return found == values.end() ? std::nullopt : std::optional(found->second.back());
}

std::vector<std::string> ParsedOptions::all(const std::string &name) const
{
    const auto found = values.find(name);
    return found == values.end() ? std::vector<std::string>() : found->second;
}

ParsedOptions parseOptions(const std::vector<std::string> &words, const std::vector<OptionSpec> &specs)
{
    std::vector<std::string> storage { "boragelugctl" };
    storage.insert(storage.end(), words.begin(), words.end());
    std::vector<char *> arguments;
    arguments.reserve(storage.size() + 1);
    for (std::string &word : storage) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    std::vector<option> longOptions;
    for (std::size_t i = 0; i < specs.size(); ++i) {
        const int kind = specs[i].value.empty() ? no_argument : required_argument;
        longOptions.push_back({ specs[i].name.c_str(), kind, nullptr, firstOptionCode + static_cast<int>(i) });
    }
    longOptions.push_back({});
    const std::string letters = shortForm(specs);
    ParsedOptions parsed;
    const int count = static_cast<int>(storage.size());
    // 0 makes glibc start a new command line.
    optind = 0;
    opterr = 0;
    int code = 0;
    while ((code = ::getopt_long(count, arguments.data(), letters.c_str(), longOptions.data(), nullptr)) != -1) {
        const OptionSpec *const spec = findOption(specs, code);
        if (spec == nullptr) {
            const int last = optind > 1 ? optind - 1 : 1;
            throw UsageError((code == ':' ? "missing value after '" : "unknown or ambiguous option '")
                             + std::string(arguments[static_cast<std::size_t>(last)]) + '\'');
        }
        parsed.values[spec->name].emplace_back(optarg == nullptr ? "" : optarg);
    }
    for (int i = optind; i < count; ++i) {
        parsed.operands.emplace_back(arguments[static_cast<std::size_t>(i)]);
    }
    return parsed;
}

std::string optionHelp(const std::vector<OptionSpec> &specs)
{
    constexpr std::size_t helpColumn = 30;
    std::string text;
    for (const OptionSpec &spec : specs) {
        std::string line = spec.letter == 0 ? "      " : std::string("  -") + spec.letter + ", ";
        line += "--" + spec.name + (spec.value.empty() ? "" : "=" + spec.value);
        line.resize(std::max(line.size() + 2, helpColumn), ' ');
        text += line + spec.help + '\n';
    }
    return text;
}

} // namespace boragelug
