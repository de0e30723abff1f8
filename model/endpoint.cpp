#include "model/endpoint.h"

#include <charconv>

namespace boragelug
{

namespace
{

/// Reads a decimal number without leading zeros up to @p limit and removes it from @p text.
std::optional<std::uint32_t> takeNumber(std::string_view &text, std::uint32_t limit)
{
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto length = static_cast<std::size_t>(end - text.data());
    const bool leadingZero = length > 1 && text.front() == '0';
    if (error != std::errc() || number > limit || leadingZero) {
        return std::nullopt;
    }
    text.remove_prefix(length);
    return number;
}

bool takeChar(std::string_view &text, char expected)
{
    if (text.empty() || text.front() != expected) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    const std::uint32_t a = endpoint.address.value;
    return std::to_string(a >> 24U) + '.' + std::to_string((a >> 16U) & 255U) + '.' + std::to_string((a >> 8U) & 255U)
        + '.' + std::to_string(a & 255U) + ':' + std::to_string(endpoint.port.value);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    std::uint32_t address = 0;
    for (int part = 0; part < 4; ++part) {
        if (part > 0 && !takeChar(text, '.')) {
            return std::nullopt;
        }
        const auto number = takeNumber(text, 255);
        if (!number) {
            return std::nullopt;
        }
        address = (address << 8U) | *number;
    }
    if (!takeChar(text, ':')) {
        return std::nullopt;
    }
    const auto port = takeNumber(text, 65535);
    if (!port || !text.empty()) {
        return std::nullopt;
    }
    return Endpoint { Ipv4Address { address }, Port { static_cast<std::uint16_t>(*port) } };
}

} // namespace boragelug
