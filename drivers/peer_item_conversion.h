#pragma once

#include "gen/peer_types.h"
#include "model/peer_message.h"

#include <cmath>
#include <cstdint>
#include <optional>
#include <type_traits>

namespace boragelug::peer_conversion
{

/// Thrift has signed integers only; values travel by bit pattern. Thread-safe.
template<class T>
std::make_signed_t<T> toSigned(T value)
{
    return static_cast<std::make_signed_t<T>>(value);
}

/// Inverse of toSigned(). Thread-safe.
template<class T>
std::make_unsigned_t<T> toUnsigned(T value)
{
    return static_cast<std::make_unsigned_t<T>>(value);
}

/// Reads an enumerator that is at most @p last. Thread-safe.
template<class E>
std::optional<E> readEnum(std::int8_t value, E last)
{
    if (value < 0 || value > static_cast<std::int8_t>(last)) {
        return std::nullopt;
    }
    return static_cast<E>(value);
}

/// Whether @p value is a finite number that is not negative. Thread-safe.
inline bool isAmount(double value)
{
    return std::isfinite(value) && value >= 0;
}

/// Wire form of a VM. Thread-safe.
wire::Vm writeVm(const Vm &vm);
/// Model form of a VM; nothing if a value is out of range. Thread-safe.
std::optional<Vm> readVm(const wire::Vm &vm);
/// Wire form of an item of the view. Thread-safe.
wire::ViewItem writeItem(const ViewItem &item);
/// Model form of an item of the view; nothing if a value is out of range. Thread-safe.
std::optional<ViewItem> readItem(const wire::ViewItem &item);

} // namespace boragelug::peer_conversion
