#include "dispatch/claims/ClaimKeeper.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <utility>
#include <vector>

namespace cuminrail {

namespace {

constexpr Millis storeRetry{100};
constexpr std::size_t maxSightings = 10000;

std::string pathOf(const ClaimRequest &request)
{
    return "claims/" + request.customer.text() + "/" + request.keySha256;
}

} // namespace

/** A call that waits for its decision, or runs under its claim. */
struct ClaimKeeper::Begin
{
    ClaimRequest request;
    std::string path;
    std::string token;
    Completion completion;
    Millis retryAt = Millis::never();
    ObjectVersion expected = 0;
    ObjectVersion version = 0;
    /** A write went out whose effect is not known; the claim may be in the store as ours. */
    bool mayBeWritten = false;
};

/** The end of a run on its way into the store. */
struct ClaimKeeper::End
{
    std::string path;
    ClaimRecord record;
    ObjectVersion expected = 0;
    Millis retryAt{0};
    bool inFlight = false;
    /** The first claim's write had no answer, so the version has to be read before writing. */
    bool versionUnknown = false;
};

ClaimKeeper::ClaimKeeper(Config config, ObjectStore store, RandomHook random, EventSink events,
                         GoneHook isGone)
    : config_(std::move(config)), store_(std::move(store)), random_(std::move(random)),
      events_(std::move(events)), isGone_(std::move(isGone))
{ }

ClaimKeeper::~ClaimKeeper()
{
    *alive_ = false;
}

void ClaimKeeper::begin(const ClaimRequest &request, Completion completion)
{
    auto begin = std::make_shared<Begin>();
    begin->request = request;
    begin->path = pathOf(request);
    begin->token = newToken();
    begin->completion = std::move(completion);
    begins_[begin->token] = begin;
    // Without a claim in the store two instances would both send a lodging that its caller
    // repeated at the second one after a silence of the first.
    if (!guardEnabled(Guard::ClaimBeforeDispatch)) {
        answer(begin, {ClaimDecision::Run, begin->token, {}, {}});
        return;
    }
    writeClaim(begin, 0);
}

void ClaimKeeper::writeClaim(const std::shared_ptr<Begin> &begin, ObjectVersion expected)
{
    begin->expected = expected;
    begin->retryAt = Millis::never();
    const StorePut put{begin->path, recordOf(*begin).toText(), expected};
    store_.put(put, [this, alive = alive_, begin](const StoreReply &reply) {
        if (*alive)
            onClaimWritten(begin, reply);
    });
}

void ClaimKeeper::onClaimWritten(const std::shared_ptr<Begin> &begin, const StoreReply &reply)
{
    if (reply.status == StoreStatus::Ok) {
        begin->version = reply.version;
        begin->mayBeWritten = true;
    } else if (reply.status == StoreStatus::Unknown) {
        begin->mayBeWritten = true;
    }
    if (!isWaiting(*begin)) {
        settleLate(begin);
        return;
    }
    if (reply.status == StoreStatus::Ok) {
        answer(begin, {ClaimDecision::Run, begin->token, {}, {}});
        return;
    }
    if (reply.status == StoreStatus::Unavailable) {
        retryLater(begin);
        return;
    }
    // Unknown: the write may have taken effect and only its answer is lost. A blind second try
    // would then meet our own claim and take it for somebody else's; the token tells.
    readClaim(begin);
}

void ClaimKeeper::readClaim(const std::shared_ptr<Begin> &begin)
{
    store_.get(begin->path, [this, alive = alive_, begin](const StoreReply &reply) {
        if (*alive)
            onClaimRead(begin, reply);
    });
}

void ClaimKeeper::onClaimRead(const std::shared_ptr<Begin> &begin, const StoreReply &reply)
{
    if (!isWaiting(*begin)) {
        settleLate(begin);
        return;
    }
    if (reply.status == StoreStatus::NotFound) {
        writeClaim(begin, 0);
        return;
    }
    if (reply.status != StoreStatus::Ok || reply.objects.empty()) {
        retryLater(begin);
        return;
    }
    Reason reason;
    const auto record = ClaimRecord::fromText(reply.objects.front().value, &reason);
    if (!record) {
        // Something else wrote there. Whether the call ran cannot be known, so it is not sent.
        answer(begin, {ClaimDecision::MayHaveRun, "", {}, reason});
        return;
    }
    judgeExisting(begin, *record, reply.objects.front().version);
}

void ClaimKeeper::judgeExisting(const std::shared_ptr<Begin> &begin, const ClaimRecord &record,
                                ObjectVersion version)
{
    if (record.token == begin->token) {
        begin->version = version;
        answer(begin, {ClaimDecision::Run, begin->token, {}, {}});
        return;
    }
    if (record.requestSha256 != begin->request.requestSha256) {
        answer(begin, {ClaimDecision::KeyReused, "", {}, {begin->path, "other request"}});
        return;
    }
    switch (record.state) {
    case ClaimState::NotRun:
        writeClaim(begin, version);
        return;
    case ClaimState::Done:
        answer(begin,
               {record.answer.complete ? ClaimDecision::Replay : ClaimDecision::RanUnstored,
                "",
                record.answer,
                {}});
        return;
    case ClaimState::MayHaveRun:
        answer(begin, {ClaimDecision::MayHaveRun, "", {}, {begin->path, "unknown end"}});
        return;
    case ClaimState::Claimed:
        answer(begin, {judgeClaimed(begin->path, record, version), "", {}, {}});
        return;
    }
}

ClaimDecision ClaimKeeper::judgeClaimed(const std::string &path, const ClaimRecord &record,
                                        ObjectVersion version)
{
    const bool isOwnLife =
        record.instance == config_.instance && record.incarnation == config_.incarnation;
    if (!isOwnLife && isGone_(record.instance, record.incarnation))
        return ClaimDecision::MayHaveRun;
    // Neither answer lets the call run again, so a wrong guess here harms nobody; it only decides
    // whether the caller is told to ask again or to check by other means.
    if (sightings_.size() >= maxSightings)
        sightings_.clear();
    Sighting &sighting = sightings_[path];
    if (sighting.version != version)
        sighting = {version, now_};
    const bool isAbandoned = now_ - sighting.firstSeen >= config_.abandonedAfter;
    return isAbandoned ? ClaimDecision::MayHaveRun : ClaimDecision::InProgress;
}

void ClaimKeeper::retryLater(const std::shared_ptr<Begin> &begin)
{
    begin->retryAt = now_ + storeRetry;
}

bool ClaimKeeper::isWaiting(const Begin &begin) const
{
    return begins_.count(begin.token) > 0;
}

void ClaimKeeper::answer(const std::shared_ptr<Begin> &begin, const ClaimResult &result)
{
    begins_.erase(begin->token);
    if (result.decision == ClaimDecision::Run)
        running_[begin->token] = begin;
    else
        settleLate(begin);
    const Completion completion = std::move(begin->completion);
    completion(result);
}

void ClaimKeeper::settleLate(const std::shared_ptr<Begin> &begin)
{
    // The caller was told that its call did not run, and that is true. A claim left standing would
    // belie it: the caller's next repeat would hear "in progress" and then "may have run" of a
    // lodging that nobody ever sent.
    const bool isSettled = ends_.count(begin->token) > 0;
    if (!begin->mayBeWritten || isSettled)
        return;
    running_[begin->token] = begin;
    finish(begin->token, {Verdict::NotRun, {}});
}

void ClaimKeeper::finish(const std::string &token, const ClaimOutcome &outcome)
{
    const auto position = running_.find(token);
    if (position == running_.end())
        return;
    const std::shared_ptr<Begin> begin = position->second;
    running_.erase(position);

    auto end = std::make_shared<End>();
    end->path = begin->path;
    end->record = recordOf(*begin);
    end->expected = begin->version;
    end->versionUnknown = begin->version == 0;
    switch (outcome.verdict) {
    case Verdict::NotRun:
        end->record.state = ClaimState::NotRun;
        break;
    case Verdict::MayHaveRun:
        end->record.state = ClaimState::MayHaveRun;
        break;
    case Verdict::Ran:
        end->record.state = ClaimState::Done;
        end->record.answer = outcome.answer;
        break;
    }
    const bool isTooLarge = outcome.answer.body.size() > maxStoredBody;
    if (isTooLarge || ends_.size() >= config_.maxPendingBodies) {
        end->record.answer.body.clear();
        end->record.answer.complete = false;
        events_({&events::claimAnswerNotStored,
                 {{"customer", begin->request.customer.text()},
                  {"bytes", std::to_string(outcome.answer.body.size())}}});
    }
    ends_[token] = end;
    writeEnd(end);
}

void ClaimKeeper::writeEnd(const std::shared_ptr<End> &end)
{
    end->inFlight = true;
    end->retryAt = now_ + config_.writeRetry;
    if (end->versionUnknown) {
        store_.get(end->path, [this, alive = alive_, end](const StoreReply &reply) {
            if (*alive)
                onEndRead(end, reply);
        });
        return;
    }
    const StorePut put{end->path, end->record.toText(), end->expected};
    store_.put(put, [this, alive = alive_, end](const StoreReply &reply) {
        if (!*alive)
            return;
        end->inFlight = false;
        if (reply.status == StoreStatus::Ok)
            ends_.erase(end->record.token);
        else if (reply.status != StoreStatus::Unavailable)
            end->versionUnknown = true;
    });
}

void ClaimKeeper::onEndRead(const std::shared_ptr<End> &end, const StoreReply &reply)
{
    end->inFlight = false;
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound)
        return;
    if (reply.objects.empty()) {
        // The claim's own write was lost, or is late. Creating the object in its final state
        // settles both: a late claim then fails its condition.
        end->expected = 0;
        end->versionUnknown = false;
        return;
    }
    const StoreObject &object = reply.objects.front();
    const auto record = ClaimRecord::fromText(object.value, nullptr);
    const bool isOurs = record && record->token == end->record.token;
    if (!isOurs || record->state == end->record.state) {
        ends_.erase(end->record.token);
        return;
    }
    end->expected = object.version;
    end->versionUnknown = false;
    writeEnd(end);
}

void ClaimKeeper::tick(Millis now)
{
    now_ = now;
    std::vector<std::shared_ptr<Begin>> overdue;
    std::vector<std::shared_ptr<Begin>> due;
    for (const auto &[token, begin] : begins_) {
        if (now >= begin->request.deadline)
            overdue.push_back(begin);
        else if (now >= begin->retryAt)
            due.push_back(begin);
    }
    for (const auto &begin : overdue)
        answer(begin, {ClaimDecision::Unavailable, "", {}, {"store", "no answer in time"}});
    for (const auto &begin : due) {
        begin->retryAt = Millis::never();
        readClaim(begin);
    }

    std::vector<std::shared_ptr<End>> unwritten;
    for (const auto &[token, end] : ends_) {
        if (!end->inFlight && now >= end->retryAt)
            unwritten.push_back(end);
    }
    for (const auto &end : unwritten)
        writeEnd(end);
}

ClaimRecord ClaimKeeper::recordOf(const Begin &begin) const
{
    ClaimRecord record;
    record.state = ClaimState::Claimed;
    record.token = begin.token;
    record.instance = config_.instance;
    record.incarnation = config_.incarnation;
    record.requestSha256 = begin.request.requestSha256;
    return record;
}

std::string ClaimKeeper::newToken()
{
    return config_.instance.text() + "-" + std::to_string(config_.incarnation) + "-"
        + std::to_string(random_()) + std::to_string(random_());
}

} // namespace cuminrail
