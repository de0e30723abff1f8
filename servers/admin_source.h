#pragma once

#include "core/event_ring.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/time_point.h"
#include "model/catalogue.h"
#include "model/directory_record.h"
#include "model/endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace boragelug
{

/// Whether a process takes work.
enum class Readiness : std::uint8_t {
    /// Has no confirmed view yet; will become ready by itself.
    Starting,
    Ready,
    /// Leaves on purpose; will not become ready again.
    Draining,
    /// Can't serve and needs an operator.
    Broken,
};

/// Readiness with a reason that an operator understands.
struct ReadinessReport
{
    Readiness state = Readiness::Starting;
    std::string reason;
};

/// Upstreams of one service by state, and how evenly they are used.
struct ServiceStatus
{
    std::string name;
    std::uint32_t active = 0;
    std::uint32_t draining = 0;
    std::uint32_t leaving = 0;
    /// Active, but not used because of their outcomes.
    std::uint32_t ejected = 0;
    std::uint64_t openFlows = 0;
    /// Load of the most loaded upstream divided by the mean; 1 is even, 0 is no load.
    double imbalance = 0;
};

/// An upstream that the VM takes for slower than the others of its service.
struct UpstreamSlowness
{
    UpstreamId upstream;
    std::string service;
    /// Its latency as a multiple of that of the others; above 1.
    double slowness = 1;
};

/// Use of one entry on this VM against this VM's share of the limits; a limit of 0 is none.
struct EntryUse
{
    EntryName entry;
    OwnerName owner;
    Importance importance = Importance::Ordinary;
    /// Per second over the last ten seconds.
    double requestsPerSecond = 0;
    double newFlowsPerSecond = 0;
    double bytesPerSecond = 0;
    std::uint64_t requestsInProgress = 0;
    std::uint64_t openFlows = 0;
    Limits share;
    /// Since the start of the process.
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
};

/// Limit of the slow upstreams in a StatusReport.
inline constexpr std::size_t maxSlowShown = 20;

/// State of one VM.
struct StatusReport
{
    VmId vm;
    Incarnation incarnation;
    std::string zone;
    std::string region;
    ReadinessReport readiness;
    CatalogueVersion catalogueVersion;
    std::uint64_t viewGeneration = 0;
    /// Time since the view was last confirmed by the platform or a peer.
    Duration viewAge {};
    bool inDoubt = false;
    /// No peer outside of the own zone, or no peer at all, answers.
    bool cutOff = false;
    bool platformReachable = true;
    std::uint32_t membersAlive = 0;
    std::uint32_t membersSuspect = 0;
    std::uint32_t membersDead = 0;
    std::uint64_t openFlows = 0;
    std::uint64_t brokenFlows = 0;
    std::uint64_t guessedPackets = 0;
    double controlBytesPerSecond = 0;
    std::vector<ServiceStatus> services;
    /// Reasons with how often each led to a refusal since the start of the process.
    std::vector<std::pair<std::string, std::uint64_t>> refused;
    std::vector<EntryUse> entries;
    /// The slowest first; at most maxSlowShown.
    std::vector<UpstreamSlowness> slowUpstreams = {};
};

/// A flow by protocol ("tcp" or "udp"), caller and entry address, or by its key.
struct FlowQuery
{
    std::string protocol;
    Endpoint caller;
    Endpoint entry;
    std::optional<FlowKey> key;
};

/// A request by its id.
struct RequestQuery
{
    std::string id;
};

using ExplainQuery = std::variant<FlowQuery, RequestQuery>;

/// One upstream that was considered.
struct Candidate
{
    UpstreamId upstream;
    std::string zone;
    std::string state;
    /// Load that placement compared; lower is better.
    double score = 0;
    bool chosen = false;
    /// Why it was chosen or passed over.
    std::string reason;
};

/// Why a flow or request was treated as it was.
struct Explanation
{
    /// The flow or request in the form in which events name it.
    std::string subject;
    CatalogueVersion catalogueVersion;
    std::uint64_t viewGeneration = 0;
    bool inDoubt = false;
    EntryName entry;
    /// VMs that own the flow, or the issuer of the request id.
    std::vector<VmId> owners;
    std::vector<Candidate> candidates;
    /// One of the words for outcomes: "placed", "answered", "refused", "unknown", "in_progress".
    std::string outcome;
    std::string reason;
    /// Events of the flow or request on this VM.
    std::vector<Event> events;
};

/// A part of the directory's catalogue in force.
struct CataloguePage
{
    /// Entries in the order of their addresses; services only on the first page.
    CatalogueRecord record;
    /// Entries follow after the last one.
    bool more = false;

    bool operator==(const CataloguePage &) const = default;
};

/**
 * What the admin server shows of its process.
 *
 * Called from the thread that runs the admin server; no call may block.
 */
class AdminSource
{
public:
    virtual ~AdminSource() = default;

    /// Whether the process takes work.
    virtual ReadinessReport readiness() const = 0;

    /// The process's state now.
    virtual StatusReport status() const = 0;

    /// See EventRing::select().
    virtual EventSelection events(const EventFilter &filter, std::uint64_t afterSequence, std::size_t most) const = 0;

    /// What is known of a flow or request, or why nothing is.
    virtual Outcome<Explanation, std::string> explain(const ExplainQuery &query) const = 0;

    /// At most @p most entries of the directory's catalogue after address @p after, or from the first one; or why there
    /// is no catalogue.
    virtual Outcome<CataloguePage, std::string> catalogue(const std::optional<Endpoint> &after, std::size_t most) const
    {
        static_cast<void>(after);
        static_cast<void>(most);
        return Outcome<CataloguePage, std::string>::failure("this VM reads no catalogue of a directory");
    }

    /// All metrics in the Prometheus text format.
    virtual std::string metrics() const = 0;
};

} // namespace boragelug
