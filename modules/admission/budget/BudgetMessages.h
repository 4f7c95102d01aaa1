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

/** The limit of a customer that a budget is part of. */
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

/** A part of one customer's limit, requested or granted. */
struct BudgetItem
{
    CustomerId customer;
    BudgetKind kind = BudgetKind::RequestRate;
    /**
        Part of the limit that is lent for the term: requests or tokens per second, or concurrent
        requests. In a request: the additional amount; 0 to renew the existing loan.
    */
    double amount = 0;
    /** Accumulated credit that is transferred permanently: requests or tokens. */
    double credit = 0;
};

/** Request for budget from one instance to another. */
struct BorrowRequest
{
    InstanceId borrower;
    Incarnation incarnation = 0;
    /** Increases with each request of this incarnation. */
    std::uint64_t sequence = 0;
    std::vector<BudgetItem> items;
};

/** Reply to a BorrowRequest: what the lender has subtracted from its own share. */
struct LoanGrant
{
    InstanceId lender;
    /** Incarnation and sequence number of the request. */
    Incarnation incarnation = 0;
    std::uint64_t sequence = 0;
    /** Duration of the loans, counted from when the borrower sent its request. */
    Millis term;
    std::vector<BudgetItem> items;
};

/** A message between the ledgers of two instances; exactly one member is set. */
struct BudgetMessage
{
    std::optional<BorrowRequest> borrow;
    std::optional<LoanGrant> grant;
};

/** Encodes a message as CBOR. */
std::string encodeBudgetMessage(const BudgetMessage &message);

/** Returns the decoded message, or nothing with the reason when the frame is malformed. */
std::optional<BudgetMessage> decodeBudgetMessage(std::string_view frame,
                                                 Reason *lastReason = nullptr);

} // namespace cuminrail
