#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace boragelug
{

/**
 * A value of type @p Rep that does not convert to or from other strong types.
 *
 * Plain value type: safe to copy between threads.
 */
template<class Tag, class Rep>
struct StrongType
{
    Rep value {};

    auto operator<=>(const StrongType &) const = default;

    template<class H>
    friend H AbslHashValue(H state, const StrongType &id)
    {
        return H::combine(std::move(state), id.value);
    }
};

} // namespace boragelug

template<class Tag, class Rep>
struct std::hash<boragelug::StrongType<Tag, Rep>>
{
    std::size_t operator()(const boragelug::StrongType<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep> {}(id.value);
    }
};
