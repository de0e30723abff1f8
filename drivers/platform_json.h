#pragma once

#include "core/outcome.h"
#include "model/platform_message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace boragelug
{

/// Path of a resource, for example "/v1/parts/entries/3". Thread-safe.
std::string platformPath(const PlatformCall &call);

/// Decodes the index. Fails with the reason on anything that docs/platform.md doesn't allow. Thread-safe.
Outcome<PlatformIndex, std::string> decodeIndex(std::string_view json);

/// Decodes the value of @p part; every item must be valid, else the whole value is refused. Thread-safe.
Outcome<PartContent, std::string> decodePart(std::uint16_t part, std::string_view json);

/// Decodes the VM list of @p zone; every VM must be valid and of that zone. Thread-safe.
Outcome<VmList, std::string> decodeVmList(ZoneId zone, std::string_view json);

/// Encodes the index. Thread-safe.
std::string encode(const PlatformIndex &index);

/// Encodes a part. Thread-safe.
std::string encode(const PartContent &content);

/// Encodes a VM list. Thread-safe.
std::string encode(const VmList &list);

} // namespace boragelug
