#pragma once

#include "core/time/Clock.h"
#include "feeds/follower/FeedFollower.h"
#include "ports/peers/PeerTransport.h"

#include <array>
#include <functional>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    The instances of one failure domain that follow the store together, as one of them sees it.

    Hands what others tell to the followers of both feeds, and tells the others what this instance
    learns while it watches for them. Belongs to one thread.
*/
class FeedGroup
{
public:
    /** Instances to which one instance hands the same update. */
    static constexpr std::size_t fanOut = 8;
    /** A change that others know and that is on its way here is not asked for sooner. */
    static constexpr Millis askAfter = Millis(100);

    FeedGroup(Clock clock, PeerTransport transport, FeedFollower &configuration,
              FeedFollower &upstreams);

    /**
        Tells whether a link to an instance is ready. May be left out; else those that are linked
        pass changes on, as setting up a link takes longer than the way over one more instance.
    */
    std::function<bool(const PeerAddress &)> isLinked;

    /** Every instance watches for itself. */
    void setAlone();
    /**
        @param inOrder   the domain's instances in the order in which they take over, this one among
                         them with an empty address
        @param watchers  how many of them always watch
    */
    void setMembers(std::vector<PeerAddress> inOrder, std::size_t watchers);
    /**
        Speaks when it is due: to all while it watches for them, and to the watchers while it hears
        none, as they may not know of it yet. To be called about ten times a second.
    */
    void tick();
    /**
        Tells the others of changes: some of them directly, who pass it on to the rest.

        Load: a change for a hundred instances over links of 10 Mbit/s. Sent to each by one
        instance, it would take seconds to leave it.
    */
    void passOn(const FeedUpdate &update) const;
    /** A frame came from another instance. Returns false if it is about something else. */
    bool received(const PeerAddress &from, const std::string &frame);

private:
    bool maySpeak() const;
    bool needsWatchers() const;
    std::string heartbeat() const;
    void takeDelivery(const FeedDelivery &delivery);
    void takeHeartbeat(const PeerAddress &from, const FeedHeartbeat &heartbeat);
    void answer(const PeerAddress &from, const FeedQuestion &question) const;
    void deliver(const std::string &update, const std::vector<PeerAddress> &receivers) const;
    void askForMissing(Millis now);
    /** Whether the store's refusal of this instance, by feed, is not what the others heard. */
    bool isRefusalNew() const;
    FeedFollower &feed(FeedKind kind) const { return *feeds_[static_cast<std::size_t>(kind)]; }
    void send(const std::string &frame) const;

    Clock clock_;
    PeerTransport transport_;
    std::array<FeedFollower *, feedKinds> feeds_;
    std::vector<PeerAddress> watchers_;
    std::vector<PeerAddress> others_;
    std::unordered_map<PeerAddress, std::size_t> ranks_;
    Millis nextHeartbeat_;
    std::array<bool, feedKinds> toldRefused_{};
    struct Missing
    {
        /** Who knows more. */
        PeerAddress informant;
        Millis askedAt;
    };
    std::array<Missing, feedKinds> missing_;
};

} // namespace cuminrail
