#include "drivers/peer_codec.h"

#include "drivers/peer_conversion.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <cassert>
#include <exception>
#include <memory>

namespace boragelug
{
namespace
{

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

constexpr std::size_t hmacSize = 32;
using Hmac = std::array<std::byte, hmacSize>;

Hmac computeHmac(std::span<const std::byte> bytes, const PeerKey &key)
{
    Hmac out {};
    unsigned int size = 0;
    // HMAC() fails only when memory is exhausted; an all-zero code then fails at the receiver.
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(bytes.data()),
         bytes.size(),
         reinterpret_cast<unsigned char *>(out.data()),
         &size);
    return out;
}

wire::Envelope makeEnvelope(const PeerHeader &header, const PeerMessage &message)
{
    wire::Envelope envelope;
    envelope.sender = static_cast<std::int64_t>(header.sender.value);
    envelope.incarnation = static_cast<std::int64_t>(header.incarnation.value);
    envelope.sequence = static_cast<std::int64_t>(header.sequence);
    envelope.wallMicroseconds = static_cast<std::int64_t>(header.sentAt.wallMicroseconds);
    envelope.counter = static_cast<std::int32_t>(header.sentAt.counter);
    envelope.body = toWire(message);
    return envelope;
}

PeerHeader readHeader(const wire::Envelope &envelope)
{
    return {
        .sender = VmId {static_cast<std::uint64_t>(envelope.sender)},
        .incarnation = Incarnation {static_cast<std::uint64_t>(envelope.incarnation)},
        .sequence = static_cast<std::uint64_t>(envelope.sequence),
        .sentAt = {
            .wallMicroseconds = static_cast<std::uint64_t>(envelope.wallMicroseconds),
            .counter = static_cast<std::uint32_t>(envelope.counter),
        },
    };
}

/// Reads an envelope that fills @p bytes exactly; false on anything else.
bool readEnvelope(std::span<const std::byte> bytes, wire::Envelope &envelope)
{
    // Thrift doesn't write to an observed buffer, although it takes a pointer to non-const.
    auto *data = const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(bytes.data()));
    const auto buffer = std::make_shared<TMemoryBuffer>(data,
                                                        static_cast<std::uint32_t>(bytes.size()),
                                                        TMemoryBuffer::OBSERVE,
                                                        std::make_shared<TConfiguration>(maxPeerDatagram));
    constexpr auto sizeLimit = static_cast<std::int32_t>(maxPeerDatagram);
    TCompactProtocolT<TMemoryBuffer> protocol(buffer, sizeLimit, sizeLimit);
    try {
        envelope.read(&protocol);
    } catch (const std::exception &) {
        return false;
    }
    return buffer->available_read() == 0;
}

} // namespace

std::string_view toString(PeerDropReason reason)
{
    switch (reason) {
    case PeerDropReason::Oversized:
        return "oversized";
    case PeerDropReason::Truncated:
        return "truncated";
    case PeerDropReason::BadAuthentication:
        return "bad_authentication";
    case PeerDropReason::BadFormat:
        return "bad_format";
    case PeerDropReason::BadValue:
        return "bad_value";
    case PeerDropReason::StaleIncarnation:
        return "stale_incarnation";
    case PeerDropReason::Replayed:
        return "replayed";
    case PeerDropReason::RateExceeded:
        return "rate_exceeded";
    }
    return "unknown";
}

std::vector<std::byte> sealPeerMessage(const PeerHeader &header, const PeerMessage &message, const PeerKey &key)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    makeEnvelope(header, message).write(&protocol);
    std::uint8_t *data = nullptr;
    std::uint32_t size = 0;
    buffer->getBuffer(&data, &size);
    const auto bytes = std::as_bytes(std::span(data, size));
    std::vector<std::byte> out(bytes.begin(), bytes.end());
    const Hmac hmac = computeHmac(bytes, key);
    out.insert(out.end(), hmac.begin(), hmac.end());
    return out;
}

Outcome<OpenedMessage, PeerDropReason> decodePeerEnvelope(std::span<const std::byte> bytes)
{
    using Result = Outcome<OpenedMessage, PeerDropReason>;
    wire::Envelope envelope;
    if (bytes.size() > maxPeerDatagram) {
        return Result::failure(PeerDropReason::Oversized);
    }
    if (!readEnvelope(bytes, envelope)) {
        return Result::failure(PeerDropReason::BadFormat);
    }
    auto message = fromWire(envelope.body);
    if (!message) {
        return Result::failure(PeerDropReason::BadValue);
    }
    return OpenedMessage { .header = readHeader(envelope), .message = std::move(*message) };
}

Outcome<OpenedMessage, PeerDropReason> openPeerMessage(std::span<const std::byte> datagram, const PeerKey &key)
{
    using Result = Outcome<OpenedMessage, PeerDropReason>;
    if (datagram.size() > maxPeerDatagram) {
        return Result::failure(PeerDropReason::Oversized);
    }
    if (datagram.size() <= hmacSize) {
        return Result::failure(PeerDropReason::Truncated);
    }
    const auto body = datagram.first(datagram.size() - hmacSize);
    const Hmac expected = computeHmac(body, key);
    if (CRYPTO_memcmp(expected.data(), datagram.last(hmacSize).data(), hmacSize) != 0) {
        return Result::failure(PeerDropReason::BadAuthentication);
    }
    return decodePeerEnvelope(body);
}

} // namespace boragelug
