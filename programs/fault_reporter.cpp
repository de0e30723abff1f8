#include "programs/fault_reporter.h"

#include <string>

namespace boragelug
{
namespace
{

constexpr double linesPerSecond = 1;
constexpr double linesAtOnce = 10;

} // namespace

FaultReporter::FaultReporter(EventRecorder &events, MetricSink &metrics, const Clock &clock)
    : events_(events)
    , metrics_(metrics)
    , clock_(clock)
    , lines_(linesPerSecond, linesAtOnce, clock.now())
{ }

void FaultReporter::report(std::string_view reason)
{
    metrics_.add("boragelug_handler_failures_total", 1, {});
    if (lines_.take(1, clock_.now())) {
        events_.record(EventNumber::HandlerFailed, 0, { { "reason", std::string(reason) } });
    }
}

} // namespace boragelug
