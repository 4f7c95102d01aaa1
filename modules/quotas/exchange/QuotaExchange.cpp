#include "quotas/exchange/QuotaExchange.h"

#include "core/guards/Guards.h"
#include "core/hash/StableHash.h"
#include "keepers/numbers/QueryNumbers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminrail {

namespace {

OwnershipKey keyOf(const std::string &customer)
{
    return StableHash().add(customer).value();
}

std::uint64_t roundedUp(double value)
{
    const double maxCost = static_cast<double>(QuotaMessageLimits::cost);
    return static_cast<std::uint64_t>(std::clamp(std::ceil(value), 0.0, maxCost));
}

} // namespace

QuotaExchange::QuotaExchange(QuotaTolerance tolerance, PeerTransport transport, Clock clock)
    : transport_(std::move(transport)), clock_(std::move(clock)), ledger_(tolerance),
      nextNumber_(firstQueryNumber(clock_))
{
    ledger_.setOwnershipStartedAt(clock_.now());
}

void QuotaExchange::setPeers(std::vector<OwnerCandidate> peers)
{
    arePeersKnown_ = true;
    instanceCount_ = std::max<std::size_t>(1, peers.size());
    if (owners_.setPeers(std::move(peers)))
        ledger_.setOwnershipStartedAt(clock_.now());
    for (const Pending &pending : std::exchange(awaitingPeers_, {}))
        acquireNow(pending.customer, pending.cost, pending.done);
}

bool QuotaExchange::takeLocally(const std::string &customer, const CustomerQuota &quota,
                                double cost)
{
    const Millis now = clock_.now();
    const QuotaTolerance &tolerance = ledger_.tolerance();
    const double share =
        QuotaLedger::localShare * tolerance.of(quota) / static_cast<double>(instanceCount_);
    const auto [entry, isNew] = localBuckets_.try_emplace(customer);
    TokenBucket &bucket = entry->second;
    // Half of the share is refilled in a window, so a window sees at most one and a half shares.
    bucket.configure(share / 2 / tolerance.window.toSeconds(), share, now);
    if (isNew)
        bucket.fill();
    if (bucket.level(now) < cost)
        return false;
    bucket.draw(cost);
    return true;
}

void QuotaExchange::acquire(const std::string &customer, double cost, Completion done)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return done(QuotaOutcome());
    if (!arePeersKnown_) {
        const Millis deadline = clock_.now() + peerDiscoveryTimeout;
        awaitingPeers_.push_back(Pending{customer, cost, std::move(done), {}, deadline, false});
        return;
    }
    acquireNow(customer, cost, done);
}

void QuotaExchange::acquireNow(const std::string &customer, double cost, const Completion &done)
{
    const CustomerQuota *limit = quota(customer);
    if (limit == nullptr)
        return done(QuotaOutcome());
    const PeerAddress &owner = owners_.ownerOf(keyOf(customer), clock_.now());
    if (!owner.empty() && takeLocally(customer, *limit, cost)) {
        ++stats_.unasked;
        charge(owner, QuotaCharge{customer, roundedUp(cost), false});
        return finish(Pending{customer, cost, done, {}, {}, false}, {true, {}, 0}, owner);
    }
    queryOwner(Pending{customer, cost, done, owner, {}, false});
}

void QuotaExchange::queryOwner(Pending pending)
{
    // An instance that is not an owner does not become one when all owners are excluded.
    if (pending.owner.empty() && !owners_.isEmpty() && !owners_.isOwner())
        return finishUnknown(pending.done);
    if (pending.owner.empty())
        return finish(pending, takeFromLedger(pending.customer, pending.cost), {});
    const std::uint64_t number = nextNumber_++;
    pending.deadline = clock_.now() + replyTimeout;
    const QuotaQuery query{number, pending.customer, roundedUp(pending.cost)};
    const PeerAddress owner = pending.owner;
    pending_[number] = std::move(pending);
    send(owner, query);
}

QuotaDecision QuotaExchange::takeFromLedger(const std::string &customer, double cost)
{
    const PeerAddress &primary = owners_.primaryOwnerOf(keyOf(customer));
    const QuotaDecision decision = ledger_.take(customer, cost, !primary.empty(), clock_.now());
    // A primary owner that is excluded for slow replies still grants to instances that reach it.
    if (decision.isGranted && !primary.empty() && guardEnabled(Guard::QuotaStandInTells))
        send(primary, QuotaCharge{customer, roundedUp(cost), false});
    return decision;
}

void QuotaExchange::finish(const Pending &pending, const QuotaDecision &decision,
                           const PeerAddress &owner)
{
    QuotaOutcome outcome;
    outcome.result = decision.isGranted ? QuotaResult::Granted : QuotaResult::Refused;
    outcome.retryAfter = decision.retryAfter;
    outcome.level = decision.level;
    if (decision.isGranted)
        outcome.grant = {pending.customer, pending.cost, owner};
    ++(decision.isGranted ? stats_.granted : stats_.refused);
    pending.done(outcome);
}

void QuotaExchange::release(QuotaGrant &grant)
{
    const QuotaGrant unused = std::exchange(grant, QuotaGrant());
    if (!unused.isSet())
        return;
    ++stats_.givenBack;
    charge(unused.owner, QuotaCharge{unused.customer, roundedUp(unused.cost), true});
}

void QuotaExchange::charge(const PeerAddress &owner, const QuotaCharge &message)
{
    if (owner.empty())
        handle(owner, message);
    else
        send(owner, message);
}

void QuotaExchange::send(const PeerAddress &to, const QuotaMessage &message)
{
    ++stats_.framesSent;
    transport_.send(to, encodeQuotaMessage(message));
}

bool QuotaExchange::handleFrame(const PeerAddress &from, const std::string &frame)
{
    const auto message = decodeQuotaMessage(frame);
    if (!message)
        return false;
    std::visit([&](const auto &each) { handle(from, each); }, *message);
    return true;
}

void QuotaExchange::handle(const PeerAddress &from, const QuotaQuery &query)
{
    const QuotaDecision decision = takeFromLedger(query.customer, static_cast<double>(query.cost));
    const auto retryAfter = decision.retryAfter.value_or(Millis(0)).count();
    const auto maxMillis = static_cast<std::int64_t>(QuotaMessageLimits::millis);
    send(from,
         QuotaReply{query.number, decision.isGranted,
                    static_cast<std::uint64_t>(std::clamp<std::int64_t>(retryAfter, 0, maxMillis)),
                    static_cast<std::uint64_t>(std::max(0.0, decision.level))});
}

void QuotaExchange::handle(const PeerAddress &from, const QuotaReply &reply)
{
    owners_.recordReply(from);
    const auto late = lateReplies_.find(reply.number);
    if (late != lateReplies_.end()) {
        if (reply.isGranted && guardEnabled(Guard::QuotaLateGrantReturned))
            send(from, QuotaCharge{late->second.customer, roundedUp(late->second.cost), true});
        lateReplies_.erase(late);
        return;
    }
    const auto found = pending_.find(reply.number);
    if (found == pending_.end() || found->second.owner != from)
        return;
    const Pending pending = std::move(found->second);
    pending_.erase(found);
    QuotaDecision decision;
    decision.isGranted = reply.isGranted;
    decision.level = static_cast<double>(reply.level);
    if (reply.retryAfterMillis > 0)
        decision.retryAfter = Millis(static_cast<std::int64_t>(reply.retryAfterMillis));
    finish(pending, decision, from);
}

void QuotaExchange::handle(const PeerAddress &, const QuotaCharge &charge)
{
    const double cost = static_cast<double>(charge.cost);
    const bool isSubstitute = !owners_.ownsKey(keyOf(charge.customer));
    ledger_.charge(charge.customer, charge.isGivenBack ? -cost : cost, isSubstitute, clock_.now());
}

void QuotaExchange::dropPendingQueries()
{
    pending_.clear();
    awaitingPeers_.clear();
}

void QuotaExchange::tick()
{
    const Millis now = clock_.now();
    std::vector<std::uint64_t> timedOut;
    for (const auto &[number, pending] : pending_) {
        if (now >= pending.deadline)
            timedOut.push_back(number);
    }
    for (const std::uint64_t number : timedOut)
        handleTimeout(number);
    while (!awaitingPeers_.empty() && now >= awaitingPeers_.front().deadline) {
        const Completion done = std::move(awaitingPeers_.front().done);
        awaitingPeers_.erase(awaitingPeers_.begin());
        finishUnknown(done);
    }
    for (auto it = lateReplies_.begin(); it != lateReplies_.end();)
        it = now >= it->second.expiresAt ? lateReplies_.erase(it) : std::next(it);
}

void QuotaExchange::handleTimeout(std::uint64_t number)
{
    const auto found = pending_.find(number);
    if (found == pending_.end())
        return;
    const Millis now = clock_.now();
    Pending pending = std::move(found->second);
    pending_.erase(found);
    lateReplies_[number] = LateReply{pending.customer, pending.cost, now + lateReplyRetention};
    ++stats_.unanswered;
    owners_.recordMissedReply(pending.owner, now);
    if (!pending.isRetry) {
        pending.isRetry = true;
        pending.owner = owners_.nextOwnerOf(pending.owner, keyOf(pending.customer), now);
        return queryOwner(std::move(pending));
    }
    finishUnknown(pending.done);
}

void QuotaExchange::finishUnknown(const Completion &done)
{
    ++stats_.unknown;
    QuotaOutcome outcome;
    outcome.result = QuotaResult::Unknown;
    done(outcome);
}

} // namespace cuminrail
