#pragma once

#include "core/names/NameTable.h"
#include "dataplane/fleet/VersionCensus.h"
#include "dataplane/model/Configuration.h"
#include "keyedrecords/keyedrecords.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** What is known of where a stream began. */
enum class OriginStatus : std::uint8_t {
    Known,
    /** Known, but the route no longer leads there or no upstream of that version is listed. */
    Gone,
    Unknown,
    /** No other instance replied; one that is reached may know. */
    Unreachable,
};

inline constexpr NameTable<OriginStatus, 4> originStatusNames{{{
    {OriginStatus::Known, "known"},
    {OriginStatus::Gone, "gone"},
    {OriginStatus::Unknown, "unknown"},
    {OriginStatus::Unreachable, "unreachable"},
}}};

struct StreamOrigin
{
    OriginStatus status = OriginStatus::Unknown;
    /** Set if known. */
    std::string service;
    std::string softwareVersion;
};

/** A stream that is taken up. */
struct StreamQuery
{
    RecordKey key = 0;
    /** Identity of the request that began the stream; empty if the caller does not state it. */
    std::string streamId;
    Route route;
};

/**
    One instance's part in knowing at which software version each resumable stream began.

    Load: releases during which instances are killed, so that a thousand streams a second are taken
    up at instances that did not begin them; and the steady state, in which nothing must be sent.

    While one version alone serves, streams are only remembered. As soon as another one is listed,
    they are told to the owners of their records, and further streams before their first event is
    passed on.

    Not thread-safe: used from one thread. No call blocks.
*/
class StreamOrigins
{
public:
    /**
        A second version becomes known to all instances within this time, and the streams that each
        of them remembers are on their way.
    */
    static constexpr Millis spreadTime = Millis(2000);
    /** Within the spread time, an unknown stream is looked up again for so long. */
    static constexpr Millis repeatPeriod = Millis(500);
    static constexpr Millis repeatInterval = Millis(100);
    /** Interval at which it is looked whether routes are still settled. */
    static constexpr Millis checkInterval = Millis(50);
    /**
        Time for which records outlast the longest stream: a caller comes back late, and the list of
        upstreams here may be some seconds old.
    */
    static constexpr Millis lifetimeReserve = Millis(5000);

    struct Environment
    {
        PeerTransport transport;
        Clock clock;
        /** The software versions of the listed upstreams; must outlive this object. */
        const VersionCensus &versions;
        /** Whether the list of upstreams is current. */
        std::function<bool()> isListFresh;
        std::size_t copies = RecordExchange::defaultCopies;
    };

    using Completion = std::function<void(const StreamOrigin &origin)>;

    explicit StreamOrigins(Environment environment);

    static RecordKey keyOf(const std::string &customer, const std::string &route,
                           const std::string &streamId);
    static RecordValue valueOf(const std::string &service, const std::string &softwareVersion);
    /** Returns how long a stream of this configuration can last, over all requests of its caller.
     */
    static Millis longestStream(const Configuration &configuration);

    /** Sets the routes in force. */
    void setConfiguration(const Configuration &configuration);
    /** All instances, this one first, each other one with the address on which it accepts links. */
    void setPeers(std::vector<OwnerCandidate> peers) { records_.setPeers(std::move(peers)); }

    /**
        The first event of a stream arrived. The hook is called once, possibly before this returns:
        the event may be passed on.
    */
    void began(RecordKey key, const Route &route, RecordValue value, std::function<void()> done);
    /** Finds out where a stream began. The completion is called once, possibly before this returns.
     */
    void resolve(const StreamQuery &query, Completion done);
    /** Whether all services of a route have been served by one version each for long. */
    bool isSettled(const Route &route) const;
    /** Tells all records to other instances; for a planned stop. */
    void handOver() { records_.handOver(); }

    /** Handles a frame from another instance. Returns false if it is not a record message. */
    bool handleFrame(const PeerAddress &from, const std::string &frame)
    {
        return records_.handleFrame(from, frame);
    }
    /** Performs due work; to be called every few milliseconds. */
    void tick();
    /** Drops pending work without calling its hooks; for the end of the process. */
    void dropPending();
    bool isSending() const { return records_.isSending(); }

    const RecordExchange &records() const { return records_; }

private:
    /** A stream that is being looked up. */
    struct Pending
    {
        StreamQuery query;
        Completion done;
        Millis firstAskedAt;
        Millis askAgainAt;
    };
    /** Routes by name, with what they led to until recently. */
    struct KnownRoute
    {
        Route route;
        std::optional<Millis> changedAt;
        bool wasSettled = false;
    };

    static std::uint64_t scopeOf(const std::string &route);
    /** Returns a hash of a route's targets and the one listed version of each; 0 if one has more.
     */
    std::uint64_t settlementOf(const Route &route) const;
    /** Returns the origin of a stream of a route whose services have one version each. */
    StreamOrigin soleOrigin(const StreamQuery &query) const;
    StreamOrigin originOf(const StreamQuery &query, RecordValue value) const;
    /** Whether a version was never listed here that another instance lists already. */
    bool isListBehind(const StreamQuery &query, RecordValue value) const;
    void askLater(Pending pending);
    void lookUp(Pending pending);
    void onOutcome(Pending pending, const RecordOutcome &outcome);
    /** Whether a record may still be on its way to its owners. */
    bool mayAppear(const Pending &pending) const;
    /** Publishes remembered streams once a route is no longer settled. */
    void checkSettled();

    Environment environment_;
    RecordExchange records_;
    std::map<std::string, KnownRoute> routes_;
    std::unordered_map<std::uint64_t, std::string> routesByScope_;
    std::vector<Pending> repeated_;
    Millis startedAt_;
    Millis nextCheckAt_;
};

} // namespace cuminrail
