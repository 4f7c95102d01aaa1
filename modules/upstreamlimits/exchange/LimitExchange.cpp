#include "upstreamlimits/exchange/LimitExchange.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cuminrail {

namespace {

/** Returns the customer name under which an upstream's limit is enforced as a quota. */
std::string quotaName(UpstreamIncarnation incarnation)
{
    return std::to_string(incarnation);
}

OwnershipKey keyOf(UpstreamIncarnation incarnation)
{
    return StableHash().add(quotaName(incarnation)).value();
}

UpstreamIncarnation incarnationOf(const std::string &quotaName)
{
    UpstreamIncarnation incarnation = 0;
    std::from_chars(quotaName.data(), quotaName.data() + quotaName.size(), incarnation);
    return incarnation;
}

} // namespace

LimitExchange::LimitExchange(QuotaTolerance tolerance, PeerTransport transport, Clock clock,
                             RandomHook random)
    : transport_(std::move(transport)), clock_(clock), random_(std::move(random)),
      quotas_(tolerance, PeerTransport{[this](const PeerAddress &to, std::string frame) {
                  sendQuotaFrame(to, std::move(frame));
              }},
              std::move(clock))
{ }

void LimitExchange::setPeers(const std::vector<OwnerCandidate> &peers)
{
    peers_.setPeers(peers);
    owners_.setPeers(peers);
    quotas_.setPeers(peers);
}

LimitChange LimitExchange::updateLimit(UpstreamIncarnation incarnation,
                                       std::optional<double> perSecond)
{
    const StatedLimit stated{incarnation, perSecond, clock_.now()};
    const LimitChange change = applyLimit(stated);
    if (change != LimitChange::Marked || !guardEnabled(Guard::LimitReported))
        return change;
    const PeerAddress &owner = owners_.primaryOwnerOf(keyOf(incarnation));
    if (owner.empty())
        pendingAnnouncements_.insert(incarnation);
    else
        sendAnnouncement(owner, stated, true);
    return change;
}

LimitChange LimitExchange::applyLimit(const StatedLimit &stated)
{
    const auto before = table_.limit(stated.incarnation);
    const LimitChange change = table_.update(stated);
    if (table_.limit(stated.incarnation) != before)
        setQuotas();
    if (change == LimitChange::Marked && !stated.perSecond)
        dropCredit(stated.incarnation);
    return change;
}

void LimitExchange::dropCredit(UpstreamIncarnation incarnation)
{
    const auto found = credits_.find(incarnation);
    if (found == credits_.end())
        return;
    const std::vector<Completion> waiting = std::exchange(found->second.waiting, {});
    credits_.erase(found);
    for (const Completion &done : waiting)
        done({true, Millis(0)});
}

void LimitExchange::setQuotas()
{
    QuotaTable quotas;
    for (const StatedLimit &stated : table_.all())
        quotas[quotaName(stated.incarnation)] = {QuotaUnit::Requests, *stated.perSecond, 0, 1};
    quotas_.setQuotas(std::move(quotas));
}

bool LimitExchange::mayUse(UpstreamIncarnation incarnation) const
{
    if (!table_.limit(incarnation))
        return true;
    const auto found = credits_.find(incarnation);
    return found != credits_.end() && found->second.isAvailable
        && clock_.now() < found->second.expiresAt;
}

std::optional<Millis> LimitExchange::retryDelay(UpstreamIncarnation incarnation) const
{
    const auto found = credits_.find(incarnation);
    if (!table_.limit(incarnation) || found == credits_.end())
        return std::nullopt;
    const Credit &credit = found->second;
    const Millis now = clock_.now();
    const bool isRefused = !credit.isAvailable && !credit.isRequested && now < credit.expiresAt;
    return isRefused ? std::optional<Millis>(credit.expiresAt - now) : std::nullopt;
}

void LimitExchange::prefetchCredits(const std::vector<UpstreamIncarnation> &incarnations)
{
    int remaining = maxPrefetched;
    for (const UpstreamIncarnation incarnation : incarnations) {
        if (remaining == 0)
            return;
        if (mayUse(incarnation) || isExhausted(incarnation) || credits_[incarnation].isRequested)
            continue;
        --remaining;
        acquire(incarnation, [](const CreditResult &) {});
    }
}

void LimitExchange::acquire(UpstreamIncarnation incarnation, Completion done)
{
    if (mayUse(incarnation))
        return done({true, Millis(0)});
    if (const auto room = retryDelay(incarnation))
        return done({false, *room});
    Credit &credit = credits_[incarnation];
    credit.waiting.push_back(std::move(done));
    if (credit.isRequested)
        return;
    credit.isRequested = true;
    credit.isAvailable = false;
    quotas_.release(credit.grant);
    quotas_.acquire(quotaName(incarnation), 1, [this, incarnation](const QuotaOutcome &outcome) {
        handleOutcome(incarnation, outcome);
    });
}

void LimitExchange::handleOutcome(UpstreamIncarnation incarnation, const QuotaOutcome &outcome)
{
    Credit &credit = credits_[incarnation];
    const bool isGranted = outcome.result == QuotaResult::Granted;
    const Millis pause = outcome.retryAfter.value_or(noReplyPause);
    credit.isRequested = false;
    credit.isAvailable = isGranted;
    credit.grant = outcome.grant;
    credit.expiresAt = clock_.now() + (isGranted ? creditLifetime : pause);
    stats_.refused += isGranted ? 0 : 1;
    const std::vector<Completion> waiting = std::exchange(credit.waiting, {});
    // The credit covers one of them; the others find it used and request another one.
    for (const Completion &done : waiting)
        done({isGranted, isGranted ? Millis(0) : pause});
}

void LimitExchange::use(UpstreamIncarnation incarnation)
{
    if (!table_.limit(incarnation))
        return;
    ++stats_.used;
    const auto found = credits_.find(incarnation);
    if (found == credits_.end() || !found->second.isAvailable) {
        ++stats_.unasked;
        return;
    }
    found->second.isAvailable = false;
    found->second.grant = QuotaGrant();
    found->second.expiresAt = Millis(0);
}

bool LimitExchange::handleFrame(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeLimitMessage(frame);
    if (!message)
        return false;
    if (const auto *quota = std::get_if<LimitQuotaFrame>(&*message)) {
        quotas_.handleFrame(from, quota->frame);
        return true;
    }
    const auto &announcement = std::get<LimitAnnouncement>(*message);
    for (const AnnouncedLimit &each : announcement.limits) {
        const StatedLimit stated{each.incarnation, each.perSecond, clock_.now() - each.age};
        if (applyLimit(stated) == LimitChange::Marked && announcement.isReport)
            pendingAnnouncements_.insert(each.incarnation);
    }
    return true;
}

void LimitExchange::tick()
{
    const Millis now = clock_.now();
    quotas_.tick();
    announce();
    releaseUnused(now);
    if (now >= antiEntropyAt_) {
        antiEntropyAt_ = now + antiEntropyInterval;
        sendAntiEntropy();
    }
    if (now < expireAt_)
        return;
    expireAt_ = now + expireInterval;
    if (table_.expire(now))
        setQuotas();
}

void LimitExchange::announce()
{
    LimitAnnouncement announcement;
    for (const UpstreamIncarnation incarnation : std::exchange(pendingAnnouncements_, {})) {
        const StatedLimit *stated = table_.find(incarnation);
        if (stated != nullptr && announcement.limits.size() < LimitMessageLimits::limits)
            announcement.limits.push_back(toAnnounced(*stated));
    }
    if (announcement.limits.empty() || !guardEnabled(Guard::LimitAnnounced))
        return;
    const std::string frame = encodeLimitMessage(announcement);
    for (const PeerAddress &peer : peers_.all())
        transport_.send(peer, frame);
}

void LimitExchange::sendAntiEntropy()
{
    const std::vector<StatedLimit> all = table_.all();
    const auto peer = peers_.anyLinked(random_);
    if (!peer || all.empty() || !guardEnabled(Guard::LimitToldAgain))
        return;
    const std::size_t first = random_() % all.size();
    LimitAnnouncement announcement;
    for (std::size_t i = 0; i < std::min(all.size(), LimitMessageLimits::limits); ++i)
        announcement.limits.push_back(toAnnounced(all[(first + i) % all.size()]));
    transport_.send(*peer, encodeLimitMessage(announcement));
}

void LimitExchange::releaseUnused(Millis now)
{
    for (auto it = credits_.begin(); it != credits_.end();) {
        Credit &credit = it->second;
        if (credit.isRequested || now < credit.expiresAt) {
            ++it;
            continue;
        }
        if (credit.isAvailable && guardEnabled(Guard::LimitCreditReturned)) {
            ++stats_.givenBack;
            quotas_.release(credit.grant);
        }
        it = credits_.erase(it);
    }
}

void LimitExchange::dropPendingQueries()
{
    quotas_.dropPendingQueries();
    credits_.clear();
}

void LimitExchange::sendQuotaFrame(const PeerAddress &to, std::string frame)
{
    // An owner that does not know the limit would grant every request.
    const auto message = decodeQuotaMessage(frame);
    const auto *query = message ? std::get_if<QuotaQuery>(&*message) : nullptr;
    const StatedLimit *stated =
        query == nullptr ? nullptr : table_.find(incarnationOf(query->customer));
    if (stated != nullptr && guardEnabled(Guard::LimitToldWithQuestion))
        sendAnnouncement(to, *stated, false);
    transport_.send(to, encodeLimitMessage(LimitQuotaFrame{std::move(frame)}));
}

void LimitExchange::sendAnnouncement(const PeerAddress &to, const StatedLimit &stated,
                                     bool isReport)
{
    transport_.send(to, encodeLimitMessage(LimitAnnouncement{isReport, {toAnnounced(stated)}}));
}

AnnouncedLimit LimitExchange::toAnnounced(const StatedLimit &stated) const
{
    return {stated.incarnation, stated.perSecond, clock_.now() - stated.receivedAt};
}

} // namespace cuminrail
