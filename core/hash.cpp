#include "core/hash.h"

#include <xxhash.h>

namespace boragelug
{

std::uint64_t hashBytes(std::span<const std::byte> bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hashText(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace boragelug
