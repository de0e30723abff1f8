#pragma once

#include "core/outcome.h"
#include "core/time_point.h"
#include "model/catalogue.h"
#include "model/problem.h"

#include <cstdint>
#include <string>
#include <vector>

namespace boragelug
{

/// One kind of work that a load run generates.
struct LoadStream
{
    std::string name;
    EntryKind kind = EntryKind::Requests;
    /// Where datagrams for the entry go.
    Endpoint entry;
    /// Class under which outcomes are counted.
    Importance importance = Importance::Ordinary;
    /// Mean number of new requests or flows per second.
    std::uint32_t rate = 1;
    /// Bytes of a request's body or of a flow's packet.
    std::uint32_t size = 64;
    /// Time in which a request, or a packet of a flow, has to be answered.
    Duration deadline = std::chrono::seconds(1);

    /// Requests only: whether they are sent without a request id, by PUT instead of POST.
    bool idempotent = false;
    /// Requests only: value of Host, the name of the service.
    std::string service;
    std::string target = "/";

    /// Flows only.
    std::uint32_t packets = 10;
    Duration interval = std::chrono::milliseconds(100);

    /// Text that every answer must contain besides the sent payload, such as "service=ledger"; empty is none.
    std::string expect;

    bool operator==(const LoadStream &) const = default;
};

/// A load run.
struct LoadDescription
{
    std::uint64_t seed = 1;
    Duration duration = std::chrono::seconds(10);
    /// Sockets from which requests are sent.
    std::uint32_t callers = 4;
    std::vector<LoadStream> streams;

    bool operator==(const LoadDescription &) const = default;
};

/// Parses a description in YAML; lists all problems. Thread-safe.
Outcome<LoadDescription, Problems> parseLoadDescription(const std::string &text, const std::string &file);

/// Reads and parses a description of at most 64 KiB. Thread-safe.
Outcome<LoadDescription, Problems> loadLoadDescription(const std::string &path);

} // namespace boragelug
