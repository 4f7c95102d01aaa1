#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/**
    Numbers and authenticates the frames of one direction of one connection.

    The key belongs to this connection and direction alone, and the receiver takes only the next
    number: a frame that is altered, repeated, left out, moved to another connection or sent back
    to its sender is refused.
*/
class FrameSeal
{
public:
    static constexpr std::size_t numberBytes = 8;
    static constexpr std::size_t tagBytes = 16;
    static constexpr std::size_t overhead = numberBytes + tagBytes;

    explicit FrameSeal(std::string key) : key_(std::move(key)) { }

    /** Returns the bytes to send for the next frame. */
    std::string seal(const std::string &frame);
    /** Returns the frame in received bytes, or nothing when it is not the next one. */
    std::optional<std::string> open(const std::string &sealed);

private:
    std::string key_;
    std::uint64_t next_ = 1;
};

} // namespace cuminrail
