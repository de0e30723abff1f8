#pragma once

#include "core/outcome.h"
#include "model/catalogue.h"
#include "programs/boragelugctl/latency_histogram.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace boragelug
{

/// What became of the work of one stream.
struct StreamResult
{
    std::string name;
    Importance importance = Importance::Ordinary;
    /// Requests or flows that were started.
    std::uint64_t started = 0;
    /// Counts by outcome: for requests "answered", "refused: REASON", "unknown: REASON", "no_answer", "wrong_answer",
    /// "late_answer"; for flows "kept", "broken", "unanswered", "wrong_answer".
    std::map<std::string, std::uint64_t> outcomes;
    /// From the intended time of sending to the answer.
    LatencyHistogram latency;

    std::uint64_t outcome(const std::string &what) const;
};

/// A finished load run.
struct LoadResult
{
    std::uint64_t seed = 0;
    double seconds = 0;
    std::vector<StreamResult> streams;
};

/// Writes latencies by stream and outcomes by class as text.
void printLoadResult(const LoadResult &result, std::ostream &out);

/// JSON of a run, for files. Thread-safe.
std::string loadResultToJson(const LoadResult &result);

/// Reads what loadResultToJson() writes; a reason if @p text is anything else. Thread-safe.
Outcome<LoadResult, std::string> loadResultFromJson(std::string_view text);

/// A gnuplot program with its data that draws the distribution of latencies of each stream. Thread-safe.
std::string gnuplotText(const LoadResult &result);

/// Writes latencies and outcomes of two runs side by side.
void compareLoadResults(const LoadResult &first, const LoadResult &second, std::ostream &out);

} // namespace boragelug
