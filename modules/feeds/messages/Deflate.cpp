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
    std::string compressed(length, '\0');
    // Cannot fail: the buffer has the size that the library asks for.
    compress2(reinterpret_cast<Bytef *>(compressed.data()), &length, bytesOf(plain),
              static_cast<uLong>(plain.size()), Z_BEST_SPEED);
    compressed.resize(length);
    return compressed;
}

std::optional<std::string> inflated(const std::string &compressed, std::size_t plainBytes)
{
    std::string plain(plainBytes, '\0');
    uLongf length = static_cast<uLongf>(plainBytes);
    const int result = uncompress(reinterpret_cast<Bytef *>(plain.data()), &length,
                                  bytesOf(compressed), static_cast<uLong>(compressed.size()));
    if (result != Z_OK || length != plainBytes)
        return std::nullopt;
    return plain;
}

} // namespace cuminrail
