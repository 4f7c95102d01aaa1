#include "quarantine/exchange/QuarantineExchange.h"

#include "core/events/EventCatalogue.h"
#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cuminrail {

namespace {

bool includesAll(const std::vector<UpstreamIncarnation> &all,
                 const std::vector<UpstreamIncarnation> &wanted)
{
    return std::all_of(wanted.begin(), wanted.end(), [&](UpstreamIncarnation each) {
        return std::find(all.begin(), all.end(), each) != all.end();
    });
}

std::vector<UpstreamIncarnation> upstreamsOf(const Suspicion &suspicion)
{
    std::vector<UpstreamIncarnation> upstreams;
    for (const UpstreamEnding &each : suspicion.endings)
        upstreams.push_back(each.upstream);
    return upstreams;
}

} // namespace

QuarantineExchange::QuarantineExchange(Environment environment, QuarantineOptions options)
    : environment_(std::move(environment)), options_(options),
      trials_(environment_.clock, owners_,
              {[this](const PeerAddress &owner, const ContentFingerprint &content) {
                   send(owner, TrialQuery{content});
               },
               [this](const PeerAddress &owner, const ContentFingerprint &content) {
                   send(owner, TrialEnded{content});
               }}),
      store_(environment_.store, environment_.clock, environment_.random, environment_.events)
{
    store_.onRead = [this](const Quarantine &quarantine) { adopt(quarantine); };
    store_.find = [this](const std::string &id) {
        return quarantines_.find(id, environment_.clock.now());
    };
}

void QuarantineExchange::setPeers(std::vector<OwnerCandidate> peers)
{
    peers_.setPeers(peers);
    owners_.setPeers(std::move(peers));
}

std::vector<PeerAddress> QuarantineExchange::ownersOf(const std::string &id) const
{
    return owners_.ownersOf(StableHash().add(id).value(), ownersPerContent);
}

bool QuarantineExchange::isOwnerOf(const std::string &id) const
{
    const std::vector<PeerAddress> owners = ownersOf(id);
    return owners.empty() || std::find(owners.begin(), owners.end(), "") != owners.end();
}

QuarantineDecision QuarantineExchange::decide(const RequestContents &contents)
{
    if (!hasSuspects())
        return QuarantineDecision::Send;
    if (remainingQuarantine(contents))
        return QuarantineDecision::Refuse;
    const auto held = heldContent(contents);
    if (!held)
        return QuarantineDecision::Send;
    // The caller's next attempt meets an instance that can ask for a trial.
    if (isCutOff_)
        return QuarantineDecision::Refuse;
    if (awaitsOtherCustomer(contents, *held) || !trials_.take(*held))
        return QuarantineDecision::Wait;
    ++stats_.trials;
    log(events::contentTried, held->text());
    return QuarantineDecision::SendAsTrial;
}

std::optional<ContentFingerprint>
QuarantineExchange::heldContent(const RequestContents &contents) const
{
    if (!guardEnabled(Guard::PartHeld))
        return std::nullopt;
    const Millis now = environment_.clock.now();
    const std::size_t threshold = isCutOff_ ? 1 : options_.holdThreshold;
    std::optional<ContentFingerprint> held;
    std::size_t mostEndings = 0;
    for (const ContentFingerprint &content : contents.all()) {
        if (content.kind() == ContentKind::Request || !table_.isHeld(content, threshold, now))
            continue;
        const std::size_t endings = table_.endingCount(content, now);
        if (endings > mostEndings || (endings == mostEndings && content < *held)) {
            held = content;
            mostEndings = endings;
        }
    }
    return held;
}

bool QuarantineExchange::awaitsOtherCustomer(const RequestContents &contents,
                                             const ContentFingerprint &held) const
{
    if (held.kind() != ContentKind::Part)
        return false;
    const Millis now = environment_.clock.now();
    const auto part = table_.find(held, now);
    const auto isRecent = [](const UpstreamEnding &each) { return each.age < otherCustomerWait; };
    if (!part || std::none_of(part->endings.begin(), part->endings.end(), isRecent))
        return false;
    return std::any_of(contents.all().begin(), contents.all().end(), [&](const auto &content) {
        const auto own =
            content.kind() == ContentKind::CustomerPart ? table_.find(content, now) : std::nullopt;
        return own && includesAll(upstreamsOf(*own), upstreamsOf(*part));
    });
}

SuspicionLevel QuarantineExchange::level(const ContentFingerprint &content) const
{
    const Millis now = environment_.clock.now();
    return quarantines_.find(content.text(), now) ? SuspicionLevel::Quarantined
                                                  : table_.level(content, now);
}

bool QuarantineExchange::isSuspected(const RequestContents &contents) const
{
    return hasSuspects() && level(contents.request()) >= SuspicionLevel::Suspected;
}

std::optional<Millis> QuarantineExchange::remainingQuarantine(const RequestContents &contents) const
{
    const auto quarantine = quarantines_.matching(contents, environment_.clock.now());
    return quarantine ? std::optional<Millis>(quarantine->remaining) : std::nullopt;
}

void QuarantineExchange::upstreamEnded(const RequestContents &contents,
                                       UpstreamIncarnation upstream, bool isTrial)
{
    ++stats_.ends;
    const Millis now = environment_.clock.now();
    for (const ContentFingerprint &content : contents.all()) {
        const Suspicion seen{
            content, {{upstream, Millis(), isTrial}}, table_.wasAnswered(content, now)};
        if (applySuspicion(seen))
            pendingAnnouncements_.insert(content);
        pendingReports_.insert(content);
    }
    if (isTrial)
        trials_.finish(contents);
    if (isTrial || !guardEnabled(Guard::PartTried))
        judge(contents);
    flush(now);
}

bool QuarantineExchange::applySuspicion(const Suspicion &suspicion)
{
    const Millis now = environment_.clock.now();
    const ContentFingerprint &content = suspicion.content;
    const bool wasSuspected = table_.level(content, now) == SuspicionLevel::Suspected;
    if (!table_.add(suspicion, now)) {
        // Here one ending is enough for a content to be held.
        if (isCutOff_)
            notifyRestricted();
        return false;
    }
    if (!wasSuspected)
        log(events::requestSuspected, content.text());
    const auto known = table_.find(content, now);
    if (content.kind() == ContentKind::Request && known->endings.size() >= requestThreshold)
        adopt({{content}, upstreamsOf(*known), {}, QuarantineTable::retention});
    else
        notifyRestricted();
    return true;
}

void QuarantineExchange::judge(const RequestContents &contents)
{
    Quarantine quarantine{mostSuspected(contents), {}, {}, QuarantineTable::retention};
    if (quarantine.contents.empty())
        return;
    const Millis now = environment_.clock.now();
    quarantine.ended = upstreamsOf(*table_.find(quarantine.contents.front(), now));
    adopt(quarantine);
    sendAll(QuarantineAnnouncement{{quarantine}, false});
}

std::vector<ContentFingerprint>
QuarantineExchange::mostSuspected(const RequestContents &contents) const
{
    const Millis now = environment_.clock.now();
    std::vector<ContentFingerprint> most;
    // An unanswered content goes before an answered one, then more endings before fewer.
    std::pair<bool, std::size_t> mostRank{};
    for (const ContentFingerprint &content : contents.all()) {
        const auto suspicion = table_.find(content, now);
        if (content.kind() == ContentKind::Request || !suspicion
            || !isProvenByTrial(*suspicion, contents))
            continue;
        const std::pair<bool, std::size_t> rank{!suspicion->wasAnswered, suspicion->endings.size()};
        if (rank > mostRank)
            most.clear();
        if (rank >= mostRank)
            most.push_back(content);
        mostRank = std::max(mostRank, rank);
    }
    std::sort(most.begin(), most.end());
    if (most.size() > Quarantine::maxContents)
        most.resize(Quarantine::maxContents, most.front());
    return most;
}

bool QuarantineExchange::isProvenByTrial(const Suspicion &suspicion,
                                         const RequestContents &contents) const
{
    if (suspicion.endings.size() < partThreshold)
        return false;
    if (!guardEnabled(Guard::PartTried))
        return true;
    const std::size_t rivalEndings = table_.mostEndings(contents.all());
    if (rivalEndings > suspicion.endings.size())
        return false;
    // What was sound until just now needs more than what nobody was answered on.
    const bool isEarly =
        suspicion.endings.size() <= partThreshold || countMoments(suspicion) < partThreshold;
    if (suspicion.wasAnswered && isEarly)
        return false;
    const bool isDoubtful = suspicion.wasAnswered || countMoments(suspicion) < partThreshold
        || rivalEndings == suspicion.endings.size()
        || table_.hasOtherEnding(suspicion, Millis(0), doubtWindow, environment_.clock.now());
    return countTrials(suspicion) >= (isDoubtful ? 2 : 1);
}

std::ptrdiff_t QuarantineExchange::countTrials(const Suspicion &suspicion) const
{
    const Millis now = environment_.clock.now();
    return std::count_if(suspicion.endings.begin(), suspicion.endings.end(),
                         [&](const UpstreamEnding &each) {
                             return each.isTrial
                                 && !table_.hasOtherEnding(suspicion, each.age - simultaneousSpan,
                                                           each.age + simultaneousSpan, now);
                         });
}

std::size_t QuarantineExchange::countMoments(const Suspicion &suspicion)
{
    std::vector<Millis> ages;
    for (const UpstreamEnding &each : suspicion.endings)
        ages.push_back(each.age);
    std::sort(ages.begin(), ages.end());
    std::size_t count = 0;
    for (std::size_t i = 0; i < ages.size(); ++i)
        count += i == 0 || ages[i] - ages[i - 1] > simultaneousSpan ? 1 : 0;
    return count;
}

bool QuarantineExchange::settleWithOthers(const Quarantine &quarantine, Millis now)
{
    const std::string id = quarantine.id();
    bool isContradicted = false;
    for (const Quarantine &other : quarantines_.all(now)) {
        if (other.id() == id || !includesAll(quarantine.ended, other.ended))
            continue;
        // Two trials that met at one upstream: one of them is innocent.
        const bool isOfRequest = other.contents.front().kind() == ContentKind::Request;
        isContradicted =
            isContradicted || (!isOfRequest && other.ended.size() == quarantine.ended.size());
        if (quarantines_.drop(other.id(), now) && isOwnerOf(other.id()))
            store_.remove(other.id());
    }
    if (isContradicted)
        quarantines_.drop(id, now);
    return !isContradicted;
}

bool QuarantineExchange::adopt(const Quarantine &quarantine)
{
    const Millis now = environment_.clock.now();
    if (!quarantines_.add(quarantine, now))
        return false;
    ++stats_.quarantined;
    const std::string id = quarantine.id();
    log(events::requestQuarantined, id);
    if (!settleWithOthers(quarantine, now))
        return false;
    table_.explain(quarantine.contents, quarantine.ended);
    if (isOwnerOf(id))
        store_.write(id);
    notifyRestricted();
    return true;
}

void QuarantineExchange::requestAnswered(const RequestContents &contents, Millis beganAt)
{
    const Millis now = environment_.clock.now();
    for (const ContentFingerprint &content : contents.all()) {
        const bool wasSuspected =
            table_.level(content, now) >= SuspicionLevel::Suspected || quarantines_.names(content);
        std::vector<UpstreamIncarnation> voided = table_.recordAnswer(content, beganAt, now);
        for (const UpstreamIncarnation upstream : quarantines_.endedBefore(content, beganAt)) {
            if (std::find(voided.begin(), voided.end(), upstream) == voided.end())
                voided.push_back(upstream);
        }
        if (voided.empty())
            continue;
        voided.resize(std::min(voided.size(), QuarantineMessageLimits::upstreams));
        const SuspicionCleared cleared{content, voided};
        if (wasSuspected) {
            ++stats_.cleared;
            clear(content, voided);
            sendAll(cleared);
            continue;
        }
        for (const PeerAddress &owner : ownersOf(content.text())) {
            if (!owner.empty())
                send(owner, cleared);
        }
    }
}

void QuarantineExchange::clear(const ContentFingerprint &content,
                               const std::vector<UpstreamIncarnation> &upstreams)
{
    const Millis now = environment_.clock.now();
    log(events::suspicionCleared, content.text());
    for (const QuarantineTable::Change &change : quarantines_.clear(content, upstreams, now)) {
        if (isOwnerOf(change.oldId))
            store_.remove(change.oldId);
        else
            store_.cancelWrite(change.oldId);
        if (!change.newId.empty() && isOwnerOf(change.newId))
            store_.write(change.newId);
    }
}

bool QuarantineExchange::lift(const std::string &id)
{
    const auto quarantine = quarantines_.find(id, environment_.clock.now());
    if (!quarantine)
        return false;
    const QuarantineLifted lifted{id, quarantine->contents, quarantine->ended};
    handle({}, lifted);
    store_.remove(id);
    sendAll(lifted);
    return true;
}

void QuarantineExchange::storeRestored()
{
    for (const Quarantine &quarantine : quarantines()) {
        const std::string id = quarantine.id();
        if (isOwnerOf(id))
            store_.writeAgain(id);
    }
}

void QuarantineExchange::notifyRestricted() const
{
    if (onRestricted)
        onRestricted();
}

void QuarantineExchange::log(const EventKind &kind, const std::string &content) const
{
    environment_.events(Event{&kind, {{"content", content}}});
}

} // namespace cuminrail
