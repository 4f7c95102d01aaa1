#include "quotas/exchange/QuotaExchange.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminrail {

namespace {

KeeperKey keyOf(const std::string &customer)
{
    return StableHash().add(customer).value();
}

std::uint64_t whole(double value)
{
    const double most = static_cast<double>(QuotaMessageLimits::cost);
    return static_cast<std::uint64_t>(std::clamp(std::ceil(value), 0.0, most));
}

} // namespace

QuotaExchange::QuotaExchange(QuotaTolerance tolerance, PeerTransport transport, Clock clock)
    : transport_(std::move(transport)), clock_(std::move(clock)), book_(tolerance)
{
    book_.setKeeperSince(clock_.now());
}

void QuotaExchange::setPeers(std::vector<KeeperCandidate> peers)
{
    isDecided_ = true;
    instances_ = std::max<std::size_t>(1, peers.size());
    if (keepers_.setPeers(std::move(peers)))
        book_.setKeeperSince(clock_.now());
    for (const Pending &waiting : std::exchange(undecided_, {}))
        askDecided(waiting.customer, waiting.cost, waiting.done);
}

bool QuotaExchange::takeUnasked(const std::string &customer, const CustomerQuota &quota,
                                double cost)
{
    const Millis now = clock_.now();
    const QuotaTolerance &tolerance = book_.tolerance();
    const double part =
        QuotaBook::unaskedShare * tolerance.of(quota) / static_cast<double>(instances_);
    const auto [entry, isNew] = unasked_.try_emplace(customer);
    TokenBucket &bucket = entry->second;
    // Half of the part comes back in a window, so that a window holds one and a half of it.
    bucket.configure(part / 2 / tolerance.window.toSeconds(), part, now);
    if (isNew)
        bucket.fill();
    if (bucket.level(now) < cost)
        return false;
    bucket.draw(cost);
    return true;
}

void QuotaExchange::ask(const std::string &customer, double cost, Completion done)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return done(QuotaVerdict());
    if (!isDecided_) {
        const Millis until = clock_.now() + decidedWithin;
        undecided_.push_back(Pending{customer, cost, std::move(done), {}, until, false});
        return;
    }
    askDecided(customer, cost, done);
}

void QuotaExchange::askDecided(const std::string &customer, double cost, const Completion &done)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return done(QuotaVerdict());
    const PeerAddress &keeper = keepers_.keeperOf(keyOf(customer), clock_.now());
    if (!keeper.empty() && takeUnasked(customer, *limit, cost)) {
        ++stats_.unasked;
        charge(keeper, QuotaCharge{customer, whole(cost), false});
        return finish(Pending{customer, cost, done, {}, {}, false}, {true, {}, 0}, keeper);
    }
    askKeeper(Pending{customer, cost, done, keeper, {}, false});
}

void QuotaExchange::askKeeper(Pending pending)
{
    // With all keepers passed over, an instance that is none of them does not become one.
    if (pending.keeper.empty() && !keepers_.isEmpty() && !keepers_.isKeeper())
        return finishUnknown(pending.done);
    if (pending.keeper.empty())
        return finish(pending, takeHere(pending.customer, pending.cost), {});
    const std::uint64_t number = nextNumber_++;
    pending.until = clock_.now() + answerTimeout;
    const QuotaQuestion question{number, pending.customer, whole(pending.cost)};
    const PeerAddress keeper = pending.keeper;
    pending_[number] = std::move(pending);
    send(keeper, question);
}

QuotaOffer QuotaExchange::takeHere(const std::string &customer, double cost)
{
    const PeerAddress &usual = keepers_.firstOf(keyOf(customer));
    const QuotaOffer offer = book_.take(customer, cost, !usual.empty(), clock_.now());
    // Passed over for being slow, the usual keeper still grants to those who reach it.
    if (offer.isGranted && !usual.empty() && guardEnabled(Guard::QuotaStandInTells))
        send(usual, QuotaCharge{customer, whole(cost), false});
    return offer;
}

void QuotaExchange::finish(const Pending &pending, const QuotaOffer &offer,
                           const PeerAddress &keeper)
{
    QuotaVerdict verdict;
    verdict.result = offer.isGranted ? QuotaResult::Granted : QuotaResult::Refused;
    verdict.comeBackAfter = offer.comeBackAfter;
    verdict.level = offer.level;
    if (offer.isGranted)
        verdict.grant = {pending.customer, pending.cost, keeper};
    ++(offer.isGranted ? stats_.granted : stats_.refused);
    pending.done(verdict);
}

void QuotaExchange::giveBack(QuotaGrant &grant)
{
    const QuotaGrant unused = std::exchange(grant, QuotaGrant());
    if (!unused.isSet())
        return;
    ++stats_.givenBack;
    charge(unused.keeper, QuotaCharge{unused.customer, whole(unused.cost), true});
}

void QuotaExchange::charge(const PeerAddress &keeper, const QuotaCharge &message)
{
    if (keeper.empty())
        on(keeper, message);
    else
        send(keeper, message);
}

void QuotaExchange::send(const PeerAddress &to, const QuotaMessage &message)
{
    ++stats_.framesSent;
    transport_.send(to, encodeQuotaMessage(message));
}

bool QuotaExchange::received(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeQuotaMessage(frame);
    if (!message)
        return false;
    std::visit([&](const auto &each) { on(from, each); }, *message);
    return true;
}

void QuotaExchange::on(const PeerAddress &from, const QuotaQuestion &question)
{
    const QuotaOffer offer = takeHere(question.customer, static_cast<double>(question.cost));
    const auto back = offer.comeBackAfter.value_or(Millis(0)).count();
    const auto most = static_cast<std::int64_t>(QuotaMessageLimits::millis);
    send(from,
         QuotaAnswer{question.number, offer.isGranted,
                     static_cast<std::uint64_t>(std::clamp<std::int64_t>(back, 0, most)),
                     static_cast<std::uint64_t>(std::max(0.0, offer.level))});
}

void QuotaExchange::on(const PeerAddress &from, const QuotaAnswer &answer)
{
    keepers_.answered(from);
    const auto late = late_.find(answer.number);
    if (late != late_.end()) {
        if (answer.isGranted && guardEnabled(Guard::QuotaLateGrantReturned))
            send(from, QuotaCharge{late->second.customer, whole(late->second.cost), true});
        late_.erase(late);
        return;
    }
    const auto found = pending_.find(answer.number);
    if (found == pending_.end() || found->second.keeper != from)
        return;
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    QuotaOffer offer;
    offer.isGranted = answer.isGranted;
    offer.level = static_cast<double>(answer.level);
    if (answer.comeBackMillis > 0)
        offer.comeBackAfter = Millis(static_cast<std::int64_t>(answer.comeBackMillis));
    finish(pending, offer, from);
}

void QuotaExchange::on(const PeerAddress &, const QuotaCharge &charge)
{
    const double cost = static_cast<double>(charge.cost);
    const bool isStandIn = !keepers_.isOwn(keyOf(charge.customer));
    book_.charge(charge.customer, charge.isGivenBack ? -cost : cost, isStandIn, clock_.now());
}

void QuotaExchange::dropQuestions()
{
    pending_.clear();
    undecided_.clear();
}

void QuotaExchange::tick()
{
    const Millis now = clock_.now();
    std::vector<std::uint64_t> over;
    for (const auto &[number, pending] : pending_) {
        if (now >= pending.until)
            over.push_back(number);
    }
    for (const std::uint64_t number : over)
        unanswered(number);
    while (!undecided_.empty() && now >= undecided_.front().until) {
        const Completion done = std::move(undecided_.front().done);
        undecided_.erase(undecided_.begin());
        finishUnknown(done);
    }
    for (auto it = late_.begin(); it != late_.end();)
        it = now >= it->second.until ? late_.erase(it) : std::next(it);
}

void QuotaExchange::unanswered(std::uint64_t number)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const Millis now = clock_.now();
    Pending pending = std::move(found->second);
    pending_.erase(found);
    late_[number] = Late{pending.customer, pending.cost, now + lateAnswers};
    ++stats_.unanswered;
    keepers_.leftUnanswered(pending.keeper, now);
    if (!pending.isSecond) {
        pending.isSecond = true;
        pending.keeper = keepers_.keeperBeside(pending.keeper, keyOf(pending.customer), now);
        return askKeeper(std::move(pending));
    }
    finishUnknown(pending.done);
}

void QuotaExchange::finishUnknown(const Completion &done)
{
    ++stats_.unknown;
    QuotaVerdict verdict;
    verdict.result = QuotaResult::Unknown;
    done(verdict);
}

} // namespace cuminrail
