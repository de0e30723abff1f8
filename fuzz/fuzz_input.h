#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string_view>

namespace boragelug
{

/// The input that libFuzzer passes to a target, as bytes and as text.
struct FuzzInput
{
    FuzzInput(const std::uint8_t *data, std::size_t size)
        : bytes(std::as_bytes(std::span(data, size)))
        , text(reinterpret_cast<const char *>(data), size)
    { }

    std::span<const std::byte> bytes;
    std::string_view text;
};

/// Ends the run as a finding if @p holds is false.
inline void require(bool holds)
{
    if (!holds) {
        std::abort();
    }
}

} // namespace boragelug
