#pragma once

#include "model/directory_record.h"

#include <cstdint>
#include <string>

namespace boragelug
{

/// Directory records for tests.

inline DirectoryItem host(std::uint64_t id, std::uint64_t revision, UpstreamState state = UpstreamState::Active)
{
    UpstreamRecord record;
    record.id = UpstreamId { id };
    record.incarnation = Incarnation { 1 };
    record.service = "ledger";
    record.zone = "kgd-north";
    record.state = state;
    return { .key = "hosts/" + std::to_string(id), .revision = { revision }, .content = record };
}

inline DirectoryItem removed(std::uint64_t id, std::uint64_t revision)
{
    return { .key = "hosts/" + std::to_string(id), .revision = { revision }, .content = RemovedRecord {} };
}

} // namespace boragelug
