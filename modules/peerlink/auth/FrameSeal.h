#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace cuminrail {

/**
    Numbers and authenticates the frames of one direction of one connection.

    The key is unique to this connection and direction, and the receiver accepts only the next
    sequence number: altered, replayed, reordered or reflected frames and those of other
    connections are rejected, and so is a frame after a lost one.
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
    /** Returns the frame in received bytes, or nothing when it is not the valid next one. */
    std::optional<std::string> open(const std::string &sealed);

private:
    std::string key_;
    std::uint64_t next_ = 1;
};

} // namespace cuminrail
