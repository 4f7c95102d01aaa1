#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cuminrail {

/** The first @c tokens tokens of a prompt, as one number. */
struct PrefixPoint
{
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};

/**
    Hashes of a prompt's prefixes at growing lengths, the shortest first.

    The chain starts from the customer's seed, so equal prompts of two customers never share a
    hash. Otherwise a customer could learn from a fast first token that another one had sent the
    same text. Each hash covers all text before it.
*/
using PrefixChain = std::vector<PrefixPoint>;

/** Bytes taken as one token where only the text is known. */
inline constexpr std::size_t bytesPerToken = 4;

/** Length of the shortest prefix worth remembering, in tokens. */
inline constexpr std::uint32_t prefixBlockTokens = 64;

/** Returns a customer's seed for prefix hashes. Never zero. */
std::uint64_t customerSeed(std::string_view customer);

/** Mixes two numbers into one; used for all hashes of this module. */
std::uint64_t mixHash(std::uint64_t left, std::uint64_t right);

/**
    Returns the chain of a prompt's text.

    Lengths grow by an eighth, at least by one block, so that a prompt of 131,072 tokens has
    fewer than 80 points.
*/
PrefixChain prefixChain(std::uint64_t seed, std::string_view prompt);

} // namespace cuminrail
