#pragma once

#include "core/time/Clock.h"
#include "keepers/ranking/KeeperRanking.h"
#include "readingbooks/book/ReadingBook.h"
#include "readingbooks/messages/BookMessages.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace cuminrail {

/** Counters since the start. */
struct PrefillExchangeStats
{
    std::uint64_t queries = 0;
    /** Questions to other instances that were not answered in time. */
    std::uint64_t unanswered = 0;
    std::uint64_t framesSent = 0;
    /** Frames that were no message. */
    std::uint64_t framesRefused = 0;
};

/**
    One instance's part in the books: it keeps those of some engines, and asks for the others.

    Load: many instances and few engines, with prompts that keep an engine busy for long. Placed
    blindly, prompts of several instances meet at one engine while others idle.

    Belongs to one thread. Messages go out by the transport and come in by received(); nothing here
    waits. An answer that does not come in time is done without.
*/
class BookExchange
{
public:
    /**
        How long an answer is waited for. Instances are 1 to 3 ms apart and answer at once; a
        machine that used up its share of a processor answers up to 100 ms later, which is a
        quarter of the tightest present goal and not worth waiting for.
    */
    static constexpr Millis replyTimeout = Millis(15);
    /** A book that nobody used for so long is dropped; its engine is gone. */
    static constexpr Millis trackerIdleTimeout = Millis::seconds(60);

    /** Names an entry that was made; empty when none was. */
    struct Entry
    {
        std::uint64_t number = 0;
        EngineKey engine = 0;
        PeerAddress owner;

        bool isSet() const { return number != 0; }
    };
    using Offers = std::unordered_map<EngineKey, ReadingOffer>;
    using Completion = std::function<void(const Offers &estimates)>;

    BookExchange(std::string self, PeerTransport transport, Clock clock);

    /** All instances, this one first; with an address where they take links. */
    void setPeers(std::vector<KeeperCandidate> peers);
    /**
        Tells whether an engine had read nothing at an instant; may be left out. A book that was
        kept here since then holds all that the engine does. Believed to hold what nobody had it
       read yet, engines get prompts that take them three times as long as expected: after a start,
       and while new engines take the place of lost ones.
    */
    std::function<bool(EngineKey engine, Millis at)> hadReadNothing;
    /** An engine is gone, or began another life: it holds nothing of what was entered. */
    void forget(EngineKey engine) { trackers_.erase(engine); }
    /** Links of the other instances that keep books, to be held ready. */
    std::vector<PeerAddress> keepers() const { return owners_.addresses(); }

    /**
        Asks what a prompt would meet at engines. The completion is called once, with what is known
        by then: before this returns where all books are kept here, else at the last answer or at a
        tick() after the time-out.
    */
    void ask(const PromptChain &chain, const std::vector<EngineKey> &engines, Completion done);
    /** The prompt is being sent to an engine. */
    Entry enter(const PromptChain &chain, EngineKey engine, double freshTokens,
                const ReadingPace &speed);
    /** Its prompt was read. Clears the entry. */
    void read(Entry &entry) { finishEntry(entry, true); }
    /** It will not be read there. Clears the entry. */
    void takeBack(Entry &entry) { finishEntry(entry, false); }

    /** A frame came from another instance. Returns false if it is no message. */
    bool received(const PeerAddress &from, const std::string &frame);
    /** Forgets open questions without calling anybody; for the end of the process. */
    void dropQuestions() { pending_.clear(); }
    /** Ends questions whose time is over; to be called every few milliseconds. */
    void tick();

    const PrefillExchangeStats &stats() const { return stats_; }
    std::size_t trackerCount() const { return trackers_.size(); }

private:
    struct Pending
    {
        Completion done;
        Offers estimates;
        /** Engines of which each keeper was asked. */
        std::map<PeerAddress, std::vector<EngineKey>> awaited;
        Millis deadline;
    };
    struct TrackedEngine
    {
        ReadingBook tracker;
        Millis usedAt;
    };

    ReadingBook &trackerOf(EngineKey engine);
    void send(const PeerAddress &to, const PrefillMessage &message);
    void finishEntry(Entry &entry, bool wasPrefilled);
    void complete(std::uint64_t number);
    void dropIdleTrackers(Millis now);

    void handle(const PeerAddress &from, const PrefillQuery &query);
    void handle(const PeerAddress &from, const PrefillReply &reply);
    void handle(const PeerAddress &from, const PrefillStart &entry);
    void handle(const PeerAddress &from, const BookEnd &end);

    std::string self_;
    PeerTransport transport_;
    Clock clock_;
    OwnerRanking owners_;
    /** When the keepers changed last, and books with them. */
    Millis ownersChangedAt_;
    std::unordered_map<EngineKey, TrackedEngine> trackers_;
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t nextNumber_ = 1;
    Millis nextDropAt_;
    PrefillExchangeStats stats_;
};

} // namespace cuminrail
