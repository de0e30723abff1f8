#include "packet.h"

namespace review
{
namespace
{

constexpr std::size_t headBytes = 36;
constexpr std::uint64_t key = 0x5eed0fca11e125ULL;

void append(std::string &out, std::uint64_t value, std::size_t size)
{
    for (std::size_t i = size; i > 0; --i) {
        out.push_back(static_cast<char>(value >> (8 * (i - 1)) & 255U));
    }
}

std::string encodeWith(const Packet &packet, std::uint32_t sum, std::uint32_t echo)
{
    std::string out;
    append(out, sum, 4);
    append(out, echo, 4);
    append(out, packet.data.size(), 2);
    append(out, packet.to.port, 2);
    append(out, packet.from.port, 2);
    append(out, packet.to.ip, 4);
    append(out, packet.from.ip, 4);
    append(out, packet.sequence, 4);
    append(out, packet.acknowledged, 4);
    append(out, packet.flags, 1);
    append(out, 0, 5);
    return out + packet.data;
}

} // namespace

std::uint64_t readNumber(std::string_view bytes, std::size_t offset, std::size_t size)
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
        value = value << 8U | static_cast<unsigned char>(bytes[offset + i]);
    }
    return value;
}

std::uint32_t keyedSum(const Packet &packet)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL ^ key;
    for (const char byte : encodeWith(packet, 0, 0)) {
        hash = (hash ^ static_cast<unsigned char>(byte)) * 0x100000001b3ULL;
    }
    // The system's own resets have the sum 0.
    return static_cast<std::uint32_t>(hash >> 20U) | 1U;
}

std::string encode(const Packet &packet)
{
    return encodeWith(packet, keyedSum(packet), packet.echo);
}

std::optional<Packet> decode(std::string_view bytes)
{
    if (bytes.size() < headBytes || bytes.size() != headBytes + readNumber(bytes, 8, 2)) {
        return std::nullopt;
    }
    Packet packet;
    packet.sum = static_cast<std::uint32_t>(readNumber(bytes, 0, 4));
    packet.echo = static_cast<std::uint32_t>(readNumber(bytes, 4, 4));
    packet.to = { .ip = static_cast<std::uint32_t>(readNumber(bytes, 14, 4)),
                  .port = static_cast<std::uint16_t>(readNumber(bytes, 10, 2)) };
    packet.from = { .ip = static_cast<std::uint32_t>(readNumber(bytes, 18, 4)),
                    .port = static_cast<std::uint16_t>(readNumber(bytes, 12, 2)) };
    packet.sequence = static_cast<std::uint32_t>(readNumber(bytes, 22, 4));
    packet.acknowledged = static_cast<std::uint32_t>(readNumber(bytes, 26, 4));
    packet.flags = static_cast<std::uint8_t>(bytes[30]);
    packet.data = std::string(bytes.substr(headBytes));
    return packet;
}

} // namespace review
