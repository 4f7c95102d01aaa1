#include "admission/budget/BudgetLedger.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminrail {

namespace {

constexpr BudgetKind kinds[] = {BudgetKind::RequestRate, BudgetKind::Concurrency,
                                BudgetKind::TokenRate};

std::size_t kindIndex(BudgetKind kind)
{
    return static_cast<std::size_t>(kind) % budgetKindNames.entries.size();
}

double amountOf(const LocalShare &share, BudgetKind kind)
{
    switch (kind) {
    case BudgetKind::RequestRate:
        return share.requestsPerSecond;
    case BudgetKind::Concurrency:
        return share.concurrentRequests;
    case BudgetKind::TokenRate:
        return share.tokensPerSecond;
    }
    return 0;
}

LocalShare shareWith(BudgetKind kind, double amount)
{
    LocalShare share;
    if (kind == BudgetKind::RequestRate)
        share.requestsPerSecond = amount;
    else if (kind == BudgetKind::Concurrency)
        share.concurrentRequests = amount;
    else
        share.tokensPerSecond = amount;
    return share;
}

/** Rendezvous hash, equal at all instances, so that they agree on the holders of a small limit. */
std::uint64_t rankHash(const InstanceId &instance, const CustomerId &customer)
{
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const std::string *text : {&customer.text(), &instance.text()}) {
        for (char letter : *text)
            hash = (hash ^ static_cast<unsigned char>(letter)) * 0x100000001B3ULL;
        hash = (hash ^ (hash >> 31U)) * 0x94D049BB133111EBULL;
    }
    return hash ^ (hash >> 29U);
}

double demandOf(BudgetKind kind, const CustomerUse &use)
{
    switch (kind) {
    case BudgetKind::RequestRate:
        return use.requestsPerSecond;
    case BudgetKind::Concurrency:
        return static_cast<double>(use.running) + use.queued;
    case BudgetKind::TokenRate:
        return use.tokensPerSecond;
    }
    return 0;
}

} // namespace

BudgetLedger::BudgetLedger(InstanceId self, Incarnation incarnation, BudgetOptions options,
                           BudgetHooks hooks, RandomHook random)
    : self_(std::move(self)), incarnation_(incarnation), options_(options),
      hooks_(std::move(hooks)), random_(std::move(random))
{
    members_.emplace(self_, Millis::never());
}

void BudgetLedger::setCustomers(const std::vector<AdmissionCustomer> &customers, Millis now)
{
    rows_.resize(std::max(rows_.size(), customers.size()));
    indexes_.clear();
    for (CustomerIndex index = 0; index < customers.size(); ++index) {
        rows_[index].customer = customers[index];
        if (customers[index].present)
            indexes_.emplace(customers[index].id, index);
        computeShares(rows_[index]);
    }
    expireLoans(now);
    for (CustomerIndex index = 0; index < rows_.size(); ++index)
        applyShare(index);
}

void BudgetLedger::setMembers(const std::vector<InstanceId> &members, Millis now)
{
    for (auto &[member, until] : members_) {
        const bool live =
            member == self_ || std::find(members.begin(), members.end(), member) != members.end();
        // The instance may only be unreachable, and its borrowers still use what it had lent.
        if (!live && until == Millis::never())
            until = now + options_.holdDown;
        else if (live)
            until = Millis::never();
    }
    for (const InstanceId &member : members)
        members_.emplace(member, Millis::never());
    removeExpiredMembers(now);
    for (CustomerIndex index = 0; index < rows_.size(); ++index) {
        computeShares(rows_[index]);
        applyShare(index);
    }
}

void BudgetLedger::removeExpiredMembers(Millis now)
{
    for (auto member = members_.begin(); member != members_.end();) {
        if (member->second <= now) {
            lastHandled_.erase(member->first);
            member = members_.erase(member);
        } else {
            ++member;
        }
    }
}

double BudgetLedger::limitOf(const Row &row, BudgetKind kind) const
{
    const CustomerLimits &limits = row.customer.limits;
    if (!row.customer.present)
        return 0;
    return amountOf({limits.requestsPerSecond, static_cast<double>(limits.concurrentRequests),
                     limits.tokensPerSecond},
                    kind);
}

double BudgetLedger::minPart(BudgetKind kind) const
{
    return amountOf({options_.minRequestRate, options_.minConcurrency, options_.minTokenRate},
                    kind);
}

/** A rate held by few instances is transferred as credit, never as a part of the rate. */
bool BudgetLedger::movesAsCredit(const Row &row, BudgetKind kind) const
{
    return kind != BudgetKind::Concurrency && row.holders[kindIndex(kind)] < members_.size();
}

void BudgetLedger::computeShares(Row &row) const
{
    for (BudgetKind kind : kinds)
        computeShare(row, kind);
}

void BudgetLedger::computeShare(Row &row, BudgetKind kind) const
{
    const double limit = limitOf(row, kind);
    row.baseShares[kindIndex(kind)] = 0;
    row.holders[kindIndex(kind)] = members_.size();
    if (limit <= 0)
        return;
    const auto maxHolders = static_cast<std::size_t>(std::max(1.0, limit / minPart(kind)));
    const std::size_t holders = std::min(maxHolders, members_.size());
    row.holders[kindIndex(kind)] = holders;
    const bool inWholeRequests = kind == BudgetKind::Concurrency;
    if (!inWholeRequests && holders == members_.size()) {
        row.baseShares[kindIndex(kind)] = limit / static_cast<double>(holders);
        return;
    }
    const std::size_t rank = rankOf(self_, row.customer.id);
    if (rank >= holders)
        return;
    const double evenPart = limit / static_cast<double>(holders);
    // Concurrency is divided in whole requests; the first ranks get the remainder.
    const double remainder = limit - std::floor(evenPart) * static_cast<double>(holders);
    const double extra = static_cast<double>(rank) < remainder ? 1 : 0;
    row.baseShares[kindIndex(kind)] = inWholeRequests ? std::floor(evenPart) + extra : evenPart;
}

std::size_t BudgetLedger::rankOf(const InstanceId &instance, const CustomerId &customer) const
{
    const std::uint64_t ownHash = rankHash(instance, customer);
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [&](const auto &member) {
            return rankHash(member.first, customer) > ownHash;
        }));
}

InstanceId BudgetLedger::selectLender(const Row &row, BudgetKind kind)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> order;
    for (const auto &[member, until] : members_)
        order.emplace_back(rankHash(member, row.customer.id), member);
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), row.holders[kindIndex(kind)]));
    order.erase(std::remove_if(order.begin(), order.end(),
                               [&](const auto &entry) { return entry.second == self_; }),
                order.end());
    if (order.empty())
        return {};
    return order[random_() % order.size()].second;
}

double BudgetLedger::available(CustomerIndex index, BudgetKind kind) const
{
    const Row &row = rows_[index];
    return std::max(0.0,
                    row.baseShares[kindIndex(kind)] - row.lent[kindIndex(kind)]
                        + row.borrowed[kindIndex(kind)]);
}

LocalShare BudgetLedger::share(CustomerIndex customer) const
{
    return {available(customer, BudgetKind::RequestRate),
            available(customer, BudgetKind::Concurrency),
            available(customer, BudgetKind::TokenRate)};
}

void BudgetLedger::applyShare(CustomerIndex index)
{
    if (!rows_[index].customer.present)
        return;
    hooks_.setShare(index, share(index));
}

void BudgetLedger::expireLoans(Millis now)
{
    expireLoans(lent_, &Row::lent, now);
    expireLoans(borrowed_, &Row::borrowed, now);
    for (auto request = pendingRequests_.begin(); request != pendingRequests_.end();)
        request = request->second + options_.term <= now ? pendingRequests_.erase(request)
                                                         : std::next(request);
}

void BudgetLedger::expireLoans(Loans &loans, LoanTotal total, Millis now)
{
    for (auto loan = loans.begin(); loan != loans.end();) {
        if (loan->second.expiresAt > now) {
            ++loan;
            continue;
        }
        const auto [other, index, kind] = loan->first;
        (rows_[index].*total)[kindIndex(kind)] -= loan->second.amount;
        loan = loans.erase(loan);
        applyShare(index);
    }
}

void BudgetLedger::setLoan(Loans &loans, LoanTotal total, const LoanKey &key, const Loan &loan)
{
    const auto [other, index, kind] = key;
    Loan &entry = loans[key];
    (rows_[index].*total)[kindIndex(kind)] += loan.amount - entry.amount;
    entry = loan;
}

/** Requests a renewal of loans that the current demand still needs. */
void BudgetLedger::renewLoans(Millis now, std::map<InstanceId, BorrowRequest> &requests)
{
    for (const auto &[key, loan] : borrowed_) {
        const auto &[lender, index, kind] = key;
        if (loan.expiresAt > now + options_.term / 2
            || now < rows_[index].nextRequestAt[kindIndex(kind)])
            continue;
        const double availableWithout = available(index, kind) - loan.amount;
        if (demandOf(kind, hooks_.use(index)) > availableWithout)
            requests[lender].items.push_back({rows_[index].customer.id, kind, 0, 0});
    }
}

void BudgetLedger::poll(Millis now)
{
    const std::size_t before = members_.size();
    removeExpiredMembers(now);
    if (members_.size() != before) {
        for (CustomerIndex index = 0; index < rows_.size(); ++index) {
            computeShares(rows_[index]);
            applyShare(index);
        }
    }
    expireLoans(now);
    if (members_.size() < 2)
        return;
    std::map<InstanceId, BorrowRequest> requests;
    renewLoans(now, requests);
    for (CustomerIndex index = 0; index < rows_.size(); ++index)
        requestMissing(index, now, requests);
    for (auto &[lender, request] : requests) {
        request.borrower = self_;
        request.incarnation = incarnation_;
        request.sequence = nextSequence_++;
        pendingRequests_.emplace(request.sequence, now);
        BudgetMessage message;
        message.borrow = std::move(request);
        hooks_.send(lender, encodeBudgetMessage(message));
    }
}

/** Returns the amount of this limit to request from a lender, 0 for none. */
double BudgetLedger::missingAmount(const Row &row, CustomerIndex index, BudgetKind kind,
                                   const CustomerUse &use, Millis now) const
{
    const double availableAmount = available(index, kind);
    const double demand = demandOf(kind, use);
    if (now < row.nextRequestAt[kindIndex(kind)])
        return 0;
    if (movesAsCredit(row, kind)) {
        const double credit =
            kind == BudgetKind::RequestRate ? std::max(1U, use.queued) : minPart(kind) / 4;
        return use.shortOfBudget ? credit : 0;
    }
    const double step = kind == BudgetKind::Concurrency ? 1 : 0;
    return demand > availableAmount ? std::max(step, demand - availableAmount) : 0;
}

void BudgetLedger::requestMissing(CustomerIndex index, Millis now,
                                  std::map<InstanceId, BorrowRequest> &requests)
{
    Row &row = rows_[index];
    const bool hasLimit = std::any_of(std::begin(kinds), std::end(kinds),
                                      [&](BudgetKind kind) { return limitOf(row, kind) > 0; });
    if (!hasLimit)
        return;
    const CustomerUse use = hooks_.use(index);
    for (BudgetKind kind : kinds) {
        if (limitOf(row, kind) <= 0)
            continue;
        const double missing = missingAmount(row, index, kind, use, now);
        if (missing <= 0)
            continue;
        const InstanceId lender = selectLender(row, kind);
        if (lender.isEmpty())
            continue;
        row.nextRequestAt[kindIndex(kind)] = now + options_.retryInterval;
        BudgetItem item{row.customer.id, kind, missing, 0};
        if (movesAsCredit(row, kind))
            std::swap(item.amount, item.credit);
        requests[lender].items.push_back(item);
    }
}

void BudgetLedger::handleFrame(std::string_view frame, Millis now)
{
    const auto message = decodeBudgetMessage(frame);
    if (!message)
        return;
    expireLoans(now);
    if (message->borrow)
        handleBorrowRequest(*message->borrow, now);
    else if (message->grant)
        handleGrant(*message->grant, now);
}

void BudgetLedger::handleBorrowRequest(const BorrowRequest &request, Millis now)
{
    // A duplicate request would subtract the same part twice, and one that arrives after a newer
    // request of the same borrower is obsolete.
    auto &last = lastHandled_[request.borrower];
    const auto requestId = std::make_pair(request.incarnation, request.sequence);
    if (requestId <= last || request.borrower == self_)
        return;
    last = requestId;
    LoanGrant grant;
    grant.lender = self_;
    grant.incarnation = request.incarnation;
    grant.sequence = request.sequence;
    grant.term = options_.term;
    for (const BudgetItem &item : request.items) {
        const BudgetItem granted = lendItem(request, item, now);
        if (granted.amount > 0 || granted.credit > 0)
            grant.items.push_back(granted);
    }
    if (grant.items.empty())
        return;
    BudgetMessage message;
    message.grant = std::move(grant);
    hooks_.send(request.borrower, encodeBudgetMessage(message));
}

BudgetItem BudgetLedger::lendItem(const BorrowRequest &request, const BudgetItem &item, Millis now)
{
    BudgetItem granted{item.customer, item.kind, 0, 0};
    const CustomerIndex index = indexOf(item.customer);
    if (index == noIndex || limitOf(rows_[index], item.kind) <= 0)
        return granted;
    const bool subtract = guardEnabled(Guard::LendSubtractsFirst);
    if (item.credit > 0) {
        const LocalShare requested = shareWith(item.kind, item.credit);
        granted.credit =
            subtract ? amountOf(hooks_.takeCredit(index, requested), item.kind) : item.credit;
        return granted;
    }
    // Borrowed budget is not lent on, because it may expire before the loan made of it.
    const Row &row = rows_[index];
    const double ownPart = row.baseShares[kindIndex(item.kind)] - row.lent[kindIndex(item.kind)];
    const double reserved = demandOf(item.kind, hooks_.use(index)) * options_.reserveFactor;
    double spare = std::min({item.amount, ownPart, available(index, item.kind) - reserved});
    if (item.kind == BudgetKind::Concurrency)
        spare = std::floor(spare);
    const LoanKey key{request.borrower, index, item.kind};
    const auto previous = lent_.find(key);
    const double previouslyLent = previous == lent_.end() ? 0 : previous->second.amount;
    granted.amount = previouslyLent + std::max(0.0, spare);
    if (granted.amount <= 0)
        return granted;
    // The borrower counts the term from when it sent the request, so its loan expires before this
    // one; the extra eighth covers clocks that run at different rates.
    if (subtract)
        setLoan(lent_, &Row::lent, key, {granted.amount, now + options_.term + options_.term / 8});
    applyShare(index);
    return granted;
}

void BudgetLedger::handleGrant(const LoanGrant &grant, Millis now)
{
    const auto request = pendingRequests_.find(grant.sequence);
    if (grant.incarnation != incarnation_ || request == pendingRequests_.end())
        return;
    // Counted from the arrival of the grant, a delayed loan would outlast the lender's record.
    const Millis countedFrom = guardEnabled(Guard::LoanCountedFromRequest) ? request->second : now;
    pendingRequests_.erase(request);
    for (const BudgetItem &item : grant.items) {
        const CustomerIndex index = indexOf(item.customer);
        if (index == noIndex)
            continue;
        if (item.credit > 0)
            hooks_.addCredit(index, shareWith(item.kind, item.credit));
        if (item.amount > 0)
            setLoan(borrowed_, &Row::borrowed, {grant.lender, index, item.kind},
                    {item.amount, countedFrom + grant.term});
        applyShare(index);
    }
    expireLoans(now);
}

CustomerIndex BudgetLedger::indexOf(const CustomerId &customer) const
{
    const auto entry = indexes_.find(customer);
    return entry == indexes_.end() ? noIndex : entry->second;
}

} // namespace cuminrail
