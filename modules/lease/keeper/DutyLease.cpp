#include "lease/keeper/DutyLease.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <algorithm>

namespace cuminrail {

DutyLease::DutyLease(std::string duty, InstanceLife self, const LeaseTiming &timing, Hooks hooks)
    : duty_(std::move(duty)), self_(std::move(self)), timing_(timing), hooks_(std::move(hooks))
{
    // Instances that start together must not all read in the same millisecond.
    nextAt_ = hooks_.clock.now() + jittered(timing_.retryFirst);
}

std::optional<Authority> DutyLease::authority(Millis now) const
{
    if (!held_ || now >= held_->validUntil || releaseWanted_)
        return std::nullopt;
    return Authority{held_->fence, held_->validUntil};
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
    lapseIfDue(now);
    if (busy_ || now < nextAt_)
        return false;
    if (readBackDue_) {
        read();
        return false;
    }
    if (releaseWanted_) {
        sendRelease();
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
    const bool isDue = knowsLease && now >= takeAt(candidacy);
    if (isDue && candidacy.mayTake) {
        sendTake();
        return true;
    }
    if (isDue)
        return false;
    if (candidacy.isCandidate)
        read();
    return false;
}

Millis DutyLease::takeAt(const Candidacy &candidacy) const
{
    const LeaseRecord &record = observed_->record;
    Millis wait = timing_.stagger * static_cast<std::int64_t>(candidacy.place);
    if (!candidacy.hasRoom)
        wait += timing_.fullDelay;
    // Someone who does not read the lease regularly would write on stale knowledge. It acts only
    // right after a list, on a lease that has not moved since the list before.
    if (!candidacy.isCandidate) {
        const bool isFresh = hooks_.clock.now() - observed_->lastSeen < Millis::seconds(1);
        if (!isFresh)
            return Millis::never();
        return observed_->firstSeen + timing_.listEvery / 2 + record.term;
    }
    const bool isFree = observed_->version == 0 || record.isReleased() || isOwn(record);
    // The holder counts its term on its own clock, from before it sent the write that made this
    // version; this instance saw the version later. Waiting a full term from its own first sight
    // ends after the holder's belief does. Without that, two instances believe at once.
    if (!isFree && guardEnabled(Guard::SuccessorWaitsFullTerm))
        wait += record.term;
    return observed_->firstSeen + wait;
}

void DutyLease::lapseIfDue(Millis now)
{
    if (held_ && now >= held_->validUntil)
        lose("lapsed");
}

void DutyLease::lose(const char *why)
{
    if (!held_)
        return;
    held_.reset();
    hooks_.events(Event{&events::leaseLost, {{"duty", duty_}, {"why", why}}});
    if (hooks_.onLost)
        hooks_.onLost();
}

void DutyLease::release()
{
    if (!held_ && pending_.empty())
        return;
    lose("released");
    releaseWanted_ = true;
    nextAt_ = hooks_.clock.now();
}

void DutyLease::sendTake()
{
    LeaseRecord record;
    record.holder = self_.instance;
    highestFence_ = std::max(highestFence_, observed_->record.fence);
    // An upstream that saw the last holder's fence refuses whatever that holder still sends, but
    // only if the new holder's number is higher.
    record.fence = highestFence_ + (guardEnabled(Guard::FenceRisesWithHolder) ? 1 : 0);
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
        releaseWanted_ = false;
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
    hooks_.store.put(put, [this, write](const StoreReply &reply) { written(write, reply); });
}

void DutyLease::written(const PendingWrite &write, const StoreReply &reply)
{
    busy_ = false;
    lapseIfDue(hooks_.clock.now());
    switch (reply.status) {
    case StoreStatus::Ok:
        adopt(reply.version, write);
        return;
    case StoreStatus::Unavailable:
        pending_.erase(std::remove_if(pending_.begin(), pending_.end(),
                                      [&](const PendingWrite &other) {
                                          return other.record.token == write.record.token;
                                      }),
                       pending_.end());
        retryLater();
        return;
    default:
        break;
    }
    // The write may have taken effect though its answer was lost; a repeat would then conflict
    // with the writer's own success. What stands in the store, with its token, settles it.
    if (!guardEnabled(Guard::LostAnswerReadBack)) {
        adopt(observed_ ? observed_->version : 0, write);
        return;
    }
    readBackDue_ = true;
    read();
}

void DutyLease::read()
{
    busy_ = true;
    hooks_.store.get(path(duty_), [this](const StoreReply &reply) { readDone(reply); });
}

void DutyLease::readDone(const StoreReply &reply)
{
    busy_ = false;
    lapseIfDue(hooks_.clock.now());
    if (reply.status != StoreStatus::Ok && reply.status != StoreStatus::NotFound) {
        retryLater();
        return;
    }
    readBackDue_ = false;
    retryDelay_ = Millis(0);
    nextAt_ = hooks_.clock.now() + jittered(timing_.pollEvery);
    if (reply.status == StoreStatus::Ok && !reply.objects.empty()) {
        observe(reply.objects.front());
        return;
    }
    // A lagging read may not show the object yet; the store's revision tells.
    if (!observed_ || reply.version >= observed_->version)
        see(0, LeaseRecord{});
}

void DutyLease::observe(const StoreObject &object)
{
    const auto record = LeaseRecord::fromText(object.value, nullptr);
    // A value that is no lease is left to the operator: taking it could lose the fence number.
    if (record)
        see(object.version, *record);
}

void DutyLease::see(ObjectVersion version, const LeaseRecord &record)
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
            adopt(version, write);
            return;
        }
    }
    if (held_ && record.token != held_->token)
        lose("replaced");
    if (held_)
        nextAt_ = now + timing_.retryFirst;
    else if (!releaseWanted_ && isOwn(record))
        nextAt_ = now;
    if (!isOwn(record))
        releaseWanted_ = false;
    // Wake exactly when a foreign term has been waited out, not at the next poll after it.
    if (!held_ && !record.isReleased() && version != 0)
        nextAt_ = std::min(nextAt_, std::max(now, observed_->firstSeen + record.term));
}

void DutyLease::adopt(ObjectVersion version, const PendingWrite &write)
{
    const Millis now = hooks_.clock.now();
    retryDelay_ = Millis(0);
    pending_.clear();
    highestFence_ = std::max(highestFence_, write.record.fence);
    observed_ = Observed{version, write.record, now, now};
    if (write.record.isReleased()) {
        releaseWanted_ = false;
        nextAt_ = now + jittered(timing_.pollEvery);
        return;
    }
    // A successor counts from when the store showed it this version, which can be long before
    // the answer came here. Counting from the answer would end after the successor's wait does:
    // two holders at once. The instant before sending is earlier than any reader's sight.
    const Millis countedFrom = guardEnabled(Guard::LeaseCountedFromSend) ? write.sentAt : now;
    const Millis validUntil = countedFrom + timing_.term - timing_.margin;
    if (validUntil <= now || releaseWanted_) {
        lose("answer came too late");
        nextAt_ = now;
        return;
    }
    const bool isNew = !held_;
    held_ = Held{write.record.fence, validUntil, write.record.token};
    nextAt_ = write.sentAt + timing_.renewEvery;
    if (!isNew)
        return;
    hooks_.events(
        Event{&events::leaseTaken, {{"duty", duty_}, {"fence", std::to_string(held_->fence)}}});
    if (hooks_.onTaken)
        hooks_.onTaken(Authority{held_->fence, held_->validUntil});
}

void DutyLease::retryLater()
{
    const Millis now = hooks_.clock.now();
    if (held_) {
        nextAt_ = now + timing_.retryFirst;
        return;
    }
    // After an outage of the store every instance finds it back at once. Spans that double and
    // are drawn at random keep them from arriving together.
    const Millis doubled = std::max(timing_.retryFirst, retryDelay_ * 2);
    retryDelay_ = std::min(timing_.retryMost, doubled);
    nextAt_ = now + retryDelay_ / 2 + jittered(retryDelay_ / 2);
}

Millis DutyLease::jittered(Millis span) const
{
    const auto width = static_cast<std::uint64_t>(std::max<std::int64_t>(span.count(), 1));
    const auto drawn = static_cast<std::int64_t>(hooks_.random() % width);
    return span / 2 + Millis(drawn / 2);
}

} // namespace cuminrail
