#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/peers/PeerTransport.h"
#include "readingbooks/messages/BookMessages.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** An instance that may keep books. */
struct BookPeer
{
    InstanceId instance;
    /** Where it takes links; empty for this instance itself. */
    PeerAddress address;
};

/**
    Which instance keeps the book of an engine.

    Load: hundreds of instances that start together and ask each other at once. Were all of them
    keepers, each would need a link to every other one, and most first questions would go unanswered
    while those are set up. So a part of them keeps the books, and links to those few are held
   ready.

    All instances work it out alike by rendezvous hashing over those that are registered, so nothing
    has to be agreed. A registered instance can be dead for a minute before its entry lapses: one
    that leaves questions unanswered is passed over for a while, and the next in order takes its
    books over, empty at first.
*/
class BookKeepers
{
public:
    /** Unanswered questions in a row after which a keeper is passed over, and for how long. */
    static constexpr int silenceBorne = 2;
    static constexpr Millis passedOverFor = Millis(2000);

    /** One instance in so many keeps books, where there are many. */
    static constexpr std::size_t instancesEach = 4;
    static constexpr std::size_t leastKeepers = 16;

    /** The first is this instance. Returns false if the keepers are the same as before. */
    bool setPeers(std::vector<BookPeer> peers);
    bool isEmpty() const { return peers_.empty(); }
    /** Links of all keepers but this instance. */
    std::vector<PeerAddress> addresses() const;

    /** Whether this instance keeps the book while no keeper is passed over. */
    bool isOwnBook(EngineKey engine) const;
    /** Returns the keeper's address; empty for this instance. */
    const PeerAddress &keeperOf(EngineKey engine, Millis now) const;
    void answered(const PeerAddress &peer) { silence_.erase(peer); }
    void leftUnanswered(const PeerAddress &peer, Millis now);

private:
    struct Silence
    {
        int count = 0;
        Millis passedOverUntil;
    };

    struct Ranked
    {
        BookPeer peer;
        std::uint64_t hash = 0;
    };

    /** Returns the first in the engine's order that is not left out, or null. */
    template<typename IsLeftOut>
    const Ranked *firstFor(EngineKey engine, IsLeftOut isLeftOut) const;
    bool isPassedOver(const PeerAddress &peer, Millis now) const;

    std::vector<Ranked> peers_;
    std::unordered_map<PeerAddress, Silence> silence_;
    PeerAddress self_;
};

} // namespace cuminrail
