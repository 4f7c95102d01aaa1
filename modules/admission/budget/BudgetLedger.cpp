#include "admission/budget/BudgetLedger.h"

#include "core/guards/Guards.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cuminrail {

namespace {

constexpr BudgetKind kinds[] = {BudgetKind::RequestRate, BudgetKind::Concurrency,
                                BudgetKind::TokenRate};

std::size_t at(BudgetKind kind)
{
    return static_cast<std::size_t>(kind) % budgetKindNames.entries.size();
}

double partOf(const LocalShare &share, BudgetKind kind)
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

LocalShare only(BudgetKind kind, double amount)
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

/** The same at all instances, so that they agree on who holds a small limit. */
std::uint64_t placeHash(const InstanceId &instance, const CustomerId &customer)
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

void BudgetLedger::setCustomers(const std::vector<AdmittedCustomer> &customers, Millis now)
{
    rows_.resize(std::max(rows_.size(), customers.size()));
    indexes_.clear();
    for (CustomerIndex index = 0; index < customers.size(); ++index) {
        rows_[index].customer = customers[index];
        if (customers[index].present)
            indexes_.emplace(customers[index].id, index);
        divide(rows_[index]);
    }
    endLoans(now);
    for (CustomerIndex index = 0; index < rows_.size(); ++index)
        putInForce(index);
}

void BudgetLedger::setMembers(const std::vector<InstanceId> &members, Millis now)
{
    for (auto &[member, until] : members_) {
        const bool live =
            member == self_ || std::find(members.begin(), members.end(), member) != members.end();
        // What a dead instance had lent is still in use, and it may only be out of reach.
        if (!live && until == Millis::never())
            until = now + options_.holdDown;
        else if (live)
            until = Millis::never();
    }
    for (const InstanceId &member : members)
        members_.emplace(member, Millis::never());
    dropMembers(now);
    for (CustomerIndex index = 0; index < rows_.size(); ++index) {
        divide(rows_[index]);
        putInForce(index);
    }
}

void BudgetLedger::dropMembers(Millis now)
{
    for (auto member = members_.begin(); member != members_.end();) {
        if (member->second <= now) {
            answered_.erase(member->first);
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
    return partOf({limits.requestsPerSecond, static_cast<double>(limits.concurrentRequests),
                   limits.tokensPerSecond},
                  kind);
}

double BudgetLedger::smallest(BudgetKind kind) const
{
    return partOf(
        {options_.smallestRequestRate, options_.smallestConcurrency, options_.smallestTokenRate},
        kind);
}

/** A rate that lies at few instances is handed over as credit, never as a part of the rate. */
bool BudgetLedger::isHandedOver(const Row &row, BudgetKind kind) const
{
    return kind != BudgetKind::Concurrency && row.holders[at(kind)] < members_.size();
}

void BudgetLedger::divide(Row &row) const
{
    for (BudgetKind kind : kinds)
        divideKind(row, kind);
}

void BudgetLedger::divideKind(Row &row, BudgetKind kind) const
{
    const double limit = limitOf(row, kind);
    row.defaults[at(kind)] = 0;
    row.holders[at(kind)] = members_.size();
    if (limit <= 0)
        return;
    const auto worth = static_cast<std::size_t>(std::max(1.0, limit / smallest(kind)));
    const std::size_t holders = std::min(worth, members_.size());
    row.holders[at(kind)] = holders;
    const bool whole = kind == BudgetKind::Concurrency;
    if (!whole && holders == members_.size()) {
        row.defaults[at(kind)] = limit / static_cast<double>(holders);
        return;
    }
    const std::size_t rank = rankOf(self_, row.customer.id);
    if (rank >= holders)
        return;
    const double even = limit / static_cast<double>(holders);
    // Concurrency comes in whole requests; the first ranks take what does not divide.
    const double rest = limit - std::floor(even) * static_cast<double>(holders);
    const double extra = static_cast<double>(rank) < rest ? 1 : 0;
    row.defaults[at(kind)] = whole ? std::floor(even) + extra : even;
}

std::size_t BudgetLedger::rankOf(const InstanceId &instance, const CustomerId &customer) const
{
    const std::uint64_t own = placeHash(instance, customer);
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(),
                      [&](const auto &member) { return placeHash(member.first, customer) > own; }));
}

InstanceId BudgetLedger::lenderFor(const Row &row, BudgetKind kind)
{
    std::vector<std::pair<std::uint64_t, InstanceId>> order;
    for (const auto &[member, until] : members_)
        order.emplace_back(placeHash(member, row.customer.id), member);
    std::sort(order.rbegin(), order.rend());
    order.resize(std::min(order.size(), row.holders[at(kind)]));
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
    return std::max(0.0, row.defaults[at(kind)] - row.given[at(kind)] + row.taken[at(kind)]);
}

LocalShare BudgetLedger::share(CustomerIndex customer) const
{
    return {available(customer, BudgetKind::RequestRate),
            available(customer, BudgetKind::Concurrency),
            available(customer, BudgetKind::TokenRate)};
}

void BudgetLedger::putInForce(CustomerIndex index)
{
    if (!rows_[index].customer.present)
        return;
    hooks_.setShare(index, share(index));
}

void BudgetLedger::endLoans(Millis now)
{
    endLoans(given_, &Row::given, now);
    endLoans(taken_, &Row::taken, now);
    for (auto request = asked_.begin(); request != asked_.end();)
        request =
            request->second + options_.term <= now ? asked_.erase(request) : std::next(request);
}

void BudgetLedger::endLoans(Loans &loans, Sums sums, Millis now)
{
    for (auto loan = loans.begin(); loan != loans.end();) {
        if (loan->second.end > now) {
            ++loan;
            continue;
        }
        const auto [other, index, kind] = loan->first;
        (rows_[index].*sums)[at(kind)] -= loan->second.amount;
        loan = loans.erase(loan);
        putInForce(index);
    }
}

void BudgetLedger::setLoan(Loans &loans, Sums sums, const LoanKey &key, const Loan &loan)
{
    const auto [other, index, kind] = key;
    Loan &entry = loans[key];
    (rows_[index].*sums)[at(kind)] += loan.amount - entry.amount;
    entry = loan;
}

/** Asks lenders for a longer term where the work in progress still needs the loan. */
void BudgetLedger::renew(Millis now, std::map<InstanceId, BorrowRequest> &requests)
{
    for (const auto &[key, loan] : taken_) {
        const auto &[lender, index, kind] = key;
        if (loan.end > now + options_.term / 2 || now < rows_[index].askFrom[at(kind)])
            continue;
        const double without = available(index, kind) - loan.amount;
        if (demandOf(kind, hooks_.use(index)) > without)
            requests[lender].items.push_back({rows_[index].customer.id, kind, 0, 0});
    }
}

void BudgetLedger::poll(Millis now)
{
    const std::size_t before = members_.size();
    dropMembers(now);
    if (members_.size() != before) {
        for (CustomerIndex index = 0; index < rows_.size(); ++index) {
            divide(rows_[index]);
            putInForce(index);
        }
    }
    endLoans(now);
    if (members_.size() < 2)
        return;
    std::map<InstanceId, BorrowRequest> requests;
    renew(now, requests);
    for (CustomerIndex index = 0; index < rows_.size(); ++index)
        askFor(index, now, requests);
    for (auto &[lender, request] : requests) {
        request.borrower = self_;
        request.incarnation = incarnation_;
        request.number = nextNumber_++;
        asked_.emplace(request.number, now);
        BudgetMessage message;
        message.borrow = std::move(request);
        hooks_.send(lender, encodeBudgetMessage(message));
    }
}

/** Returns how much of this limit is missing here, 0 for none. */
double BudgetLedger::wanted(const Row &row, CustomerIndex index, BudgetKind kind,
                            const CustomerUse &use, Millis now) const
{
    const double have = available(index, kind);
    const double demand = demandOf(kind, use);
    if (now < row.askFrom[at(kind)])
        return 0;
    if (isHandedOver(row, kind)) {
        const double credit =
            kind == BudgetKind::RequestRate ? std::max(1U, use.queued) : smallest(kind) / 4;
        return use.shortOfBudget ? credit : 0;
    }
    const double step = kind == BudgetKind::Concurrency ? 1 : 0;
    return demand > have ? std::max(step, demand - have) : 0;
}

void BudgetLedger::askFor(CustomerIndex index, Millis now,
                          std::map<InstanceId, BorrowRequest> &requests)
{
    Row &row = rows_[index];
    const bool limited = std::any_of(std::begin(kinds), std::end(kinds),
                                     [&](BudgetKind kind) { return limitOf(row, kind) > 0; });
    if (!limited)
        return;
    const CustomerUse use = hooks_.use(index);
    for (BudgetKind kind : kinds) {
        if (limitOf(row, kind) <= 0)
            continue;
        const double missing = wanted(row, index, kind, use, now);
        if (missing <= 0)
            continue;
        const InstanceId lender = lenderFor(row, kind);
        if (lender.isEmpty())
            continue;
        row.askFrom[at(kind)] = now + options_.askAgain;
        BudgetItem item{row.customer.id, kind, missing, 0};
        if (isHandedOver(row, kind))
            std::swap(item.amount, item.credit);
        requests[lender].items.push_back(item);
    }
}

void BudgetLedger::receive(std::string_view frame, Millis now)
{
    const auto message = decodeBudgetMessage(frame);
    if (!message)
        return;
    endLoans(now);
    if (message->borrow)
        lend(*message->borrow, now);
    else if (message->grant)
        borrow(*message->grant, now);
}

void BudgetLedger::lend(const BorrowRequest &request, Millis now)
{
    // A repeated request would take the same part away twice. An older one, overtaken by a newer,
    // is no longer waited for.
    auto &last = answered_[request.borrower];
    const auto number = std::make_pair(request.incarnation, request.number);
    if (number <= last || request.borrower == self_)
        return;
    last = number;
    LoanGrant grant;
    grant.lender = self_;
    grant.incarnation = request.incarnation;
    grant.number = request.number;
    grant.term = options_.term;
    for (const BudgetItem &item : request.items) {
        const BudgetItem given = lendItem(request, item, now);
        if (given.amount > 0 || given.credit > 0)
            grant.items.push_back(given);
    }
    if (grant.items.empty())
        return;
    BudgetMessage message;
    message.grant = std::move(grant);
    hooks_.send(request.borrower, encodeBudgetMessage(message));
}

BudgetItem BudgetLedger::lendItem(const BorrowRequest &request, const BudgetItem &item, Millis now)
{
    BudgetItem given{item.customer, item.kind, 0, 0};
    const CustomerIndex index = indexOf(item.customer);
    if (index == noIndex || limitOf(rows_[index], item.kind) <= 0)
        return given;
    const bool subtract = guardEnabled(Guard::LendSubtractsFirst);
    if (item.credit > 0) {
        const LocalShare wish = only(item.kind, item.credit);
        given.credit = subtract ? partOf(hooks_.takeCredit(index, wish), item.kind) : item.credit;
        return given;
    }
    // What was borrowed is not lent on: it may end before the loan that was made of it.
    const Row &row = rows_[index];
    const double own = row.defaults[at(item.kind)] - row.given[at(item.kind)];
    const double need = demandOf(item.kind, hooks_.use(index)) * options_.keepFactor;
    double spare = std::min({item.amount, own, available(index, item.kind) - need});
    if (item.kind == BudgetKind::Concurrency)
        spare = std::floor(spare);
    const LoanKey key{request.borrower, index, item.kind};
    const auto before = given_.find(key);
    const double lentBefore = before == given_.end() ? 0 : before->second.amount;
    given.amount = lentBefore + std::max(0.0, spare);
    if (given.amount <= 0)
        return given;
    // The borrower counts from when it asked, so its loan ends before this one does; the eighth
    // covers clocks that run at different speeds.
    if (subtract)
        setLoan(given_, &Row::given, key, {given.amount, now + options_.term + options_.term / 8});
    putInForce(index);
    return given;
}

void BudgetLedger::borrow(const LoanGrant &grant, Millis now)
{
    const auto request = asked_.find(grant.number);
    if (grant.incarnation != incarnation_ || request == asked_.end())
        return;
    // Counted from its arrival, a loan that was delayed on the way would outlast the lender's.
    const Millis from = guardEnabled(Guard::LoanCountedFromRequest) ? request->second : now;
    asked_.erase(request);
    for (const BudgetItem &item : grant.items) {
        const CustomerIndex index = indexOf(item.customer);
        if (index == noIndex)
            continue;
        if (item.credit > 0)
            hooks_.addCredit(index, only(item.kind, item.credit));
        if (item.amount > 0)
            setLoan(taken_, &Row::taken, {grant.lender, index, item.kind},
                    {item.amount, from + grant.term});
        putInForce(index);
    }
    endLoans(now);
}

CustomerIndex BudgetLedger::indexOf(const CustomerId &customer) const
{
    const auto entry = indexes_.find(customer);
    return entry == indexes_.end() ? noIndex : entry->second;
}

} // namespace cuminrail
