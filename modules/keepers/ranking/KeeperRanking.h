#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/peers/PeerTransport.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** Hash of what is kept: an engine's address, a customer's name. */
using OwnershipKey = std::uint64_t;

/** An instance that may keep state for the others. */
struct KeeperCandidate
{
    InstanceId instance;
    /** Where it takes links; empty for this instance itself. */
    PeerAddress address;
};

/**
    Which instance keeps the state of a key.

    Load: hundreds of instances that start together and ask each other at once. Were all of them
    keepers, each would need a link to every other one, and most first questions would go unanswered
    while those are set up. So a part of them are keepers, and links to those few are held ready.

    All instances work it out alike by rendezvous hashing over those that are registered, so nothing
    has to be agreed. A registered instance can be dead for a minute before its entry lapses: one
    that leaves questions unanswered is passed over for a while, and the next in order takes its
    keys over, without their state.
*/
class OwnerRanking
{
public:
    /** Unanswered questions in a row after which a keeper is passed over, and for how long. */
    static constexpr int maxMissedReplies = 2;
    static constexpr Millis exclusionPeriod = Millis(2000);

    /** One instance in so many is a keeper, where there are many. */
    static constexpr std::size_t instancesPerOwner = 4;
    static constexpr std::size_t minOwners = 16;

    /** The first is this instance. Returns false if the keepers are the same as before. */
    bool setPeers(std::vector<KeeperCandidate> peers);
    bool isEmpty() const { return owners_.empty(); }
    /** Whether this instance is one of the keepers. */
    bool isOwner() const;
    /** Links of all keepers but this instance. */
    std::vector<PeerAddress> addresses() const;

    /** Whether this instance keeps the key while no keeper is passed over. */
    bool ownsKey(OwnershipKey key) const { return primaryOwnerOf(key).empty(); }
    /** Returns the keeper's address while none is passed over; empty for this instance. */
    const PeerAddress &primaryOwnerOf(OwnershipKey key) const;
    /**
        Returns the first few in the key's order, whether passed over or not; an empty address is
        this instance's.
    */
    std::vector<PeerAddress> ownersOf(OwnershipKey key, std::size_t maxCount) const;
    /** Returns the keeper's address; empty for this instance. */
    const PeerAddress &ownerOf(OwnershipKey key, Millis now) const;
    /** The same where one keeper, just found silent, is left out as well. */
    const PeerAddress &nextOwnerOf(const PeerAddress &unresponsive, OwnershipKey key,
                                   Millis now) const;
    void recordReply(const PeerAddress &peer) { missedReplies_.erase(peer); }
    void recordMissedReply(const PeerAddress &peer, Millis now);

private:
    struct MissedReplies
    {
        int count = 0;
        Millis excludedUntil;
    };

    struct Ranked
    {
        KeeperCandidate peer;
        std::uint64_t hash = 0;
    };

    /** Returns the address of the first in the key's order that is not left out, or the own one. */
    template<typename IsSkipped>
    const PeerAddress &firstAllowed(OwnershipKey key, IsSkipped isSkipped) const;
    bool isExcluded(const PeerAddress &peer, Millis now) const;

    std::vector<Ranked> owners_;
    std::unordered_map<PeerAddress, MissedReplies> missedReplies_;
    PeerAddress self_;
};

} // namespace cuminrail
