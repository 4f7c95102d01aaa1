#include "lease/manager/DutyLease.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

namespace {

/** Fences of one era, more than its holders: the first one of the next era is above all of them. */
constexpr FenceNumber fencesPerEra = FenceNumber{1} << 20U;

StoreEra eraOfFence(FenceNumber fence)
{
    return static_cast<StoreEra>(fence / fencesPerEra);
}

} // namespace

DutyLease::DutyLease(std::string duty, InstanceIncarnation self, const LeaseTiming &timing,
                     Hooks hooks)
    : duty_(std::move(duty)), self_(std::move(self)), timing_(timing), hooks_(std::move(hooks))
{
    // Jitter: instances that start together must not all read in the same millisecond.
    nextAt_ = hooks_.clock.now() + withJitter(timing_.firstRetryDelay);
}

std::optional<Authority> DutyLease::authority(Millis now) const
{
    if (!held_ || now >= held_->validUntil || releaseRequested_)
        return std::nullopt;
    return Authority{held_->fence, held_->validUntil, held_->since, held_->followsEarlierEra};
}

void DutyLease::noteEra(StoreEra era)
{
    if (era <= era_)
        return;
    const bool isAtFirstStart = era_ == 0 && isFirstStart_;
    era_ = era;
    if (isAtFirstStart || !guardEnabled(Guard::NewEraWaited))
        return;
    const Millis now = hooks_.clock.now();
    ++generation_;
    busy_ = false;
    readBackDue_ = false;
    releaseRequested_ = false;
    pending_.clear();
    observed_.reset();
    isRewriteDue_ = held_.has_value();
    // Any lease of the era before was acknowledged before this instance met the new one.
    earliestAcquireAt_ = now + timing_.term;
    nextAt_ = now;
}

StoreCompletion DutyLease::guardCompletion(StoreCompletion done)
{
    return [this, done = std::move(done), generation = generation_](const StoreReply &reply) {
        if (generation != generation_)
            return;
        noteEra(eraOf(reply.version));
        if (generation == generation_)
            done(reply);
    };
}

FenceNumber DutyLease::nextFence() const
{
    const FenceNumber lowest = FenceNumber{era_} * fencesPerEra;
    return std::max(highestFence_ + (guardEnabled(Guard::FenceRisesWithHolder) ? 1 : 0), lowest);
}

std::optional<LeaseRecord> DutyLease::lastSeen() const
{
    if (!observed_)
        return std::nullopt;
    return observed_->record;
}

bool DutyLease::isOwn(const LeaseRecord &record) const
{
    return record.isHeldBy(self_.instance, self_.incarnation);
}

bool DutyLease::tick(const Candidacy &candidacy)
{
    const Millis now = hooks_.clock.now();
    expireIfDue(now);
    if (busy_ || now < nextAt_)
        return false;
    if (readBackDue_) {
        read();
        return false;
    }
    if (releaseRequested_) {
        sendRelease();
        return false;
    }
    // After a change of era the record is read before it is written again.
    if (held_ && !observed_) {
        read();
        return false;
    }
    if (held_) {
        sendRenewal();
        return false;
    }
    return tickUnheld(candidacy, now);
}

bool DutyLease::tickUnheld(const Candidacy &candidacy, Millis now)
{
    const bool knowsLease = observed_.has_value();
    const bool isDue = knowsLease && now >= acquireAt(candidacy);
    if (isDue && candidacy.mayAcquire) {
        sendAcquire();
        return true;
    }
    if (isDue)
        return false;
    if (candidacy.isCandidate)
        read();
    return false;
}

Millis DutyLease::acquireAt(const Candidacy &candidacy) const
{
    const LeaseRecord &record = observed_->record;
    Millis wait = timing_.stagger * static_cast<std::int64_t>(candidacy.rank);
    if (!candidacy.hasRoom)
        wait += timing_.fullShareDelay;
    // An instance that does not read the lease regularly would write from stale data. It acts only
    // right after a list, on a lease that has not changed since the list before.
    if (!candidacy.isCandidate) {
        const bool isFresh = hooks_.clock.now() - observed_->lastSeen < Millis::seconds(1);
        if (!isFresh)
            return Millis::never();
        return std::max(earliestAcquireAt_,
                        observed_->firstSeen + timing_.listInterval / 2 + record.term);
    }
    const bool isFree = observed_->version == 0 || record.isReleased() || isOwn(record);
    // The holder counts its term on its own clock, from before it sent the write that created this
    // version; this instance saw the version later. A full term from its own first sight ends after
    // the holder considers the lease expired. Without that wait, two instances consider themselves
    // the holder at once.
    if (!isFree && guardEnabled(Guard::SuccessorWaitsFullTerm))
        wait += record.term;
    return std::max(earliestAcquireAt_, observed_->firstSeen + wait);
}

void DutyLease::expireIfDue(Millis now)
{
    if (held_ && now >= held_->validUntil)
        lose("lapsed");
}

void DutyLease::lose(const char *why)
{
    if (!held_)
        return;
    held_.reset();
    isRewriteDue_ = false;
    hooks_.events(Event{&events::leaseLost, {{"duty", duty_}, {"why", why}}});
    if (hooks_.onLeaseLost)
        hooks_.onLeaseLost();
}

void DutyLease::release()
{
    if (!held_ && pending_.empty())
        return;
    lose("released");
    releaseRequested_ = true;
    nextAt_ = hooks_.clock.now();
}

void DutyLease::sendAcquire()
{
    LeaseRecord record;
    record.holder = self_.instance;
    highestFence_ = std::max(highestFence_, observed_->record.fence);
    // An upstream that has received the last holder's fence refuses whatever that holder still
    // sends, but only if the fence of the new holder is higher.
    record.fence = nextFence();
    sendWrite(record);
}

void DutyLease::sendRenewal()
{
    LeaseRecord record;
    record.holder = self_.instance;
    record.fence = held_->fence;
    sendWrite(record);
}

void DutyLease::sendRelease()
{
    if (!observed_ || !isOwn(observed_->record)) {
        releaseRequested_ = false;
        return;
    }
    LeaseRecord record;
    record.fence = observed_->record.fence;
    sendWrite(record);
}

void DutyLease::sendWrite(LeaseRecord record)
{
    record.incarnation = self_.incarnation;
    record.term = timing_.term;
    record.token = self_.instance.text() + "-" + std::to_string(hooks_.random());
    const PendingWrite write{record, hooks_.clock.now()};
    pending_.push_back(write);
    busy_ = true;
    StorePut put;
    put.path = path(duty_);
    put.value = record.toText();
    put.expected = observed_ ? observed_->version : 0;
    hooks_.store.put(
        put, guardCompletion([this, write](const StoreReply &reply) { written(write, reply); }));
}

void DutyLease::written(const PendingWrite &write, const StoreReply &reply)
{
    busy_ = false;
    expireIfDue(hooks_.clock.now());
    switch (reply.status) {
    case StoreStatus::Ok:
        acceptWrite(reply.version, write);
        return;
    case StoreStatus::Unavailable:
        pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                      [&](const PendingWrite &other) {
                                          return other.record.token == write.record.token;
                                      }),
                       pending_.end());
        scheduleRetry();
        return;
    default:
        break;
    }
    // The write may have taken effect though its reply was lost; a retry would then conflict with
    // the successful write. The token of the record in the store settles it.
    if (!guardEnabled(Guard::LostAnswerReadBack)) {
        acceptWrite(observed_ ? observed_->version : 0, write);
        return;
    }
    readBackDue_ = true;
    read();
}

void DutyLease::read()
{
    busy_ = true;
    hooks_.store.get(path(duty_),
                     guardCompletion([this](const StoreReply &reply) { readDone(reply); }));
}

void DutyLease::readDone(const StoreReply &reply)
{
    busy_ = false;
    expireIfDue(hooks_.clock.now());
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        scheduleRetry();
        return;
    }
    readBackDue_ = false;
    retryDelay_ = Millis(0);
    nextAt_ = hooks_.clock.now() + withJitter(timing_.pollInterval);
    if (reply.status == StoreStatus::Ok && !reply.objects.empty()) {
        observe(reply.objects.front());
        return;
    }
    // A stale read may not show the object yet; the revision of the store tells it apart from a
    // missing object.
    if (!observed_ || reply.version >= observed_->version)
        updateObserved(0, LeaseRecord{});
}

void DutyLease::observe(const StoreObject &object)
{
    const auto record = LeaseRecord::fromText(object.value, nullptr);
    // An invalid value is left to the operator: overwriting it could lose the fence number.
    if (record)
        updateObserved(object.version, *record);
}

void DutyLease::updateObserved(ObjectVersion version, const LeaseRecord &record)
{
    const Millis now = hooks_.clock.now();
    if (observed_ && version != 0 && version < observed_->version)
        return;
    highestFence_ = std::max(highestFence_, record.fence);
    if (!observed_ || observed_->version != version)
        observed_ = Observed{version, record, now, now};
    observed_->lastSeen = now;
    for (const PendingWrite &write : std::vector<PendingWrite>(pending_)) {
        if (write.record.token == record.token) {
            acceptWrite(version, write);
            return;
        }
    }
    if (held_ && record.token != held_->token && !isRewriteDue_)
        lose("replaced");
    if (held_)
        nextAt_ = isRewriteDue_ ? now : now + timing_.firstRetryDelay;
    else if (!releaseRequested_ && isOwn(record))
        nextAt_ = now;
    if (!isOwn(record))
        releaseRequested_ = false;
    // Wakes exactly when the term of another holder has passed, not at the next poll after it.
    if (!held_ && !record.isReleased() && version != 0)
        nextAt_ = std::min(nextAt_, std::max(now, observed_->firstSeen + record.term));
    if (!held_ && now < earliestAcquireAt_)
        nextAt_ = std::min(nextAt_, earliestAcquireAt_);
}

void DutyLease::acceptWrite(ObjectVersion version, const PendingWrite &write)
{
    const Millis now = hooks_.clock.now();
    retryDelay_ = Millis(0);
    pending_.clear();
    highestFence_ = std::max(highestFence_, write.record.fence);
    const bool followsEarlierEra =
        !isFirstStart_ && observed_ && eraOfFence(observed_->record.fence) < era_;
    observed_ = Observed{version, write.record, now, now};
    isRewriteDue_ = false;
    if (write.record.isReleased()) {
        releaseRequested_ = false;
        nextAt_ = now + withJitter(timing_.pollInterval);
        return;
    }
    // A successor counts from when the store showed it this version, which can be long before the
    // reply arrived here. A term counted from the reply would end after the wait of the successor:
    // two holders at once. The time before sending precedes the first read of any other instance.
    const Millis termStart = guardEnabled(Guard::LeaseCountedFromSend) ? write.sentAt : now;
    const Millis validUntil = termStart + timing_.term - timing_.margin;
    if (validUntil <= now || releaseRequested_) {
        lose("write confirmed too late");
        nextAt_ = now;
        return;
    }
    const bool isNew = !held_;
    held_ = Held{write.record.fence, validUntil, write.record.token, isNew ? now : held_->since,
                 isNew ? followsEarlierEra : held_->followsEarlierEra};
    nextAt_ = write.sentAt + timing_.renewInterval;
    if (!isNew)
        return;
    hooks_.events(
        Event{&events::leaseTaken, {{"duty", duty_}, {"fence", std::to_string(held_->fence)}}});
    if (hooks_.onLeaseAcquired)
        hooks_.onLeaseAcquired(*authority(now));
}

void DutyLease::scheduleRetry()
{
    const Millis now = hooks_.clock.now();
    if (held_) {
        nextAt_ = now + timing_.firstRetryDelay;
        return;
    }
    // After an outage of the store every instance finds it available at once. Exponential back-off
    // with jitter keeps them from calling together.
    const Millis doubled = std::max(timing_.firstRetryDelay, retryDelay_ * 2);
    retryDelay_ = std::min(timing_.maxRetryDelay, doubled);
    nextAt_ = now + retryDelay_ / 2 + withJitter(retryDelay_ / 2);
}

Millis DutyLease::withJitter(Millis span) const
{
    const auto width = static_cast<std::uint64_t>(std::max<std::int64_t>(span.count(), 1));
    const auto drawn = static_cast<std::int64_t>(hooks_.random() % width);
    return span / 2 + Millis(drawn / 2);
}

} // namespace cuminrail
