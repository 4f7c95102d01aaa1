#pragma once

#include "dataplane/model/RequestMessages.h"

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** One part of a prompt with everything that precedes it. */
struct ChainLink
{
    /** Hash of the model and all parts up to this one: a cache can be reused only if all match. */
    std::uint64_t key = 0;
    std::uint32_t tokens = 0;
};

/** A prompt as the sequence of its parts. */
struct PromptChain
{
    std::vector<ChainLink> links;
    std::uint32_t tokens = 0;
    /** Key of the prefix that requests of the same kind share: all links but the last. */
    std::uint64_t sharedKey = 0;

    static PromptChain of(const PromptShape &prompt);
};

/**
    The prompt parts that were sent to one engine and are probably still in its cache.

    Engines evict the least recently used parts. So does this class, at a capacity below that of the
    engine, since running requests need some of its memory.
*/
class PrefixCacheModel
{
public:
    /** In tokens: the cache of present kinds of engines, less the memory for running requests. */
    static constexpr std::uint64_t defaultCapacity = 280000;

    explicit PrefixCacheModel(std::uint64_t capacity = defaultCapacity) : capacity_(capacity) { }

    /** Returns how many of the prompt's tokens the engine probably has cached. */
    std::uint32_t cachedTokens(const PromptChain &chain) const;
    void remember(const PromptChain &chain);

private:
    std::uint64_t capacity_;
    std::list<ChainLink> recent_;
    std::unordered_map<std::uint64_t, std::list<ChainLink>::iterator> byKey_;
    std::uint64_t totalTokens_ = 0;
};

} // namespace cuminrail
