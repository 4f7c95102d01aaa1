#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "membership/detector/ProbeLedger.h"
#include "membership/detector/SilenceBound.h"
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

/** Spans and bounds; the defaults are those that docs/MEMBERSHIP.md gives figures for. */
struct MembershipConfig
{
    Millis probePeriod{500};
    /** How long a probe may go unanswered before others are asked. */
    Millis probeTimeout{500};
    /** How long the others may take. */
    Millis indirectTimeout{500};
    std::uint32_t helpers = 3;
    /**
        How long a suspected member has to refute: the base, and once the step for each doubling
        of the number of members, since its answer takes that many rounds to reach everybody.
    */
    Millis suspicionBase{2000};
    Millis suspicionStep{600};
    /** At most one comparison of whole tables in this span. */
    Millis syncPeriod{5000};
    /** Tables that differ for longer than this are compared. */
    Millis syncPatience{2000};
    /** How often an address that is not known as a member is tried. */
    Millis contactPeriod{5000};
    Millis firstContactPeriod{500};
    Millis deadRetention = Millis::minutes(60);
    /** @see SilenceBound */
    double silentShare = 0.4;
    Millis silentWindow = Millis::seconds(60);
    /** Bytes of news that ride along with one message. */
    std::size_t gossipBytes = 1024;
    /** One piece of news is sent as often as the members double from one, and this often more. */
    std::uint32_t extraSends = 3;
    /** How many refutations of others are passed on at once in a second. */
    std::uint32_t refutationsPerSecond = 4;
    /** A longer gap between two ticks is a pause of this process. */
    Millis ownPause{1500};
};

/** What a peer said of its settings, with the proof of how recent that is. */
struct PeerDigest
{
    InstanceId peer;
    PeerAddress address;
    SettingsDigest settings;
    /**
        When the question was sent that this answers, by this instance's clock; nothing for a
        message that answers none. The peer spoke after that instant, so its confirmedAge counted
        back from there is never too young, however long the answer took.
    */
    std::optional<Millis> askedAt;
};

/** How much of the rest answers, for judging whether this instance is the one cut off. */
struct PeerReach
{
    /** Members that are not leaving, this one included. */
    std::size_t known = 1;
    /** Of those, the ones that are not silent, this one included. */
    std::size_t alive = 1;
    /** Neighbours whose last probe is over, and how many of those answered. */
    std::size_t probed = 0;
    std::size_t answered = 0;

    /** Returns true when strictly more than half of all members seem reachable. */
    bool isMajority() const { return alive * 2 > known && (probed == 0 || answered * 2 > probed); }
};

/** What a membership asks and tells. None may be null, but for the last three. */
struct MembershipHooks
{
    PeerTransport transport;
    RandomHook random;
    EventSink events;
    std::function<SettingsDigest(Millis now)> settingsDigest;
    /** A fact that is news here. */
    std::function<void(const UrgentFact &)> onFact;
    std::function<void(const PeerDigest &)> onPeerDigest;
    /** A member appeared, left, fell silent or came back. */
    std::function<void()> onMembersChanged;
};

/** Counters since the start, for metrics and tests. */
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
    One instance's part in the membership: a state machine in virtual time.

    Runs on the control thread: tick() every 100 ms or so, receive() for each frame. It sends
    through the transport and calls hooks from inside these calls, and keeps no thread or timer.

    @see docs/MEMBERSHIP.md
*/
class Membership
{
public:
    Membership(MembershipConfig config, MemberRecord self, MembershipHooks hooks);
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /** Sets addresses of instances to begin with, from flags. */
    void setSeeds(std::vector<PeerAddress> seeds) { seeds_ = std::move(seeds); }
    /** Takes the platform's list: a source of addresses, never a reason to evict anybody. */
    void setListed(const std::vector<ListedInstance> &listed);

    void tick(Millis now);
    /** Takes a frame of FrameChannel::Membership. Returns false when it was malformed. */
    bool receive(Millis now, const std::string &frame);

    /** Announces this instance's planned stop to everybody at once. Cannot be taken back. */
    void leave(Millis now);
    /** Tells everybody a fact at once; does nothing when it is not news here. */
    void broadcast(Millis now, const UrgentFact &fact);
    /** Tells the neighbours at once what this instance's settings digest says now. */
    void announceDigest(Millis now);
    /** Probes one member now, out of turn, for instance to confirm that settings are current. */
    void probe(Millis now, const InstanceId &member);

    /** Returns all members but this one that are not dead. */
    std::vector<MemberView> members() const;
    std::optional<MemberView> member(const InstanceId &id) const;
    const MemberRecord &self() const { return self_; }
    PeerReach reach() const;
    const FactStore &facts() const { return facts_; }
    /** Forgets facts that no longer matter, such as withdrawals that the settings contain. */
    void forgetFacts(const std::function<bool(const UrgentFact &)> &isOver)
    {
        facts_.forget(isOver);
    }
    const MembershipStats &stats() const { return stats_; }
    /** Returns how many pieces of news still ride along with messages. */
    std::size_t pendingNews() const { return updates_.size(); }
    /** Returns the hash that members compare. */
    std::uint64_t tableHash() const;

private:
    void noticeOwnPause(Millis now);
    void probeNext(Millis now);
    bool probeDistant(Millis now);
    void followUpProbes(Millis now);
    void askOthers(Millis now, std::uint64_t sequence);
    void suspect(Millis now, const InstanceId &id);
    void settleSuspicions(Millis now);
    void declareDead(Millis now, MemberEntry &entry);
    void keepUnreachable(MemberEntry &entry);
    void contactOthers(Millis now);
    std::vector<PeerAddress> contactAddresses() const;

    void handle(Millis now, const PingMessage &message);
    void handle(Millis now, const AckMessage &message);
    void handle(Millis now, const PingRequestMessage &message);
    void handle(Millis now, const SyncRequestMessage &message);
    void handle(Millis now, const SyncReplyMessage &message);
    void handle(Millis now, const UrgentMessage &message);

    /** How far news that arrived is passed on. */
    enum class Spread : std::uint8_t {
        /** Not at all: it came from comparing tables, so it is new here and not elsewhere. */
        None,
        /** Rides along with later messages, and goes to all neighbours at once where urgent. */
        Full,
    };

    void takeSender(Millis now, const MessageSender &sender, std::optional<Millis> askedAt);
    bool mayForwardRefutation(Millis now);
    void takeGossip(Millis now, const Gossip &gossip, Spread spread, const InstanceId &from);
    bool takeRecord(Millis now, const MemberRecord &record, Spread spread = Spread::Full);
    void reportChange(const MemberRecord &known, const std::optional<MemberRecord> &before);
    void refute(Millis now, const MemberRecord &claim);
    void compareTables(Millis now, const MessageSender &sender);
    void forwardAtOnce(Millis now, const Gossip &news, const InstanceId &except);
    void membersChanged();

    MessageSender sender(Millis now) const;
    Gossip takeNews();
    std::uint32_t doublings() const;
    void sendSyncRequest(Millis now, const PeerAddress &to, bool wantsFacts);
    void send(const PeerAddress &to, const MembershipMessage &message);
    void sendTo(const InstanceId &id, const MembershipMessage &message);
    const NeighbourRing &ring();
    void report(const EventKind &kind, const MemberRecord &about);

    MembershipConfig config_;
    MemberRecord self_;
    MembershipHooks hooks_;
    MemberTable table_;
    FactStore facts_;
    UpdateQueue updates_;
    ProbeLedger probes_;
    SilenceBound silenceBound_;
    NeighbourRing ring_;
    bool ringIsOld_ = true;
    mutable std::optional<std::uint64_t> tableHash_;
    std::size_t nextNeighbour_ = 0;
    std::size_t factsPlace_ = 0;
    std::optional<Millis> lastTick_;
    Millis nextProbeAt_;
    Millis nextContactAt_;
    Millis nextSyncAt_;
    std::optional<Millis> tablesDifferSince_;
    std::optional<Millis> lastMalformedReport_;
    std::vector<PeerAddress> seeds_;
    std::vector<PeerAddress> listed_;
    std::set<RegionId> panicRegions_;
    Millis refutationsSince_;
    std::uint32_t refutationsForwarded_ = 0;
    MembershipStats stats_;
};

} // namespace cuminrail
