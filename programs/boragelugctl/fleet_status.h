#pragma once

#include "programs/boragelugctl/fleet_client.h"
#include "servers/admin_source.h"

#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace boragelug
{

/// What one owner consumed, and what it got for it, over all VMs.
struct OwnerSummary
{
    double requestsPerSecond = 0;
    double newFlowsPerSecond = 0;
    double bytesPerSecond = 0;
    std::uint64_t requestsInProgress = 0;
    std::uint64_t openFlows = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;

    /// Answered requests as a share of all that ended; 1 if none did.
    double answeredShare() const;
};

/// State of one VM, or why it is unknown.
struct FleetMember
{
    Endpoint vm;
    Outcome<StatusReport, std::string> status;
};

/// Adds up use and outcomes by owner. Thread-safe.
std::map<std::string, OwnerSummary> summarizeOwners(const std::vector<FleetMember> &fleet);

/// Writes the tables of VMs, services, refusals and owners.
void printFleetStatus(const std::vector<FleetMember> &fleet, std::ostream &out);

} // namespace boragelug
