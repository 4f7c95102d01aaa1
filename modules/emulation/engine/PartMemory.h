#pragma once

#include "dataplane/placement/EngineTracker.h"

#include <list>
#include <unordered_map>

namespace cuminrail::emulation {

/**
    Prefix cache of an engine. Running requests and cached prompt parts share the memory; the least
    recently used parts are evicted.
*/
class PartMemory
{
public:
    explicit PartMemory(double capacityTokens) : capacity_(capacityTokens) { }

    /** Returns the length in tokens of the longest cached prefix of the prompt. */
    double held(const PromptChain &chain) const;
    /** Marks the cached parts of the prompt as most recently used. */
    void touch(const PromptChain &chain);
    /** Caches the parts of a prompt after its prefill. */
    void keep(const PromptChain &chain);
    /** Reserves memory for a running request, evicting cached parts. Returns false if it is full.
     */
    bool reserve(double tokens);
    void release(double tokens) { reserved_ -= tokens; }
    void clear();

    double reserved() const { return reserved_; }
    double cached() const { return cached_; }

private:
    void evictTo(double tokens);

    std::list<ChainLink> recent_;
    std::unordered_map<std::uint64_t, std::list<ChainLink>::iterator> byKey_;
    double capacity_;
    double cached_ = 0;
    double reserved_ = 0;
};

} // namespace cuminrail::emulation
