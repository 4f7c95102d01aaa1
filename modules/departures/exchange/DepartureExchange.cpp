#include "departures/exchange/DepartureExchange.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <algorithm>
#include <utility>

namespace cuminrail {

namespace {

OwnershipKey keyOf(UpstreamIncarnation incarnation)
{
    return StableHash().add(incarnation).value();
}

} // namespace

DepartureExchange::DepartureExchange(PeerTransport transport, Clock clock, RandomHook random)
    : transport_(std::move(transport)), clock_(std::move(clock)), random_(std::move(random))
{ }

void DepartureExchange::setPeers(const std::vector<OwnerCandidate> &peers)
{
    peers_.setPeers(peers);
    owners_.setPeers(peers);
}

bool DepartureExchange::learn(UpstreamIncarnation incarnation, Millis at, DepartureSource source)
{
    const bool isOver = clock_.now() - at >= retention;
    if (isOver || isKnown(incarnation))
        return false;
    if (learnedAt_.size() >= maxEntries)
        learnedAt_.erase(learnedAt_.begin());
    learnedAt_[incarnation] = at;
    if (onDeparture)
        onDeparture(incarnation, source);
    return true;
}

void DepartureExchange::report(UpstreamIncarnation incarnation)
{
    if (!learn(incarnation, clock_.now(), DepartureSource::Response)
        || !guardEnabled(Guard::DepartureReported))
        return;
    const std::vector<PeerAddress> owners = owners_.ownersOf(keyOf(incarnation), ownersPerUpstream);
    const std::string frame = encodeDepartures({true, {toAnnounced(incarnation)}});
    for (const PeerAddress &owner : owners) {
        if (!owner.empty())
            transport_.send(owner, frame);
    }
    if (std::find(owners.begin(), owners.end(), PeerAddress()) != owners.end())
        pendingAnnouncements_.insert(incarnation);
}

bool DepartureExchange::handleFrame(const std::string &frame)
{
    const auto announcement = decodeDepartures(frame);
    if (!announcement)
        return false;
    for (const AnnouncedDeparture &each : announcement->departures) {
        const bool isNew =
            learn(each.incarnation, clock_.now() - each.age, DepartureSource::Instance);
        if (isNew && announcement->isReport)
            pendingAnnouncements_.insert(each.incarnation);
    }
    return true;
}

void DepartureExchange::tick()
{
    announce();
    const Millis now = clock_.now();
    if (now < antiEntropyAt_)
        return;
    antiEntropyAt_ = now + antiEntropyInterval;
    expire();
    sendAntiEntropy();
}

void DepartureExchange::announce()
{
    DepartureAnnouncement announcement;
    while (!pendingAnnouncements_.empty()
           && announcement.departures.size() < DepartureMessageLimits::departures) {
        const UpstreamIncarnation incarnation = *pendingAnnouncements_.begin();
        pendingAnnouncements_.erase(pendingAnnouncements_.begin());
        if (isKnown(incarnation))
            announcement.departures.push_back(toAnnounced(incarnation));
    }
    if (announcement.departures.empty() || !guardEnabled(Guard::DepartureAnnounced))
        return;
    const std::string frame = encodeDepartures(announcement);
    for (const PeerAddress &peer : peers_.all())
        transport_.send(peer, frame);
}

void DepartureExchange::sendAntiEntropy()
{
    const std::vector<UpstreamIncarnation> all = tellable();
    const auto peer = peers_.anyLinked(random_);
    if (!peer || all.empty() || !guardEnabled(Guard::DepartureToldAgain))
        return;
    const std::size_t first = random_() % all.size();
    const std::size_t count = std::min(all.size(), DepartureMessageLimits::departures);
    DepartureAnnouncement announcement;
    for (std::size_t i = 0; i < count; ++i)
        announcement.departures.push_back(toAnnounced(all[(first + i) % all.size()]));
    transport_.send(*peer, encodeDepartures(announcement));
}

std::vector<UpstreamIncarnation> DepartureExchange::tellable() const
{
    std::vector<UpstreamIncarnation> all;
    for (const auto &[incarnation, at] : learnedAt_) {
        if (clock_.now() - at < tellingPeriod)
            all.push_back(incarnation);
    }
    return all;
}

void DepartureExchange::expire()
{
    const Millis now = clock_.now();
    for (auto it = learnedAt_.begin(); it != learnedAt_.end();)
        it = now - it->second >= retention ? learnedAt_.erase(it) : std::next(it);
}

AnnouncedDeparture DepartureExchange::toAnnounced(UpstreamIncarnation incarnation) const
{
    return {incarnation, clock_.now() - learnedAt_.at(incarnation)};
}

} // namespace cuminrail
