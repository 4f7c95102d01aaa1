#include "peerlink/auth/Hmac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace cuminrail::detail {

std::string hmac(const std::string &key, const std::string &text)
{
    unsigned char digest[kHmacBytes];
    unsigned int size = sizeof digest;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest, &size);
    return {reinterpret_cast<const char *>(digest), size};
}

bool equalInConstantTime(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string randomBytes(std::size_t count)
{
    std::string bytes(count, '\0');
    // Without randomness a nonce could repeat and an old response be replayed, so abort.
    if (RAND_bytes(reinterpret_cast<unsigned char *>(bytes.data()), static_cast<int>(count)) != 1)
        std::abort();
    return bytes;
}

} // namespace cuminrail::detail
