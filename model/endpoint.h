#pragma once

#include "core/strong_type.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace boragelug
{

/// IPv4 address in host byte order.
using Ipv4Address = StrongType<struct Ipv4AddressTag, std::uint32_t>;
/// Transport port in host byte order.
using Port = StrongType<struct PortTag, std::uint16_t>;

/// An IPv4 address with a port.
struct Endpoint
{
    Ipv4Address address;
    Port port;

    auto operator<=>(const Endpoint &) const = default;

    template<class H>
    friend H AbslHashValue(H state, const Endpoint &e)
    {
        return H::combine(std::move(state), e.address.value, e.port.value);
    }
};

/// Text form "a.b.c.d:port". Thread-safe.
std::string toString(const Endpoint &endpoint);

/// Parses "a.b.c.d:port" strictly; nothing on any other form or a port over 65535. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view text);

} // namespace boragelug
