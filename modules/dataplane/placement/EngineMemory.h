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
    How fast engines of one kind read prompts, learned from how long reading took.

    One figure for all engines of a kind: figures of single engines, each from a few samples with
    other instances' work in them, differed by a factor of two and drew prompts away from where
    their parts are cached.
*/
class ReadingRate
{
public:
    /** Prompt tokens in a millisecond until measured: between the present kinds. */
    static constexpr double usual = 30.0;

    void sample(double freshTokens, Millis took);
    double tokensPerMilli() const { return rate_; }

private:
    double rate_ = usual;
};

/**
    What this instance knows of one engine: the parts it sent there, the work it has under way
    there, and the delay that its requests met of late.
*/
class EngineMemory
{
public:
    /** Parts remembered, in tokens: what an engine of the present kinds holds, less running work.
     */
    static constexpr std::uint64_t rememberedTokens = 280000;
    /** The delay of others' work fades by half in this time. */
    static constexpr double lagHalfLifeMillis = 800.0;
    /** The wait that a refusal stands for; with that half-life it is tried again after seconds. */
    static constexpr double refusalLagMillis = 2000.0;

    /** Returns how many of the prompt's tokens the engine probably holds. */
    std::uint32_t cachedTokens(const PromptChain &chain) const;
    void remember(const PromptChain &chain);

    void start(double freshTokens);
    /** The prompt has been read after this long, where engines read so many tokens a millisecond.
     */
    void read(double freshTokens, Millis took, double rate, Millis now);
    void finish(double freshTokens, bool wasRead);
    /**
        It refused a request. It may be changing its stage or be full of others' work; for a moment
        it counts as if a prompt had met a long wait there.
    */
    void refused(Millis now);

    /** Returns how long a prompt waits there before it is read. */
    double waitMillis(double rate, Millis now) const;
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
    double lag_ = 0;
    Millis lagSeen_;
};

} // namespace cuminrail
