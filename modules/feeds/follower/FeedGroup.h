#pragma once

#include "core/time/Clock.h"
#include "feeds/follower/FeedFetch.h"
#include "feeds/follower/FeedFollower.h"
#include "feeds/follower/FeedSnapshot.h"
#include "ports/peers/PeerTransport.h"

#include <array>
#include <functional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    The group of instances of one failure domain that share their watches, as seen by one of them.

    Passes messages from the others to the followers of both feeds, and sends the others the changes
    that this instance learns while it watches on their behalf. Not thread-safe.
*/
class FeedGroup
{
public:
    /** Number of instances to which one instance sends the same update. */
    static constexpr std::size_t fanOut = 8;
    /** Delay before a missing change is queried, as it may still be on its way. */
    static constexpr Millis queryDelay = Millis(100);

    FeedGroup(Clock clock, PeerTransport transport, FeedFollower &configuration,
              FeedFollower &upstreams);

    /**
        Returns whether the link to an instance is open. May be null; if set, instances with open
        links relay changes, as opening a link takes longer than one more hop.
    */
    std::function<bool(const PeerAddress &)> isLinked;

    /** Every instance watches the store itself. */
    void setStandalone();
    /**
        @param inOrder the domain's instances in the order of succession, this one with an empty
            address
        @param watchers how many of them always watch
    */
    void setMembers(std::vector<PeerAddress> inOrder, std::size_t watchers);
    /**
        Sends a heartbeat when due: to all while it watches on their behalf, and to the watchers
        while it receives none from them, as they may not know this instance yet. To be called about
        ten times a second.
    */
    void tick();
    /**
        Distributes changes to the others: to some of them directly, which relay them to the rest.

        Load: a change for a hundred instances over links of 10 Mbit/s. Sent to each by one
        instance, it would take seconds to leave it.
    */
    void distribute(const FeedUpdate &update) const;
    /** Handles a frame from another instance. Returns false if it belongs to another protocol. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);

private:
    bool shouldSendHeartbeat() const;
    bool lacksWatchers() const;
    std::string heartbeat() const;
    void handleDelivery(const FeedDelivery &delivery);
    void handleHeartbeat(const PeerAddress &from, const FeedHeartbeat &heartbeat);
    void replyTo(const PeerAddress &from, const FeedQuery &query);
    void replyTo(const PeerAddress &from, const FeedPieceQuery &query);
    void handlePiece(const PeerAddress &from, const FeedPiece &piece);
    void sendQuery(const PeerAddress &to, const FeedPieceQuery &query) const;
    /** Fetches states that are wanted here, and sends first pieces to those who wait for them. */
    void exchangeStates(Millis now);
    void deliver(const std::string &update, const std::vector<PeerAddress> &receivers) const;
    void queryMissing(Millis now);
    /** Whether the refusal state of a feed of this watcher differs from the last one announced. */
    bool hasUnannouncedRefusal() const;
    FeedFollower &feed(FeedKind kind) const { return *feeds_[static_cast<std::size_t>(kind)]; }
    void broadcast(const std::string &frame) const;

    Clock clock_;
    PeerTransport transport_;
    std::array<FeedFollower *, feedKinds> feeds_;
    std::vector<PeerAddress> watchers_;
    std::vector<PeerAddress> others_;
    std::unordered_map<PeerAddress, std::size_t> ranks_;
    Millis nextHeartbeat_;
    std::array<bool, feedKinds> announcedRefused_{};
    struct Missing
    {
        /** The instance that has the missing changes. */
        PeerAddress source;
        Millis querySentAt;
    };
    std::array<Missing, feedKinds> missing_;
    /** The exchange of a feed's whole state. */
    struct StateExchange
    {
        FeedSnapshot snapshot;
        FeedFetch fetch;
        /** Instances that asked for the state before it was known here. */
        std::set<PeerAddress> waiting;
    };
    std::array<StateExchange, feedKinds> states_;
    StateExchange &stateOf(FeedKind kind) { return states_[static_cast<std::size_t>(kind)]; }
};

} // namespace cuminrail
