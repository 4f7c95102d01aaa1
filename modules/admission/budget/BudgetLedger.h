#pragma once

#include "admission/AdmissionController.h"
#include "admission/budget/BudgetMessages.h"
#include "core/ids/Ids.h"
#include "core/random/Random.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace cuminrail {

/** Tunables of budget lending; docs/LIMITS.md derives the bound on overshoot from them. */
struct BudgetOptions
{
    /** Duration of a loan, counted from when the borrower sent its request. */
    Millis term = Millis::seconds(5);
    /** How long an instance still counts after it has left the membership. */
    Millis holdDown = Millis::seconds(10);
    /** Minimum time between two requests for the same limit. */
    Millis retryInterval = Millis(200);
    /** Smallest useful part of a limit at one instance. */
    double minRequestRate = 2;
    double minConcurrency = 1;
    double minTokenRate = 2000;
    /** A lender keeps this multiple of its own demand. */
    double reserveFactor = 1.1;
};

/** Callbacks of the ledger. */
struct BudgetHooks
{
    /** Sends a frame to another instance, without guarantee of delivery. */
    std::function<void(const InstanceId &to, std::string frame)> send;
    /** Returns the customer's current use of this instance. */
    std::function<CustomerUse(CustomerIndex)> use;
    /** Applies a changed share. */
    std::function<void(CustomerIndex, const LocalShare &)> setShare;
    std::function<LocalShare(CustomerIndex, const LocalShare &wanted)> takeCredit;
    std::function<void(CustomerIndex, const LocalShare &)> addCredit;
};

/**
    Enforces customers' limits over all instances without a store call per request.

    Each limit is divided among the instances. A large limit is divided evenly; a small one, whose
    even share would be useless, is held by a few instances selected by rendezvous hashing. An
    instance that needs more requests it from one that holds a share. A part of an evenly divided
    rate, or of concurrency, is lent for a term; of a rate held by few instances only credit is
    transferred, one request at a time.

    Nothing is counted twice: a lender subtracts before it sends the grant; a borrower adds once,
    when the grant arrives, and counts the term from when it sent the request, which is before the
    lender's term began. A lost message therefore wastes a part of the limit until the term ends,
    and a late or duplicate one has no effect. Clocks of different machines are never compared.

    The sum over instances that agree on the membership never exceeds the limit. It can while they
    disagree: g partitions whose hold-down has passed use up to g times the limit; an instance that
    joins adds its share until the others have learned of it; one that restarts may use again, for
    one term, what its previous incarnation had lent.

    Control thread. Call poll() about every 100 ms.
*/
class BudgetLedger
{
public:
    BudgetLedger(InstanceId self, Incarnation incarnation, BudgetOptions options, BudgetHooks hooks,
                 RandomHook random);

    /** Sets the customers from new settings, by CustomerIndex. */
    void setCustomers(const std::vector<AdmissionCustomer> &customers, Millis now);

    /** Sets the live instances; this one always counts as live. */
    void setMembers(const std::vector<InstanceId> &members, Millis now);

    /** Expires loans, and sends requests for budget that is missing here. */
    void poll(Millis now);

    /** Handles a frame from another instance. Malformed frames are dropped. */
    void handleFrame(std::string_view frame, Millis now);

    /** Returns the part of a customer's limits that this instance may use now. */
    LocalShare share(CustomerIndex customer) const;

    /** Returns the number of loans lent and borrowed, for the state dump. */
    std::size_t loanCount() const { return lent_.size() + borrowed_.size(); }

private:
    struct Row
    {
        AdmissionCustomer customer;
        /** This instance's part of each limit, not counting loans. */
        std::array<double, 3> baseShares{};
        /** Sums of the loans lent and borrowed. */
        std::array<double, 3> lent{};
        std::array<double, 3> borrowed{};
        /** Number of instances that hold a part; fewer than all for small limits. */
        std::array<std::size_t, 3> holders{};
        /** When the next request for the limit may be sent. */
        std::array<Millis, 3> nextRequestAt{};
    };
    struct Loan
    {
        double amount = 0;
        Millis expiresAt;
    };
    using LoanKey = std::tuple<InstanceId, CustomerIndex, BudgetKind>;
    using Loans = std::map<LoanKey, Loan>;
    using LoanTotal = std::array<double, 3> Row::*;

    double limitOf(const Row &row, BudgetKind kind) const;
    double minPart(BudgetKind kind) const;
    bool movesAsCredit(const Row &row, BudgetKind kind) const;
    void computeShares(Row &row) const;
    void computeShare(Row &row, BudgetKind kind) const;
    std::size_t rankOf(const InstanceId &instance, const CustomerId &customer) const;
    InstanceId selectLender(const Row &row, BudgetKind kind);
    void removeExpiredMembers(Millis now);
    void expireLoans(Millis now);
    void expireLoans(Loans &loans, LoanTotal total, Millis now);
    void setLoan(Loans &loans, LoanTotal total, const LoanKey &key, const Loan &loan);
    void renewLoans(Millis now, std::map<InstanceId, BorrowRequest> &requests);
    void applyShare(CustomerIndex index);
    double available(CustomerIndex index, BudgetKind kind) const;
    double missingAmount(const Row &row, CustomerIndex index, BudgetKind kind,
                         const CustomerUse &use, Millis now) const;
    void requestMissing(CustomerIndex index, Millis now,
                        std::map<InstanceId, BorrowRequest> &requests);
    void handleBorrowRequest(const BorrowRequest &request, Millis now);
    BudgetItem lendItem(const BorrowRequest &request, const BudgetItem &item, Millis now);
    void handleGrant(const LoanGrant &grant, Millis now);
    CustomerIndex indexOf(const CustomerId &customer) const;

    InstanceId self_;
    Incarnation incarnation_;
    BudgetOptions options_;
    BudgetHooks hooks_;
    RandomHook random_;
    std::vector<Row> rows_;
    std::map<CustomerId, CustomerIndex> indexes_;
    /** Members, and until when one that has left still counts; Millis::never() for a live one. */
    std::map<InstanceId, Millis> members_;
    Loans lent_;
    Loans borrowed_;
    /** When each request without a grant so far was sent, by sequence number. */
    std::map<std::uint64_t, Millis> pendingRequests_;
    /** Incarnation and sequence number of the last request handled, by borrower. */
    std::map<InstanceId, std::pair<Incarnation, std::uint64_t>> lastHandled_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace cuminrail
