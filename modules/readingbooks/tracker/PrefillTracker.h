#pragma once

#include "core/time/Millis.h"
#include "dataplane/placement/PrefillEstimate.h"
#include "dataplane/placement/PrefixCacheModel.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace cuminrail {

/** Identifies one prefill: the instance that announced it, and that instance's number for it. */
struct PrefillId
{
    std::string instance;
    std::uint64_t number = 0;

    bool operator<(const PrefillId &other) const
    {
        return std::tie(instance, number) < std::tie(other.instance, other.number);
    }
};

/** Prefill rate of engines of one kind, as estimated by an instance. */
struct PrefillRate
{
    double tokensPerMilli = 1;
    /** Time until the first response that does not depend on the prompt. */
    double fixedMillis = 0;
};

/**
    Tracks one engine's pending prefills and cached prompt parts, over all instances.

    An instance sees only its own prompts. With nine instances, an engine that looks idle to one is
    busy with the prompts of the eight others, and a part that it prefilled earlier for another
    instance seems to be missing from its cache. Therefore one instance tracks each engine, and all
    others announce to it what they send there.

    The engine prefills prompts in the order of arrival, so the tracker can estimate when it will
    have finished all of them. Responses that arrive later or earlier than estimated correct this. A
    response also shows that everything announced before was prefilled, so a lost message about one
    of those does no harm.
*/
class PrefillTracker
{
public:
    /** Entries that nobody ended expire after the longest time-out in use. */
    static constexpr Millis maxPrefillDuration = Millis::seconds(10);
    /** For this long after its first entry a tracker has seen too little to know cached parts. */
    static constexpr Millis warmUpPeriod = Millis::seconds(10);

    /** @param isComplete  the engine has not prefilled any prompt yet */
    explicit PrefillTracker(bool isComplete = false) : isComplete_(isComplete) { }

    /** Returns the estimate for a prompt that is sent to the engine now. */
    PrefillEstimate estimate(const PromptChain &chain, Millis now) const;
    /**
        Adds a prefill that is being sent to the engine; an id that is already known has no effect.
        The engine prefills @c freshTokens at most, as the sender may have it fetch a part from
        another engine.
    */
    void add(const PrefillId &id, const PromptChain &chain, double freshTokens,
             const PrefillRate &rate, Millis now);
    /** The prompt was prefilled, and its response arrived now. */
    void complete(const PrefillId &id, Millis now);
    /** The prefill did not take place, or was aborted. */
    void cancel(const PrefillId &id, Millis now);

private:
    struct Prefill
    {
        double millis = 0;
        /** Estimated end of the prefill. */
        double endsAt = 0;
        /** Time from there to its response. */
        double fixedMillis = 0;
        Millis announcedAt;
        PromptChain chain;
    };

    void expireOld(Millis now);
    double waitMillis(Millis now) const;
    static bool isExpired(const Prefill &prefill, Millis now);

    std::map<PrefillId, Prefill> prefills_;
    /** Parts of prompts that were sent there, and of these the ones that have been prefilled. */
    PrefixCacheModel sentParts_;
    PrefixCacheModel prefilledParts_;
    /** Estimated end of all pending prefills, in milliseconds of the local clock. */
    double freeAt_ = 0;
    /** All prefills with an estimated end up to this time are complete. */
    double completedUpTo_ = 0;
    std::optional<Millis> startedAt_;
    bool isComplete_;
};

} // namespace cuminrail
