#pragma once

#include "core/time/Clock.h"
#include "keepers/ranking/OwnerRanking.h"
#include "readingbooks/messages/PrefillMessages.h"
#include "readingbooks/tracker/PrefillTracker.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace cuminrail {

/** Counters since the start. */
struct PrefillExchangeStats
{
    std::uint64_t queries = 0;
    /** Queries to other instances that got no reply in time. */
    std::uint64_t unanswered = 0;
    std::uint64_t framesSent = 0;
    /** Frames that were not a valid message. */
    std::uint64_t framesRefused = 0;
};

/**
    One instance's part in prefill tracking: it tracks some engines, and queries the owners of the
    others.

    Expected load: many instances and few engines, with prompts that keep an engine busy for long.
    Without shared state, prompts of several instances queue at one engine while others are idle.

    Not thread-safe: used from one thread. No call blocks. Estimates whose replies do not arrive in
    time are left out.
*/
class PrefillExchange
{
public:
    /**
        Time-out of queries. Instances are 1 to 3 ms apart and reply at once. A machine that used up
        its CPU share replies up to 100 ms later, which is a quarter of the tightest latency goal in
        use and not worth waiting for.
    */
    static constexpr Millis replyTimeout = Millis(15);
    /** A tracker that is unused for this long is dropped, as its engine is gone. */
    static constexpr Millis trackerIdleTimeout = Millis::seconds(60);

    /** Identifies an announced prefill; empty if there is none. */
    struct Entry
    {
        std::uint64_t number = 0;
        EngineKey engine = 0;
        PeerAddress owner;

        bool isSet() const { return number != 0; }
    };
    using Estimates = std::unordered_map<EngineKey, PrefillEstimate>;
    using Completion = std::function<void(const Estimates &estimates)>;

    PrefillExchange(std::string self, PeerTransport transport, Clock clock);

    /** All instances, this one first, each other one with the address on which it accepts links. */
    void setPeers(std::vector<OwnerCandidate> peers);
    /**
        Returns whether an engine had not prefilled anything at an instant; optional. If so, a
        tracker owned here since that instant knows all parts that the engine holds. An engine that
        is wrongly estimated to hold parts gets prompts that take it three times as long as
        estimated: after a start, and while new engines replace lost ones.
    */
    std::function<bool(EngineKey engine, Millis at)> wasUnusedAt;
    /** An engine is gone, or is a new incarnation: it holds none of the announced parts. */
    void removeEngine(EngineKey engine) { trackers_.erase(engine); }
    /** Addresses of the other instances that own trackers, to which links are kept open. */
    std::vector<PeerAddress> ownerAddresses() const { return owners_.addresses(); }

    /**
        Requests the estimates for a prompt at some engines. The completion is called once, with the
        estimates known by then: before this returns if all engines are owned here, else on the last
        reply or in a tick() after the time-out.
    */
    void query(const PromptChain &chain, const std::vector<EngineKey> &engines, Completion done);
    /** Announces that a prompt is being sent to an engine. */
    Entry announcePrefill(const PromptChain &chain, EngineKey engine, double freshTokens,
                          const PrefillRate &rate);
    /** The prompt was prefilled. Clears the entry. */
    void completePrefill(Entry &entry) { finishEntry(entry, true); }
    /** The prompt will not be prefilled there. Clears the entry. */
    void cancelPrefill(Entry &entry) { finishEntry(entry, false); }

    /** Handles a frame from another instance. Returns false if it is not a valid message. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);
    /** Drops pending queries without calling their completions; for the end of the process. */
    void dropPendingQueries() { pending_.clear(); }
    /** Handles time-outs; to be called every few milliseconds. */
    void tick();

    const PrefillExchangeStats &stats() const { return stats_; }
    std::size_t trackerCount() const { return trackers_.size(); }

private:
    struct Pending
    {
        Completion done;
        Estimates estimates;
        /** Engines in the query to each owner whose reply is awaited. */
        std::map<PeerAddress, std::vector<EngineKey>> awaited;
        Millis deadline;
    };
    struct TrackedEngine
    {
        PrefillTracker tracker;
        Millis usedAt;
    };

    PrefillTracker &trackerOf(EngineKey engine);
    void send(const PeerAddress &to, const PrefillMessage &message);
    void finishEntry(Entry &entry, bool wasPrefilled);
    void complete(std::uint64_t number);
    void dropIdleTrackers(Millis now);

    void handle(const PeerAddress &from, const PrefillQuery &query);
    void handle(const PeerAddress &from, const PrefillReply &reply);
    void handle(const PeerAddress &from, const PrefillStart &entry);
    void handle(const PeerAddress &from, const PrefillEnd &end);

    std::string self_;
    PeerTransport transport_;
    Clock clock_;
    OwnerRanking owners_;
    /** When the set of owners, and with it the ownership of trackers, last changed. */
    Millis ownersChangedAt_;
    std::unordered_map<EngineKey, TrackedEngine> trackers_;
    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t nextNumber_;
    Millis nextDropAt_;
    PrefillExchangeStats stats_;
};

} // namespace cuminrail
