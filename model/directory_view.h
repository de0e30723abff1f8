#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/directory_record.h"
#include "model/endpoint.h"
#include "model/upstream.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boragelug
{

/// Whether the directory lists an upstream.
enum class Listing : std::uint8_t {
    Listed,
    /// Its record vanished around an outage of the directory and may come back; it still takes new flows.
    Lapsed,
    /// Its record is gone; it only keeps the flows that it has.
    Gone,
};

/// An upstream with what this VM knows of it.
struct DirectoryUpstream
{
    Upstream upstream;
    Listing listing = Listing::Listed;
    std::uint32_t slots = 1;
    /// When this VM first saw this incarnation; the epoch for those of the first listing.
    TimePoint knownSince;
    /// The host is slow after its start until then.
    TimePoint coldUntil;
    /// When its record vanished; only for Lapsed and Gone.
    TimePoint vanishedAt;
    /// The operators evacuate its zone: it gets no new flows, even if no other upstream is left.
    bool evacuated = false;
};

/// An entry with the numbers of its services.
struct DirectoryEntry
{
    EntryName name;
    Endpoint address;
    /// Service and weight; never empty, weights are positive.
    std::vector<std::pair<ServiceId, std::uint32_t>> services;
    /// Callers may repeat its requests after any failure.
    bool idempotent = false;
    /// Time in which callers expect an answer; zero if the catalogue doesn't say.
    Duration latencyObjective {};
    /// Time after which its callers give a request up; zero if the catalogue doesn't say.
    Duration timeout {};
    /// Importance of its requests; 0 goes first.
    std::uint32_t priority = 0;
};

/**
 * What one VM has read from the directory. Immutable once published: readers share it by pointer to const.
 *
 * Entries are sorted by address. Numbers of services and zones are local to the process.
 */
struct DirectoryView
{
    CatalogueVersion version;
    DirectoryRevision revision;
    ZoneId selfZone;
    /// A flow without packets for longer may be forgotten.
    Duration flowIdleTimeout {};
    /// Never null; views of the same catalogue share it.
    std::shared_ptr<const std::vector<DirectoryEntry>> entries = std::make_shared<std::vector<DirectoryEntry>>();
    std::vector<DirectoryUpstream> upstreams;
    /// Requests a second that a cold upstream bears, positive; services without a limit are missing.
    std::map<ServiceId, double> coldLimits;
};

} // namespace boragelug
