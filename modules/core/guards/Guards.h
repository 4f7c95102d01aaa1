#pragma once

#include "core/names/NameTable.h"

#include <cstdint>

namespace cuminrail {

/**
    Pieces of code that keep a promise, each of which tests can switch off.

    A promise whose guard can be taken out without any test noticing is not proved. The mutation
    run switches one off at a time and lists the tests that turn red.

    @see guardEnabled
*/
enum class Guard : std::uint8_t {
    /** A withdrawn or unknown key is refused at every request, not once per connection. */
    KeyCheckedEachRequest,
    /** A request that may have run is not sent again unless it is idempotent. */
    VerdictBeforeRetry,
    /** A non-repeatable call is claimed in the store before it is sent. */
    ClaimBeforeDispatch,
    /** A lease counts from before its request was sent. */
    LeaseCountedFromSend,
    /** A version of settings never goes back. */
    VersionOnlyForward,
    /** An upstream that was reported leaving gets no new work in that incarnation. */
    LeavingIsSticky,
    /** Prefix hashes start from the customer, so that customers share no cache. */
    CustomerInCacheIdentity,
    /** Only a bounded share of a pool is ejected at once. */
    EjectionBounded,
    /** Only repeatable work with slack, within the team's share, runs on reclaimable upstreams. */
    ReclaimableOnlyForRedoable,
    /** An idle customer's fair-queueing tags do not lag behind the virtual time. */
    NoIdleCredit,
    /** A lender takes a budget away from itself before it lends it. */
    LendSubtractsFirst,
    /** A borrower counts a loan's term from when it asked. */
    LoanCountedFromRequest,
    Count,
};

inline constexpr NameTable<Guard, 12> guardNames{{{
    {Guard::KeyCheckedEachRequest, "key-checked-each-request"},
    {Guard::VerdictBeforeRetry, "verdict-before-retry"},
    {Guard::ClaimBeforeDispatch, "claim-before-dispatch"},
    {Guard::LeaseCountedFromSend, "lease-counted-from-send"},
    {Guard::VersionOnlyForward, "version-only-forward"},
    {Guard::LeavingIsSticky, "leaving-is-sticky"},
    {Guard::CustomerInCacheIdentity, "customer-in-cache-identity"},
    {Guard::EjectionBounded, "ejection-bounded"},
    {Guard::ReclaimableOnlyForRedoable, "reclaimable-only-for-redoable"},
    {Guard::NoIdleCredit, "no-idle-credit"},
    {Guard::LendSubtractsFirst, "lend-subtracts-first"},
    {Guard::LoanCountedFromRequest, "loan-counted-from-request"},
}}};

namespace detail {
/** The guard that a test has switched off, Guard::Count for none. */
inline Guard disabledGuard = Guard::Count;
} // namespace detail

/** Returns true unless a test has switched this guard off. */
inline bool guardEnabled(Guard guard)
{
    return detail::disabledGuard != guard;
}

/** Switches one guard off for as long as this object lives. For tests alone. */
class DisabledGuard
{
public:
    explicit DisabledGuard(Guard guard) : previous_(detail::disabledGuard)
    {
        detail::disabledGuard = guard;
    }
    ~DisabledGuard() { detail::disabledGuard = previous_; }
    DisabledGuard(const DisabledGuard &) = delete;
    DisabledGuard &operator=(const DisabledGuard &) = delete;

private:
    Guard previous_;
};

} // namespace cuminrail
