#include "core/duration_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace boragelug
{

namespace
{

/// A number that isn't negative, with or without a fraction or an exponent.
std::optional<double> parseNumber(std::string_view text)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool startsWithDigit = !text.empty() && text.front() >= '0' && text.front() <= '9';
    const bool leadingZero = text.size() > 1 && text[0] == '0' && text[1] >= '0' && text[1] <= '9';
    if (error != std::errc() || end != text.data() + text.size() || !startsWithDigit || leadingZero) {
        return std::nullopt;
    }
    return number;
}

struct DurationUnit
{
    std::string_view suffix;
    std::uint64_t milliseconds;
};

/// Longest suffix first, so that "ms" is not read as "s".
constexpr std::array<DurationUnit, 4> durationUnits {
    { { "ms", 1 }, { "s", 1000 }, { "m", 60'000 }, { "h", 3'600'000 } }
};

/// Keeps sums of durations far from the limit of 64-bit nanoseconds.
constexpr std::uint64_t maxDurationMilliseconds = 366ULL * 24 * 3'600'000;

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    for (const auto &unit : durationUnits) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const auto number = parseNumber(text.substr(0, text.size() - unit.suffix.size()));
        if (!number) {
            return std::nullopt;
        }
        const double milliseconds = *number * static_cast<double>(unit.milliseconds);
        if (milliseconds > static_cast<double>(maxDurationMilliseconds)) {
            return std::nullopt;
        }
        return std::chrono::round<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
    }
    return std::nullopt;
}

std::string durationText(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    const auto milliseconds = static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
    for (auto unit = durationUnits.rbegin(); unit != durationUnits.rend(); ++unit) {
        if (milliseconds >= unit->milliseconds && milliseconds % unit->milliseconds == 0) {
            return std::to_string(milliseconds / unit->milliseconds) + std::string(unit->suffix);
        }
    }
    return "0s";
}

} // namespace boragelug
