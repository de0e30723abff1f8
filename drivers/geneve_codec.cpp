#include "drivers/geneve_codec.h"

#include "drivers/byte_order.h"

#include <net/ethernet.h>

#include <cassert>
#include <optional>

namespace boragelug
{
namespace
{

constexpr std::size_t fixedHeaderSize = 8;
constexpr std::size_t optionHeaderSize = 4;
// Class 0xFF00 is the first of RFC 8926's experimental range.
constexpr std::uint16_t optionClass = 0xFF00;
constexpr std::uint8_t redirectType = 0x01;
constexpr std::uint8_t relayType = 0x02;
constexpr std::uint8_t criticalBit = 0x80;
constexpr std::uint8_t controlBit = 0x80;
// Phase, flags, hops, number of VMs, origin, upstream, incarnation; the VMs follow.
constexpr std::size_t redirectFixedSize = 28;
// Kind, three reserved bytes, remaining milliseconds, forwarder, forward number.
constexpr std::size_t relaySize = 24;
// The length field of an option counts units of four bytes in five bits.
static_assert(redirectFixedSize + sizeof(std::uint64_t) * RedirectOption::maxVms <= std::size_t { 31 } * 4);

/// std::to_underlying comes with C++23.
template<class E>
constexpr std::uint8_t toUnderlying(E value)
{
    static_assert(sizeof(E) == 1);
    return static_cast<std::uint8_t>(value);
}

std::uint8_t byteAt(std::span<const std::byte> bytes, std::size_t offset)
{
    return std::to_integer<std::uint8_t>(bytes[offset]);
}

void appendOptionHeader(std::vector<std::byte> &out, std::uint8_t type, std::size_t dataSize)
{
    appendBigEndian(out, optionClass);
    appendBigEndian(out, type);
    appendBigEndian(out, static_cast<std::uint8_t>(dataSize / 4));
}

void appendOption(std::vector<std::byte> &, const std::monostate &) { }

void appendOption(std::vector<std::byte> &out, const RedirectOption &option)
{
    appendOptionHeader(out, redirectType, redirectFixedSize + sizeof(std::uint64_t) * option.vmCount);
    appendBigEndian(out, toUnderlying(option.phase));
    appendBigEndian(out, option.flags);
    appendBigEndian(out, option.hops);
    appendBigEndian(out, option.vmCount);
    appendBigEndian(out, option.origin.value);
    appendBigEndian(out, option.choice.upstream.value);
    appendBigEndian(out, option.choice.incarnation.value);
    for (const VmId vm : option.list()) {
        appendBigEndian(out, vm.value);
    }
}

void appendOption(std::vector<std::byte> &out, const RelayOption &option)
{
    appendOptionHeader(out, relayType, relaySize);
    appendBigEndian(out, toUnderlying(option.kind));
    out.insert(out.end(), 3, std::byte { 0 });
    appendBigEndian(out, option.remainingMilliseconds);
    appendBigEndian(out, option.forwarder.value);
    appendBigEndian(out, option.forward);
}

std::optional<GeneveError> readRedirect(std::span<const std::byte> data, TunnelOption &out)
{
    if (data.size() < redirectFixedSize) {
        return GeneveError::BadOptionLength;
    }
    const std::uint8_t phase = byteAt(data, 0);
    const std::uint8_t vmCount = byteAt(data, 3);
    if (phase > toUnderlying(RedirectPhase::Replicate) || vmCount > RedirectOption::maxVms) {
        return GeneveError::BadOptionValue;
    }
    if (data.size() != redirectFixedSize + sizeof(std::uint64_t) * vmCount) {
        return GeneveError::BadOptionLength;
    }
    RedirectOption option;
    option.phase = static_cast<RedirectPhase>(phase);
    option.flags = byteAt(data, 1);
    option.hops = byteAt(data, 2);
    option.vmCount = vmCount;
    option.origin = VmId { readBigEndian<std::uint64_t>(data, 4) };
    option.choice.upstream = UpstreamId { readBigEndian<std::uint64_t>(data, 12) };
    option.choice.incarnation = Incarnation { readBigEndian<std::uint64_t>(data, 20) };
    for (std::size_t i = 0; i < vmCount; ++i) {
        option.vms[i] = VmId { readBigEndian<std::uint64_t>(data, redirectFixedSize + i * sizeof(std::uint64_t)) };
    }
    out = option;
    return std::nullopt;
}

std::optional<GeneveError> readRelay(std::span<const std::byte> data, TunnelOption &out)
{
    if (data.size() != relaySize) {
        return GeneveError::BadOptionLength;
    }
    const std::uint8_t kind = byteAt(data, 0);
    if (kind > toUnderlying(RelayOption::Kind::Outcome)) {
        return GeneveError::BadOptionValue;
    }
    out = RelayOption {
        .kind = static_cast<RelayOption::Kind>(kind),
        .forwarder = VmId { readBigEndian<std::uint64_t>(data, 8) },
        .forward = readBigEndian<std::uint64_t>(data, 16),
        .remainingMilliseconds = readBigEndian<std::uint32_t>(data, 4),
    };
    return std::nullopt;
}

/// Reads one option; @p data follows its header.
std::optional<GeneveError>
readOption(std::uint16_t optionClassValue, std::uint8_t type, std::span<const std::byte> data, TunnelOption &out)
{
    const bool known = optionClassValue == optionClass && (type == redirectType || type == relayType);
    if (!known) {
        // RFC 8926 requires dropping a packet with an unknown critical option, and ignoring other unknown ones.
        return (type & criticalBit) != 0 ? std::optional(GeneveError::UnknownCriticalOption) : std::nullopt;
    }
    if (!std::holds_alternative<std::monostate>(out)) {
        return GeneveError::DuplicateOption;
    }
    return type == redirectType ? readRedirect(data, out) : readRelay(data, out);
}

std::optional<GeneveError> readOptions(std::span<const std::byte> options, TunnelOption &out)
{
    while (!options.empty()) {
        if (options.size() < optionHeaderSize) {
            return GeneveError::BadOptionLength;
        }
        const std::size_t length = std::size_t { 4 } * (byteAt(options, 3) & 0x1FU);
        if (options.size() - optionHeaderSize < length) {
            return GeneveError::BadOptionLength;
        }
        const auto data = options.subspan(optionHeaderSize, length);
        const auto classValue = readBigEndian<std::uint16_t>(options, 0);
        if (const auto error = readOption(classValue, byteAt(options, 2), data, out)) {
            return error;
        }
        options = options.subspan(optionHeaderSize + length);
    }
    return std::nullopt;
}

} // namespace

std::string_view toString(GeneveError error)
{
    switch (error) {
    case GeneveError::Truncated:
        return "truncated";
    case GeneveError::BadVersion:
        return "bad_version";
    case GeneveError::ControlPacket:
        return "control_packet";
    case GeneveError::NotIpv4:
        return "not_ipv4";
    case GeneveError::BadOptionLength:
        return "bad_option_length";
    case GeneveError::UnknownCriticalOption:
        return "unknown_critical_option";
    case GeneveError::DuplicateOption:
        return "duplicate_option";
    case GeneveError::BadOptionValue:
        return "bad_option_value";
    case GeneveError::EmptyPayload:
        return "empty_payload";
    }
    return "unknown";
}

std::vector<std::byte> encodeGeneve(const TunnelPacket &packet)
{
    assert(packet.service.value <= maxVni);
    std::vector<std::byte> options;
    std::visit([&](const auto &option) { appendOption(options, option); }, packet.option);
    std::vector<std::byte> out;
    out.reserve(fixedHeaderSize + options.size() + packet.inner.size());
    appendBigEndian(out, static_cast<std::uint8_t>(options.size() / 4));
    appendBigEndian(out, std::uint8_t { 0 });
    appendBigEndian(out, std::uint16_t { ETHERTYPE_IP });
    appendBigEndian(out, packet.service.value << 8U);
    out.insert(out.end(), options.begin(), options.end());
    out.insert(out.end(), packet.inner.begin(), packet.inner.end());
    return out;
}

Outcome<TunnelPacket, GeneveError> decodeGeneve(std::span<const std::byte> datagram)
{
    using Result = Outcome<TunnelPacket, GeneveError>;
    if (datagram.size() < fixedHeaderSize) {
        return Result::failure(GeneveError::Truncated);
    }
    if ((byteAt(datagram, 0) >> 6U) != 0) {
        return Result::failure(GeneveError::BadVersion);
    }
    if ((byteAt(datagram, 1) & controlBit) != 0) {
        return Result::failure(GeneveError::ControlPacket);
    }
    if (readBigEndian<std::uint16_t>(datagram, 2) != ETHERTYPE_IP) {
        return Result::failure(GeneveError::NotIpv4);
    }
    const std::size_t optionSize = std::size_t { 4 } * (byteAt(datagram, 0) & 0x3FU);
    if (datagram.size() - fixedHeaderSize < optionSize) {
        return Result::failure(GeneveError::Truncated);
    }
    TunnelPacket packet;
    packet.service = ServiceId { readBigEndian<std::uint32_t>(datagram, 4) >> 8U };
    if (const auto error = readOptions(datagram.subspan(fixedHeaderSize, optionSize), packet.option)) {
        return Result::failure(*error);
    }
    const auto inner = datagram.subspan(fixedHeaderSize + optionSize);
    if (inner.empty()) {
        return Result::failure(GeneveError::EmptyPayload);
    }
    packet.inner.assign(inner.begin(), inner.end());
    return packet;
}

} // namespace boragelug
