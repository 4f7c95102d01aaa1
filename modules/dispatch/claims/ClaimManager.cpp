#include "dispatch/claims/ClaimManager.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <utility>
#include <vector>

namespace cuminrail {

namespace {

constexpr Millis storeRetryInterval{100};
constexpr std::size_t maxObservations = 10000;

std::string pathOf(const ClaimRequest &request)
{
    return "claims/" + request.customer.text() + "/" + request.keySha256;
}

} // namespace

/** A call that waits for its decision, or runs under its claim. */
struct ClaimManager::ClaimAttempt
{
    ClaimRequest request;
    std::string path;
    std::string token;
    Completion completion;
    Millis retryAt = Millis::never();
    ObjectVersion expected = 0;
    ObjectVersion version = 0;
    /** A write was sent whose effect is unknown; the store may hold this claim. */
    bool mayBeWritten = false;
};

/** An outcome that is being written to the store. */
struct ClaimManager::OutcomeWrite
{
    std::string path;
    ClaimRecord record;
    ObjectVersion expected = 0;
    Millis retryAt{0};
    bool inFlight = false;
    /**
        The reply to the write of the claim was lost, so the version has to be read before the next
        write.
    */
    bool versionUnknown = false;
};

ClaimManager::ClaimManager(Config config, ObjectStore store, RandomHook random, EventSink events,
                           IncarnationEndedHook hasEnded)
    : config_(std::move(config)), store_(std::move(store)), random_(std::move(random)),
      events_(std::move(events)), hasEnded_(std::move(hasEnded))
{ }

ClaimManager::~ClaimManager()
{
    *alive_ = false;
}

void ClaimManager::begin(const ClaimRequest &request, Completion completion)
{
    auto attempt = std::make_shared<ClaimAttempt>();
    attempt->request = request;
    attempt->path = pathOf(request);
    attempt->token = newToken();
    attempt->completion = std::move(completion);
    waitingAttempts_[attempt->token] = attempt;
    // Without a claim in the store two instances would both send a filing that its caller repeated
    // at the second one after the first did not respond.
    if (!guardEnabled(Guard::ClaimBeforeDispatch)) {
        complete(attempt, {ClaimDecision::Run, attempt->token, {}, {}});
        return;
    }
    writeClaim(attempt, 0);
}

void ClaimManager::writeClaim(const std::shared_ptr<ClaimAttempt> &attempt, ObjectVersion expected)
{
    attempt->expected = expected;
    attempt->retryAt = Millis::never();
    const StorePut put{attempt->path, recordOf(*attempt).toText(), expected};
    store_.put(put, [this, alive = alive_, attempt](const StoreReply &reply) {
        if (*alive)
            onClaimWritten(attempt, reply);
    });
}

void ClaimManager::onClaimWritten(const std::shared_ptr<ClaimAttempt> &attempt,
                                  const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        attempt->version = reply.version;
        attempt->mayBeWritten = true;
    } else if (reply.status == StoreStatus::Unknown) {
        attempt->mayBeWritten = true;
    }
    if (!isWaiting(*attempt)) {
        settleAsNotRun(attempt);
        return;
    }
    if (reply.status == StoreStatus::Ok) {
        complete(attempt, {ClaimDecision::Run, attempt->token, {}, {}});
        return;
    }
    if (reply.status == StoreStatus::Unavailable) {
        scheduleRetry(attempt);
        return;
    }
    // Unknown: the write may have taken effect with only its reply lost. A blind retry would then
    // find its own claim and take it for that of another instance; the token tells them apart.
    readClaim(attempt);
}

void ClaimManager::readClaim(const std::shared_ptr<ClaimAttempt> &attempt)
{
    store_.get(attempt->path, [this, alive = alive_, attempt](const StoreReply &reply) {
        if (*alive)
            onClaimRead(attempt, reply);
    });
}

void ClaimManager::onClaimRead(const std::shared_ptr<ClaimAttempt> &attempt,
                               const StoreReply &reply)
{
    if (!isWaiting(*attempt)) {
        settleAsNotRun(attempt);
        return;
    }
    if (reply.status == StoreStatus::NotFound) {
        writeClaim(attempt, 0);
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.objects.empty()) {
        scheduleRetry(attempt);
        return;
    }
    Reason reason;
    const auto record = ClaimRecord::fromText(reply.objects.front().value, &reason);
    if (!record) {
        // Something else wrote this object. Whether the call ran cannot be known, so it is not
        // sent.
        complete(attempt, {ClaimDecision::MayHaveRun, "", {}, reason});
        return;
    }
    evaluateExisting(attempt, *record, reply.objects.front().version);
}

void ClaimManager::evaluateExisting(const std::shared_ptr<ClaimAttempt> &attempt,
                                    const ClaimRecord &record, ObjectVersion version)
{
    if (record.token == attempt->token) {
        attempt->version = version;
        complete(attempt, {ClaimDecision::Run, attempt->token, {}, {}});
        return;
    }
    if (record.requestSha256 != attempt->request.requestSha256) {
        complete(attempt,
                 {ClaimDecision::KeyReused,
                  "",
                  {},
                  {attempt->path, "the key was used for another request"}});
        return;
    }
    switch (record.state) {
    case ClaimState::NotRun:
        writeClaim(attempt, version);
        return;
    case ClaimState::Done:
        complete(attempt,
                 {record.response.complete ? ClaimDecision::Replay : ClaimDecision::RanUnstored,
                  "",
                  record.response,
                  {}});
        return;
    case ClaimState::MayHaveRun:
        complete(attempt,
                 {ClaimDecision::MayHaveRun,
                  "",
                  {},
                  {attempt->path, "the outcome of an earlier run is unknown"}});
        return;
    case ClaimState::Claimed:
        complete(attempt, {evaluateClaimed(attempt->path, record, version), "", {}, {}});
        return;
    }
}

ClaimDecision ClaimManager::evaluateClaimed(const std::string &path, const ClaimRecord &record,
                                            ObjectVersion version)
{
    const bool isOwnIncarnation =
        record.instance == config_.instance && record.incarnation == config_.incarnation;
    if (!isOwnIncarnation && hasEnded_(record.instance, record.incarnation))
        return ClaimDecision::MayHaveRun;
    // Neither decision lets the call run again, so a wrong one does no harm; it only determines
    // whether the caller is told to retry or to check by other means.
    if (observations_.size() >= maxObservations)
        observations_.clear();
    Observation &observation = observations_[path];
    if (observation.version != version)
        observation = {version, now_};
    const bool isAbandoned = now_ - observation.firstSeen >= config_.abandonTimeout;
    return isAbandoned ? ClaimDecision::MayHaveRun : ClaimDecision::InProgress;
}

void ClaimManager::scheduleRetry(const std::shared_ptr<ClaimAttempt> &attempt)
{
    attempt->retryAt = now_ + storeRetryInterval;
}

bool ClaimManager::isWaiting(const ClaimAttempt &attempt) const
{
    return waitingAttempts_.count(attempt.token) > 0;
}

void ClaimManager::complete(const std::shared_ptr<ClaimAttempt> &attempt, const ClaimResult &result)
{
    waitingAttempts_.erase(attempt->token);
    if (result.decision == ClaimDecision::Run)
        running_[attempt->token] = attempt;
    else
        settleAsNotRun(attempt);
    const Completion completion = std::move(attempt->completion);
    completion(result);
}

void ClaimManager::settleAsNotRun(const std::shared_ptr<ClaimAttempt> &attempt)
{
    // The caller was told that its call did not run, and that is true. A remaining claim would
    // contradict it: the next duplicate would be answered "in progress" and then "may have run" for
    // a filing that was never sent.
    const bool isSettled = pendingOutcomes_.count(attempt->token) > 0;
    if (!attempt->mayBeWritten || isSettled)
        return;
    running_[attempt->token] = attempt;
    finish(attempt->token, {Verdict::NotRun, {}});
}

void ClaimManager::finish(const std::string &token, const ClaimOutcome &outcome)
{
    const auto running = running_.find(token);
    if (running == running_.end())
        return;
    const std::shared_ptr<ClaimAttempt> attempt = running->second;
    running_.erase(running);

    auto outcomeWrite = std::make_shared<OutcomeWrite>();
    outcomeWrite->path = attempt->path;
    outcomeWrite->record = recordOf(*attempt);
    outcomeWrite->expected = attempt->version;
    outcomeWrite->versionUnknown = attempt->version == 0;
    switch (outcome.verdict) {
    case Verdict::NotRun:
        outcomeWrite->record.state = ClaimState::NotRun;
        break;
    case Verdict::MayHaveRun:
        outcomeWrite->record.state = ClaimState::MayHaveRun;
        break;
    case Verdict::Ran:
        outcomeWrite->record.state = ClaimState::Done;
        outcomeWrite->record.response = outcome.response;
        break;
    }
    const bool isTooLarge = outcome.response.body.size() > maxStoredBodyBytes;
    if (isTooLarge || pendingOutcomes_.size() >= config_.maxPendingBodies) {
        outcomeWrite->record.response.body.clear();
        outcomeWrite->record.response.complete = false;
        events_({&events::claimAnswerNotStored,
                 {{"customer", attempt->request.customer.text()},
                  {"bytes", std::to_string(outcome.response.body.size())}}});
    }
    pendingOutcomes_[token] = outcomeWrite;
    writeOutcome(outcomeWrite);
}

void ClaimManager::writeOutcome(const std::shared_ptr<OutcomeWrite> &outcomeWrite)
{
    outcomeWrite->inFlight = true;
    outcomeWrite->retryAt = now_ + config_.writeRetryInterval;
    if (outcomeWrite->versionUnknown) {
        store_.get(outcomeWrite->path,
                   [this, alive = alive_, outcomeWrite](const StoreReply &reply) {
                       if (*alive)
                           onOutcomeRead(outcomeWrite, reply);
                   });
        return;
    }
    const StorePut put{outcomeWrite->path, outcomeWrite->record.toText(), outcomeWrite->expected};
    store_.put(put, [this, alive = alive_, outcomeWrite](const StoreReply &reply) {
        if (!*alive)
            return;
        outcomeWrite->inFlight = false;
        if (reply.status == StoreStatus::Ok)
            pendingOutcomes_.erase(outcomeWrite->record.token);
        else if (reply.status != StoreStatus::Unavailable)
            outcomeWrite->versionUnknown = true;
    });
}

void ClaimManager::onOutcomeRead(const std::shared_ptr<OutcomeWrite> &outcomeWrite,
                                 const StoreReply &reply)
{
    outcomeWrite->inFlight = false;
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)
        return;
    if (reply.objects.empty()) {
        // The write of the claim was lost or is delayed. Creating the object in its final state
        // settles both: the condition of a delayed write then fails.
        outcomeWrite->expected = 0;
        outcomeWrite->versionUnknown = false;
        return;
    }
    const StoreObject &object = reply.objects.front();
    const auto record = ClaimRecord::fromText(object.value, nullptr);
    const bool isOwn = record && record->token == outcomeWrite->record.token;
    if (!isOwn || record->state == outcomeWrite->record.state) {
        pendingOutcomes_.erase(outcomeWrite->record.token);
        return;
    }
    outcomeWrite->expected = object.version;
    outcomeWrite->versionUnknown = false;
    writeOutcome(outcomeWrite);
}

void ClaimManager::tick(Millis now)
{
    now_ = now;
    std::vector<std::shared_ptr<ClaimAttempt>> overdue;
    std::vector<std::shared_ptr<ClaimAttempt>> due;
    for (const auto &[token, attempt] : waitingAttempts_) {
        if (now >= attempt->request.deadline)
            overdue.push_back(attempt);
        else if (now >= attempt->retryAt)
            due.push_back(attempt);
    }
    for (const auto &attempt : overdue)
        complete(attempt,
                 {ClaimDecision::Unavailable,
                  "",
                  {},
                  {"store", "did not answer within the deadline of the call"}});
    for (const auto &attempt : due) {
        attempt->retryAt = Millis::never();
        readClaim(attempt);
    }

    std::vector<std::shared_ptr<OutcomeWrite>> unwritten;
    for (const auto &[token, outcomeWrite] : pendingOutcomes_) {
        if (!outcomeWrite->inFlight && now >= outcomeWrite->retryAt)
            unwritten.push_back(outcomeWrite);
    }
    for (const auto &outcomeWrite : unwritten)
        writeOutcome(outcomeWrite);
}

ClaimRecord ClaimManager::recordOf(const ClaimAttempt &attempt) const
{
    ClaimRecord record;
    record.state = ClaimState::Claimed;
    record.token = attempt.token;
    record.instance = config_.instance;
    record.incarnation = config_.incarnation;
    record.requestSha256 = attempt.request.requestSha256;
    return record;
}

std::string ClaimManager::newToken()
{
    return config_.instance.text() + "-" + std::to_string(config_.incarnation) + "-"
        + std::to_string(random_()) + std::to_string(random_());
}

} // namespace cuminrail
