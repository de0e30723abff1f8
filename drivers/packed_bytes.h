#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// Compresses @p bytes with Zstandard. Thread-safe.
std::string packBytes(std::string_view bytes);

/// Reverses packBytes(); std::nullopt if @p packed is damaged or has more than @p maxBytes. Thread-safe.
std::optional<std::string> unpackBytes(std::string_view packed, std::size_t maxBytes);

} // namespace boragelug
