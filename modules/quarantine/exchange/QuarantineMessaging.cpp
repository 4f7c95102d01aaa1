#include "quarantine/exchange/QuarantineExchange.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"

#include <algorithm>
#include <map>

namespace cuminrail {

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
    for (const Suspicion &suspicion : announcement.suspicions) {
        const ContentFingerprint &content = suspicion.content;
        // A request with the content was answered here, and the sender does not know that yet.
        const auto voided = table_.voidedIn(suspicion, now);
        if (!voided.empty() && suspicion.endings.size() >= SuspicionTable::suspectedThreshold)
            send(from, SuspicionCleared{content, voided});
        if (!suspicion.wasAnswered && table_.wasAnswered(content, now))
            send(from, SuspicionAnnouncement{true, {{content, {}, true}}});
        if (announcement.isReport)
            handleReport(from, suspicion);
        else
            applySuspicion(suspicion);
    }
    flush(now);
}

void QuarantineExchange::handleReport(const PeerAddress &from, const Suspicion &suspicion)
{
    const ContentFingerprint &content = suspicion.content;
    if (applySuspicion(suspicion)) {
        pendingAnnouncements_.insert(content);
        return;
    }
    // The reporting instance may not know yet that the content is already suspected.
    const auto known = table_.find(content, environment_.clock.now());
    if (known && known->endings.size() > suspicion.endings.size())
        send(from, SuspicionAnnouncement{false, {*known}});
}

void QuarantineExchange::handle(const PeerAddress &, const SuspicionCleared &cleared)
{
    const bool wasCounted = table_.voidEndings(cleared.content, cleared.upstreams);
    if (wasCounted || quarantines_.names(cleared.content))
        clear(cleared.content, cleared.upstreams);
}

void QuarantineExchange::handle(const PeerAddress &from, const QuarantineAnnouncement &announcement)
{
    if (announcement.isLast && !queriedReader_.empty() && from == queriedReader_)
        store_.setRead();
    isBriefed_ = true;
    const Millis now = environment_.clock.now();
    QuarantineAnnouncement news;
    for (const Quarantine &quarantine : announcement.quarantines) {
        const std::string id = quarantine.id();
        if (quarantines_.wasLiftedSince(quarantine, now))
            send(from, QuarantineLifted{id, quarantine.contents, quarantine.ended});
        else if (adopt(quarantine) && isOwnerOf(id))
            news.quarantines.push_back(quarantine);
    }
    // The frame of the instance that reached the quarantine may be lost to some.
    if (!news.quarantines.empty() && guardEnabled(Guard::SuspicionAnnounced))
        sendAll(news);
}

void QuarantineExchange::handle(const PeerAddress &, const QuarantineLifted &lifted)
{
    const bool wasInForce = quarantines_.lift(lifted.id, environment_.clock.now());
    for (const ContentFingerprint &content : lifted.contents)
        table_.voidEndings(content, lifted.upstreams);
    store_.cancelWrite(lifted.id);
    if (wasInForce)
        log(events::quarantineLifted, lifted.id);
}

void QuarantineExchange::handle(const PeerAddress &from, const QuarantineQuery &)
{
    sendQuarantines(from);
}

void QuarantineExchange::handle(const PeerAddress &from, const TrialQuery &query)
{
    const bool isOver = level(query.content) == SuspicionLevel::Quarantined;
    send(from, TrialReply{query.content, !isOver && trials_.grant(query.content)});
}

void QuarantineExchange::handle(const PeerAddress &from, const TrialReply &reply)
{
    trials_.onReply(from, reply.content, reply.isGranted);
}

void QuarantineExchange::handle(const PeerAddress &, const TrialEnded &ended)
{
    trials_.release(ended.content);
}

void QuarantineExchange::tick()
{
    const Millis now = environment_.clock.now();
    updateReach();
    flush(now);
    if (now >= antiEntropyAt_) {
        antiEntropyAt_ = now + antiEntropyInterval;
        sendAntiEntropy();
    }
    trials_.tick();
    if (!isBriefed_)
        askForBriefing(now);
    if (!store_.isRead())
        readQuarantines(now);
    store_.tick();
    if (now < expireAt_)
        return;
    expireAt_ = now + expireInterval;
    table_.expire(now);
    for (const std::string &id : quarantines_.expire(now)) {
        if (isOwnerOf(id))
            store_.remove(id);
    }
}

void QuarantineExchange::flush(Millis now)
{
    if (now < flushAt_ || (pendingReports_.empty() && pendingAnnouncements_.empty()))
        return;
    flushAt_ = now + announceDelay;
    sendReports(now);
    sendAnnouncements(now);
}

void QuarantineExchange::sendReports(Millis now)
{
    if (!guardEnabled(Guard::SuspicionReported))
        return;
    std::map<PeerAddress, SuspicionAnnouncement> reports;
    for (const ContentFingerprint &content : std::exchange(pendingReports_, {})) {
        const auto suspicion = table_.find(content, now);
        if (!suspicion)
            continue;
        for (const PeerAddress &owner : ownersOf(content.text())) {
            if (owner.empty())
                continue;
            SuspicionAnnouncement &report = reports[owner];
            report.isReport = true;
            report.suspicions.push_back(*suspicion);
            if (report.suspicions.size() == QuarantineMessageLimits::suspicions) {
                send(owner, report);
                report.suspicions.clear();
            }
        }
    }
    for (const auto &[owner, report] : reports) {
        if (!report.suspicions.empty())
            send(owner, report);
    }
}

void QuarantineExchange::sendAnnouncements(Millis now)
{
    SuspicionAnnouncement announcement;
    while (!pendingAnnouncements_.empty() && announcement.suspicions.size() < suspicionsPerRound) {
        const ContentFingerprint content = *pendingAnnouncements_.begin();
        pendingAnnouncements_.erase(pendingAnnouncements_.begin());
        if (auto suspicion = table_.find(content, now))
            announcement.suspicions.push_back(std::move(*suspicion));
    }
    if (!announcement.suspicions.empty() && guardEnabled(Guard::SuspicionAnnounced))
        sendAll(announcement);
}

void QuarantineExchange::updateReach()
{
    const auto &all = peers_.all();
    const bool wasCutOff = isCutOff_;
    isCutOff_ =
        peers_.isLinked && !all.empty() && std::none_of(all.begin(), all.end(), peers_.isLinked);
    if (!wasCutOff || isCutOff_)
        return;
    isBriefed_ = false;
    // What was seen while nobody could be told.
    for (const ContentFingerprint &content : table_.contents())
        pendingReports_.insert(content);
}

void QuarantineExchange::sendAntiEntropy()
{
    if (!hasSuspects() || !guardEnabled(Guard::SuspicionToldAgain))
        return;
    const auto peer = peers_.anyLinked(environment_.random);
    if (!peer)
        return;
    if (table_.hasSuspects())
        send(*peer,
             SuspicionAnnouncement{
                 false, table_.nextSuspects(suspicionsPerRound, environment_.clock.now())});
    const std::vector<Quarantine> all = quarantines();
    QuarantineAnnouncement announcement;
    const std::size_t count = std::min(all.size(), suspicionsPerRound);
    for (std::size_t i = 0; i < count; ++i)
        announcement.quarantines.push_back(all[nextQuarantine_++ % all.size()]);
    if (count > 0)
        send(*peer, announcement);
}

void QuarantineExchange::askForBriefing(Millis now)
{
    const auto peer = now < nextBriefingAt_ ? std::nullopt : peers_.anyLinked(environment_.random);
    if (!peer)
        return;
    nextBriefingAt_ = now + briefingInterval;
    send(*peer, QuarantineQuery{});
}

void QuarantineExchange::readQuarantines(Millis now)
{
    if (readers_.empty() || peerQueries_ >= maxPeerQueries)
        return store_.read();
    if (now < nextPeerQueryAt_)
        return;
    queriedReader_ = readers_[static_cast<std::size_t>(peerQueries_++) % readers_.size()];
    nextPeerQueryAt_ = now + peerQueryInterval;
    send(queriedReader_, QuarantineQuery{});
}

void QuarantineExchange::sendQuarantines(const PeerAddress &to)
{
    const Millis now = environment_.clock.now();
    if (table_.hasSuspects())
        send(to, SuspicionAnnouncement{false, table_.nextSuspects(suspicionsPerRound, now)});
    QuarantineAnnouncement announcement;
    for (const Quarantine &quarantine : quarantines()) {
        announcement.quarantines.push_back(quarantine);
        if (announcement.quarantines.size() < QuarantineMessageLimits::quarantines)
            continue;
        send(to, announcement);
        announcement.quarantines.clear();
    }
    // The last one is sent even if it is empty: it shows that there are no more.
    announcement.isLast = store_.isRead();
    send(to, announcement);
}

void QuarantineExchange::sendAll(const QuarantineMessage &message)
{
    const std::string frame = encodeQuarantineMessage(message);
    for (const PeerAddress &peer : peers_.all()) {
        ++stats_.framesSent;
        environment_.transport.send(peer, frame);
    }
}

void QuarantineExchange::send(const PeerAddress &to, const QuarantineMessage &message)
{
    ++stats_.framesSent;
    environment_.transport.send(to, encodeQuarantineMessage(message));
}

} // namespace cuminrail
