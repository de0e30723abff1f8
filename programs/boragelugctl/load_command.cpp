#include "core/hash.h"
#include "drivers/asio_runtime.h"
#include "programs/boragelugctl/commands.h"
#include "programs/boragelugctl/flow_generator.h"
#include "programs/boragelugctl/load_description.h"
#include "programs/boragelugctl/request_generator.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <fstream>
#include <iterator>
#include <memory>

#include <sysexits.h>

namespace boragelug
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration tickInterval = 1ms;
constexpr Duration progressInterval = 5s;

const std::vector<OptionSpec> loadOptions = {
    { "output", 'o', "FILE", "write the result as JSON, for compare" },
    { "gnuplot", 'g', "FILE", "write a gnuplot program that draws the latencies" },
    { "json", 'j', "", "print JSON instead of tables" },
    { "seed", 's', "NUMBER", "use this seed instead of the one in the description" },
    { "quiet", 'q', "", "print no progress" },
    { "help", 'h', "", "show this text" },
};

/// One load run with all its generators.
class LoadRun
{
public:
    LoadRun(const LoadDescription &description, std::ostream *progress)
        : description_(description)
        , progress_(progress)
        , started_(runtime_.clock().now())
    {
        for (std::size_t i = 0; i < description.streams.size(); ++i) {
            generators_.push_back(makeGenerator(description.streams[i], combineHash(description.seed, i)));
        }
    }

    LoadResult run()
    {
        runtime_.every(tickInterval, [this] { tick(); });
        runtime_.every(progressInterval, [this] { printProgress(); });
        runtime_.onSignal(SIGINT, [this] { runtime_.stop(); });
        runtime_.run();
        LoadResult result { description_.seed, elapsedSeconds(), {} };
        for (const auto &generator : generators_) {
            result.streams.push_back(generator->result());
        }
        return result;
    }

private:
    std::unique_ptr<LoadGenerator> makeGenerator(const LoadStream &stream, std::uint64_t seed)
    {
        if (stream.kind == EntryKind::Requests) {
            return std::make_unique<RequestGenerator>(runtime_.context(), runtime_.clock(), description_, stream, seed);
        }
        return std::make_unique<FlowGenerator>(runtime_.context(), runtime_.clock(), description_, stream, seed);
    }

    void tick()
    {
        const TimePoint now = runtime_.clock().now();
        for (const auto &generator : generators_) {
            generator->tick(now);
        }
        if (std::all_of(generators_.begin(), generators_.end(), [](const auto &g) { return g->finished(); })) {
            runtime_.stop();
        }
    }

    void printProgress()
    {
        if (progress_ == nullptr) {
            return;
        }
        std::uint64_t started = 0;
        std::uint64_t answers = 0;
        for (const auto &generator : generators_) {
            started += generator->result().started;
            answers += generator->result().latency.count();
        }
        *progress_ << static_cast<int>(elapsedSeconds()) << " s of "
                   << std::chrono::duration_cast<std::chrono::seconds>(description_.duration).count()
                   << " s: " << started << " started, " << answers << " answers\n";
    }

    double elapsedSeconds() const { return std::chrono::duration<double>(runtime_.clock().now() - started_).count(); }

    AsioRuntime runtime_;
    LoadDescription description_;
    std::ostream *progress_;
    TimePoint started_;
    std::vector<std::unique_ptr<LoadGenerator>> generators_;
};

/// Writes @p text to @p path; false, with a message, if that fails.
bool writeFile(const std::string &path, const std::string &text, std::ostream &err)
{
    std::ofstream stream(path, std::ios::binary);
    stream << text;
    stream.close();
    if (!stream) {
        err << path << ": can't be written\n";
    }
    return static_cast<bool>(stream);
}

Outcome<LoadResult, std::string> readResult(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return Outcome<LoadResult, std::string>::failure("can't be opened");
    }
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    return loadResultFromJson(text);
}

int compareFiles(const std::vector<std::string> &paths, const CommandStreams &streams)
{
    if (paths.size() != 2) {
        throw UsageError("load compare needs two result files");
    }
    const auto first = readResult(paths[0]);
    const auto second = readResult(paths[1]);
    if (!first || !second) {
        streams.err << (first ? paths[1] : paths[0]) << ": " << (first ? second : first).lastReason() << '\n';
        return EX_DATAERR;
    }
    compareLoadResults(*first, *second, streams.out);
    return EX_OK;
}

std::optional<std::uint64_t> parseSeed(const std::string &text)
{
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed);
    return error == std::errc() && end == text.data() + text.size() ? std::optional(seed) : std::nullopt;
}

int runDescription(const ParsedOptions &options, const CommandStreams &streams)
{
    auto description = loadLoadDescription(options.operands.front());
    if (!description) {
        for (const Problem &problem : description.lastReason()) {
            streams.err << toString(problem) << '\n';
        }
        return EX_DATAERR;
    }
    if (const auto text = options.value("seed")) {
        const auto seed = parseSeed(*text);
        if (!seed) {
            throw UsageError("--seed must be a number");
        }
        description.value().seed = *seed;
    }
    const LoadResult result = LoadRun(*description, options.has("quiet") ? nullptr : &streams.err).run();
    if (options.has("json")) {
        streams.out << loadResultToJson(result);
    } else {
        printLoadResult(result, streams.out);
    }
    const auto output = options.value("output");
    const auto gnuplot = options.value("gnuplot");
    const bool written = (!output || writeFile(*output, loadResultToJson(result), streams.err))
        && (!gnuplot || writeFile(*gnuplot, gnuplotText(result), streams.err));
    return written ? EX_OK : EX_CANTCREAT;
}

} // namespace

int runLoad(const CommandWords &words, const CommandStreams &streams)
{
    const ParsedOptions options = parseOptions(words, loadOptions);
    if (options.has("help")) {
        streams.out << "Usage: boragelugctl load [OPTION]... FILE.yaml\n"
                       "       boragelugctl load compare RUN1 RUN2\n"
                       "Opens flows and sends requests as FILE.yaml describes (docs/load.md) and checks each answer\n"
                       "against what was sent. compare shows two results side by side.\n\n"
                    << optionHelp(loadOptions);
        return EX_OK;
    }
    if (!options.operands.empty() && options.operands.front() == "compare") {
        return compareFiles({ options.operands.begin() + 1, options.operands.end() }, streams);
    }
    if (options.operands.size() != 1) {
        throw UsageError("load needs one description");
    }
    return runDescription(options, streams);
}

} // namespace boragelug
