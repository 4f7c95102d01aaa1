#pragma once

#include "core/errors/Reason.h"
#include "core/ids/Ids.h"
#include "core/names/NameTable.h"
#include "core/time/Millis.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cuminrail {

/** Which limit of a customer a budget is part of. */
enum class BudgetKind : std::uint8_t {
    RequestRate,
    Concurrency,
    TokenRate,
};

inline constexpr NameTable<BudgetKind, 3> budgetKindNames{{{
    {BudgetKind::RequestRate, "requests"},
    {BudgetKind::Concurrency, "concurrency"},
    {BudgetKind::TokenRate, "tokens"},
}}};

/** One customer's limit within a message. */
struct BudgetItem
{
    CustomerId customer;
    BudgetKind kind = BudgetKind::RequestRate;
    /**
        Part of the limit that is lent for the term: requests or tokens a second, or requests.
        In a request: how much more is wanted; 0 to renew what was lent before.
    */
    double amount = 0;
    /** Saved credit that is handed over for good: requests or tokens. */
    double credit = 0;
};

/** An instance that is short of budget asks another one. */
struct BorrowRequest
{
    InstanceId borrower;
    Incarnation incarnation = 0;
    /** Rises with each request of this incarnation. */
    std::uint64_t number = 0;
    std::vector<BudgetItem> items;
};

/** The answer: what the lender has taken away from itself. */
struct LoanGrant
{
    InstanceId lender;
    /** The borrower's incarnation and number that this answers. */
    Incarnation incarnation = 0;
    std::uint64_t number = 0;
    /** Counts from when the borrower sent its request. */
    Millis term;
    std::vector<BudgetItem> items;
};

/** A message between the ledgers of two instances; exactly one of the two is set. */
struct BudgetMessage
{
    std::optional<BorrowRequest> borrow;
    std::optional<LoanGrant> grant;
};

/** Returns the message as CBOR. */
std::string encodeBudgetMessage(const BudgetMessage &message);

/** Returns the message, or nothing with the reason when the frame is malformed. */
std::optional<BudgetMessage> decodeBudgetMessage(std::string_view frame,
                                                 Reason *lastReason = nullptr);

} // namespace cuminrail
