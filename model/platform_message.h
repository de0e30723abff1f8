#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/catalogue.h"
#include "model/upstream.h"
#include "model/vm.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace boragelug
{

/// One item of a part of the view.
using PartItem = std::variant<Zone, Service, Entry, Upstream>;

/// Numbers of the parts of the view; a part is one value of the configuration service.
namespace parts
{

constexpr std::uint16_t zones = 1;
constexpr std::uint16_t services = 2;
/// Entries are split over up to @c maxEntryShards values, so that one change moves little data.
constexpr std::uint16_t firstEntries = 0x0100;
constexpr std::uint16_t maxEntryShards = 0x0100;
/// Upstreams are split over up to @c maxUpstreamShards values.
constexpr std::uint16_t firstUpstreams = 0x1000;
constexpr std::uint16_t maxUpstreamShards = 0x1000;

/// Whether @p part holds entries. Thread-safe.
constexpr bool isEntries(std::uint16_t part)
{
    return part >= firstEntries && part < firstEntries + maxEntryShards;
}

/// Whether @p part holds upstreams. Thread-safe.
constexpr bool isUpstreams(std::uint16_t part)
{
    return part >= firstUpstreams && part < firstUpstreams + maxUpstreamShards;
}

/// Whether @p part is one that this release knows. Thread-safe.
constexpr bool isKnown(std::uint16_t part)
{
    return part == zones || part == services || isEntries(part) || isUpstreams(part);
}

} // namespace parts

/// A part and the catalogue version at which it last changed.
struct PartVersion
{
    std::uint16_t part = 0;
    std::uint64_t version = 0;

    bool operator==(const PartVersion &) const = default;
};

/// What the platform's index says: the catalogue's version and the version of every part.
struct PlatformIndex
{
    CatalogueVersion version;
    std::vector<PartVersion> parts;

    bool operator==(const PlatformIndex &) const = default;
};

/// All items of one part at one version.
struct PartContent
{
    std::uint16_t part = 0;
    std::uint64_t version = 0;
    std::vector<PartItem> items;

    bool operator==(const PartContent &) const = default;
};

/// The platform's list of the VMs of one zone.
struct VmList
{
    ZoneId zone;
    std::uint64_t version = 0;
    std::vector<Vm> vms;

    bool operator==(const VmList &) const = default;
};

/// What a call to the platform reads.
enum class PlatformResource : std::uint8_t { Index, Part, VmList };

/// A call to make. The platform is only read and watched.
struct PlatformCall
{
    /// Returned in the answer; unique within one process.
    std::uint64_t id = 0;
    PlatformResource resource = PlatformResource::Index;
    /// For @c Part.
    std::uint16_t part = 0;
    /// For @c VmList.
    ZoneId zone;
    /// The version that the caller has; the platform answers "unchanged" while it has the same. 0 is none.
    std::uint64_t knownVersion = 0;
    /// How long the platform may wait for a change before it answers; 0 is a plain read.
    Duration wait {};
};

/// Why a call brought no value.
enum class PlatformError : std::uint8_t {
    Unreachable,
    TimedOut,
    Throttled,
    ServerFailure,
    NotFound,
    TooLarge,
    Malformed,
    Cancelled
};

/// A failed call.
struct PlatformFailure
{
    PlatformError error = PlatformError::Unreachable;
    std::string detail;
    /// How long the platform asks callers to wait before the next call; 0 when it doesn't say.
    Duration retryAfter {};
};

/// The resource still has the version that the call named.
struct PlatformUnchanged
{ };

/// Answer to a PlatformCall.
struct PlatformAnswer
{
    std::uint64_t callId = 0;
    std::variant<PlatformFailure, PlatformUnchanged, PlatformIndex, PartContent, VmList> result;
};

} // namespace boragelug
