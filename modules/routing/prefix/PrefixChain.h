#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cuminrail {

/** Hash of the first @c tokens tokens of a prompt. */
struct PrefixPoint
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};

/**
    Hashes of a prompt's prefixes at increasing lengths, shortest first.

    The hashes are seeded per customer, so equal prompts of two customers never share one.
    Otherwise a customer could infer from a fast first token that another customer had sent the
    same text. Each hash covers the whole text up to its length.
*/
using PrefixChain = std::vector<PrefixPoint>;

/** Estimated bytes per token where only the text is known. */
inline constexpr std::size_t bytesPerToken = 4;

/** Length of the shortest hashed prefix, in tokens. */
inline constexpr std::uint32_t prefixBlockTokens = 64;

/** Returns the hash of a customer's, upstream's or instance's name. Never zero. */
std::uint64_t nameHash(std::string_view customer);

/** Combines two numbers into one hash; used for all hashes of this module. */
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

/**
    Returns the prefix hashes of a prompt's text.

    Lengths grow by an eighth, and by at least one block, so that a prompt of 131,072 tokens has
    fewer than 80 points.
*/
PrefixChain prefixChain(std::uint64_t seed, std::string_view prompt);

} // namespace cuminrail
