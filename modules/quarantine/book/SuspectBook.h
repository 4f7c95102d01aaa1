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

/** Under which upstreams' ends a request ran. */
struct Suspicion
{
    RequestFingerprint fingerprint;
    /** Each once, SuspectBook::mostEnds at most. */
    std::vector<UpstreamLife> ended;
    /** How much longer it is kept. */
    Millis remaining;
};

/** How far the suspicion against a request goes. */
enum class SuspicionLevel : std::uint8_t {
    None,
    /** One upstream ended under it, as under all that ran there. */
    Noted,
    /** Two did: it is not repeated by the system, but still run when a caller asks. */
    Suspected,
    /** Three did: it is not run. */
    Quarantined,
};

inline constexpr NameTable<SuspicionLevel, 4> suspicionLevelNames{{{
    {SuspicionLevel::None, "none"},
    {SuspicionLevel::Noted, "noted"},
    {SuspicionLevel::Suspected, "suspected"},
    {SuspicionLevel::Quarantined, "quarantined"},
}}};

/**
    What one instance knows of requests under which upstreams ended.

    A request that ran to its end anywhere within the last minute is not suspected: upstreams that
    fail by themselves take many such requests with them. Bounded; the oldest entries go first.
*/
class SuspicionTable
{
public:
    static constexpr std::size_t suspectedThreshold = 2;
    static constexpr std::size_t quarantinedThreshold = 3;
    /** Ends remembered of one request; more say nothing new. */
    static constexpr std::size_t maxEnded = quarantinedThreshold;
    /** A request that is still fatal afterwards costs one upstream a day. */
    static constexpr Millis retention = Millis::seconds(24 * 60 * 60);
    static constexpr Millis completionRetention = Millis::seconds(60);
    static constexpr std::size_t maxNoted = 4096;
    static constexpr std::size_t maxSuspects = 1024;
    static constexpr std::size_t maxCompleted = 4096;

    /** Adds what is told of a request. Returns true if its level rose to Suspected or beyond. */
    bool add(const Suspicion &suspicion, Millis now);
    /** The request ran to its end. Returns true if it was suspected and no longer is. */
    bool recordCompletion(const RequestFingerprint &fingerprint, Millis now);
    bool hasCompletedRecently(const RequestFingerprint &fingerprint, Millis now) const;

    SuspicionLevel level(const RequestFingerprint &fingerprint, Millis now) const;
    std::optional<Suspicion> find(const RequestFingerprint &fingerprint, Millis now) const;
    /** Returns whether any request is suspected; else nothing needs to be looked up. */
    bool hasSuspects() const { return !suspects_.entries.empty(); }
    std::size_t raisedCount() const { return suspects_.entries.size(); }
    /** Returns the next few that are suspected or quarantined, all of them in turn. */
    std::vector<Suspicion> nextSuspects(std::size_t maxCount, Millis now);
    /** Drops what is over, and returns those that were quarantined. */
    std::vector<RequestFingerprint> expire(Millis now);

private:
    struct Entry
    {
        std::vector<UpstreamLife> ended;
        Millis expiresAt;
    };
    /** Entries with the order in which they came. */
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
