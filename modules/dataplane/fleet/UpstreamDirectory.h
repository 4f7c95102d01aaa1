#pragma once

#include "core/hash/StableHash.h"
#include "dataplane/fleet/VersionCensus.h"
#include "dataplane/model/UpstreamEntry.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** An upstream in the directory; shared with the requests that are being sent to it. */
struct UpstreamRecord
{
    UpstreamEntry entry;
    /** May get no new work; never reset for the same incarnation of the upstream. */
    bool isLeaving = false;
    /** When its entry was found missing after a store outage; reset when it is listed again. */
    std::optional<Millis> lapsedAt;
    /** Another upstream responded at its address; set until the store lists a new entry. */
    bool isMisplaced = false;

    /** Returns the hash of its id; cached, since choices of upstreams need it thousands of times.
     */
    std::uint64_t idHash() const
    {
        if (idHash_ == 0)
            idHash_ = StableHash().add(entry.id).value();
        return idHash_;
    }

    /** Returns its incarnation; cached, as idHash() is. */
    UpstreamIncarnation incarnation() const
    {
        if (!incarnation_)
            incarnation_ = entry.incarnation();
        return *incarnation_;
    }

private:
    mutable std::uint64_t idHash_ = 0;
    mutable std::optional<UpstreamIncarnation> incarnation_;
};

using UpstreamPointer = std::shared_ptr<UpstreamRecord>;

/**
    The upstreams of all services, as the platform's store lists them.

    A leaving upstream gets no new work from the moment at which that is known, from its entry or
    its own responses, even if a later, stale read shows the same incarnation as ready. An upstream
   whose entry expired during a store outage is kept as a last resort for a short time: live
   upstreams renew their entries shortly after the store is reachable again, and dropping all of
   them at once would leave a healthy fleet unused.
*/
class UpstreamDirectory
{
public:
    /**
        Time after the recovery of the store within which a missing entry may be renewed; entries
        found missing in that time are kept until its end. The platform states about two seconds.
    */
    static constexpr Millis lapseGrace = Millis(2000);

    /** Replaces all entries by a complete list. */
    void replaceAll(const std::vector<UpstreamEntry> &entries, Millis now);
    /** Adds or updates one entry. */
    void update(const UpstreamEntry &entry, Millis now);
    /** Removes an entry; shortly after a store outage it is kept as lapsed. */
    void remove(const std::string &id, Millis now);
    /**
        The incarnation leaves, whether it is listed yet or not. Returns its record if it is listed,
        and null otherwise.
    */
    UpstreamPointer markLeaving(UpstreamIncarnation incarnation, Millis now);
    /** Call when the store responds again after it was unreachable. */
    void storeReturned(Millis now) { storeReturnedAt_ = now; }
    /** Drops lapsed entries after the grace period. */
    void expire(Millis now);

    /**
        Returns the upstreams of a service that may get new work. Lapsed ones are included only if
        no others are left.
    */
    const std::vector<UpstreamPointer> &usable(const std::string &service) const;
    /** Returns the upstream with this id, or null. */
    UpstreamPointer find(const std::string &id) const;
    /** Call when another upstream responded at this one's address. */
    void markMisplaced(const std::string &id);

    /** The software versions of all listed upstreams, leaving ones included. */
    const VersionCensus &versions() const { return versions_; }
    /**
        No upstream of any other version has served until now, as the whole system starts anew;
        believed if the first list comes by then.
    */
    void setNoVersionsBefore(Millis until) { versions_.setNothingBefore(until); }
    /** Sets for how long a version counts after its last upstream was removed. */
    void setVersionRetention(Millis retention) { versions_.setRetention(retention); }

    bool isEmpty() const { return records_.empty(); }
    std::size_t size() const { return records_.size(); }
    const std::unordered_map<std::string, UpstreamPointer> &all() const { return records_; }

private:
    bool isWithinGrace(Millis now) const;
    void markLapsed(const std::string &id, Millis now);
    void erase(const std::string &id, Millis now);
    /** Forgets leaving incarnations that have not been listed for long. */
    void expireLeaving(Millis now);
    void rebuild() const;

    std::unordered_map<std::string, UpstreamPointer> records_;
    /** By service; rebuilt on the first use after a change. */
    mutable std::unordered_map<std::string, std::vector<UpstreamPointer>> usable_;
    mutable bool isStale_ = false;
    /** Incarnations known to be leaving, and when; overrides stale reads that show them as ready.
     */
    std::unordered_map<UpstreamIncarnation, Millis> leavingIncarnations_;
    Millis storeReturnedAt_ = Millis(-1000000);
    VersionCensus versions_;
};

} // namespace cuminrail
