#include "core/utf8.h"

#include <cstdint>

namespace boragelug
{

namespace
{

/// Lead bytes of one length, and the range of the second byte, which excludes overlong forms and surrogates.
struct LeadRange
{
    unsigned first;
    unsigned last;
    std::size_t length;
    unsigned secondLeast;
    unsigned secondMost;
};

constexpr LeadRange leadRanges[] = {
    { 0xc2, 0xdf, 2, 0x80, 0xbf }, { 0xe0, 0xe0, 3, 0xa0, 0xbf }, { 0xe1, 0xec, 3, 0x80, 0xbf },
    { 0xed, 0xed, 3, 0x80, 0x9f }, { 0xee, 0xef, 3, 0x80, 0xbf }, { 0xf0, 0xf0, 4, 0x90, 0xbf },
    { 0xf1, 0xf3, 4, 0x80, 0xbf }, { 0xf4, 0xf4, 4, 0x80, 0x8f },
};

unsigned byteAt(std::string_view text, std::size_t index)
{
    return static_cast<unsigned char>(text[index]);
}

/// Length of the well-formed sequence at the start of @p text; 0 if there is none.
std::size_t sequenceLength(std::string_view text)
{
    const unsigned lead = byteAt(text, 0);
    if (lead < 0x80) {
        const bool allowed = lead >= 0x20 || lead == '\t' || lead == '\n' || lead == '\r';
        return allowed && lead != 0x7f ? 1 : 0;
    }
    for (const LeadRange &range : leadRanges) {
        if (lead < range.first || lead > range.last) {
            continue;
        }
        if (text.size() < range.length || byteAt(text, 1) < range.secondLeast || byteAt(text, 1) > range.secondMost) {
            return 0;
        }
        for (std::size_t i = 2; i < range.length; ++i) {
            if ((byteAt(text, i) & 0xc0U) != 0x80U) {
                return 0;
            }
        }
        return range.length;
    }
    return 0;
}

} // namespace

std::optional<std::size_t> findInvalidText(std::string_view text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t length = sequenceLength(text.substr(at));
        if (length == 0) {
            return at;
        }
        at += length;
    }
    return std::nullopt;
}

} // namespace boragelug
