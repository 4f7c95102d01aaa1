#include "routing/prefix/PrefixChain.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <cstring>

namespace cuminrail {

namespace {

constexpr std::uint64_t hashMultiplier = 0x9E3779B97F4A7C15ULL;
constexpr std::size_t blockBytes = prefixBlockTokens * bytesPerToken;

std::uint64_t hashBlock(std::uint64_t hash, const char *data)
{
    for (std::size_t at = 0; at < blockBytes; at += sizeof(std::uint64_t)) {
        std::uint64_t word = 0;
        std::memcpy(&word, data + at, sizeof(word));
        hash = (hash ^ word) * hashMultiplier;
        hash ^= hash >> 29;
    }
    return hash;
}

} // namespace

std::uint64_t mixHash(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t hash = (left ^ (right * hashMultiplier)) + hashMultiplier;
    hash = (hash ^ (hash >> 30)) * 0xBF58476D1CE4E5B9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94D049BB133111EBULL;
    return hash ^ (hash >> 31);
}

std::uint64_t nameHash(std::string_view customer)
{
    std::uint64_t seed = hashMultiplier;
    for (char letter : customer)
        seed = mixHash(seed, static_cast<unsigned char>(letter));
    return seed == 0 ? 1 : seed;
}

PrefixChain prefixChain(std::uint64_t seed, std::string_view prompt)
{
    PrefixChain chain;
    std::uint64_t hash = guardEnabled(Guard::CustomerInCacheIdentity) ? seed : 1;
    const std::size_t blocks = prompt.size() / blockBytes;
    std::size_t nextPoint = 1;
    for (std::size_t block = 1; block <= blocks; ++block) {
        hash = hashBlock(hash, prompt.data() + (block - 1) * blockBytes);
        if (block < nextPoint)
            continue;
        chain.push_back(
            {mixHash(hash, block), static_cast<std::uint32_t>(block * prefixBlockTokens)});
        nextPoint = block + std::max<std::size_t>(1, block / 8);
    }
    return chain;
}

} // namespace cuminrail
