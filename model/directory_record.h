#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/catalogue.h"
#include "model/endpoint.h"
#include "model/speed_report.h"
#include "model/upstream.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace boragelug
{

/// Position in the directory's history of changes; grows with each change of any record.
using DirectoryRevision = StrongType<struct DirectoryRevisionTag, std::uint64_t>;

/// What a directory says of one upstream. Services and zones have names only; the view numbers them.
struct UpstreamRecord
{
    UpstreamId id;
    Incarnation incarnation;
    std::string service;
    std::string zone;
    /// Receives packets over UDP and status checks over TCP.
    Endpoint address;
    /// Requests that the host works on at the same time.
    std::uint32_t slots = 1;
    UpstreamState state = UpstreamState::Active;
    /// How much longer the host is slow after its start, when the record was written.
    Duration coldLeft {};

    bool operator==(const UpstreamRecord &) const = default;
};

/// A service that an entry sends new flows to, and its part of them.
struct ServiceShare
{
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const ServiceShare &) const = default;
};

/// Slow start of a service's upstreams. Services without a limit have no record.
struct ServiceRecord
{
    std::string name;
    /// How long an upstream is cold after its start; zero if the catalogue doesn't say.
    Duration coldStart {};
    /// Requests a second that a cold upstream bears; finite and positive.
    double coldRequestsPerSecond = 0;

    bool operator==(const ServiceRecord &) const = default;
};

/// One address that callers use.
struct EntryRecord
{
    EntryName name;
    Endpoint address;
    std::vector<ServiceShare> services;
    /// Callers may repeat its requests after any failure.
    bool idempotent = false;
    /// Time in which callers expect an answer; zero if the catalogue doesn't say.
    Duration latencyObjective {};
    /// Time after which its callers give a request up; zero if the catalogue doesn't say.
    Duration timeout {};
    /// Importance of its requests; 0 goes first.
    std::uint32_t priority = 0;

    bool operator==(const EntryRecord &) const = default;
};

/// The operators' whole configuration at one version.
struct CatalogueRecord
{
    CatalogueVersion version;
    std::vector<EntryRecord> entries;
    /// A flow without packets for longer may be forgotten; nothing if the catalogue doesn't say.
    std::optional<Duration> flowIdleTimeout;
    /// Services whose cold upstreams have a limit.
    std::vector<ServiceRecord> services = {};
    /// Values that were ignored, for the log. Not passed on to other VMs.
    std::vector<std::string> problems = {};

    bool operator==(const CatalogueRecord &) const = default;
};

/// The difference between two versions of the catalogue. VMs pass it on in place of the whole catalogue.
struct CatalogueDelta
{
    /// Applies only to a catalogue of this version.
    CatalogueVersion base;
    CatalogueVersion version;
    /// Entries that are new or different.
    std::vector<EntryRecord> changed;
    /// Addresses of the entries that were removed.
    std::vector<Endpoint> removed;
    std::optional<Duration> flowIdleTimeout;
    /// All services whose cold upstreams have a limit, also unchanged ones.
    std::vector<ServiceRecord> services = {};

    bool operator==(const CatalogueDelta &) const = default;
};

/// The operators' request that no new flow goes to upstreams of an availability zone, until the record is removed.
struct EvacuationRecord
{
    std::string zone;

    bool operator==(const EvacuationRecord &) const = default;
};

/// A record that names nothing to use; @c reason says why.
struct UnreadableRecord
{
    std::string reason;

    bool operator==(const UnreadableRecord &) const = default;
};

/// The key has no record any more.
struct RemovedRecord
{
    bool operator==(const RemovedRecord &) const = default;
};

/// One key of the directory at one revision.
struct DirectoryItem
{
    std::string key;
    DirectoryRevision revision;
    std::variant<UpstreamRecord, CatalogueRecord, CatalogueDelta, EvacuationRecord, UnreadableRecord, RemovedRecord>
        content;

    bool operator==(const DirectoryItem &) const = default;
};

/// A call to make. The directory is only read and watched.
struct DirectoryCall
{
    /// Follow asks another VM for what it read; List and Watch ask the directory.
    enum class Kind : std::uint8_t { List, Watch, Follow };

    /// Returned with the answer; unique within one process.
    std::uint64_t id = 0;
    Kind kind = Kind::List;
    /// List: the last key of the previous page; empty for the first page.
    std::string afterKey;
    /// Watch, Follow: changes after this revision are wanted.
    DirectoryRevision after;
    /// Follow: version of the catalogue that this VM has; 0 if none.
    CatalogueVersion catalogue;
    /// Follow: the VM to ask.
    Endpoint relay;
    /// Follow: what this VM observed of upstreams since its last call.
    std::vector<SpeedObservation> speeds = {};
    /// Watch, Follow: how long an answer may wait for a change.
    Duration wait {};
    /// Watch: any replica may answer, whose records may be seconds old. Such an answer costs the directory little.
    bool mayBeStale = false;
    /// When the call is given up, counted from its start.
    Duration timeout {};
    /// Follow: when the connection is given up, counted from the call's start; zero if only @c timeout applies. A VM
    /// without power doesn't refuse connections.
    Duration connectTimeout {};
};

/// One page of all records. Pages of one listing are no snapshot.
struct DirectoryPage
{
    std::vector<DirectoryItem> items;
    bool more = false;
    /// Where the next page continues; may be the key of a record that @c items leaves out.
    std::string lastKey;
    DirectoryRevision asOf;
};

/// Changes; those of one record in the order in which they were made. Empty when the wait is over.
struct DirectoryChanges
{
    std::vector<DirectoryItem> items;
    DirectoryRevision asOf;
    /// Follow: the items are all upstream records that exist, so that any other one was removed.
    bool complete = false;
    /// Follow: how long ago the answering VM was certainly up to date.
    Duration age {};
    /// Follow: how long ago an outage of the directory ended for that VM; nothing if that is long ago.
    std::optional<Duration> sinceOutage = std::nullopt;
    /// Follow: another VM to ask, as this one passes on to enough others.
    std::optional<Endpoint> elsewhere = std::nullopt;
    /// Follow: the slowest upstreams, which replace those of earlier answers; null if the answering VM learns none, or
    /// sent the same ones shortly before.
    SharedSlowUpstreams slowUpstreams = nullptr;
};

/// What one VM asks another for: all records that changed after a revision.
struct FollowRequest
{
    DirectoryRevision after;
    /// Version of the catalogue that the asking VM has; 0 if none or unknown.
    CatalogueVersion catalogue;
    /// How long the answer may wait for a change.
    Duration wait {};
    /// Where the asking VM answers such requests itself, and its availability zone.
    Endpoint listening;
    std::string zone;
    /// What the asking VM and its followers observed of upstreams since its last request.
    std::vector<SpeedObservation> speeds = {};

    bool operator==(const FollowRequest &) const = default;
};

/// Why a call brought no records.
enum class DirectoryError : std::uint8_t {
    Unreachable,
    TimedOut,
    Throttled,
    ServerFailure,
    /// The history since the asked revision is gone: list again.
    HistoryLost,
    Malformed
};

/// A failed call.
struct DirectoryFailure
{
    DirectoryError error = DirectoryError::Unreachable;
    std::string detail;
};

/// Answer to a DirectoryCall.
struct DirectoryAnswer
{
    std::uint64_t callId = 0;
    std::variant<DirectoryFailure, DirectoryPage, DirectoryChanges> result;
};

} // namespace boragelug
