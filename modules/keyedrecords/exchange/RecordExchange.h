#pragma once

#include "core/names/NameTable.h"
#include "core/time/Clock.h"
#include "keepers/ranking/OwnerRanking.h"
#include "keyedrecords/messages/RecordMessages.h"
#include "keyedrecords/table/RecordTable.h"
#include "ports/peers/PeerTransport.h"

#include <deque>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

namespace cuminrail {

/** How the look-up of a record ended. */
enum class RecordLookUp : std::uint8_t {
    Found,
    /** Instances replied, and none keeps a record of the key. */
    Missing,
    /** Records with different values were written. */
    Ambiguous,
    /** No instance replied. */
    Unreachable,
};

inline constexpr NameTable<RecordLookUp, 4> recordLookUpNames{{{
    {RecordLookUp::Found, "found"},
    {RecordLookUp::Missing, "missing"},
    {RecordLookUp::Ambiguous, "ambiguous"},
    {RecordLookUp::Unreachable, "unreachable"},
}}};

struct RecordOutcome
{
    RecordLookUp result = RecordLookUp::Unreachable;
    RecordValue value = 0;
    /** Other instances' statements about the scope, if the record was not found. */
    std::vector<std::uint64_t> statements;
};

/** Counters since the start. */
struct RecordStats
{
    /** Records that were sent to other instances, and of these those kept by as many as wanted. */
    std::uint64_t published = 0;
    std::uint64_t kept = 0;
    std::uint64_t lookUps = 0;
    std::uint64_t found = 0;
    std::uint64_t missing = 0;
    std::uint64_t unreachable = 0;
};

/**
    One instance's part in keeping records that must outlive the instance that wrote them.

    Expected load: thousands of records a second over hundreds of instances, each record looked up
    once or never, mostly seconds after its writer was killed; whole failure domains lost at once;
    instances that restart one after the other while records are looked up.

    A record is sent to the first owners of its key, spread over failure domains and never this
    instance itself. Deliveries to one owner wait for the receipt of the one before, so that they
    are batched under load. Without a receipt in time, the next owner in the ranking gets the
    record. A look-up asks the first owners at once, then the next ones.

    Not thread-safe: used from one thread. No call blocks.
*/
class RecordExchange
{
public:
    /** Instances besides the writer to which a record is sent. */
    static constexpr std::size_t defaultCopies = 3;
    /** Receipts after which a record counts as kept, if there are as many other instances. */
    static constexpr std::size_t wantedReceipts = 2;
    static constexpr Millis replyTimeout = Millis(40);
    /** A record that is not kept by then is reported as such. */
    static constexpr Millis publishTimeout = Millis(120);
    /** Groups of owners that a look-up asks, one after the other. */
    static constexpr int maxRounds = 2;

    using Kept = std::function<void(bool isKept)>;
    using Completion = std::function<void(const RecordOutcome &outcome)>;

    RecordExchange(PeerTransport transport, Clock clock, std::size_t copies = defaultCopies);
    RecordExchange(const RecordExchange &) = delete;
    RecordExchange &operator=(const RecordExchange &) = delete;

    /** Returns this instance's statement about a scope; 0 for none. Optional. */
    std::function<std::uint64_t(std::uint64_t scope)> statementAbout;

    /** All instances, this one first, each other one with the address on which it accepts links. */
    void setPeers(std::vector<OwnerCandidate> peers);
    bool hasPeers() const { return arePeersKnown_; }
    /** How long a record is kept after it was written. */
    void setLifetime(Millis lifetime) { lifetime_ = lifetime; }
    Millis lifetime() const { return lifetime_; }

    /** Keeps a record here only, until publishUnsent(). */
    void remember(RecordKey key, RecordValue value);
    /** Sends a record to its owners. The hook is called once, possibly before this returns. */
    void publish(RecordKey key, RecordValue value, Kept done);
    /** Sends all records that were written and not sent. */
    void publishUnsent();
    /** Sends all records to other owners; for a planned stop. */
    void handOver();
    /** Returns a record that is known here; nothing if there is none or it is ambiguous. */
    std::optional<RecordValue> find(RecordKey key) const;
    /** Looks a record up. The completion is called once, possibly before this returns. */
    void lookUp(RecordKey key, std::uint64_t scope, Completion done);

    /** Handles a frame from another instance. Returns false if it is not a record message. */
    bool handleFrame(const PeerAddress &from, const std::string &frame);
    /** Performs due work; to be called every few milliseconds. */
    void tick();
    /** Drops pending work without calling its hooks; for the end of the process. */
    void dropPending();
    /** Returns true while records are on their way to their owners. */
    bool isSending() const { return !publications_.empty(); }

    const RecordStats &stats() const { return stats_; }
    const RecordTable &table() const { return table_; }

private:
    /** A record that is being sent to its owners. */
    struct Publication
    {
        RecordKey key = 0;
        RecordValue value = 0;
        Millis writtenAt;
        std::vector<PeerAddress> tried;
        std::size_t receipts = 0;
        std::size_t wanted = 0;
        Kept done;
        Millis deadline;
    };
    /** Records for one owner; those in flight are in one delivery. */
    struct Outbox
    {
        std::deque<std::uint64_t> waiting;
        std::vector<std::uint64_t> inFlight;
        std::uint64_t number = 0;
        Millis sentAt;
    };
    struct Query
    {
        RecordKey key = 0;
        std::uint64_t scope = 0;
        Completion done;
        std::vector<PeerAddress> owners;
        std::size_t asked = 0;
        /** The owners of the current round that have not replied. */
        std::vector<PeerAddress> awaited;
        int rounds = 0;
        Millis deadline;
        bool hasReply = false;
        bool isAmbiguous = false;
        std::vector<std::uint64_t> statements;
    };

    void handle(const PeerAddress &from, const RecordDelivery &delivery);
    void handle(const PeerAddress &from, const RecordReceipt &receipt);
    void handle(const PeerAddress &from, const RecordQuery &query);
    void handle(const PeerAddress &from, const RecordReply &reply);
    RecordTable::Record recordOf(RecordValue value, Millis age, bool isUnsent) const;
    /** Returns the owners of a key in the order in which they are asked, without this instance. */
    std::vector<PeerAddress> otherOwners(RecordKey key, std::size_t count) const;
    void startPublication(RecordKey key, RecordValue value, Millis writtenAt, Millis timeout,
                          Kept done);
    /** Gives a publication to the next owner that was not tried. Returns false if none is left. */
    bool sendToNext(std::uint64_t publication);
    void flush(const PeerAddress &owner);
    void endPublication(std::uint64_t number, bool isKept);
    /** Asks the next owners, or ends the query. */
    void askNext(std::uint64_t number);
    void endQuery(std::uint64_t number, RecordLookUp result, RecordValue value);
    void expirePublications(Millis now);
    void send(const PeerAddress &to, const RecordMessage &message);

    PeerTransport transport_;
    Clock clock_;
    std::size_t copies_;
    Millis lifetime_ = Millis::seconds(20);
    OwnerRanking owners_;
    bool arePeersKnown_ = false;
    RecordTable table_;
    std::map<std::uint64_t, Publication> publications_;
    std::unordered_map<PeerAddress, Outbox> outboxes_;
    std::map<std::uint64_t, Query> queries_;
    std::uint64_t nextNumber_;
    RecordStats stats_;
};

} // namespace cuminrail
