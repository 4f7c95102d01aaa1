#include "peerlink/auth/FrameSeal.h"

#include "core/guards/Guards.h"
#include "peerlink/auth/Hmac.h"

namespace cuminrail {

namespace {

std::string toBytes(std::uint64_t number)
{
    std::string bytes;
    for (int shift = 56; shift >= 0; shift -= 8)
        bytes += static_cast<char>(number >> shift);
    return bytes;
}

} // namespace

std::string FrameSeal::seal(const std::string &frame)
{
    const std::string number = toBytes(next_++);
    return number + detail::hmac(key_, number + frame).substr(0, tagBytes) + frame;
}

std::optional<std::string> FrameSeal::open(const std::string &sealed)
{
    if (sealed.size() < overhead)
        return std::nullopt;
    const std::string number = sealed.substr(0, numberBytes);
    const std::string tag = sealed.substr(numberBytes, tagBytes);
    std::string frame = sealed.substr(overhead);
    const std::string expected = detail::hmac(key_, number + frame).substr(0, tagBytes);
    if (!detail::equalInConstantTime(tag, expected))
        return std::nullopt;
    if (guardEnabled(Guard::FrameReplayRefused) && number != toBytes(next_))
        return std::nullopt;
    ++next_;
    return frame;
}

} // namespace cuminrail
