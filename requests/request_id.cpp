#include "requests/request_id.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <span>

namespace boragelug
{

namespace
{

constexpr std::string_view prefix = "blg1-";
constexpr std::size_t fieldDigits = 16;
constexpr std::size_t fieldCount = 4;
constexpr std::size_t tagBytes = 16;
constexpr std::size_t signedLength = prefix.size() + fieldCount * (fieldDigits + 1) - 1;
constexpr std::size_t textLength = signedLength + 1 + 2 * tagBytes;
constexpr std::string_view hexDigits = "0123456789abcdef";

void appendHex(std::string &text, std::uint64_t value)
{
    for (int shift = 60; shift >= 0; shift -= 4) {
        text.push_back(hexDigits[(value >> static_cast<unsigned>(shift)) & 15U]);
    }
}

bool readHex(std::string_view digits, std::uint64_t &value)
{
    value = 0;
    for (const char digit : digits) {
        const auto position = hexDigits.find(digit);
        if (position == std::string_view::npos) {
            return false;
        }
        value = (value << 4U) | position;
    }
    return true;
}

void appendTag(std::string &text, const RequestIdKey &key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(),
         key.data(),
         static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()),
         text.size(),
         digest.data(),
         &length);
    text.push_back('-');
    for (const unsigned char byte : std::span(digest).first(tagBytes)) {
        text.push_back(hexDigits[byte >> 4U]);
        text.push_back(hexDigits[byte & 15U]);
    }
}

/// Reads the four fields; false if the text does not have exactly the form of an issued id.
bool readFields(std::string_view text, std::array<std::uint64_t, fieldCount> &fields)
{
    if (text.size() != textLength || !text.starts_with(prefix) || text[signedLength] != '-') {
        return false;
    }
    for (std::size_t i = 0; i < fieldCount; ++i) {
        const std::size_t start = prefix.size() + i * (fieldDigits + 1);
        if (!readHex(text.substr(start, fieldDigits), fields[i]) || text[start + fieldDigits] != '-') {
            return false;
        }
    }
    std::uint64_t ignored = 0;
    return readHex(text.substr(signedLength + 1, fieldDigits), ignored)
        && readHex(text.substr(signedLength + 1 + fieldDigits), ignored);
}

} // namespace

std::string formatRequestId(const RequestId &id, const RequestIdKey &key)
{
    std::string text;
    text.reserve(textLength);
    text.append(prefix);
    appendHex(text, id.vm.value);
    text.push_back('-');
    appendHex(text, id.incarnation.value);
    text.push_back('-');
    appendHex(text, id.sequence);
    text.push_back('-');
    appendHex(text, static_cast<std::uint64_t>(id.expiry.time_since_epoch().count()));
    appendTag(text, key);
    return text;
}

ParsedRequestId parseRequestId(std::string_view text, const RequestIdKey &key)
{
    ParsedRequestId parsed;
    std::array<std::uint64_t, fieldCount> fields {};
    if (!readFields(text, fields)) {
        return parsed;
    }
    std::string expected(text.substr(0, signedLength));
    appendTag(expected, key);
    if (CRYPTO_memcmp(expected.data(), text.data(), textLength) != 0) {
        parsed.check = RequestIdCheck::Unverified;
        return parsed;
    }
    parsed.check = RequestIdCheck::Valid;
    parsed.id = { VmId { fields[0] },
                  Incarnation { fields[1] },
                  fields[2],
                  TimePoint { Duration { static_cast<Duration::rep>(fields[3]) } } };
    return parsed;
}

} // namespace boragelug
