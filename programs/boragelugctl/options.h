#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace boragelug
{

/// A command line that can't be used; the message says why.
class UsageError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// One option of a command.
struct OptionSpec
{
    /// Long name without dashes.
    std::string name;
    /// Short name, or 0 for none.
    char letter = 0;
    /// Placeholder of the value in the help text; empty if the option has no value.
    std::string value;
    std::string help;
};

/// What a command line contains.
struct ParsedOptions
{
    std::map<std::string, std::vector<std::string>> values;
    std::vector<std::string> operands;

    bool has(const std::string &name) const { return values.contains(name); }

    /// The last value of @p name, or nothing.
    std::optional<std::string> value(const std::string &name) const;

    /// All values of @p name.
    std::vector<std::string> all(const std::string &name) const;
};

/// Parses the words after the command's name with getopt_long. Throws UsageError. Not thread-safe, like getopt_long.
ParsedOptions parseOptions(const std::vector<std::string> &words, const std::vector<OptionSpec> &specs);

/// Lines that explain @p specs, for --help.
std::string optionHelp(const std::vector<OptionSpec> &specs);

/// Where a command writes. Results go to out, everything else to err.
struct CommandStreams
{
    std::ostream &out;
    std::ostream &err;
};

} // namespace boragelug
