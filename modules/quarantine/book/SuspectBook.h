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
    Millis left;
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
class SuspectBook
{
public:
    static constexpr std::size_t suspectedFrom = 2;
    static constexpr std::size_t quarantinedFrom = 3;
    /** Ends remembered of one request; more say nothing new. */
    static constexpr std::size_t mostEnds = quarantinedFrom;
    /** A request that is still fatal afterwards costs one upstream a day. */
    static constexpr Millis keptFor = Millis::seconds(24 * 60 * 60);
    static constexpr Millis provenFor = Millis::seconds(60);
    static constexpr std::size_t mostNoted = 4096;
    static constexpr std::size_t mostRaised = 1024;
    static constexpr std::size_t mostProven = 4096;

    /** Adds what is told of a request. Returns true if its level rose to Suspected or beyond. */
    bool add(const Suspicion &suspicion, Millis now);
    /** The request ran to its end. Returns true if it was suspected and no longer is. */
    bool prove(const RequestFingerprint &fingerprint, Millis now);
    bool isProven(const RequestFingerprint &fingerprint, Millis now) const;

    SuspicionLevel level(const RequestFingerprint &fingerprint, Millis now) const;
    std::optional<Suspicion> find(const RequestFingerprint &fingerprint, Millis now) const;
    /** Returns whether any request is suspected; else nothing needs to be looked up. */
    bool hasRaised() const { return !raised_.entries.empty(); }
    std::size_t raisedCount() const { return raised_.entries.size(); }
    /** Returns the next few that are suspected or quarantined, all of them in turn. */
    std::vector<Suspicion> nextRaised(std::size_t most, Millis now);
    /** Drops what is over, and returns those that were quarantined. */
    std::vector<RequestFingerprint> expire(Millis now);

private:
    struct Entry
    {
        std::vector<UpstreamLife> ended;
        Millis until;
    };
    /** Entries with the order in which they came. */
    struct Table
    {
        std::unordered_map<RequestFingerprint, Entry> entries;
        std::deque<RequestFingerprint> order;

        void put(const RequestFingerprint &fingerprint, Entry entry, std::size_t most);
        std::optional<Entry> take(const RequestFingerprint &fingerprint);
    };

    static SuspicionLevel levelOf(const Entry &entry);
    const Entry *entry(const RequestFingerprint &fingerprint, Millis now) const;

    Table noted_;
    Table raised_;
    std::unordered_map<RequestFingerprint, Millis> proven_;
    std::deque<RequestFingerprint> provenOrder_;
};

} // namespace cuminrail
