#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "membership/detector/DeadDeclarationLimit.h"
#include "membership/detector/ProbeTracker.h"
#include "membership/facts/FactStore.h"
#include "membership/gossip/UpdateQueue.h"
#include "membership/messages/MembershipMessages.h"
#include "membership/model/MemberTable.h"
#include "membership/ring/NeighbourRing.h"
#include "ports/fleet/FleetOrdering.h"
#include "ports/peers/PeerTransport.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cuminrail {

/** Tunables of the protocol. docs/MEMBERSHIP.md gives figures for the defaults. */
struct MembershipConfig
{
    Millis probePeriod{500};
    /** Time without an ack after which other members are asked to probe the target. */
    Millis probeTimeout{500};
    /** Additional time allowed for an ack through those members. */
    Millis indirectTimeout{500};
    std::uint32_t indirectProbers = 3;
    /**
        Suspicion timeout, within which a suspected member may refute: the base, plus one step for
        each doubling of the number of members, because the refutation takes that many gossip rounds
        to reach all of them.
    */
    Millis suspicionTimeoutBase{2000};
    Millis suspicionTimeoutStep{600};
    /** Minimum interval between two comparisons of whole tables. */
    Millis syncPeriod{5000};
    /** How long a peer's table hash has to differ before the tables are compared. */
    Millis syncDelay{2000};
    /** Interval between attempts to reach an address that does not belong to a known member. */
    Millis contactInterval{5000};
    Millis firstContactInterval{500};
    Millis deadRetention = Millis::minutes(60);
    /** @see DeadDeclarationLimit */
    double maxUnresponsiveShare = 0.4;
    Millis unresponsiveWindow = Millis::seconds(60);
    /** Maximum size of the gossip piggybacked on one message. */
    std::size_t maxGossipBytes = 1024;
    /**
        Each update is sent once per doubling of the number of members from one, plus this number of
        times.
    */
    std::uint32_t extraSends = 3;
    /** Maximum number of other members' refutations that are forwarded immediately per second. */
    std::uint32_t maxRefutationsPerSecond = 4;
    /** A longer gap between two ticks counts as a pause of this process. */
    Millis maxTickGap{1500};
};

/** The settings digest received from a peer, with evidence of how recent it is. */
struct PeerDigest
{
    InstanceId peer;
    PeerAddress address;
    SettingsDigest settings;
    /**
        When the query was sent that this digest replies to, by this instance's clock; nothing if
        the message is not a reply. The peer replied after that instant, so counting its
        confirmedAge back from there never yields too recent a confirmation, however long the reply
        took.
    */
    std::optional<Millis> querySentAt;
};

/** How many other instances respond; used to decide whether this instance is the isolated one. */
struct PeerReachability
{
    /** Members that are not leaving, including this one. */
    std::size_t known = 1;
    /** Those of them that are alive, including this one. */
    std::size_t alive = 1;
    /** Neighbours with a completed probe, and how many of these responded to the last one. */
    std::size_t probed = 0;
    std::size_t responded = 0;

    /**
        Returns true if strictly more than half of all members, and of the probed neighbours,
        respond.
    */
    bool isMajority() const { return alive * 2 > known && (probed == 0 || responded * 2 > probed); }
};

/** Callbacks and ports of a Membership. All are required except the last three. */
struct MembershipHooks
{
    PeerTransport transport;
    RandomHook random;
    EventSink events;
    std::function<SettingsDigest(Millis now)> settingsDigest;
    /** An urgent fact was received that was not known here. */
    std::function<void(const UrgentFact &)> onFact;
    std::function<void(const PeerDigest &)> onPeerDigest;
    /** A member joined, left, became unresponsive or recovered. */
    std::function<void()> onMembersChanged;
};

/** Counters since the start of the process, for metrics and tests. */
struct MembershipStats
{
    std::uint64_t framesSent = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t framesReceived = 0;
    std::uint64_t malformedFrames = 0;
    std::uint64_t declaredDead = 0;
    std::uint64_t syncs = 0;
};

/**
    The membership protocol of one instance: a state machine driven by the caller's clock.

    Runs on the control thread: tick() about every 100 ms, handleFrame() for each frame. Sends
    through the transport and calls hooks from within these calls; owns no thread and no timer.

    @see docs/MEMBERSHIP.md
*/
class Membership
{
public:
    Membership(MembershipConfig config, MemberRecord self, MembershipHooks hooks);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /** Sets the initial contact addresses, from command-line flags. */
    void setSeeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }
    /**
        Sets the platform's instance list: a source of contact addresses, never a reason to remove a
        member.
    */
    void setListedInstances(const std::vector<ListedInstance> &listed);

    void tick(Millis now);
    /** Handles a frame of FrameChannel::Membership. Returns false if it was malformed. */
    bool handleFrame(Millis now, const std::string &frame);

    /** Announces this instance's planned stop to its neighbours immediately. Cannot be revoked. */
    void leave(Millis now);
    /** Sends a fact to all members immediately; does nothing if the fact is already known here. */
    void broadcast(Millis now, const UrgentFact &fact);
    /** Sends this instance's current settings digest to its neighbours immediately. */
    void announceDigest(Millis now);
    /**
        Probes one member outside the regular schedule, for instance to confirm that settings are
        current.
    */
    void probe(Millis now, const InstanceId &member);

    /** Returns all members that are not dead, without this one. */
    std::vector<MemberView> members() const;
    std::optional<MemberView> member(const InstanceId &id) const;
    const MemberRecord &self() const { return self_; }
    PeerReachability reachability() const;
    const FactStore &facts() const { return facts_; }
    /**
        Removes facts that are no longer needed, such as withdrawals that the settings contain by
        now.
    */
    void removeFacts(const std::function<bool(const UrgentFact &)> &isObsolete)
    {
        facts_.removeIf(isObsolete);
    }
    const MembershipStats &stats() const { return stats_; }
    /** Returns how many updates are still to be piggybacked on messages. */
    std::size_t pendingUpdates() const { return updates_.size(); }
    /** Returns the hash that instances compare to detect differing tables. */
    std::uint64_t tableHash() const;

private:
    void detectOwnPause(Millis now);
    void probeNext(Millis now);
    bool probeRandomMember(Millis now);
    void handleOverdueProbes(Millis now);
    void requestIndirectProbes(Millis now, std::uint64_t sequence);
    void suspect(Millis now, const InstanceId &id);
    void resolveSuspicions(Millis now);
    void declareDead(Millis now, MemberEntry &entry);
    void markUnreachable(MemberEntry &entry);
    void contactUnknownInstance(Millis now);
    std::vector<PeerAddress> contactAddresses() const;

    void handle(Millis now, const PingMessage &message);
    void handle(Millis now, const AckMessage &message);
    void handle(Millis now, const PingRequestMessage &message);
    void handle(Millis now, const SyncRequestMessage &message);
    void handle(Millis now, const SyncReplyMessage &message);
    void handle(Millis now, const UrgentMessage &message);

    /** How far a received update is forwarded. */
    enum class Forwarding : std::uint8_t {
        /** Not forwarded: it came from a table comparison, so only this instance lacked it. */
        None,
        /** Piggybacked on later messages and, if urgent, sent to all neighbours immediately. */
        Full,
    };

    void processSender(Millis now, const MessageSender &sender, std::optional<Millis> querySentAt);
    bool mayForwardRefutation(Millis now);
    void processGossip(Millis now, const Gossip &gossip, Forwarding forwarding,
                       const InstanceId &from);
    bool mergeRecord(Millis now, const MemberRecord &record,
                     Forwarding forwarding = Forwarding::Full);
    void emitChangeEvents(const MemberRecord &known, const std::optional<MemberRecord> &previous);
    void refute(Millis now, const MemberRecord &claim);
    void compareTables(Millis now, const MessageSender &sender);
    void sendUrgent(Millis now, const Gossip &updates, const InstanceId &except);
    void membersChanged();

    MessageSender sender(Millis now) const;
    Gossip takeUpdates();
    std::uint32_t memberCountDoublings() const;
    void sendSyncRequest(Millis now, const PeerAddress &to, bool wantsFacts);
    void send(const PeerAddress &to, const MembershipMessage &message);
    void sendTo(const InstanceId &id, const MembershipMessage &message);
    const NeighbourRing &ring();
    void emitEvent(const EventKind &kind, const MemberRecord &about);

    MembershipConfig config_;
    MemberRecord self_;
    MembershipHooks hooks_;
    MemberTable table_;
    FactStore facts_;
    UpdateQueue updates_;
    ProbeTracker probes_;
    DeadDeclarationLimit deadDeclarationLimit_;
    NeighbourRing ring_;
    bool ringIsStale_ = true;
    mutable std::optional<std::uint64_t> tableHash_;
    std::size_t nextNeighbour_ = 0;
    std::size_t factsCursor_ = 0;
    std::optional<Millis> lastTick_;
    Millis nextProbeAt_;
    Millis nextContactAt_;
    Millis nextSyncAt_;
    std::optional<Millis> tablesDifferSince_;
    std::optional<Millis> lastMalformedEventAt_;
    std::vector<PeerAddress> seeds_;
    std::vector<PeerAddress> listedAddresses_;
    std::set<RegionId> regionsOverLimit_;
    Millis refutationWindowStart_;
    std::uint32_t refutationsForwarded_ = 0;
    MembershipStats stats_;
};

} // namespace cuminrail
