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

/** Constants of lending. docs/LIMITS.md has the bound on the overshoot that follows from them. */
struct BudgetOptions
{
    /** How long a loan lasts, from when the borrower asked. */
    Millis term = Millis::seconds(5);
    /** An instance that is gone from the membership counts on for this long. */
    Millis holdDown = Millis::seconds(10);
    /** How long an answer is waited for before the next request for the same limit. */
    Millis askAgain = Millis(200);
    /** Smallest part of a limit that is worth having at one instance. */
    double smallestRequestRate = 2;
    double smallestConcurrency = 1;
    double smallestTokenRate = 2000;
    /** A lender keeps this much more than it needs itself. */
    double keepFactor = 1.1;
};

/** What the ledger asks of its surroundings. */
struct BudgetHooks
{
    /** Sends a frame to another instance: best effort. */
    std::function<void(const InstanceId &to, std::string frame)> send;
    /** The customer's present use here. */
    std::function<CustomerUse(CustomerIndex)> use;
    /** Puts a changed share in force. */
    std::function<void(CustomerIndex, const LocalShare &)> setShare;
    std::function<LocalShare(CustomerIndex, const LocalShare &wanted)> takeCredit;
    std::function<void(CustomerIndex, const LocalShare &)> addCredit;
};

/**
    Holds customers' limits over all instances without a store call per request.

    Each limit is divided among instances. A large one is divided evenly; a small one, of which an
    even share would be useless, lies at a few instances that consistent hashing names. Who is
    short asks one that has a share. Of a divided rate and of concurrency a part is lent for a
    term; of a rate that lies at few instances only credit is handed over, one request at a time.

    Nothing is counted twice: a lender subtracts before it sends; a borrower adds when the grant
    arrives, once, and counts the term from when it asked, which is before the lender's term
    began. A lost message therefore wastes a part of the limit until the term is over, and a late
    or repeated one changes nothing. No clocks of two machines are compared.

    The sum over instances that agree on the membership never exceeds the limit. It can while they
    disagree: g groups that are cut off from each other and have passed the hold-down use up to g
    times the limit; an instance that joins adds its share until the others have heard of it; one
    that restarts may use again what its earlier life had lent, for one term.

    Control thread. Call poll() about every 100 ms.
*/
class BudgetLedger
{
public:
    BudgetLedger(InstanceId self, Incarnation incarnation, BudgetOptions options, BudgetHooks hooks,
                 RandomHook random);

    /** Takes the customers of newer settings, by CustomerIndex. */
    void setCustomers(const std::vector<AdmittedCustomer> &customers, Millis now);

    /** Takes the live instances, this one included or not. */
    void setMembers(const std::vector<InstanceId> &members, Millis now);

    /** Lets loans end, and asks for what is missing. */
    void poll(Millis now);

    /** A frame from another instance. Malformed ones are dropped. */
    void receive(std::string_view frame, Millis now);

    /** Returns what this instance may use of a customer's limits now. */
    LocalShare share(CustomerIndex customer) const;

    /** Returns how many loans are held or given, for the state dump. */
    std::size_t loanCount() const { return given_.size() + taken_.size(); }

private:
    struct Row
    {
        AdmittedCustomer customer;
        /** This instance's part without any loan, for each kind. */
        std::array<double, 3> defaults{};
        /** Sums of the loans given and taken. */
        std::array<double, 3> given{};
        std::array<double, 3> taken{};
        /** How many instances have a part; fewer than all for small limits. */
        std::array<std::size_t, 3> holders{};
        /** When the next request for it may go out. */
        std::array<Millis, 3> askFrom{};
    };
    struct Loan
    {
        double amount = 0;
        Millis end;
    };
    using LoanKey = std::tuple<InstanceId, CustomerIndex, BudgetKind>;
    using Loans = std::map<LoanKey, Loan>;
    using Sums = std::array<double, 3> Row::*;

    double limitOf(const Row &row, BudgetKind kind) const;
    double smallest(BudgetKind kind) const;
    bool isHandedOver(const Row &row, BudgetKind kind) const;
    void divide(Row &row) const;
    void divideKind(Row &row, BudgetKind kind) const;
    std::size_t rankOf(const InstanceId &instance, const CustomerId &customer) const;
    InstanceId lenderFor(const Row &row, BudgetKind kind);
    void dropMembers(Millis now);
    void endLoans(Millis now);
    void endLoans(Loans &loans, Sums sums, Millis now);
    void setLoan(Loans &loans, Sums sums, const LoanKey &key, const Loan &loan);
    void renew(Millis now, std::map<InstanceId, BorrowRequest> &requests);
    void putInForce(CustomerIndex index);
    double available(CustomerIndex index, BudgetKind kind) const;
    double wanted(const Row &row, CustomerIndex index, BudgetKind kind, const CustomerUse &use,
                  Millis now) const;
    void askFor(CustomerIndex index, Millis now, std::map<InstanceId, BorrowRequest> &requests);
    void lend(const BorrowRequest &request, Millis now);
    BudgetItem lendItem(const BorrowRequest &request, const BudgetItem &item, Millis now);
    void borrow(const LoanGrant &grant, Millis now);
    CustomerIndex indexOf(const CustomerId &customer) const;

    InstanceId self_;
    Incarnation incarnation_;
    BudgetOptions options_;
    BudgetHooks hooks_;
    RandomHook random_;
    std::vector<Row> rows_;
    std::map<CustomerId, CustomerIndex> indexes_;
    /** Members, and until when one that is gone counts on; Millis::never() for a live one. */
    std::map<InstanceId, Millis> members_;
    Loans given_;
    Loans taken_;
    /** Requests that wait for an answer: number and when they were sent. */
    std::map<std::uint64_t, Millis> asked_;
    /** The last request answered, for each borrower: incarnation and number. */
    std::map<InstanceId, std::pair<Incarnation, std::uint64_t>> answered_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace cuminrail
