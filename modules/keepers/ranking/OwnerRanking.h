#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "ports/peers/PeerTransport.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** Hash of what is owned, such as an engine's address or a customer's name. */
using OwnershipKey = std::uint64_t;

/** An instance that may own state for the others. */
struct OwnerCandidate
{
    InstanceId instance;
    /** Address on which it accepts links; empty for this instance itself. */
    PeerAddress address;
    /** Processor share in thousandths of a core; 0 if it is not known. */
    std::uint32_t milliCores = 0;
    /** Empty if it is not known. */
    std::string failureDomain = {};
};

/**
    Determines which instance owns the state of a key, by rendezvous hashing.

    Expected load: hundreds of instances that start together and query each other at once. If all of
    them were owners, each would need a link to every other one, and most of the first queries would
    get no reply while the links are set up. Therefore only some of them are owners, and links to
    these are kept open: the largest instances, which together have a part of all processors.

    All instances compute the same ranking from the registered instances, so no agreement protocol
    is needed. A dead instance can stay registered for a minute before its entry expires: an owner
    that leaves queries without a reply is excluded for a while, and the next one in the ranking
    takes over its keys, without their state.
*/
class OwnerRanking
{
public:
    /** Consecutive queries without a reply after which an owner is excluded, and for how long. */
    static constexpr int maxMissedReplies = 2;
    static constexpr Millis exclusionPeriod = Millis(2000);

    /** One part in this many of all processors is that of the owners, if they are more than the
        least number. */
    static constexpr std::uint64_t processorsPerOwner = 4;
    static constexpr std::size_t minOwners = 16;

    /**
        Sets the instances, this one first, and the number of owners if there are as many. Returns
        false if the owners are the same as before.
    */
    bool setPeers(std::vector<OwnerCandidate> peers, std::size_t leastOwners = minOwners);
    bool isEmpty() const { return owners_.empty(); }
    /** Whether this instance is one of the owners. */
    bool isOwner() const;
    /** Addresses of all owners but this instance. */
    std::vector<PeerAddress> addresses() const;

    /** Whether this instance is the primary owner of the key: its owner while none is excluded. */
    bool ownsKey(OwnershipKey key) const { return primaryOwnerOf(key).empty(); }
    /** Returns the address of the key's owner while none is excluded; empty for this instance. */
    const PeerAddress &primaryOwnerOf(OwnershipKey key) const;
    /**
        Returns the first owners in the key's ranking, whether excluded or not; an empty address is
        this instance's.
    */
    std::vector<PeerAddress> ownersOf(OwnershipKey key, std::size_t maxCount) const;
    /**
        Returns owners of a key, whether excluded or not: the first one of each failure domain in
        the order of the key's ranking, then the second ones, and so on. An empty address is this
        instance's.
    */
    std::vector<PeerAddress> spreadOwnersOf(OwnershipKey key, std::size_t maxCount) const;
    /** Whether an owner left queries without a reply and is passed over for a while. */
    bool isExcluded(const PeerAddress &peer, Millis now) const;
    /** Returns the address of the first owner that is not excluded; empty for this instance. */
    const PeerAddress &ownerOf(OwnershipKey key, Millis now) const;
    /** Like ownerOf(), but also skips one owner that has just missed a reply. */
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
        OwnerCandidate peer;
        std::uint64_t hash = 0;
    };

    /** Returns the address of the first owner in the key's ranking that is not skipped, or self_.
     */
    template<typename IsSkipped>
    const PeerAddress &firstAllowed(OwnershipKey key, IsSkipped isSkipped) const;
    /** Returns how many of the candidates in owners_, the largest first, become owners. */
    std::size_t countOwners(std::uint64_t allMilliCores, std::size_t leastOwners) const;

    std::vector<Ranked> owners_;
    std::unordered_map<PeerAddress, MissedReplies> missedReplies_;
    PeerAddress self_;
};

} // namespace cuminrail
