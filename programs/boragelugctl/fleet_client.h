#pragma once

#include "core/outcome.h"
#include "core/time_point.h"
#include "drivers/admin_codec.h"
#include "model/endpoint.h"
#include "programs/boragelugctl/options.h"

#include <string>
#include <vector>

namespace boragelug
{

/// One GET to the admin server of one VM.
struct FleetQuery
{
    Endpoint vm;
    std::string target;
};

/// The answer with status 200, or why there is none.
using FleetAnswer = Outcome<AdminAnswer, std::string>;

/// Sends all queries, at most 64 at the same time, and returns the answers in the same order. Each takes at most
/// @p timeout. Answers over 64 MiB are refused.
std::vector<FleetAnswer> askFleet(const std::vector<FleetQuery> &queries, Duration timeout);

/// Options that name VMs: --vm, --vms and --timeout.
std::vector<OptionSpec> fleetOptions();

/// Admin endpoints from --vm and --vms. Throws UsageError if there is none or one is malformed.
std::vector<Endpoint> fleetFrom(const ParsedOptions &options);

/// Value of --timeout, by default 3 s. Throws UsageError.
Duration timeoutFrom(const ParsedOptions &options);

/// Exit code for @p answered of @p asked VMs.
int fleetExitCode(std::size_t asked, std::size_t answered);

} // namespace boragelug
