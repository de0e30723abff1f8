#include "drivers/speed_codec.h"

#include "drivers/byte_order.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <span>

namespace boragelug
{
namespace
{

constexpr double latencyUnits = 1024;
constexpr std::uint16_t slownessUnits = 100;

/// Precondition: @p value is not NaN.
std::uint16_t toUnits(double value, double units, std::uint16_t least)
{
    constexpr double most = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::clamp(std::round(value * units), static_cast<double>(least), most));
}

std::string textOf(const std::vector<std::byte> &bytes)
{
    std::string text;
    text.reserve(bytes.size());
    for (const std::byte byte : bytes) {
        text.push_back(static_cast<char>(byte));
    }
    return text;
}

} // namespace

std::string packSpeedObservations(const std::vector<SpeedObservation> &observations)
{
    std::vector<std::byte> out;
    out.reserve(observations.size() * speedObservationBytes);
    for (const SpeedObservation &observation : observations) {
        if (observation.answers == 0 || !(observation.latencySum > 0)) { // True for NaN too.
            continue;
        }
        constexpr std::uint32_t most = std::numeric_limits<std::uint16_t>::max();
        appendBigEndian(out, observation.upstream.value);
        appendBigEndian(out, static_cast<std::uint16_t>(std::min(observation.answers, most)));
        appendBigEndian(out, toUnits(observation.latencySum / observation.answers, latencyUnits, 1));
    }
    return textOf(out);
}

std::optional<std::vector<SpeedObservation>> unpackSpeedObservations(std::string_view bytes)
{
    if (bytes.size() % speedObservationBytes != 0) {
        return std::nullopt;
    }
    const auto in = std::as_bytes(std::span(bytes));
    std::vector<SpeedObservation> out;
    out.reserve(in.size() / speedObservationBytes);
    for (std::size_t at = 0; at < in.size(); at += speedObservationBytes) {
        const auto answers = readBigEndian<std::uint16_t>(in, at + 4);
        const auto latency = readBigEndian<std::uint16_t>(in, at + 6);
        if (answers == 0 || latency == 0) {
            return std::nullopt;
        }
        out.push_back({ .upstream = FlowTag { readBigEndian<std::uint32_t>(in, at) },
                        .answers = answers,
                        .latencySum = latency / latencyUnits * answers });
    }
    return out;
}

std::string packSlowUpstreams(const std::vector<SlowUpstream> &upstreams)
{
    std::vector<std::byte> out;
    out.reserve(upstreams.size() * slowUpstreamBytes);
    for (const SlowUpstream &slow : upstreams) {
        if (slow.slowness > 1) { // False for NaN too.
            appendBigEndian(out, slow.upstream.value);
            appendBigEndian(out, toUnits(slow.slowness, slownessUnits, slownessUnits + 1));
        }
    }
    return textOf(out);
}

std::optional<std::vector<SlowUpstream>> unpackSlowUpstreams(std::string_view bytes)
{
    if (bytes.size() % slowUpstreamBytes != 0) {
        return std::nullopt;
    }
    const auto in = std::as_bytes(std::span(bytes));
    std::vector<SlowUpstream> out;
    out.reserve(in.size() / slowUpstreamBytes);
    for (std::size_t at = 0; at < in.size(); at += slowUpstreamBytes) {
        const auto slowness = readBigEndian<std::uint16_t>(in, at + 4);
        if (slowness <= slownessUnits) {
            return std::nullopt;
        }
        out.push_back({ .upstream = FlowTag { readBigEndian<std::uint32_t>(in, at) },
                        .slowness = static_cast<double>(slowness) / slownessUnits });
    }
    return out;
}

} // namespace boragelug
