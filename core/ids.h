#pragma once

#include "core/strong_type.h"

#include <cstdint>
#include <string>

namespace boragelug
{

/// Names one entry VM for its whole life; set in the VM's settings.
using VmId = StrongType<struct VmIdTag, std::uint64_t>;
/// Distinguishes runs of one process or host. A larger value is a later run.
using Incarnation = StrongType<struct IncarnationTag, std::uint64_t>;
/// Number of a service in the catalogue; also its Geneve VNI, so at most 24 bits.
using ServiceId = StrongType<struct ServiceIdTag, std::uint32_t>;
/// Names one upstream host.
using UpstreamId = StrongType<struct UpstreamIdTag, std::uint64_t>;
/// Number of an availability zone in the catalogue; 0 is no zone.
using ZoneId = StrongType<struct ZoneIdTag, std::uint16_t>;
/// Name of a catalogue entry.
using EntryName = StrongType<struct EntryNameTag, std::string>;
/// Name of the team that owns catalogue entries.
using OwnerName = StrongType<struct OwnerNameTag, std::string>;
/// 64-bit hash of service, protocol, caller and destination; identifies a flow.
using FlowKey = StrongType<struct FlowKeyTag, std::uint64_t>;
/// Version of the catalogue; only ever grows.
using CatalogueVersion = StrongType<struct CatalogueVersionTag, std::uint64_t>;

} // namespace boragelug
