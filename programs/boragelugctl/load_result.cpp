#include "programs/boragelugctl/load_result.h"

#include "model/catalogue_text.h"
#include "programs/boragelugctl/text_table.h"

#include <array>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

namespace boragelug
{

namespace
{

using nlohmann::json;

constexpr std::array<std::pair<const char *, double>, 3> quantiles {
    { { "p50", 0.5 }, { "p90", 0.9 }, { "p99", 0.99 } }
};

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

std::string millisecondText(Duration duration)
{
    return decimalText(toMilliseconds(duration), 2);
}

json toJson(const StreamResult &stream)
{
    json buckets = json::array();
    for (const auto &[bound, count] : stream.latency.buckets()) {
        buckets.push_back(json::array({ bound, count }));
    }
    json latency = { { "count", stream.latency.count() }, { "max_ms", toMilliseconds(stream.latency.max()) } };
    for (const auto &[name, share] : quantiles) {
        latency[std::string(name) + "_ms"] = toMilliseconds(stream.latency.quantile(share));
    }
    return { { "name", stream.name },           { "importance", wordFor(importanceWords, stream.importance) },
             { "started", stream.started },     { "outcomes", stream.outcomes },
             { "latency", std::move(latency) }, { "buckets_us", std::move(buckets) } };
}

StreamResult streamFromJson(const json &value)
{
    StreamResult stream;
    stream.name = value.at("name").get<std::string>();
    const auto importance = value.at("importance").get<std::string>();
    for (const auto &[word, candidate] : importanceWords) {
        if (word == importance) {
            stream.importance = candidate;
        }
    }
    stream.started = value.at("started").get<std::uint64_t>();
    stream.outcomes = value.at("outcomes").get<std::map<std::string, std::uint64_t>>();
    for (const json &bucket : value.at("buckets_us")) {
        stream.latency.restore(bucket.at(0).get<std::uint64_t>(), bucket.at(1).get<std::uint64_t>());
    }
    return stream;
}

const StreamResult *findStream(const LoadResult &result, const std::string &name)
{
    for (const StreamResult &stream : result.streams) {
        if (stream.name == name) {
            return &stream;
        }
    }
    return nullptr;
}

/// Change from @p before to @p after in percent, or "-" if there is no base.
std::string changeText(double before, double after)
{
    return before > 0 ? decimalText(100 * (after / before - 1), 1) + " %" : "-";
}

void compareStreams(const StreamResult &first, const StreamResult &second, TextTable &table)
{
    const auto addRow = [&](const std::string &what, double before, double after, int decimals) {
        table.add({ first.name + ' ' + what,
                    decimalText(before, decimals),
                    decimalText(after, decimals),
                    changeText(before, after) });
    };
    addRow("started", static_cast<double>(first.started), static_cast<double>(second.started), 0);
    for (const auto &[name, share] : quantiles) {
        addRow(std::string(name) + " ms",
               toMilliseconds(first.latency.quantile(share)),
               toMilliseconds(second.latency.quantile(share)),
               2);
    }
    addRow("max ms", toMilliseconds(first.latency.max()), toMilliseconds(second.latency.max()), 2);
    std::set<std::string> outcomes;
    for (const StreamResult *const stream : { &first, &second }) {
        for (const auto &[outcome, count] : stream->outcomes) {
            outcomes.insert(outcome);
        }
    }
    for (const std::string &outcome : outcomes) {
        addRow(outcome, static_cast<double>(first.outcome(outcome)), static_cast<double>(second.outcome(outcome)), 0);
    }
}

} // namespace

std::uint64_t StreamResult::outcome(const std::string &what) const
{
    const auto found = outcomes.find(what);
    return found == outcomes.end() ? 0 : found->second;
}

void printLoadResult(const LoadResult &result, std::ostream &out)
{
    out << "seed " << result.seed << ", " << decimalText(result.seconds, 1) << " s\n\n";
    TextTable latencies({ "stream", "class", "started", "answers", "p50 ms", "p90 ms", "p99 ms", "max ms" });
    std::map<Importance, std::map<std::string, std::uint64_t>> byClass;
    for (const StreamResult &stream : result.streams) {
        latencies.add({ stream.name,
                        std::string(wordFor(importanceWords, stream.importance)),
                        std::to_string(stream.started),
                        std::to_string(stream.latency.count()),
                        millisecondText(stream.latency.quantile(0.5)),
                        millisecondText(stream.latency.quantile(0.9)),
                        millisecondText(stream.latency.quantile(0.99)),
                        millisecondText(stream.latency.max()) });
        for (const auto &[outcome, count] : stream.outcomes) {
            byClass[stream.importance][outcome] += count;
        }
    }
    latencies.print(out);
    out << '\n';
    TextTable outcomes({ "class and outcome", "count" });
    for (const auto &[importance, counts] : byClass) {
        for (const auto &[outcome, count] : counts) {
            outcomes.add({ std::string(wordFor(importanceWords, importance)) + ' ' + outcome, std::to_string(count) });
        }
    }
    outcomes.print(out);
}

std::string loadResultToJson(const LoadResult &result)
{
    json streams = json::array();
    for (const StreamResult &stream : result.streams) {
        streams.push_back(toJson(stream));
    }
    const json object = { { "seed", result.seed }, { "seconds", result.seconds }, { "streams", std::move(streams) } };
    return object.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

Outcome<LoadResult, std::string> loadResultFromJson(std::string_view text)
{
    try {
        const json object = json::parse(text);
        LoadResult result { object.at("seed").get<std::uint64_t>(), object.at("seconds").get<double>(), {} };
        for (const json &stream : object.at("streams")) {
            result.streams.push_back(streamFromJson(stream));
        }
        return result;
    } catch (const json::exception &error) {
        return Outcome<LoadResult, std::string>::failure(error.what());
    }
}

std::string gnuplotText(const LoadResult &result)
{
    std::ostringstream text;
    text << "set title 'Latency by share of answers'\nset xlabel 'share of answers'\nset ylabel 'latency in ms'\n"
            "set logscale y\nset key top left\n";
    std::string plot;
    for (std::size_t i = 0; i < result.streams.size(); ++i) {
        const StreamResult &stream = result.streams[i];
        if (stream.latency.count() == 0) {
            continue;
        }
        text << "$stream" << i << " << END\n";
        std::uint64_t below = 0;
        for (const auto &[bound, count] : stream.latency.buckets()) {
            below += count;
            // A logarithmic axis has no 0.
            text << static_cast<double>(below) / static_cast<double>(stream.latency.count()) << ' '
                 << static_cast<double>(std::max<std::uint64_t>(bound, 1)) / 1000 << '\n';
        }
        text << "END\n";
        plot += (plot.empty() ? "plot " : ", ") + ("$stream" + std::to_string(i)) + " with steps title '" + stream.name
            + '\'';
    }
    text << (plot.empty() ? "# no answers to draw" : plot) << '\n';
    return text.str();
}

void compareLoadResults(const LoadResult &first, const LoadResult &second, std::ostream &out)
{
    TextTable table({ "stream", "first", "second", "change" });
    for (const StreamResult &stream : first.streams) {
        if (const StreamResult *const other = findStream(second, stream.name)) {
            compareStreams(stream, *other, table);
        } else {
            table.add({ stream.name, "only in first" });
        }
    }
    for (const StreamResult &stream : second.streams) {
        if (findStream(first, stream.name) == nullptr) {
            table.add({ stream.name, "", "only in second" });
        }
    }
    table.print(out);
}

} // namespace boragelug
