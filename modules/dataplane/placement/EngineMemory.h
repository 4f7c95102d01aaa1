#pragma once

#include "core/time/Millis.h"
#include "dataplane/placement/RememberedParts.h"

#include <map>
#include <optional>

namespace cuminrail {

/**
    How fast engines of one kind read prompts, learned from how long reading took.

    One figure for all engines of a kind: figures of single engines, each from a few samples with
    other instances' work in them, differed by a factor of two and drew prompts away from where
    their parts are cached.
*/
class ReadingRate
{
public:
    /** Prompt tokens in a millisecond until the first samples. */
    static constexpr double usual = 30.0;

    /** What an answer takes besides reading, until the first samples: a small idle engine's. */
    static constexpr double usualFixedMillis = 45.0;

    void sample(double freshTokens, Millis took);
    double tokensPerMilli() const { return rate_; }
    /**
        Connecting, the engine's set-up and its first step: what the quickest answers took besides
        reading. It differs between kinds of engines by 100 ms, a quarter of the tightest goal.
    */
    double fixedMillis() const { return fixedMillis_; }

private:
    double rate_ = usual;
    double fixedMillis_ = usualFixedMillis;
};

/** Names an answer that is due from an engine; 0 is none. */
using AnswerTicket = std::uint64_t;

/**
    What this instance knows of one engine: the parts it sent there, the work it has under way
    there, and the delay that its requests met of late.
*/
class EngineMemory
{
public:
    /** The delay of others' work fades by half in this time. */
    static constexpr double lagHalfLifeMillis = 800.0;
    /** What was told holds for so long; then too much unseen work may have come. */
    static constexpr Millis toldHolds = Millis(1500);
    /** The wait that a refusal stands for; with that half-life it is tried again after seconds. */
    static constexpr double refusalLagMillis = 2000.0;

    /** Returns how many of the prompt's tokens the engine probably holds. */
    std::uint32_t cachedTokens(const PromptChain &chain) const
    {
        return parts_.cachedTokens(chain);
    }
    void remember(const PromptChain &chain) { parts_.remember(chain); }

    /** A request was sent there, with so many prompt tokens to read. */
    void start(double freshTokens);
    /**
        An answer is due after this long. While it is overdue, the engine counts as delayed by as
        much: the work of other instances is invisible, and without this an engine looked idle from
        the moment it stopped answering until its first late answer.
    */
    void expect(AnswerTicket ticket, double expectedMillis, Millis now);
    /** It came, so much later than expected as others' work delayed it. */
    void answered(AnswerTicket ticket, Millis now);
    /** It is not waited for any more. What it was overdue by remains known for a while. */
    void gaveUp(AnswerTicket ticket, Millis now);
    /** The prompt has been read. */
    void read(double freshTokens);
    void finish(double freshTokens, bool wasRead);
    /**
        It refused a request. It may be changing its stage or be full of others' work; for a moment
        it counts as if a prompt had met a long wait there.
    */
    void refused(Millis now);

    /** Whoever knows the work of all instances there tells how long a prompt waits. */
    void told(double waitMillis, Millis now);

    /** Returns how long a prompt waits there before it is read. */
    double waitMillis(double rate, Millis now) const;
    int running() const { return running_; }
    double openTokens() const { return openTokens_; }

private:
    struct Expected
    {
        Millis sentAt;
        double millis = 0;
    };

    double lagAt(Millis now) const;
    double overdue(Millis now) const;
    void learn(double lateMillis, Millis now);

    RememberedParts parts_;
    /** Prompt tokens sent by this instance and not yet read. */
    double openTokens_ = 0;
    int running_ = 0;
    /** Answers that are still due, in the order of sending. */
    std::map<AnswerTicket, Expected> expected_;
    double lag_ = 0;
    Millis lagSeen_;
    double told_ = 0;
    std::optional<Millis> toldAt_;
    /** Prompt tokens sent by this instance since then. */
    double tokensSinceTold_ = 0;
};

} // namespace cuminrail
