#include "quarantine/exchange/QuarantineExchange.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

constexpr const char *storePrefix = "quarantine/";

std::string storePath(const std::string &fingerprint)
{
    return storePrefix + fingerprint;
}

std::string storedValue(const Suspicion &suspicion)
{
    return nlohmann::json{{"ended", suspicion.ended}}.dump();
}

/** Returns nothing if the object was not written by this module. */
std::optional<Suspicion> suspicionOf(const StoreObject &object)
{
    const std::string name = object.path.substr(std::string(storePrefix).size());
    const auto fingerprint = RequestFingerprint::fromText(name);
    const auto json = nlohmann::json::parse(object.value, nullptr, false);
    const auto ended = json.is_object() ? json.find("ended") : json.end();
    if (!fingerprint || ended == json.end() || !ended->is_array())
        return std::nullopt;
    Suspicion suspicion{*fingerprint, {}, SuspicionTable::retention};
    for (const auto &incarnation : *ended) {
        if (!incarnation.is_number_unsigned())
            return std::nullopt;
        suspicion.ended.push_back(incarnation.get<UpstreamIncarnation>());
    }
    return suspicion;
}

} // namespace

QuarantineExchange::QuarantineExchange(Environment environment)
    : environment_(std::move(environment))
{
    const Millis now = environment_.clock.now();
    const auto jitter = static_cast<std::uint64_t>(storeReadJitter.count());
    storeReadAt_ = now + Millis(static_cast<std::int64_t>(environment_.random() % jitter));
}

void QuarantineExchange::setPeers(std::vector<OwnerCandidate> peers)
{
    peers_.setPeers(peers);
    owners_.setPeers(std::move(peers));
}

std::optional<Millis>
QuarantineExchange::remainingQuarantine(const RequestFingerprint &fingerprint) const
{
    if (level(fingerprint) != SuspicionLevel::Quarantined)
        return std::nullopt;
    return table_.find(fingerprint, environment_.clock.now())->remaining;
}

std::vector<PeerAddress> QuarantineExchange::ownersOf(const RequestFingerprint &fingerprint) const
{
    return owners_.ownersOf(StableHash().add(fingerprint.text()).value(), ownersPerRequest);
}

bool QuarantineExchange::isOwnerOf(const RequestFingerprint &fingerprint) const
{
    const std::vector<PeerAddress> owners = ownersOf(fingerprint);
    return owners.empty() || std::find(owners.begin(), owners.end(), "") != owners.end();
}

void QuarantineExchange::upstreamEnded(const RequestFingerprint &fingerprint,
                                       UpstreamIncarnation incarnation)
{
    ++stats_.ends;
    const Millis now = environment_.clock.now();
    if (applySuspicion({fingerprint, {incarnation}, SuspicionTable::retention}))
        pendingAnnouncements_.insert(fingerprint.text());
    const auto suspicion = table_.find(fingerprint, now);
    if (!suspicion || !guardEnabled(Guard::SuspicionReported))
        return;
    for (const PeerAddress &owner : ownersOf(fingerprint)) {
        if (!owner.empty())
            send(owner, SuspicionAnnouncement{true, {*suspicion}});
    }
}

bool QuarantineExchange::applySuspicion(const Suspicion &suspicion)
{
    const Millis now = environment_.clock.now();
    const RequestFingerprint &fingerprint = suspicion.fingerprint;
    if (!table_.add(suspicion, now))
        return false;
    const bool isQuarantined = level(fingerprint) == SuspicionLevel::Quarantined;
    log(isQuarantined ? events::requestQuarantined : events::requestSuspected, fingerprint);
    if (!isQuarantined)
        return true;
    ++stats_.quarantined;
    if (isOwnerOf(fingerprint))
        pendingWrites_.emplace(fingerprint.text(), PendingWrite());
    return true;
}

void QuarantineExchange::requestCompleted(const RequestFingerprint &fingerprint)
{
    if (!table_.recordCompletion(fingerprint, environment_.clock.now()))
        return;
    ++stats_.cleared;
    clear(fingerprint);
    for (const PeerAddress &peer : peers_.all())
        send(peer, SuspicionCleared{fingerprint});
}

void QuarantineExchange::clear(const RequestFingerprint &fingerprint)
{
    log(events::suspicionCleared, fingerprint);
    pendingAnnouncements_.erase(fingerprint.text());
    pendingWrites_.erase(fingerprint.text());
    if (isOwnerOf(fingerprint))
        remove(fingerprint);
}

void QuarantineExchange::storeRestored()
{
    const Millis now = environment_.clock.now();
    const auto jitter = static_cast<std::uint64_t>(storeReadJitter.count());
    for (const RequestFingerprint &fingerprint : table_.quarantined(now)) {
        if (!isOwnerOf(fingerprint))
            continue;
        PendingWrite write;
        write.nextAt = now + Millis(static_cast<std::int64_t>(environment_.random() % jitter));
        pendingWrites_.insert_or_assign(fingerprint.text(), write);
    }
}

bool QuarantineExchange::handleFrame(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeQuarantineMessage(frame);
    if (!message)
        return false;
    std::visit([&](const auto &each) { handle(from, each); }, *message);
    return true;
}

void QuarantineExchange::handle(const PeerAddress &from, const SuspicionAnnouncement &announcement)
{
    const Millis now = environment_.clock.now();
    if (announcement.isReport && announcement.suspicions.empty())
        return sendQuarantined(from);
    if (!announcement.isReport && !queriedReader_.empty() && from == queriedReader_
        && announcement.suspicions.size() < suspicionsPerRound)
        isStoreRead_ = true;
    for (const Suspicion &suspicion : announcement.suspicions) {
        if (table_.hasCompletedRecently(suspicion.fingerprint, now)) {
            // The request completed here recently, and the sender does not know that yet.
            if (suspicion.ended.size() >= SuspicionTable::suspectedThreshold)
                send(from, SuspicionCleared{suspicion.fingerprint});
        } else if (announcement.isReport) {
            handleReport(from, suspicion);
        } else {
            applySuspicion(suspicion);
        }
    }
}

void QuarantineExchange::handleReport(const PeerAddress &from, const Suspicion &suspicion)
{
    if (applySuspicion(suspicion)) {
        pendingAnnouncements_.insert(suspicion.fingerprint.text());
        return;
    }
    // The reporting instance may not know yet that the request is already suspected.
    const auto known = table_.find(suspicion.fingerprint, environment_.clock.now());
    if (known && known->ended.size() > suspicion.ended.size())
        send(from, SuspicionAnnouncement{false, {*known}});
}

void QuarantineExchange::handle(const PeerAddress &, const SuspicionCleared &cleared)
{
    if (table_.recordCompletion(cleared.fingerprint, environment_.clock.now()))
        clear(cleared.fingerprint);
}

void QuarantineExchange::tick()
{
    const Millis now = environment_.clock.now();
    announce(now);
    if (now >= antiEntropyAt_) {
        antiEntropyAt_ = now + antiEntropyInterval;
        sendAntiEntropy();
    }
    if (!isStoreRead_ && !isStoreReadInFlight_ && now >= storeReadAt_)
        readQuarantined(now);
    writeStore(now);
    if (now < expireAt_)
        return;
    expireAt_ = now + expireInterval;
    for (const RequestFingerprint &fingerprint : table_.expire(now)) {
        if (isOwnerOf(fingerprint))
            remove(fingerprint);
    }
}

void QuarantineExchange::announce(Millis now)
{
    if (pendingAnnouncements_.empty() || now < announceAt_)
        return;
    announceAt_ = now + announceDelay;
    SuspicionAnnouncement announcement;
    while (!pendingAnnouncements_.empty() && announcement.suspicions.size() < suspicionsPerRound) {
        const auto fingerprint = RequestFingerprint::fromText(*pendingAnnouncements_.begin());
        pendingAnnouncements_.erase(pendingAnnouncements_.begin());
        if (auto suspicion = table_.find(*fingerprint, now))
            announcement.suspicions.push_back(std::move(*suspicion));
    }
    if (!guardEnabled(Guard::SuspicionAnnounced))
        return;
    for (const PeerAddress &peer : peers_.all())
        send(peer, announcement);
}

void QuarantineExchange::sendAntiEntropy()
{
    if (!table_.hasSuspects() || !guardEnabled(Guard::SuspicionToldAgain))
        return;
    if (const auto peer = peers_.anyLinked(environment_.random))
        send(*peer,
             SuspicionAnnouncement{
                 false, table_.nextSuspects(suspicionsPerRound, environment_.clock.now())});
}

void QuarantineExchange::readQuarantined(Millis now)
{
    if (readers_.empty() || peerQueries_ >= maxPeerQueries)
        return readStore(now);
    queriedReader_ = readers_[static_cast<std::size_t>(peerQueries_++) % readers_.size()];
    storeReadAt_ = now + peerQueryInterval;
    send(queriedReader_, SuspicionAnnouncement{true, {}});
}

void QuarantineExchange::sendQuarantined(const PeerAddress &to)
{
    if (!isStoreRead_)
        return;
    const Millis now = environment_.clock.now();
    SuspicionAnnouncement announcement{false, {}};
    for (const RequestFingerprint &fingerprint : table_.quarantined(now)) {
        announcement.suspicions.push_back(*table_.find(fingerprint, now));
        if (announcement.suspicions.size() < suspicionsPerRound)
            continue;
        send(to, announcement);
        announcement.suspicions.clear();
    }
    // The last one is sent even if it is empty: it shows that there are no more.
    send(to, announcement);
}

void QuarantineExchange::readStore(Millis now)
{
    isStoreReadInFlight_ = true;
    storeReadAt_ = now + storeReadRetryDelay_;
    storeReadRetryDelay_ = std::min(storeReadRetryDelay_ * 2, maxRetryDelay);
    environment_.store.list(storePrefix,
                            [this](const StoreReply &reply) { handleStoreRead(reply); });
}

void QuarantineExchange::handleStoreRead(const StoreReply &reply)
{
    isStoreReadInFlight_ = false;
    if (reply.status != StoreStatus::Ok)
        return;
    isStoreRead_ = true;
    if (!guardEnabled(Guard::QuarantineReadAtStart))
        return;
    for (const StoreObject &object : reply.objects) {
        const auto suspicion = suspicionOf(object);
        if (!suspicion) {
            environment_.events(Event{&events::quarantineEntryRefused, {{"object", object.path}}});
            continue;
        }
        applySuspicion(*suspicion);
        pendingWrites_.erase(suspicion->fingerprint.text());
    }
}

void QuarantineExchange::writeStore(Millis now)
{
    std::vector<std::string> due;
    for (const auto &[text, pending] : pendingWrites_) {
        if (!pending.isInFlight && now >= pending.nextAt)
            due.push_back(text);
    }
    for (const std::string &text : due) {
        const auto suspicion = table_.find(*RequestFingerprint::fromText(text), now);
        if (!suspicion) {
            pendingWrites_.erase(text);
            continue;
        }
        pendingWrites_[text].isInFlight = true;
        environment_.store.put(
            StorePut{storePath(text), storedValue(*suspicion), 0},
            [this, text](const StoreReply &reply) { handleStoreWrite(text, reply.status); });
    }
}

void QuarantineExchange::handleStoreWrite(const std::string &fingerprint, StoreStatus status)
{
    const auto entry = pendingWrites_.find(fingerprint);
    if (entry == pendingWrites_.end())
        return;
    // On a conflict another owner wrote it, or this one did and missed the reply.
    if (status == StoreStatus::Ok || status == StoreStatus::Conflict) {
        pendingWrites_.erase(entry);
        return;
    }
    PendingWrite &pending = entry->second;
    pending.isInFlight = false;
    pending.nextAt = environment_.clock.now() + pending.retryDelay;
    pending.retryDelay = std::min(pending.retryDelay * 2, maxRetryDelay);
}

void QuarantineExchange::remove(const RequestFingerprint &fingerprint)
{
    environment_.store.remove(storePath(fingerprint.text()), std::nullopt,
                              [this, fingerprint](const StoreReply &reply) {
                                  const bool isRemoved = reply.status == StoreStatus::Ok
                                      || reply.status == StoreStatus::NotFound;
                                  if (!isRemoved)
                                      log(events::quarantineNotRemoved, fingerprint);
                              });
}

void QuarantineExchange::send(const PeerAddress &to, const QuarantineMessage &message)
{
    ++stats_.framesSent;
    environment_.transport.send(to, encodeQuarantineMessage(message));
}

void QuarantineExchange::log(const EventKind &kind, const RequestFingerprint &fingerprint) const
{
    environment_.events(Event{&kind, {{"content", fingerprint.text()}}});
}

} // namespace cuminrail
