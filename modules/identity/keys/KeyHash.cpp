#include "identity/keys/KeyHash.h"

#include <openssl/evp.h>

#include <memory>

namespace cuminrail {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";
constexpr int bitsPerDigit = 4;
constexpr unsigned lowDigitMask = 0x0f;

/** A digest with its algorithm looked up; the look-up takes longer than to hash a key. */
EVP_MD_CTX *preparedDigest()
{
    thread_local const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX *)> context(EVP_MD_CTX_new(),
                                                                                   EVP_MD_CTX_free);
    static EVP_MD *const algorithm = EVP_MD_fetch(nullptr, "SHA256", nullptr);
    EVP_DigestInit_ex2(context.get(), algorithm, nullptr);
    return context.get();
}

} // namespace

KeyHash KeyHash::of(std::string_view key)
{
    KeyHash hash;
    EVP_MD_CTX *const digest = preparedDigest();
    EVP_DigestUpdate(digest, key.data(), key.size());
    EVP_DigestFinal_ex(digest, hash.bytes_.data(), nullptr);
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
    std::string hex(2 * size, '0');
    auto digit = hex.begin();
    for (const std::uint8_t byte : bytes_) {
        *digit++ = hexDigits[byte >> bitsPerDigit];
        *digit++ = hexDigits[byte & lowDigitMask];
    }
    return hex;
}

} // namespace cuminrail
