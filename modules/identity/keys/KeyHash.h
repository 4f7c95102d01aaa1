#pragma once

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <string>
#include <string_view>

namespace cuminrail {

/** The SHA-256 of a caller's key: the only form in which a key is kept or sent. */
class KeyHash
{
public:
    static constexpr std::size_t size = 32;

    KeyHash() = default;

    /** Returns the hash of a key as the caller sent it. */
    static KeyHash of(std::string_view key);

    /** Reads 64 lower-case hexadecimal digits. Returns nothing for any other text. */
    static std::optional<KeyHash> fromHex(std::string_view hex);

    /** Returns 64 lower-case hexadecimal digits. */
    std::string toHex() const;

    bool operator==(const KeyHash &other) const { return bytes_ == other.bytes_; }
    bool operator<(const KeyHash &other) const { return bytes_ < other.bytes_; }

    /** Returns a number for hash tables; the bytes are already evenly spread. */
    std::size_t bucket() const
    {
        std::size_t value = 0;
        std::memcpy(&value, bytes_.data(), sizeof value);
        return value;
    }

private:
    std::array<std::uint8_t, size> bytes_{};
};

} // namespace cuminrail

template<>
struct std::hash<cuminrail::KeyHash>
{
    std::size_t operator()(const cuminrail::KeyHash &key) const noexcept { return key.bucket(); }
};
