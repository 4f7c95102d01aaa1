#include "membership/messages/FrameChannel.h"

namespace cuminrail {

namespace {

// CBOR: 0x80 + n is an array of n < 24 elements, 0x00 … 0x17 a small unsigned number.
constexpr unsigned char kArrayBase = 0x80;
constexpr unsigned char kArrayLast = 0x97;

} // namespace

std::optional<FrameChannel> frameChannel(const std::string &frame)
{
    if (frame.size() < 2)
        return std::nullopt;
    const auto head = static_cast<unsigned char>(frame[0]);
    if (head < kArrayBase || head > kArrayLast)
        return std::nullopt;
    for (const auto &entry : frameChannelNames.entries) {
        if (static_cast<unsigned char>(frame[1]) == static_cast<unsigned char>(entry.first))
            return entry.first;
    }
    return std::nullopt;
}

} // namespace cuminrail
