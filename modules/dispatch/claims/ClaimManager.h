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

/** What happens to a call with an Idempotency-Key. */
enum class ClaimDecision : std::uint8_t {
    /** The call is claimed: send it once, then report the result with ClaimManager::finish(). */
    Run,
    /** It ran before: return the stored response. */
    Replay,
    /** It ran before, but its response was too large to be stored. */
    RanUnstored,
    /** Another run of the same call is in progress, as far as known. */
    InProgress,
    /** An earlier run ended with an unknown outcome. */
    MayHaveRun,
    /** The key was used for another request. */
    KeyReused,
    /** The store did not answer, or not in time. The call was not sent. */
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

/** A call that must run at most once. */
struct ClaimRequest
{
    CustomerId customer;
    /** Lower-case hexadecimal SHA-256 of the Idempotency-Key. */
    std::string keySha256;
    /** Lower-case hexadecimal SHA-256 of method, path and body. */
    std::string requestSha256;
    /** The time at which the decision is Unavailable at the latest. */
    Millis deadline = Millis::never();
};

/** The decision; the response is set for Replay only. */
struct ClaimResult
{
    ClaimDecision decision = ClaimDecision::Unavailable;
    /** Identifies the claim for finish(); set for Run only. */
    std::string token;
    StoredResponse response;
    Reason lastReason;
};

/** The outcome of a claimed run. */
struct ClaimOutcome
{
    Verdict verdict = Verdict::MayHaveRun;
    /** Stored when the verdict is Ran. */
    StoredResponse response;
};

/**
    Lets a non-repeatable call run at most once, however often and at whichever instance it is
    repeated.

    A call is claimed by creating an object in the platform's store before it is sent. Two instances
    cannot both create it, so only one sends the call. The outcome is written to the claim
    afterwards; the caller does not wait for that. While the store is down, new calls are refused as
    not run, and outcomes are queued and written when it is available again.

    Not thread-safe. tick() supplies the time.

    @see ClaimRecord
*/
class ClaimManager
{
public:
    using Completion = std::function<void(const ClaimResult &)>;

    /**
        Returns whether an incarnation of an instance is known to have ended; false when that is not
        known.
    */
    using IncarnationEndedHook = std::function<bool(const InstanceId &, Incarnation)>;

    struct Config
    {
        InstanceId instance;
        Incarnation incarnation = 0;
        /** A claim of another instance counts as abandoned after this time without a change. */
        Millis abandonTimeout = Millis::minutes(2);
        /** Interval between attempts to write an outcome. */
        Millis writeRetryInterval = Millis(500);
        /**
            Maximum number of unwritten outcomes with bodies; beyond it the bodies of responses are
            dropped.
        */
        std::size_t maxPendingBodies = 1000;
    };

    ClaimManager(Config config, ObjectStore store, RandomHook random, EventSink events,
                 IncarnationEndedHook hasEnded);
    ~ClaimManager();
    ClaimManager(const ClaimManager &) = delete;
    ClaimManager &operator=(const ClaimManager &) = delete;

    /**
        Decides whether the call may run. The completion is called once, on the thread that runs
        this object.
    */
    void begin(const ClaimRequest &request, Completion completion);

    /**
        Records the outcome of a claimed run. Call it exactly once for each decision Run.

        @param token from the ClaimResult
    */
    void finish(const std::string &token, const ClaimOutcome &outcome);

    /** Completes overdue claims and retries pending writes. Call about every 50 ms. */
    void tick(Millis now);

    /** Returns the number of outcomes that are not in the store yet. */
    std::size_t pendingWrites() const { return pendingOutcomes_.size(); }

    /** Returns the number of calls that wait for a decision. */
    std::size_t waitingDecisions() const { return waitingAttempts_.size(); }

private:
    struct ClaimAttempt;
    struct OutcomeWrite;
    struct Observation
    {
        ObjectVersion version = 0;
        Millis firstSeen{0};
    };

    void writeClaim(const std::shared_ptr<ClaimAttempt> &attempt, ObjectVersion expected);
    void onClaimWritten(const std::shared_ptr<ClaimAttempt> &attempt, const StoreReply &reply);
    void readClaim(const std::shared_ptr<ClaimAttempt> &attempt);
    void onClaimRead(const std::shared_ptr<ClaimAttempt> &attempt, const StoreReply &reply);
    void evaluateExisting(const std::shared_ptr<ClaimAttempt> &attempt, const ClaimRecord &record,
                          ObjectVersion version);
    ClaimDecision evaluateClaimed(const std::string &path, const ClaimRecord &record,
                                  ObjectVersion version);
    void complete(const std::shared_ptr<ClaimAttempt> &attempt, const ClaimResult &result);
    bool isWaiting(const ClaimAttempt &attempt) const;
    void settleAsNotRun(const std::shared_ptr<ClaimAttempt> &attempt);
    void scheduleRetry(const std::shared_ptr<ClaimAttempt> &attempt);
    void writeOutcome(const std::shared_ptr<OutcomeWrite> &outcomeWrite);
    void onOutcomeRead(const std::shared_ptr<OutcomeWrite> &outcomeWrite, const StoreReply &reply);
    ClaimRecord recordOf(const ClaimAttempt &attempt) const;
    std::string newToken();

    const Config config_;
    const ObjectStore store_;
    const RandomHook random_;
    const EventSink events_;
    const IncarnationEndedHook hasEnded_;
    Millis now_{0};
    std::map<std::string, std::shared_ptr<ClaimAttempt>> waitingAttempts_;
    std::map<std::string, std::shared_ptr<ClaimAttempt>> running_;
    std::map<std::string, std::shared_ptr<OutcomeWrite>> pendingOutcomes_;
    std::map<std::string, Observation> observations_;
    /**
        Completions of store calls may run after this object is destroyed; they check this flag
        first.
    */
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cuminrail
