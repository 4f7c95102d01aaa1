#pragma once

#include "core/events/Event.h"
#include "core/random/Random.h"
#include "core/time/Clock.h"
#include "lease/keeper/LeaseTiming.h"
#include "lease/record/LeaseRecord.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cuminrail {

/** The right to act for a duty, with the fence to act under, up to an instant of this machine. */
struct Authority
{
    FenceNumber fence = 0;
    Millis notAfter;
};

/** Which instance runs this code, in which life. */
struct InstanceLife
{
    InstanceId instance;
    Incarnation incarnation = 0;
};

/** How far an instance may go for a duty at the moment. */
struct Candidacy
{
    /** Reads the lease regularly and takes it when it lapses. */
    bool isCandidate = false;
    /** 0 for the first candidate; later ones wait longer. */
    std::size_t place = 0;
    /** Holds fewer duties than its share. */
    bool hasRoom = true;
    /** May write to take the lease in this tick; limits the rate over all duties. */
    bool mayTake = true;
};

/**
    One duty's lease as one instance sees it: watches it, takes it, renews it, gives it back.

    Counts from before each write was sent, so that a slow answer shortens what is left of the
    lease and never lengthens it. Knows a foreign lease only by the version of its object and by
    how long ago it saw that version first.
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
        /** The duty was taken; orders may go out until it is lost. */
        std::function<void(const Authority &)> onTaken;
        /** The duty was lost or is being given back. */
        std::function<void()> onLost;
    };

    DutyLease(std::string duty, InstanceLife self, const LeaseTiming &timing, Hooks hooks);
    DutyLease(const DutyLease &) = delete;
    DutyLease &operator=(const DutyLease &) = delete;

    /** Does what is due. Returns true when it wrote to take the lease. */
    bool tick(const Candidacy &candidacy);
    /** Takes in what a list of all leases showed. */
    void observe(const StoreObject &object);
    /** Gives the duty back so that another instance can take it at once. */
    void release();

    /** Returns the right to act, to be asked at the last moment before acting. */
    std::optional<Authority> authority(Millis now) const;
    /** Returns true when no write of this instance may still change the lease. */
    bool isQuiet() const { return !busy_ && !releaseWanted_; }
    /** Returns the last record seen, for the state dump. */
    std::optional<LeaseRecord> lastSeen() const;

    static std::string path(const std::string &duty) { return "leases/" + duty; }

private:
    struct Observed
    {
        ObjectVersion version = 0;
        LeaseRecord record;
        Millis firstSeen;
        Millis lastSeen;
    };
    /** A write that may have taken effect and whose answer has not been believed yet. */
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
    };

    Millis takeAt(const Candidacy &candidacy) const;
    bool isOwn(const LeaseRecord &record) const;
    bool tickUnheld(const Candidacy &candidacy, Millis now);
    void lapseIfDue(Millis now);
    void lose(const char *why);
    void sendWrite(LeaseRecord record);
    void sendTake();
    void sendRenewal();
    void sendRelease();
    void written(const PendingWrite &write, const StoreReply &reply);
    void read();
    void readDone(const StoreReply &reply);
    void see(ObjectVersion version, const LeaseRecord &record);
    void adopt(ObjectVersion version, const PendingWrite &write);
    void retryLater();
    Millis jittered(Millis span) const;

    std::string duty_;
    InstanceLife self_;
    LeaseTiming timing_;
    Hooks hooks_;
    std::optional<Observed> observed_;
    std::vector<PendingWrite> pending_;
    std::optional<Held> held_;
    FenceNumber highestFence_ = 0;
    bool busy_ = false;
    /** The result of the last write is unknown; the lease is read before the next one. */
    bool readBackDue_ = false;
    bool releaseWanted_ = false;
    Millis nextAt_;
    Millis retryDelay_;
};

} // namespace cuminrail
