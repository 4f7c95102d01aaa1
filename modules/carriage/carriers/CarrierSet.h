#pragma once

#include "core/time/Millis.h"
#include "ports/peers/PeerTransport.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** An instance that may carry requests. */
struct CarrierCandidate
{
    PeerAddress address;
    std::string failureDomain;
    /** Processor share in thousandths of a core. */
    std::uint32_t milliCores = 0;
};

/**
    Chooses the few instances that carry this one's requests.

    Load: any number of instances, most of which may be cut as well. Each cut instance keeps links
    to a few candidates, in an order of its own, so that cut instances spread over all others.
    Candidates of the own failure domain are preferred for half of the links, as traffic between
    domains costs more, but never for all: the whole domain may be cut.
*/
class CarrierSet
{
public:
    /** Links to candidates at a time. */
    static constexpr std::size_t links = 4;
    static constexpr std::size_t ownDomainLinks = 2;
    /** A candidate that cannot carry is not asked again for this long. */
    static constexpr Millis exclusion = Millis(2000);
    /** A candidate without a status after this time is replaced. */
    static constexpr Millis replyTimeout = Millis(600);
    static constexpr Millis queryInterval = Millis(500);

    struct Hooks
    {
        /** Sets up a link. */
        std::function<void(const PeerAddress &)> connect;
        std::function<bool(const PeerAddress &)> isLinked;
        /** Asks for a status. */
        std::function<void(const PeerAddress &)> query;
        /** Returns the number of requests that a candidate carries for this instance. */
        std::function<std::size_t(const PeerAddress &)> carried;
    };

    CarrierSet(std::string selfName, std::string ownDomain, Hooks hooks);

    /** All other instances. */
    void setCandidates(std::vector<CarrierCandidate> candidates);
    /** Keeps links to candidates from now on, or not. */
    void setWanted(bool isWanted, Millis now);
    /** Replaces candidates that cannot carry; to be called some times a second while wanted. */
    void tick(Millis now);
    void noteStatus(const PeerAddress &from, bool canCarry, Millis now);
    void noteClosed(const PeerAddress &peer, Millis now);

    /** Returns the least loaded carrier that was not tried; nothing if there is none. */
    std::optional<PeerAddress> choose(const std::set<PeerAddress> &tried) const;
    /** Returns true while candidates were asked that have not replied yet. */
    bool isSearching() const;
    std::size_t size() const { return slots_.size(); }

private:
    struct Slot
    {
        Millis since;
        Millis nextQueryAt;
        std::optional<Millis> repliedAt;
        bool canCarry = false;
        bool isOwnDomain = false;
        std::uint32_t milliCores = 0;
    };

    void exclude(const PeerAddress &peer, Millis now);
    void fillSlots(Millis now);
    void rank();

    std::string selfName_;
    std::string ownDomain_;
    Hooks hooks_;
    std::vector<CarrierCandidate> candidates_;
    bool isRanked_ = false;
    bool isWanted_ = false;
    std::map<PeerAddress, Slot> slots_;
    std::unordered_map<PeerAddress, Millis> excludedUntil_;
    Millis ownDomainExcludedUntil_ = Millis(-1);
    /** Where the search for the next candidate continues. */
    std::size_t next_ = 0;
};

} // namespace cuminrail
