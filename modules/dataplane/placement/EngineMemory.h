#pragma once

#include "core/time/Millis.h"
#include "dataplane/model/RequestMessages.h"

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
    What this instance knows of one engine: the parts it sent there, the work it has under way
    there, and how fast prompts were read of late.
*/
class EngineMemory
{
public:
    /** Parts remembered, in tokens: what an engine of the present kinds holds, less running work. */
    static constexpr std::uint64_t rememberedTokens = 280000;
    /** Prompt tokens read in a millisecond, until measured: the slowest of the present kinds. */
    static constexpr double usualRate = 18.0;
    /** The delay of others' work fades by half in this time. */
    static constexpr double lagHalfLifeMillis = 800.0;

    /** Returns how many of the prompt's tokens the engine probably holds. */
    std::uint32_t cachedTokens(const PromptChain &chain) const;
    void remember(const PromptChain &chain);

    void start(double freshTokens);
    /** The prompt has been read after this long. */
    void read(double freshTokens, Millis took, Millis now);
    void finish(double freshTokens, bool wasRead);

    /** Returns how long a prompt waits there before it is read. */
    double waitMillis(Millis now) const;
    double rate() const { return rate_; }
    int running() const { return running_; }
    double openTokens() const { return openTokens_; }

private:
    double lagAt(Millis now) const;

    std::list<ChainLink> recent_;
    std::unordered_map<std::uint64_t, std::list<ChainLink>::iterator> byKey_;
    std::uint64_t held_ = 0;
    /** Prompt tokens sent by this instance and not yet read. */
    double openTokens_ = 0;
    int running_ = 0;
    double rate_ = usualRate;
    double lag_ = 0;
    Millis lagSeen_;
};

} // namespace cuminrail
