#pragma once

#include "core/time/Millis.h"
#include "dataplane/placement/ReadingOffer.h"
#include "dataplane/placement/RememberedParts.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>

namespace cuminrail {

/** Names one reading: who entered it, and that instance's own number for it. */
struct ReadingTicket
{
    std::string instance;
    std::uint64_t number = 0;

    bool operator<(const ReadingTicket &other) const
    {
        return std::tie(instance, number) < std::tie(other.instance, other.number);
    }
};

/** How fast engines of one kind read, as an instance has learned it. */
struct ReadingPace
{
    double tokensPerMilli = 1;
    /** What an answer takes besides reading. */
    double fixedMillis = 0;
};

/**
    Which prompts one engine has still to read, and which parts it holds, over all instances.

    An instance sees only its own prompts. With nine instances an engine that looks idle to one is
    busy with the prompts of eight others, and a part that was read there yesterday by another one
    seems to be missing. So for each engine one instance keeps a book, and all others tell it
    what they send there.

    The engine reads in the order of arrival. The book therefore knows when it will be done with all
    of it; answers that come later or earlier than foreseen correct that. An answer also shows that
    everything entered before was read, so a lost message about one of those does no harm.
*/
class ReadingBook
{
public:
    /** Entries that nobody took back are forgotten after the longest present time-out. */
    static constexpr Millis maxPrefillDuration = Millis::seconds(10);
    /** A book has seen too little for this long after its first entry to speak of parts. */
    static constexpr Millis warmUpPeriod = Millis::seconds(10);

    /** @param isComplete  the engine has read nothing yet */
    explicit ReadingBook(bool isComplete = false) : isComplete_(isComplete) { }

    /** Returns what a prompt would meet there now. */
    ReadingOffer offer(const PromptChain &chain, Millis now) const;
    /**
        Enters a reading that is sent there; a ticket that is known changes nothing. The engine
       reads at most @c freshTokens: the sender may have it fetch a part from another engine.
    */
    void enter(const ReadingTicket &id, const PromptChain &chain, double freshTokens,
               const ReadingPace &speed, Millis now);
    /** The prompt was read, and the answer came now. */
    void read(const ReadingTicket &id, Millis now);
    /** The reading did not take place, or was ended. */
    void takeBack(const ReadingTicket &id, Millis now);

private:
    struct Prefill
    {
        double millis = 0;
        /** When it should be over. */
        double endsAt = 0;
        /** What its answer takes besides. */
        double fixedMillis = 0;
        Millis announcedAt;
        PromptChain chain;
    };

    void expireOld(Millis now);
    double waitMillis(Millis now) const;
    static bool isExpired(const Prefill &prefill, Millis now);

    std::map<ReadingTicket, Prefill> prefills_;
    /** Parts that were sent there, and of these the ones that have been read. */
    RememberedParts sentParts_;
    RememberedParts prefilledParts_;
    /** When everything entered should have been read, in milliseconds of the local clock. */
    double freeAt_ = 0;
    /** The reading that was to be over at this time is over, and so are all before it. */
    double completedUpTo_ = 0;
    std::optional<Millis> startedAt_;
    bool isComplete_;
};

} // namespace cuminrail
