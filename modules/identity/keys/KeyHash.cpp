#include "identity/keys/KeyHash.h"

#include <openssl/sha.h>

namespace cuminrail {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr int bitsPerDigit = 4;
constexpr unsigned lowDigitMask = 0x0f;

} // namespace

KeyHash KeyHash::of(std::string_view key)
{
    KeyHash hash;
    SHA256(reinterpret_cast<const unsigned char *>(key.data()), key.size(), hash.bytes_.data());
    return hash;
}

std::optional<KeyHash> KeyHash::fromHex(std::string_view hex)
{
    if (hex.size() != 2 * size)
        return std::nullopt;
    KeyHash hash;
    for (std::size_t index = 0; index < size; ++index) {
        const auto high = hexDigits.find(hex[2 * index]);
        const auto low = hexDigits.find(hex[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        hash.bytes_[index] = static_cast<std::uint8_t>((high << bitsPerDigit) | low);
    }
    return hash;
}

std::string KeyHash::toHex() const
{
    std::string hex;
    hex.reserve(2 * size);
    for (const std::uint8_t byte : bytes_) {
        hex.push_back(hexDigits[byte >> bitsPerDigit]);
        hex.push_back(hexDigits[byte & lowDigitMask]);
    }
    return hex;
}

} // namespace cuminrail
