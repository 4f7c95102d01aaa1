#pragma once

#include "quarantine/table/AnsweredContents.h"
#include "quarantine/table/Suspicion.h"

#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/**
    One instance's table of contents under which upstreams ended.

    An ending counts until a request with the content gets a complete response that began after it:
    what ends upstreams never gets one, and what merely ran beside it does. The table is bounded;
    the oldest entries are evicted first.
*/
class SuspicionTable
{
public:
    static constexpr std::size_t suspectedThreshold = 2;
    /** Endings stored for one content. */
    static constexpr std::size_t maxEndings = 8;
    static constexpr Millis retention = Millis::seconds(24 * 60 * 60);
    static constexpr std::size_t maxNoted = 2048;
    static constexpr std::size_t maxSuspects = 512;
    /** Endings that do not count, remembered in case other instances still report them. */
    static constexpr std::size_t maxVoided = 1024;
    /** Endings closer together may have one cause, such as the loss of a failure domain. */
    static constexpr Millis simultaneousSpan = Millis(150);

    /**
        Merges a suspicion. Returns true if that told something new of a content under which two
        upstreams or more ended.
    */
    bool add(const Suspicion &suspicion, Millis now);
    /**
        Records a complete response that began at this time. Returns the upstreams whose endings
        count no more.
    */
    std::vector<UpstreamIncarnation> recordAnswer(const ContentFingerprint &content, Millis beganAt,
                                                  Millis now);
    /** Endings of these upstreams count no more for a content; returns true if any did. */
    bool voidEndings(const ContentFingerprint &content,
                     const std::vector<UpstreamIncarnation> &upstreams);
    /** Returns the upstreams in a suspicion whose endings do not count, as known here. */
    std::vector<UpstreamIncarnation> voidedIn(const Suspicion &suspicion, Millis now) const;
    /** Endings of these upstreams have another cause than the contents that are not listed. */
    void explain(const std::vector<ContentFingerprint> &cause,
                 const std::vector<UpstreamIncarnation> &upstreams);

    /** Returns None, Noted or Suspected. */
    SuspicionLevel level(const ContentFingerprint &content, Millis now) const;
    /** Returns the number of endings that count. */
    std::size_t endingCount(const ContentFingerprint &content, Millis now) const;
    /**
        Whether requests with the content wait for a trial.

        @param threshold  endings from which on a content is held that was not answered recently
    */
    bool isHeld(const ContentFingerprint &content, std::size_t threshold, Millis now) const;
    std::optional<Suspicion> find(const ContentFingerprint &content, Millis now) const;
    bool wasAnswered(const ContentFingerprint &content, Millis now) const
    {
        return answered_.lastBeganAt(content, now).has_value();
    }
    /** Returns whether an upstream that a suspicion does not list ended at an age in a range. */
    bool hasOtherEnding(const Suspicion &suspicion, Millis minAge, Millis maxAge, Millis now) const;
    /** Returns the most endings of a part that is none of these contents. */
    std::size_t mostEndings(const std::vector<ContentFingerprint> &without) const;

    /** Returns whether any content is suspected; if none is, callers can skip the lookup. */
    bool hasSuspects() const { return !suspects_.entries.empty(); }
    bool isEmpty() const { return suspects_.entries.empty() && noted_.entries.empty(); }
    std::size_t suspectCount() const { return suspects_.entries.size(); }
    /** Returns all contents under which upstreams ended. */
    std::vector<ContentFingerprint> contents() const;
    /** Returns the next suspects, in round-robin order over calls. */
    std::vector<Suspicion> nextSuspects(std::size_t maxCount, Millis now);
    /** Removes expired entries. */
    void expire(Millis now);

private:
    struct Ending
    {
        UpstreamIncarnation upstream = 0;
        Millis at;
        bool isTrial = false;
    };
    struct Entry
    {
        std::vector<Ending> endings;
        bool wasAnswered = false;
        Millis expiresAt;
    };
    /** Entries and the order in which they were inserted. */
    struct BoundedEntries
    {
        std::unordered_map<ContentFingerprint, Entry> entries;
        std::deque<ContentFingerprint> order;

        void put(const ContentFingerprint &content, Entry entry, std::size_t maxEntries);
        std::optional<Entry> extract(const ContentFingerprint &content);
    };
    using Voided = std::pair<ContentFingerprint, UpstreamIncarnation>;

    const Entry *entry(const ContentFingerprint &content, Millis now) const;
    bool isVoided(const ContentFingerprint &content, const Ending &ending, Millis now) const;
    /** Merges endings; returns true if any was new. */
    bool merge(const Suspicion &suspicion, Entry &entry, Millis now) const;
    void put(const ContentFingerprint &content, Entry entry);
    void rememberVoided(const ContentFingerprint &content, UpstreamIncarnation upstream);
    /** Removes endings for which a predicate holds; returns their upstreams. */
    template<typename Predicate>
    std::vector<UpstreamIncarnation> removeEndings(const ContentFingerprint &content,
                                                   Predicate isRemoved);

    BoundedEntries noted_;
    BoundedEntries suspects_;
    AnsweredContents answered_;
    std::set<Voided> voided_;
    std::deque<Voided> voidedOrder_;
};

} // namespace cuminrail
