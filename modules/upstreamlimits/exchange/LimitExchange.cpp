#include "upstreamlimits/exchange/LimitExchange.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cuminrail {

namespace {

/** What an upstream's limit is called among the quotas. */
std::string quotaName(UpstreamLife life)
{
    return std::to_string(life);
}

KeeperKey keyOf(UpstreamLife life)
{
    return StableHash().add(quotaName(life)).value();
}

UpstreamLife lifeOf(const std::string &quotaName)
{
    UpstreamLife life = 0;
    std::from_chars(quotaName.data(), quotaName.data() + quotaName.size(), life);
    return life;
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

void LimitExchange::setPeers(const std::vector<KeeperCandidate> &peers)
{
    others_.setPeers(peers);
    keepers_.setPeers(peers);
    quotas_.setPeers(peers);
}

LimitChange LimitExchange::heard(UpstreamLife life, std::optional<double> perSecond)
{
    const StatedLimit stated{life, perSecond, clock_.now()};
    const LimitChange change = take(stated);
    if (change != LimitChange::Marked || !guardEnabled(Guard::LimitReported))
        return change;
    const PeerAddress &keeper = keepers_.firstOf(keyOf(life));
    if (keeper.empty())
        toAnnounce_.insert(life);
    else
        sendNotice(keeper, stated, true);
    return change;
}

LimitChange LimitExchange::take(const StatedLimit &stated)
{
    const auto before = table_.limit(stated.life);
    const LimitChange change = table_.take(stated);
    if (table_.limit(stated.life) != before)
        setQuotas();
    if (change == LimitChange::Marked && !stated.perSecond)
        dropCredit(stated.life);
    return change;
}

void LimitExchange::dropCredit(UpstreamLife life)
{
    const auto found = credits_.find(life);
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
        quotas[quotaName(stated.life)] = {QuotaUnit::Requests, *stated.perSecond, 0, 1};
    quotas_.setQuotas(std::move(quotas));
}

bool LimitExchange::mayUse(UpstreamLife life) const
{
    if (!table_.limit(life))
        return true;
    const auto found = credits_.find(life);
    return found != credits_.end() && found->second.isHeld && clock_.now() < found->second.until;
}

std::optional<Millis> LimitExchange::roomAfter(UpstreamLife life) const
{
    const auto found = credits_.find(life);
    if (!table_.limit(life) || found == credits_.end())
        return std::nullopt;
    const Credit &credit = found->second;
    const Millis now = clock_.now();
    const bool isRefused = !credit.isHeld && !credit.isAsking && now < credit.until;
    return isRefused ? std::optional<Millis>(credit.until - now) : std::nullopt;
}

void LimitExchange::askAhead(const std::vector<UpstreamLife> &lives)
{
    int left = mostAhead;
    for (const UpstreamLife life : lives) {
        if (left == 0)
            return;
        if (mayUse(life) || isExhausted(life) || credits_[life].isAsking)
            continue;
        --left;
        ask(life, [](const CreditAnswer &) {});
    }
}

void LimitExchange::ask(UpstreamLife life, Completion done)
{
    if (mayUse(life))
        return done({true, Millis(0)});
    if (const auto room = roomAfter(life))
        return done({false, *room});
    Credit &credit = credits_[life];
    credit.waiting.push_back(std::move(done));
    if (credit.isAsking)
        return;
    credit.isAsking = true;
    credit.isHeld = false;
    quotas_.giveBack(credit.grant);
    quotas_.ask(quotaName(life), 1,
                [this, life](const QuotaVerdict &verdict) { answered(life, verdict); });
}

void LimitExchange::answered(UpstreamLife life, const QuotaVerdict &verdict)
{
    Credit &credit = credits_[life];
    const bool isGranted = verdict.result == QuotaResult::Granted;
    const Millis pause = verdict.comeBackAfter.value_or(unknownPause);
    credit.isAsking = false;
    credit.isHeld = isGranted;
    credit.grant = verdict.grant;
    credit.until = clock_.now() + (isGranted ? creditFor : pause);
    stats_.refused += isGranted ? 0 : 1;
    const std::vector<Completion> waiting = std::exchange(credit.waiting, {});
    // A credit is for one of them; the others find it used and ask again.
    for (const Completion &done : waiting)
        done({isGranted, isGranted ? Millis(0) : pause});
}

void LimitExchange::use(UpstreamLife life)
{
    if (!table_.limit(life))
        return;
    ++stats_.used;
    const auto found = credits_.find(life);
    if (found == credits_.end() || !found->second.isHeld) {
        ++stats_.unasked;
        return;
    }
    found->second.isHeld = false;
    found->second.grant = QuotaGrant();
    found->second.until = Millis(0);
}

bool LimitExchange::received(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeLimitMessage(frame);
    if (!message)
        return false;
    if (const auto *quota = std::get_if<LimitQuotaFrame>(&*message)) {
        quotas_.received(from, quota->frame);
        return true;
    }
    const auto &notice = std::get<LimitNotice>(*message);
    for (const ToldLimit &each : notice.limits) {
        const StatedLimit stated{each.life, each.perSecond, clock_.now() - each.age};
        if (take(stated) == LimitChange::Marked && notice.isReport)
            toAnnounce_.insert(each.life);
    }
    return true;
}

void LimitExchange::tick()
{
    const Millis now = clock_.now();
    quotas_.tick();
    announce();
    giveBackUnused(now);
    if (now >= tellAt_) {
        tellAt_ = now + tellEvery;
        tellOne();
    }
    if (now < expireAt_)
        return;
    expireAt_ = now + expireEvery;
    if (table_.expire(now))
        setQuotas();
}

void LimitExchange::announce()
{
    LimitNotice notice;
    for (const UpstreamLife life : std::exchange(toAnnounce_, {})) {
        const StatedLimit *stated = table_.find(life);
        if (stated != nullptr && notice.limits.size() < LimitMessageLimits::limits)
            notice.limits.push_back(told(*stated));
    }
    if (notice.limits.empty() || !guardEnabled(Guard::LimitAnnounced))
        return;
    const std::string frame = encodeLimitMessage(notice);
    for (const PeerAddress &other : others_.all())
        transport_.send(other, frame);
}

void LimitExchange::tellOne()
{
    const std::vector<StatedLimit> all = table_.all();
    const auto one = others_.anyLinked(random_);
    if (!one || all.empty() || !guardEnabled(Guard::LimitToldAgain))
        return;
    const std::size_t first = random_() % all.size();
    LimitNotice notice;
    for (std::size_t i = 0; i < std::min(all.size(), LimitMessageLimits::limits); ++i)
        notice.limits.push_back(told(all[(first + i) % all.size()]));
    transport_.send(*one, encodeLimitMessage(notice));
}

void LimitExchange::giveBackUnused(Millis now)
{
    for (auto it = credits_.begin(); it != credits_.end();) {
        Credit &credit = it->second;
        if (credit.isAsking || now < credit.until) {
            ++it;
            continue;
        }
        if (credit.isHeld && guardEnabled(Guard::LimitCreditReturned)) {
            ++stats_.givenBack;
            quotas_.giveBack(credit.grant);
        }
        it = credits_.erase(it);
    }
}

void LimitExchange::dropQuestions()
{
    quotas_.dropQuestions();
    credits_.clear();
}

void LimitExchange::sendQuotaFrame(const PeerAddress &to, std::string frame)
{
    // A keeper that knows no limit would grant everything.
    const auto message = decodeQuotaMessage(frame);
    const auto *question = message ? std::get_if<QuotaQuestion>(&*message) : nullptr;
    const StatedLimit *stated =
        question == nullptr ? nullptr : table_.find(lifeOf(question->customer));
    if (stated != nullptr && guardEnabled(Guard::LimitToldWithQuestion))
        sendNotice(to, *stated, false);
    transport_.send(to, encodeLimitMessage(LimitQuotaFrame{std::move(frame)}));
}

void LimitExchange::sendNotice(const PeerAddress &to, const StatedLimit &stated, bool isReport)
{
    transport_.send(to, encodeLimitMessage(LimitNotice{isReport, {told(stated)}}));
}

ToldLimit LimitExchange::told(const StatedLimit &stated) const
{
    return {stated.life, stated.perSecond, clock_.now() - stated.heardAt};
}

} // namespace cuminrail
