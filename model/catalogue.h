#pragma once

#include "core/ids.h"
#include "core/time_point.h"
#include "model/endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragelug
{

/// Order in which work is served under saturation, highest first.
enum class Importance : std::uint8_t { Critical, Important, Ordinary };

/// What placement favours when continuity and even load conflict.
enum class Preference : std::uint8_t { FlowContinuity, EvenLoad };

/// How an entry is served.
enum class EntryKind : std::uint8_t { Flows, Requests };

/// What an entry may consume over the whole fleet; 0 is no limit.
struct Limits
{
    std::uint32_t requestsPerSecond = 0;
    std::uint32_t requestsInProgress = 0;
    std::uint32_t newFlowsPerSecond = 0;
    std::uint64_t openFlows = 0;
    std::uint64_t bytesPerSecond = 0;

    bool operator==(const Limits &) const = default;
};

/// An availability zone.
struct Zone
{
    ZoneId id;
    std::string name;
    std::string region;

    bool operator==(const Zone &) const = default;
};

/// A group of upstreams that serve the same work.
struct Service
{
    ServiceId id;
    std::string name;
    std::uint32_t slotsPerHost = 0;
    std::uint32_t connectionsPerHost = 0;
    /// Time over which a host that started cold ramps up to its full share.
    Duration slowStart {};

    bool operator==(const Service &) const = default;
};

/// One address that callers use, with its owner, importance and limits.
struct Entry
{
    EntryName name;
    OwnerName owner;
    ServiceId service;
    Endpoint address;
    EntryKind kind = EntryKind::Flows;
    Importance importance = Importance::Ordinary;
    Preference prefer = Preference::FlowContinuity;
    /// Whether work may go to another availability zone when the local upstreams are full.
    bool allowSpill = false;
    /// Longest deadline that a request may ask for.
    Duration maxDeadline {};
    Limits limits;

    bool operator==(const Entry &) const = default;
};

/// The operators' whole configuration at one version.
struct Catalogue
{
    CatalogueVersion version;
    std::vector<Zone> zones;
    std::vector<Service> services;
    std::vector<Entry> entries;

    bool operator==(const Catalogue &) const = default;
};

} // namespace boragelug
