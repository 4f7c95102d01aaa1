#pragma once

#include "core/ids/Ids.h"
#include "core/time/Millis.h"
#include "quarantine/fingerprint/RequestContents.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** Requests that have all of these contents are refused. */
struct Quarantine
{
    static constexpr std::size_t maxContents = 4;

    /** Sorted, without duplicates. */
    std::vector<ContentFingerprint> contents;
    /** The upstreams that ended under these contents. */
    std::vector<UpstreamIncarnation> ended;
    /** Time since the quarantine. */
    Millis age;
    /** Time until it expires. */
    Millis remaining;

    /** Identifies the contents: the text of the only one, or a hash of them all. */
    std::string id() const;
};

/** The quarantines that are in force, and those that were lifted. Bounded. */
class QuarantineTable
{
public:
    static constexpr Millis retention = Millis::seconds(24 * 60 * 60);
    static constexpr std::size_t maxQuarantines = 256;
    static constexpr std::size_t maxEnded = 256;

    /** A quarantine that no longer names a content. */
    struct Change
    {
        std::string oldId;
        /** The quarantine on the other contents; empty if there are none. */
        std::string newId;
    };

    /** Returns false if it is known, superseded, lifted since, or the table is full. */
    bool add(const Quarantine &quarantine, Millis now);
    /** Returns whether an operator lifted a quarantine on these contents after this one was
     * reached.
     */
    bool wasLiftedSince(const Quarantine &quarantine, Millis now) const;
    /** Ends a quarantine, and all that were reached before now on the same contents. */
    bool lift(const std::string &id, Millis now) { return end(id, {now, true}); }
    /** The same for a quarantine that another one contradicts. */
    bool drop(const std::string &id, Millis now) { return end(id, {now, false}); }
    /**
        A content is cleared of the endings of some upstreams. Removes it from the quarantines that
        rest on them, and returns what became of these.
    */
    std::vector<Change> clear(const ContentFingerprint &content,
                              const std::vector<UpstreamIncarnation> &upstreams, Millis now);

    /** Returns the upstreams on which quarantines rest that name a content and are older than this.
     */
    std::vector<UpstreamIncarnation> endedBefore(const ContentFingerprint &content,
                                                 Millis time) const;

    /** Returns the quarantine that a request is refused by. */
    std::optional<Quarantine> matching(const RequestContents &contents, Millis now) const;
    /** Returns whether a quarantine in force names a content, alone or with others. */
    bool names(const ContentFingerprint &content) const { return byContent_.count(content) > 0; }
    std::optional<Quarantine> find(const std::string &id, Millis now) const;
    std::vector<Quarantine> all(Millis now) const;
    std::size_t size() const { return quarantines_.size(); }
    bool isEmpty() const { return quarantines_.empty(); }
    /** Removes expired quarantines and returns their ids. */
    std::vector<std::string> expire(Millis now);

private:
    struct Entry
    {
        std::vector<ContentFingerprint> contents;
        std::vector<UpstreamIncarnation> ended;
        Millis since;
        Millis expiresAt;
    };

    struct Ended
    {
        Millis at;
        bool isByOperator = false;
    };

    bool end(const std::string &id, const Ended &ended);
    const Ended *endedSince(const Quarantine &quarantine, Millis now) const;
    static Quarantine quarantineOf(const Entry &entry, Millis now);
    bool isSuperseded(const std::vector<ContentFingerprint> &contents) const;
    void insert(const std::string &id, Entry entry);
    std::optional<Entry> extract(const std::string &id);

    std::map<std::string, Entry> quarantines_;
    std::unordered_multimap<ContentFingerprint, std::string> byContent_;
    std::map<std::string, Ended> ended_;
    std::deque<std::string> endedOrder_;
};

} // namespace cuminrail
