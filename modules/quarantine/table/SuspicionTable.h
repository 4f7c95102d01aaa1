#pragma once

#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"
#include "quarantine/fingerprint/RequestFingerprint.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** The upstreams that ended while they ran a request. */
struct Suspicion
{
    RequestFingerprint fingerprint;
    /** No duplicates, SuspicionTable::maxEnded entries at most. */
    std::vector<UpstreamIncarnation> ended;
    /** Time until the entry expires. */
    Millis remaining;
};

/** How strongly a request is suspected of ending upstreams. */
enum class SuspicionLevel : std::uint8_t {
    None,
    /** One upstream ended under it, as under every request that ran there. */
    Noted,
    /** Two upstreams ended: the system does not retry it, but runs it when a caller sends it. */
    Suspected,
    /** Three upstreams ended: it is not run. */
    Quarantined,
};

inline constexpr NameTable<SuspicionLevel, 4> suspicionLevelNames{{{
    {SuspicionLevel::None, "none"},
    {SuspicionLevel::Noted, "noted"},
    {SuspicionLevel::Suspected, "suspected"},
    {SuspicionLevel::Quarantined, "quarantined"},
}}};

/**
    One instance's table of requests under which upstreams ended.

    A request that completed anywhere within the last minute is not suspected: an upstream that
    fails for another reason interrupts many such requests. The table is bounded; the oldest entries
    are evicted first.
*/
class SuspicionTable
{
public:
    static constexpr std::size_t suspectedThreshold = 2;
    static constexpr std::size_t quarantinedThreshold = 3;
    /** Ended upstreams stored for one request; more would not change its level. */
    static constexpr std::size_t maxEnded = quarantinedThreshold;
    /** A request that stays fatal costs one upstream a day after this has expired. */
    static constexpr Millis retention = Millis::seconds(24 * 60 * 60);
    static constexpr Millis completionRetention = Millis::seconds(60);
    static constexpr std::size_t maxNoted = 4096;
    static constexpr std::size_t maxSuspects = 1024;
    static constexpr std::size_t maxCompleted = 4096;

    /** Merges a suspicion. Returns true if the level of its request rose to Suspected or above. */
    bool add(const Suspicion &suspicion, Millis now);
    /** Records that a request completed. Returns true if that cleared a suspicion. */
    bool recordCompletion(const RequestFingerprint &fingerprint, Millis now);
    bool hasCompletedRecently(const RequestFingerprint &fingerprint, Millis now) const;

    SuspicionLevel level(const RequestFingerprint &fingerprint, Millis now) const;
    std::optional<Suspicion> find(const RequestFingerprint &fingerprint, Millis now) const;
    /** Returns whether any request is suspected; if none is, callers can skip the lookup. */
    bool hasSuspects() const { return !suspects_.entries.empty(); }
    std::size_t suspectCount() const { return suspects_.entries.size(); }
    /** Returns the next suspected or quarantined requests, in round-robin order over calls. */
    std::vector<Suspicion> nextSuspects(std::size_t maxCount, Millis now);
    /** Returns all requests that are quarantined. */
    std::vector<RequestFingerprint> quarantined(Millis now) const;
    /** Removes expired entries and returns those that were quarantined. */
    std::vector<RequestFingerprint> expire(Millis now);

private:
    struct Entry
    {
        std::vector<UpstreamIncarnation> ended;
        Millis expiresAt;
    };
    /** Entries and the order in which they were inserted. */
    struct BoundedEntries
    {
        std::unordered_map<RequestFingerprint, Entry> entries;
        std::deque<RequestFingerprint> order;

        void put(const RequestFingerprint &fingerprint, Entry entry, std::size_t maxEntries);
        std::optional<Entry> extract(const RequestFingerprint &fingerprint);
    };

    static SuspicionLevel levelOf(const Entry &entry);
    const Entry *entry(const RequestFingerprint &fingerprint, Millis now) const;

    BoundedEntries noted_;
    BoundedEntries suspects_;
    std::unordered_map<RequestFingerprint, Millis> completed_;
    std::deque<RequestFingerprint> completedOrder_;
};

} // namespace cuminrail
