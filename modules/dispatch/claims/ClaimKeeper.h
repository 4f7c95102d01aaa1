#pragma once

#include "core/events/Event.h"
#include "core/ids/Ids.h"
#include "core/random/Random.h"
#include "core/time/Millis.h"
#include "core/verdict/Verdict.h"
#include "dispatch/claims/ClaimRecord.h"
#include "ports/store/ObjectStore.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cuminrail {

/** What a caller's call with an Idempotency-Key may do now. */
enum class ClaimDecision : std::uint8_t {
    /** The call is claimed: send it once, then tell ClaimKeeper::finish() how it ended. */
    Run,
    /** It ran before: give the stored answer. */
    Replay,
    /** It ran before, but its answer was too large to be stored. */
    RanUnstored,
    /** Another run of the same call goes on, as far as anyone knows. */
    InProgress,
    /** An earlier run ended in the dark. */
    MayHaveRun,
    /** The key was used for another request. */
    KeyReused,
    /** The store could not be asked, or not in time. Not sent. */
    Unavailable,
};

inline constexpr NameTable<ClaimDecision, 7> claimDecisionNames{{{
    {ClaimDecision::Run, "run"},
    {ClaimDecision::Replay, "replay"},
    {ClaimDecision::RanUnstored, "ran-unstored"},
    {ClaimDecision::InProgress, "in-progress"},
    {ClaimDecision::MayHaveRun, "may-have-run"},
    {ClaimDecision::KeyReused, "key-reused"},
    {ClaimDecision::Unavailable, "unavailable"},
}}};

/** A call that wants to run at most once. */
struct ClaimRequest
{
    CustomerId customer;
    /** Lower-case hexadecimal SHA-256 of the Idempotency-Key. */
    std::string keySha256;
    /** Lower-case hexadecimal SHA-256 of method, path and body. */
    std::string requestSha256;
    /** When the caller is told Unavailable at the latest. */
    Millis deadline = Millis::never();
};

/** The decision; the answer is set for Replay alone. */
struct ClaimResult
{
    ClaimDecision decision = ClaimDecision::Unavailable;
    /** Names the claim for finish(); set for Run alone. */
    std::string token;
    StoredAnswer answer;
    Reason lastReason;
};

/** How a claimed run ended. */
struct ClaimOutcome
{
    Verdict verdict = Verdict::MayHaveRun;
    /** Kept when the verdict is Ran. */
    StoredAnswer answer;
};

/**
    Lets a non-repeatable call run at most once, wherever and however often it is repeated.

    A call is claimed in the platform's store, by creating an object, before it is sent. Two
    instances cannot both create it, so only one sends. The claim's end is written afterwards; the
    caller does not wait for that. While the store is out, new claims are refused as not run, and
    ends of runs are kept and written when it is back.

    Runs on one thread. Time comes in by tick().

    @see ClaimRecord
*/
class ClaimKeeper
{
public:
    using Completion = std::function<void(const ClaimResult &)>;

    /** Says whether an instance's life is known to be over; false when it is not known. */
    using GoneHook = std::function<bool(const InstanceId &, Incarnation)>;

    struct Config
    {
        InstanceId instance;
        Incarnation incarnation = 0;
        /** After this long in the same state a foreign claim counts as abandoned. */
        Millis abandonedAfter = Millis::minutes(2);
        /** Pause between tries to write the end of a run. */
        Millis writeRetry = Millis(500);
        /** Ends of runs that wait to be written; beyond it answers' bodies are dropped. */
        std::size_t maxPendingBodies = 1000;
    };

    ClaimKeeper(Config config, ObjectStore store, RandomHook random, EventSink events,
                GoneHook isGone);
    ~ClaimKeeper();
    ClaimKeeper(const ClaimKeeper &) = delete;
    ClaimKeeper &operator=(const ClaimKeeper &) = delete;

    /** Decides whether the call may run. The completion is called once, on this thread. */
    void begin(const ClaimRequest &request, Completion completion);

    /**
        Records how the run of a claim ended. Call it exactly once for each decision Run.

        @param token from the ClaimResult.
    */
    void finish(const std::string &token, const ClaimOutcome &outcome);

    /** Answers overdue claims and writes pending ends again. Call every 50 ms or so. */
    void tick(Millis now);

    /** Returns the number of ends of runs that are not in the store yet. */
    std::size_t pendingWrites() const { return ends_.size(); }

    /** Returns the number of calls that wait for a decision. */
    std::size_t waitingDecisions() const { return begins_.size(); }

private:
    struct Begin;
    struct End;
    struct Sighting
    {
        ObjectVersion version = 0;
        Millis firstSeen{0};
    };

    void writeClaim(const std::shared_ptr<Begin> &begin, ObjectVersion expected);
    void onClaimWritten(const std::shared_ptr<Begin> &begin, const StoreReply &reply);
    void readClaim(const std::shared_ptr<Begin> &begin);
    void onClaimRead(const std::shared_ptr<Begin> &begin, const StoreReply &reply);
    void judgeExisting(const std::shared_ptr<Begin> &begin, const ClaimRecord &record,
                       ObjectVersion version);
    ClaimDecision judgeClaimed(const std::string &path, const ClaimRecord &record,
                               ObjectVersion version);
    void answer(const std::shared_ptr<Begin> &begin, const ClaimResult &result);
    bool isWaiting(const Begin &begin) const;
    void settleLate(const std::shared_ptr<Begin> &begin);
    void retryLater(const std::shared_ptr<Begin> &begin);
    void writeEnd(const std::shared_ptr<End> &end);
    void onEndRead(const std::shared_ptr<End> &end, const StoreReply &reply);
    ClaimRecord recordOf(const Begin &begin) const;
    std::string newToken();

    const Config config_;
    const ObjectStore store_;
    const RandomHook random_;
    const EventSink events_;
    const GoneHook isGone_;
    Millis now_{0};
    std::map<std::string, std::shared_ptr<Begin>> begins_;
    std::map<std::string, std::shared_ptr<Begin>> running_;
    std::map<std::string, std::shared_ptr<End>> ends_;
    std::map<std::string, Sighting> sightings_;
    /** Completions of store calls outlive this object; they look here before they touch it. */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cuminrail
