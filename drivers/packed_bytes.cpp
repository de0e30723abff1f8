#include "drivers/packed_bytes.h"

#include <stdexcept>
#include <zstd.h>

namespace boragelug
{
namespace
{

/// The fastest level that still finds repeated names.
constexpr int compressionLevel = 1;

} // namespace

std::string packBytes(std::string_view bytes)
{
    std::string packed(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size = ZSTD_compress(packed.data(), packed.size(), bytes.data(), bytes.size(), compressionLevel);
    if (ZSTD_isError(size) != 0) {
        throw std::runtime_error(std::string("can't compress: ") + ZSTD_getErrorName(size));
    }
    packed.resize(size);
    return packed;
}

std::optional<std::string> unpackBytes(std::string_view packed, std::size_t maxBytes)
{
    // Both error codes of this function are far above any limit.
    const unsigned long long size = ZSTD_getFrameContentSize(packed.data(), packed.size());
    if (size > maxBytes) {
        return std::nullopt;
    }
    std::string bytes(static_cast<std::size_t>(size), '\0');
    const std::size_t written = ZSTD_decompress(bytes.data(), bytes.size(), packed.data(), packed.size());
    return ZSTD_isError(written) == 0 && written == bytes.size() ? std::optional(std::move(bytes)) : std::nullopt;
}

} // namespace boragelug
