#pragma once

#include "dataplane/model/RequestMessages.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** One part of a prompt together with all that comes before it. */
struct ChainLink
{
    /** Covers the model and every part up to this one: only then can a cache be used again. */
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
};

/** A prompt as the sequence of its parts. */
struct PromptChain
{
    std::vector<ChainLink> links;
    std::uint32_t tokens = 0;
    /** Names what requests of the same kind have in common: all links but the last. */
    std::uint64_t sharedKey = 0;

    static PromptChain of(const PromptShape &prompt);
};

/**
    The parts of prompts that were sent to one engine, as far as its memory may still hold them.

    An engine drops the parts that were not used for longest. So does this, at a bound below the
    engine's memory, since running requests need some of it.
*/
class RememberedParts
{
public:
    /** In tokens: what an engine of the present kinds holds, less running work. */
    static constexpr std::uint64_t usualBound = 280000;

    explicit RememberedParts(std::uint64_t bound = usualBound) : bound_(bound) { }

    /** Returns how many of the prompt's tokens the engine probably holds. */
    std::uint32_t cachedTokens(const PromptChain &chain) const;
    void remember(const PromptChain &chain);

private:
    std::uint64_t bound_;
    std::list<ChainLink> recent_;
    std::unordered_map<std::uint64_t, std::list<ChainLink>::iterator> byKey_;
    std::uint64_t held_ = 0;
};

} // namespace cuminrail
