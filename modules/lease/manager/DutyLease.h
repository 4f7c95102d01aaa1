#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/manager/LeaseTiming.h"
#include "lease/record/LeaseRecord.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/**
    The authority to act for a duty: the fence to use, and the end of its validity on the clock of
    this machine.
*/
struct Authority
{
    FenceNumber fence = 0;
    Millis notAfter;
    /** Since when this instance has held it without a break. */
    Millis heldSince{};
    /** The record before this holder's was of an earlier era: holders since may be unknown. */
    bool followsEarlierEra = false;
};

/** The instance that runs this code, and its incarnation. */
struct InstanceIncarnation
{
    InstanceId instance;
    Incarnation incarnation = 0;
};

/** What an instance may do about the lease of a duty at the moment. */
struct Candidacy
{
    /** Reads the lease regularly and acquires it when it expires. */
    bool isCandidate = false;
    /** 0 for the first candidate; later ones wait longer. */
    std::size_t rank = 0;
    /** Holds fewer duties than its share. */
    bool hasRoom = true;
    /** May write to acquire the lease in this tick; limits the rate over all duties. */
    bool mayAcquire = true;
};

/**
    The lease of one duty as seen by one instance: observes, acquires, renews and releases it.

    Counts the term from before each write was sent, so that a slow reply shortens the remaining
    lease and never lengthens it. The expiry of another holder's lease is derived only from the
    version of its object and from how long ago this instance first observed that version.

    After the store came back from a copy, a holder unknown to it may still act. So an instance
    that meets a new era waits a full term before it acquires the lease, with a fence above all of
    the eras before. A holder whose lease lasts writes its record again and keeps its fence.
*/
class DutyLease
{
public:
    struct Hooks
    {
        ObjectStore store;
        Clock clock;
        RandomHook random;
        EventSink events;
        /** The lease was acquired; orders may be sent until it is lost. */
        std::function<void(const Authority &)> onLeaseAcquired;
        /** The lease was lost or is being released. */
        std::function<void()> onLeaseLost;
    };

    DutyLease(std::string duty, InstanceIncarnation self, const LeaseTiming &timing, Hooks hooks);
    DutyLease(const DutyLease &) = delete;
    DutyLease &operator=(const DutyLease &) = delete;

    /** Performs due work. Returns whether it wrote to acquire the lease. */
    bool tick(const Candidacy &candidacy);
    /** The whole system starts for the first time: no holder can be unknown to the store. */
    void setFirstStart() { isFirstStart_ = true; }
    /** Applies an object from a list of all leases. */
    void observe(const StoreObject &object);
    /** Releases the lease so that another instance can acquire it at once. */
    void release();

    /** Returns the authority to act; request it at the last moment before acting. */
    std::optional<Authority> authority(Millis now) const;
    /** Returns whether no write of this instance can still change the lease. */
    bool isQuiet() const { return !busy_ && !releaseRequested_; }
    /** Returns the last record observed, for the state dump. */
    std::optional<LeaseRecord> lastSeen() const;

    /** Call with the era of any reply of the store; a later one voids what was observed. */
    void noteEra(StoreEra era);

    static std::string path(const std::string &duty) { return "leases/" + duty; }

private:
    struct Observed
    {
        ObjectVersion version = 0;
        LeaseRecord record;
        Millis firstSeen;
        Millis lastSeen;
    };
    /** A write that may have taken effect and is not confirmed yet. */
    struct PendingWrite
    {
        LeaseRecord record;
        Millis sentAt;
    };
    struct Held
    {
        FenceNumber fence = 0;
        Millis validUntil;
        std::string token;
        Millis since;
        bool followsEarlierEra = false;
    };

    Millis acquireAt(const Candidacy &candidacy) const;
    bool isOwn(const LeaseRecord &record) const;
    bool tickUnheld(const Candidacy &candidacy, Millis now);
    void expireIfDue(Millis now);
    void lose(const char *why);
    void sendWrite(LeaseRecord record);
    void sendAcquire();
    void sendRenewal();
    void sendRelease();
    void written(const PendingWrite &write, const StoreReply &reply);
    void read();
    void readDone(const StoreReply &reply);
    void updateObserved(ObjectVersion version, const LeaseRecord &record);
    void acceptWrite(ObjectVersion version, const PendingWrite &write);
    void scheduleRetry();
    Millis withJitter(Millis span) const;
    StoreCompletion guardCompletion(StoreCompletion done);
    FenceNumber nextFence() const;

    std::string duty_;
    InstanceIncarnation self_;
    LeaseTiming timing_;
    Hooks hooks_;
    std::optional<Observed> observed_;
    std::vector<PendingWrite> pending_;
    std::optional<Held> held_;
    FenceNumber highestFence_ = 0;
    bool busy_ = false;
    /** The result of the last write is unknown; the lease is read before the next write. */
    bool readBackDue_ = false;
    bool releaseRequested_ = false;
    Millis nextAt_;
    Millis retryDelay_;
    StoreEra era_ = 0;
    /** A holder unknown to the store may act until then. */
    Millis earliestAcquireAt_ = Millis(0);
    /** The record in the store is older than the lease held, which is to be written again. */
    bool isRewriteDue_ = false;
    bool isFirstStart_ = false;
    /** Replies to calls of earlier generations are ignored. */
    std::uint64_t generation_ = 0;
};

} // namespace cuminrail
