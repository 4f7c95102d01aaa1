#pragma once

#include "dataplane/placement/EngineTracker.h"

#include <list>
#include <unordered_map>

namespace cuminrail::emulation {

/**
    The parts of prompts that an engine holds. Running requests and cached parts share the memory;
    the least recently used part yields.
*/
class PartMemory
{
public:
    explicit PartMemory(double capacityTokens) : capacity_(capacityTokens) { }

    /** Returns the tokens that are held from the prompt's start on, without a gap. */
    double held(const PromptChain &chain) const;
    /** Marks what is held of the prompt as used just now. */
    void touch(const PromptChain &chain);
    /** Keeps a prompt that has been read. */
    void keep(const PromptChain &chain);
    /** Takes room for a running request, from cached parts. Returns false if there is none. */
    bool reserve(double tokens);
    void release(double tokens) { reserved_ -= tokens; }
    void clear();

    double reserved() const { return reserved_; }
    double cached() const { return cached_; }

private:
    void shrinkTo(double tokens);

    std::list<ChainLink> recent_;
    std::unordered_map<std::uint64_t, std::list<ChainLink>::iterator> byKey_;
    double capacity_;
    double cached_ = 0;
    double reserved_ = 0;
};

} // namespace cuminrail::emulation
