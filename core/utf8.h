#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace boragelug
{

/// Offset of the first byte of @p text that is not part of well-formed UTF-8 (RFC 3629), or that is a control character
/// other than tab and line ends; nothing if there is none. Thread-safe.
std::optional<std::size_t> findInvalidText(std::string_view text);

} // namespace boragelug
