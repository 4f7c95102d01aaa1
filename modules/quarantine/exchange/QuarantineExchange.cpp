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

/** Returns nothing for what another writer left there. */
std::optional<Suspicion> suspicionOf(const StoreObject &object)
{
    const std::string name = object.path.substr(std::string(storePrefix).size());
    const auto fingerprint = RequestFingerprint::fromText(name);
    const auto json = nlohmann::json::parse(object.value, nullptr, false);
    const auto ended = json.is_object() ? json.find("ended") : json.end();
    if (!fingerprint || ended == json.end() || !ended->is_array())
        return std::nullopt;
    Suspicion suspicion{*fingerprint, {}, SuspectBook::keptFor};
    for (const auto &life : *ended) {
        if (!life.is_number_unsigned())
            return std::nullopt;
        suspicion.ended.push_back(life.get<UpstreamLife>());
    }
    return suspicion;
}

} // namespace

QuarantineExchange::QuarantineExchange(Environment environment)
    : environment_(std::move(environment))
{
    const Millis now = environment_.clock.now();
    const auto spread = static_cast<std::uint64_t>(readSpread.count());
    readAt_ = now + Millis(static_cast<std::int64_t>(environment_.random() % spread));
}

void QuarantineExchange::setPeers(std::vector<KeeperCandidate> peers)
{
    others_.setPeers(peers);
    keepers_.setPeers(std::move(peers));
}

std::optional<Millis>
QuarantineExchange::quarantineLeft(const RequestFingerprint &fingerprint) const
{
    if (level(fingerprint) != SuspicionLevel::Quarantined)
        return std::nullopt;
    return book_.find(fingerprint, environment_.clock.now())->left;
}

std::vector<PeerAddress> QuarantineExchange::keepersOf(const RequestFingerprint &fingerprint) const
{
    return keepers_.firstFew(StableHash().add(fingerprint.text()).value(), keepersEach);
}

bool QuarantineExchange::isKeeperOf(const RequestFingerprint &fingerprint) const
{
    const std::vector<PeerAddress> keepers = keepersOf(fingerprint);
    return keepers.empty() || std::find(keepers.begin(), keepers.end(), "") != keepers.end();
}

void QuarantineExchange::upstreamEnded(const RequestFingerprint &fingerprint, UpstreamLife life)
{
    ++stats_.ends;
    const Millis now = environment_.clock.now();
    if (take({fingerprint, {life}, SuspectBook::keptFor}))
        toAnnounce_.insert(fingerprint.text());
    const auto suspicion = book_.find(fingerprint, now);
    if (!suspicion || !guardEnabled(Guard::SuspicionReported))
        return;
    for (const PeerAddress &keeper : keepersOf(fingerprint)) {
        if (!keeper.empty())
            send(keeper, SuspicionNotice{true, {*suspicion}});
    }
}

bool QuarantineExchange::take(const Suspicion &suspicion)
{
    const Millis now = environment_.clock.now();
    const RequestFingerprint &fingerprint = suspicion.fingerprint;
    if (!book_.add(suspicion, now))
        return false;
    const bool isQuarantined = level(fingerprint) == SuspicionLevel::Quarantined;
    log(isQuarantined ? events::requestQuarantined : events::requestSuspected, fingerprint);
    if (!isQuarantined)
        return true;
    ++stats_.quarantined;
    if (isKeeperOf(fingerprint))
        toWrite_.emplace(fingerprint.text(), Writing());
    return true;
}

void QuarantineExchange::ranToItsEnd(const RequestFingerprint &fingerprint)
{
    if (!book_.prove(fingerprint, environment_.clock.now()))
        return;
    ++stats_.cleared;
    clear(fingerprint);
    for (const PeerAddress &other : others_.all())
        send(other, SuspicionCleared{fingerprint});
}

void QuarantineExchange::clear(const RequestFingerprint &fingerprint)
{
    log(events::suspicionCleared, fingerprint);
    toAnnounce_.erase(fingerprint.text());
    toWrite_.erase(fingerprint.text());
    if (isKeeperOf(fingerprint))
        remove(fingerprint);
}

bool QuarantineExchange::received(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeQuarantineMessage(frame);
    if (!message)
        return false;
    std::visit([&](const auto &each) { on(from, each); }, *message);
    return true;
}

void QuarantineExchange::on(const PeerAddress &from, const SuspicionNotice &notice)
{
    const Millis now = environment_.clock.now();
    for (const Suspicion &suspicion : notice.suspicions) {
        if (book_.isProven(suspicion.fingerprint, now)) {
            // It ran to its end here a moment ago; whoever suspects it does not know.
            if (suspicion.ended.size() >= SuspectBook::suspectedFrom)
                send(from, SuspicionCleared{suspicion.fingerprint});
        } else if (notice.isReport) {
            weigh(from, suspicion);
        } else {
            take(suspicion);
        }
    }
}

void QuarantineExchange::weigh(const PeerAddress &from, const Suspicion &suspicion)
{
    if (take(suspicion)) {
        toAnnounce_.insert(suspicion.fingerprint.text());
        return;
    }
    // Who reports an end under a request that is suspected already may not have heard of that.
    const auto known = book_.find(suspicion.fingerprint, environment_.clock.now());
    if (known && known->ended.size() > suspicion.ended.size())
        send(from, SuspicionNotice{false, {*known}});
}

void QuarantineExchange::on(const PeerAddress &, const SuspicionCleared &cleared)
{
    if (book_.prove(cleared.fingerprint, environment_.clock.now()))
        clear(cleared.fingerprint);
}

void QuarantineExchange::tick()
{
    const Millis now = environment_.clock.now();
    announce(now);
    if (now >= tellAt_) {
        tellAt_ = now + tellEvery;
        tellOne();
    }
    if (!wasRead_ && !isReading_ && now >= readAt_)
        readStore(now);
    writeStore(now);
    if (now < expireAt_)
        return;
    expireAt_ = now + expireEvery;
    for (const RequestFingerprint &fingerprint : book_.expire(now)) {
        if (isKeeperOf(fingerprint))
            remove(fingerprint);
    }
}

void QuarantineExchange::announce(Millis now)
{
    if (toAnnounce_.empty() || now < announceAt_)
        return;
    announceAt_ = now + gather;
    SuspicionNotice notice;
    while (!toAnnounce_.empty() && notice.suspicions.size() < toldAtOnce) {
        const auto fingerprint = RequestFingerprint::fromText(*toAnnounce_.begin());
        toAnnounce_.erase(toAnnounce_.begin());
        if (auto suspicion = book_.find(*fingerprint, now))
            notice.suspicions.push_back(std::move(*suspicion));
    }
    if (!guardEnabled(Guard::SuspicionAnnounced))
        return;
    for (const PeerAddress &other : others_.all())
        send(other, notice);
}

void QuarantineExchange::tellOne()
{
    if (!book_.hasRaised() || !guardEnabled(Guard::SuspicionToldAgain))
        return;
    if (const auto one = others_.anyLinked(environment_.random))
        send(*one, SuspicionNotice{false, book_.nextRaised(toldAtOnce, environment_.clock.now())});
}

void QuarantineExchange::readStore(Millis now)
{
    isReading_ = true;
    readAt_ = now + readRetry_;
    readRetry_ = std::min(readRetry_ * 2, longestRetry);
    environment_.store.list(storePrefix, [this](const StoreReply &reply) { storeRead(reply); });
}

void QuarantineExchange::storeRead(const StoreReply &reply)
{
    isReading_ = false;
    if (reply.status != StoreStatus::Ok)
        return;
    wasRead_ = true;
    if (!guardEnabled(Guard::QuarantineReadAtStart))
        return;
    for (const StoreObject &object : reply.objects) {
        const auto suspicion = suspicionOf(object);
        if (!suspicion) {
            environment_.events(Event{&events::quarantineEntryRefused, {{"object", object.path}}});
            continue;
        }
        take(*suspicion);
        toWrite_.erase(suspicion->fingerprint.text());
    }
}

void QuarantineExchange::writeStore(Millis now)
{
    std::vector<std::string> due;
    for (const auto &[text, writing] : toWrite_) {
        if (!writing.isUnderWay && now >= writing.nextAt)
            due.push_back(text);
    }
    for (const std::string &text : due) {
        const auto suspicion = book_.find(*RequestFingerprint::fromText(text), now);
        if (!suspicion) {
            toWrite_.erase(text);
            continue;
        }
        toWrite_[text].isUnderWay = true;
        environment_.store.put(
            StorePut{storePath(text), storedValue(*suspicion), 0},
            [this, text](const StoreReply &reply) { written(text, reply.status); });
    }
}

void QuarantineExchange::written(const std::string &fingerprint, StoreStatus status)
{
    const auto entry = toWrite_.find(fingerprint);
    if (entry == toWrite_.end())
        return;
    // In a conflict another keeper wrote it, or this one did and did not hear of it.
    if (status == StoreStatus::Ok || status == StoreStatus::Conflict) {
        toWrite_.erase(entry);
        return;
    }
    Writing &writing = entry->second;
    writing.isUnderWay = false;
    writing.nextAt = environment_.clock.now() + writing.retry;
    writing.retry = std::min(writing.retry * 2, longestRetry);
}

void QuarantineExchange::remove(const RequestFingerprint &fingerprint)
{
    environment_.store.remove(storePath(fingerprint.text()), std::nullopt,
                              [this, fingerprint](const StoreReply &reply) {
                                  const bool isGone = reply.status == StoreStatus::Ok
                                      || reply.status == StoreStatus::NotFound;
                                  if (!isGone)
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
