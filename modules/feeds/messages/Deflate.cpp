#include "feeds/messages/Deflate.h"

#include <zlib.h>

namespace cuminrail {

namespace {

const Bytef *bytesOf(const std::string &text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

} // namespace

std::string deflated(const std::string &plain)
{
    uLongf length = compressBound(static_cast<uLong>(plain.size()));
    std::string packed(length, '\0');
    // Cannot fail: the room is what the library asked for.
    compress2(reinterpret_cast<Bytef *>(packed.data()), &length, bytesOf(plain),
              static_cast<uLong>(plain.size()), Z_BEST_SPEED);
    packed.resize(length);
    return packed;
}

std::optional<std::string> inflated(const std::string &packed, std::size_t plainBytes)
{
    std::string plain(plainBytes, '\0');
    uLongf length = static_cast<uLongf>(plainBytes);
    const int result = uncompress(reinterpret_cast<Bytef *>(plain.data()), &length, bytesOf(packed),
                                  static_cast<uLong>(packed.size()));
    if (result != Z_OK || length != plainBytes)
        return std::nullopt;
    return plain;
}

} // namespace cuminrail
