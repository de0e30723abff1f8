#include "soak/soak_simulation.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <getopt.h>
#include <sysexits.h>

namespace
{

using namespace boragelug;
using namespace boragelug::soak;

constexpr const char *helpText = R"(Usage: boragelug_soak --program FILE --folder DIR [OPTION]...
Runs daemons among stand-ins, injects faults by a seed's plan and checks what callers and hosts see.

  -p, --program=FILE     boragelugd
  -d, --folder=DIR       settings and logs of the VMs are written here
  -s, --seed=N           first seed (1)
  -n, --seeds=N          number of seeds, one after the other (1)
  -l, --length=SECONDS   time with faults (20)
  -v, --vms=N            VMs (6)
  -w, --network=N        second number of the loopback addresses, 16 to 240 (77)
  -m, --mix=NAME         which faults: unplanned, planned, late-answers, records,
                         reachability, paths, overload, uneven (unplanned)
  -u, --upstreams=N      upstreams (10)
  -f, --flows=N          flows of each of the 8 callers (12)
  -b, --sabotage=NAME    breaks a stand-in: bytes, withhold, reset, service, deaf; the run has to find it

Exit codes: 0 all promises held, 1 one was broken, 64 wrong usage.
)";

struct Options
{
    Plan plan;
    std::uint64_t seeds = 1;
    std::uint8_t network = 77;
    bool valid = true;
};

/// The value with this name; std::nullopt if the name is unknown.
template<class T>
std::optional<T> findNamed(const std::vector<std::pair<std::string, T>> &names, const std::string &name)
{
    const auto found = std::find_if(names.begin(), names.end(), [&](const auto &known) { return known.first == name; });
    return found != names.end() ? std::optional(found->second) : std::nullopt;
}

std::optional<Sabotage> parseSabotage(const std::string &name)
{
    return findNamed<Sabotage>({ { "bytes", Sabotage::Bytes },
                                 { "withhold", Sabotage::Withhold },
                                 { "reset", Sabotage::Reset },
                                 { "service", Sabotage::Service },
                                 { "deaf", Sabotage::Deaf } },
                               name);
}

std::optional<FaultMix> parseMix(const std::string &name)
{
    return findNamed<FaultMix>({ { "unplanned", FaultMix::Unplanned },
                                 { "planned", FaultMix::Planned },
                                 { "late-answers", FaultMix::LateAnswers },
                                 { "records", FaultMix::Records },
                                 { "reachability", FaultMix::Reachability },
                                 { "paths", FaultMix::Paths },
                                 { "overload", FaultMix::Overload },
                                 { "uneven", FaultMix::Uneven } },
                               name);
}

Options parse(int argc, char **argv)
{
    const std::vector<option> longOptions {
        { "program", required_argument, nullptr, 'p' },   { "folder", required_argument, nullptr, 'd' },
        { "seed", required_argument, nullptr, 's' },      { "seeds", required_argument, nullptr, 'n' },
        { "length", required_argument, nullptr, 'l' },    { "vms", required_argument, nullptr, 'v' },
        { "network", required_argument, nullptr, 'w' },   { "mix", required_argument, nullptr, 'm' },
        { "upstreams", required_argument, nullptr, 'u' }, { "flows", required_argument, nullptr, 'f' },
        { "sabotage", required_argument, nullptr, 'b' },  { nullptr, 0, nullptr, 0 }
    };
    Options options;
    for (int letter = 0;
         (letter = getopt_long(argc, argv, "p:d:s:n:l:v:w:m:u:f:b:", longOptions.data(), nullptr)) != -1;) {
        const std::string value = optarg != nullptr ? optarg : "";
        switch (letter) {
        case 'p':
            options.plan.program = value;
            break;
        case 'd':
            options.plan.folder = value;
            break;
        case 's':
            options.plan.seed = std::stoull(value);
            break;
        case 'n':
            options.seeds = std::stoull(value);
            break;
        case 'l':
            options.plan.length = std::chrono::seconds(std::stoull(value));
            break;
        case 'v':
            options.plan.vms = std::stoull(value);
            break;
        case 'w':
            options.network = static_cast<std::uint8_t>(std::stoul(value));
            break;
        case 'm':
            options.valid = options.valid && parseMix(value);
            options.plan.mix = parseMix(value).value_or(FaultMix::Unplanned);
            break;
        case 'u':
            options.plan.upstreams = std::stoull(value);
            break;
        case 'f':
            options.plan.flowsPerCaller = std::stoull(value);
            break;
        case 'b':
            options.valid = options.valid && parseSabotage(value);
            options.plan.sabotage = parseSabotage(value).value_or(Sabotage::None);
            break;
        default:
            options.valid = false;
        }
    }
    options.valid = options.valid && !options.plan.program.empty() && !options.plan.folder.empty();
    return options;
}

/// Prints the last lines of each VM's log, which show what led to a violation.
void printLogs(const std::string &folder)
{
    constexpr std::size_t lastLines = 5;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        std::vector<std::string> lines;
        std::ifstream stream(file.path());
        for (std::string line; std::getline(stream, line);) {
            lines.push_back(line);
        }
        std::cout << "  " << file.path().filename().string() << ":\n";
        for (std::size_t i = lines.size() - std::min(lines.size(), lastLines); i < lines.size(); ++i) {
            std::cout << "    " << lines[i] << '\n';
        }
    }
}

/// Runs the plan with one seed and prints the report; false if an invariant was violated.
bool runSeed(const Options &options, std::uint64_t seed)
{
    Plan plan = options.plan;
    plan.seed = seed;
    plan.folder += "/seed-" + std::to_string(seed);
    std::filesystem::remove_all(plan.folder);
    std::filesystem::create_directories(plan.folder);
    const Report report = SoakSimulation(plan, options.network).run();
    std::cout << "seed " << seed << ": " << report.served << " of " << report.requests << " requests served, "
              << report.faults.size() << " faults, recovered " << report.recoveredFraction << ", most "
              << report.peakMemoryKib << " KiB and " << report.peakDescriptors << " descriptors, "
              << report.violations.size() << " promises broken" << std::endl;
    if (report.violations.empty()) {
        return true;
    }
    for (const Violation &violation : report.violations) {
        std::cout << "  broken at " << std::chrono::duration<double>(violation.at).count()
                  << " s: " << violation.invariant << ": " << violation.detail << " (" << violation.count
                  << " in all)\n";
    }
    for (const std::string &fault : report.faults) {
        std::cout << "  fault at " << fault << '\n';
    }
    printLogs(plan.folder);
    return false;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const Options options = parse(argc, argv);
        if (!options.valid) {
            std::cerr << helpText;
            return EX_USAGE;
        }
        std::uint64_t failed = 0;
        for (std::uint64_t i = 0; i < options.seeds; ++i) {
            failed += runSeed(options, options.plan.seed + i) ? 0 : 1;
        }
        std::cout << options.seeds - failed << " seeds passed, " << failed << " failed" << std::endl;
        return failed == 0 ? 0 : 1;
    } catch (const std::exception &error) {
        std::cerr << "boragelug_soak: " << error.what() << '\n';
        return EX_SOFTWARE;
    }
}
