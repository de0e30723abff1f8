#include "programs/boragelugctl/commands.h"

#include <array>
#include <exception>

#include <sysexits.h>

namespace boragelug
{

namespace
{

struct Command
{
    std::string_view name;
    int (*run)(const CommandWords &, const CommandStreams &);
    std::string_view help;
};

constexpr std::array<Command, 7> commands { {
    { "check", runCheck, "check settings and catalogue files offline" },
    { "diff", runDiff, "show what the change from one catalogue to another does" },
    { "catalogue", runCatalogue, "convert a catalogue to the JSON that the platform serves" },
    { "timeline", runTimeline, "merge the events of several VMs into one time line" },
    { "status", runStatus, "show the state of the fleet" },
    { "explain", runExplain, "tell why a flow or request was treated as it was" },
    { "load", runLoad, "open flows and send requests, and measure what becomes of them" },
} };

std::string programHelp()
{
    std::string text = "Usage: boragelugctl COMMAND [OPTION]... [ARGUMENT]...\n"
                       "Operates a fleet of boragelug VMs.\n\nCommands:\n";
    for (const Command &command : commands) {
        std::string line = "  " + std::string(command.name);
        line.resize(14, ' ');
        text += line + std::string(command.help) + '\n';
    }
    return text
        + "\n'boragelugctl COMMAND --help' explains a command.\n"
          "Exit codes are those of sysexits.h: 0 success, 64 wrong usage, 65 wrong data, 66 no input,\n"
          "69 nothing answered, 73 can't write, 75 some VMs didn't answer, 78 wrong settings.\n";
}

int runCommand(const CommandWords &words, const CommandStreams &streams)
{
    if (words.empty()) {
        throw UsageError("no command given");
    }
    if (words.front() == "--help" || words.front() == "-h") {
        streams.out << programHelp();
        return EX_OK;
    }
    if (words.front() == "--version") {
        streams.out << "boragelugctl " BORAGELUG_VERSION "\n";
        return EX_OK;
    }
    for (const Command &command : commands) {
        if (command.name == words.front()) {
            return command.run({ words.begin() + 1, words.end() }, streams);
        }
    }
    throw UsageError("unknown command '" + words.front() + '\'');
}

} // namespace

int runProgram(const CommandWords &words, const CommandStreams &streams)
{
    try {
        const int code = runCommand(words, streams);
        streams.out.flush();
        return code == EX_OK && !streams.out ? EX_IOERR : code;
    } catch (const UsageError &error) {
        streams.err << "boragelugctl: " << error.what() << "\nTry 'boragelugctl --help'.\n";
        return EX_USAGE;
    } catch (const std::exception &error) {
        streams.err << "boragelugctl: " << error.what() << '\n';
        return EX_SOFTWARE;
    }
}

} // namespace boragelug
