#pragma once

#include "model/directory_record.h"

#include <cstdint>
#include <string>

namespace boragelug
{

/// Makes the directory record of a host.
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

/// Makes the removal of the record that host() makes.
inline DirectoryItem removed(std::uint64_t id, std::uint64_t revision)
{
    return { .key = "hosts/" + std::to_string(id), .revision = { revision }, .content = RemovedRecord {} };
}

} // namespace boragelug
